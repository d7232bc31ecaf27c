//! A request whose handler panics is answered, and its connection goes on.

use crate::http::{Body, listen, serve};
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

#[test]
fn a_request_whose_handler_panics_is_answered_and_its_connection_is_kept() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
    let statuses = runtime.block_on(async {
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let listener = listen(any_port).await.expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let handler = async |request: Request<Incoming>| {
            assert!(request.uri().path() != "/panic", "as the test wants");
            Response::new(Body::empty())
        };
        compio::runtime::spawn(serve(listener, Rc::default(), handler)).detach();
        let client = compio::runtime::spawn_blocking(move || {
            let mut client = TcpStream::connect(address).expect("the server accepts connections");
            let set = client.set_read_timeout(Some(Duration::from_secs(3)));
            set.expect("the option is known");
            ["/", "/panic", "/"].map(|path| {
                let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
                client.write_all(request.as_bytes()).expect("it is open");
                let mut answer = [0; 1_024];
                let length = client.read(&mut answer).unwrap_or(0);
                let text = String::from_utf8_lossy(&answer[..length]).into_owned();
                text.get(9..12).unwrap_or("none").to_owned()
            })
        });
        client.await.expect("the client does not panic")
    });
    assert_eq!(statuses, ["200", "500", "200"]);
}
