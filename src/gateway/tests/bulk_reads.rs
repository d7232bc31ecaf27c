//! Large responses that arrive while the process has much else to do.

use crate::client::Connection;
use crate::http::{Body, read_flowing_body};
use googletest::prelude::*;
use hyper::Request;
use std::cell::Cell;
use std::future::poll_fn;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::task::Poll;
use std::thread;
use std::time::Duration;

/// The size of a large configuration.
const DOCUMENT_BYTES: usize = 1024 * 1024;
/// How long a configuration may take to be in force.
const LIMIT: Duration = Duration::from_millis(2_000);
/// A turn of the runtime of an overloaded VM.
const LONG_TURN: Duration = Duration::from_millis(25);
/// A turn in this test; the turns are counted.
const TURN: Duration = Duration::from_millis(2);
const TIMEOUT: Duration = Duration::from_secs(5);

/// Serves one request with a document.
fn serve_document() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = BufReader::new(stream.try_clone().expect("a clone")).lines();
        while head
            .next()
            .is_some_and(|line| line.is_ok_and(|it| !it.is_empty()))
        {}
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {DOCUMENT_BYTES}\r\n\r\n");
        let mut response = response.into_bytes();
        response.resize(response.len() + DOCUMENT_BYTES, b'x');
        stream.write_all(&response).expect("the client reads");
    });
    address
}

/// Counts the turns of the runtime, each of which takes a while.
async fn take_turns(turns: Rc<Cell<u32>>) {
    loop {
        thread::sleep(TURN);
        turns.set(turns.get() + 1);
        let mut has_yielded = false;
        poll_fn(|context| {
            context.waker().wake_by_ref();
            match std::mem::replace(&mut has_yielded, true) {
                true => Poll::Ready(()),
                false => Poll::Pending,
            }
        })
        .await;
    }
}

#[googletest::test]
fn a_large_configuration_does_not_arrive_late_at_an_overloaded_vm() {
    let address = serve_document();
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    let turns = Rc::new(Cell::new(0));
    runtime.block_on(async {
        let busy = compio::runtime::spawn(take_turns(turns.clone()));
        let connection = Connection::open_bulk(address, TIMEOUT, TIMEOUT).await;
        let mut connection = connection.expect("the server listens");
        let response = connection.send(Request::new(Body::empty())).await;
        let body = response.expect("a response").into_body();
        let received = Cell::new(0);
        let body = read_flowing_body(body, 2 * DOCUMENT_BYTES, TIMEOUT, &received).await;
        expect_that!(body.map_or(0, |body| body.len()), eq(DOCUMENT_BYTES));
        drop(busy);
    });
    let most = (LIMIT.as_millis() / LONG_TURN.as_millis()) as u32;
    expect_that!(turns.get(), le(most));
    println!("{} turns", turns.get());
}
