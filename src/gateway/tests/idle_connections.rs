//! Connections whose idle timeout is over while a request lies in their sockets.

use crate::http::{AcceptLimits, Body, listen, serve_within};
use crate::idle_timer::ClientTimeouts;
use crate::shutdown::Shutdown;
use futures_channel::oneshot;
use hyper::Response;
use hyper::http::request::Parts;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The number of connections.
const CONNECTIONS: usize = 40;
/// How long they may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a head may take.
const HEAD_TIMEOUT: Duration = Duration::from_millis(10_000);
/// How long a client waits for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// Starts a server on the current runtime.
async fn start(timeouts: &ClientTimeouts, shutdown: &Rc<Shutdown>) -> SocketAddr {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let listener = listen(any_port).await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let limits = AcceptLimits {
        timeouts: timeouts.clone(),
        max_wait: Duration::MAX,
        ..AcceptLimits::default()
    };
    let handler = async |_| Response::new(Body::full("all of it"));
    let refuse = |_: &Parts, _| Response::new(Body::empty());
    let serving = serve_within(limits, listener, shutdown.clone(), handler, refuse);
    compio::runtime::spawn(serving).detach();
    address
}

fn send(client: &mut TcpStream) {
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    client.write_all(request).expect("the connection is open");
}

/// Whether a whole answer arrives.
fn is_answered(client: &mut TcpStream) -> bool {
    let mut answer = Vec::new();
    let mut bytes = [0; 1_024];
    while !answer.ends_with(b"all of it") {
        match client.read(&mut bytes) {
            Ok(length) if length > 0 => answer.extend_from_slice(&bytes[..length]),
            _ => return false,
        }
    }
    true
}

/// Opens connections and uses each once.
fn connect(address: SocketAddr) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut client = TcpStream::connect(address).expect("the server accepts connections");
        let set = client.set_read_timeout(Some(ANSWER_LIMIT));
        set.expect("the option is known");
        send(&mut client);
        assert!(is_answered(&mut client));
        clients.push(client);
    }
    clients
}

/// Blocks the runtime for `length` from `at`.
fn block(at: Instant, length: Duration) {
    compio::runtime::spawn(async move {
        compio::time::sleep_until(at).await;
        std::thread::sleep(length);
    })
    .detach();
}

/// Sends a request on each idle connection while the runtime, which has found that nothing is to be
/// read, stands still beyond the idle timeout; returns how many are answered. The timeout changes to
/// each of `changes` meanwhile.
fn answered_after_pause(changes: &[Duration]) -> usize {
    let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(async {
        let timeouts = ClientTimeouts::new(IDLE_TIMEOUT, HEAD_TIMEOUT);
        let address = start(&timeouts, &Rc::default()).await;
        let (used, all_used) = oneshot::channel();
        let (done, answered) = oneshot::channel();
        let client = std::thread::spawn(move || {
            let mut clients = connect(address);
            let used_at = Instant::now();
            used.send(used_at).expect("the test waits");
            std::thread::sleep(IDLE_TIMEOUT + Duration::from_millis(200));
            clients.iter_mut().for_each(send);
            let answers = clients.iter_mut().map(is_answered);
            let count = answers.filter(|is_answered| *is_answered).count();
            done.send(count).expect("the test waits");
        });
        let used_at = all_used.await.expect("the client runs");
        for change in changes {
            timeouts.set(*change, HEAD_TIMEOUT);
        }
        // The second one begins with the timers of the connections, and goes before them.
        block(
            used_at + Duration::from_millis(200),
            IDLE_TIMEOUT - Duration::from_millis(100),
        );
        block(
            used_at + Duration::from_millis(300),
            Duration::from_millis(300),
        );
        let count = answered.await.expect("the client runs");
        client.join().expect("the client does not panic");
        count
    })
}

#[test]
fn requests_that_arrive_while_idle_timeouts_are_found_due_are_answered() {
    assert_eq!(answered_after_pause(&[]), CONNECTIONS);
}

#[test]
fn requests_that_arrive_beside_changes_of_the_idle_timeout_are_answered() {
    let ms = Duration::from_millis;
    for changes in [
        vec![ms(1)],
        vec![ms(1), IDLE_TIMEOUT],
        vec![ms(5_000), ms(100)],
    ] {
        assert_eq!(answered_after_pause(&changes), CONNECTIONS, "{changes:?}");
    }
}
