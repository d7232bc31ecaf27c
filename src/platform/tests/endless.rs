//! Servers and other VMs that answer orders, reports and transfers without end.

use crate::client::Connection;
use crate::gateway::{Order, OrderOutcome, RunnerControl, Weights};
use crate::http::{Body, read_flowing_body};
use crate::platform::orders::PlatformRunners;
use compio::runtime::Runtime;
use googletest::prelude::*;
use hyper::Request;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long a call may take.
const LIMIT: Duration = Duration::from_secs(3);
/// The most that a server may get rid of: what is read, and what the sockets hold.
const MAX_SENT_BYTES: usize = 32 * 1024 * 1024;
const TRANSFER_BYTES: usize = 4 * 1024 * 1024;

/// What a server sends first, and what it repeats.
const ENDLESS: [(&str, &str); 8] = [
    ("HTTP/1.1 200 OK\r\n", "X-Line: a line\r\n"),
    ("HTTP/1.1 200 OK\r\nX-Long: ", "long"),
    ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    ("HTTP/1.1 200 OK\r\n\r\n", "body"),
    (
        "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
        "body",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nbody\r\n",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "0000",
    ),
    (
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
        "long",
    ),
];

/// Answers all requests so, and counts the bytes that are sent.
fn send_without_end(
    (first, repeated): (&'static str, &'static str),
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let sent_bytes = Arc::new(AtomicUsize::new(0));
    let counter = sent_bytes.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4_096]);
            let mut block = first.to_owned();
            while stream.write_all(block.as_bytes()).is_ok() {
                counter.fetch_add(block.len(), Ordering::Relaxed);
                block = repeated.repeat(1_024);
            }
        }
    });
    (address, sent_bytes)
}

/// Plays each endless answer to a call, which is to fail in time.
fn expect_failures(call: impl AsyncFn(SocketAddr) -> bool) {
    for endless in ENDLESS {
        let (address, sent_bytes) = send_without_end(endless);
        let began = Instant::now();
        let runtime = Runtime::new().expect("a runtime");
        let has_failed = runtime.block_on(call(address));
        expect_that!(has_failed, eq(true), "{endless:?}");
        expect_that!(began.elapsed(), lt(LIMIT), "{endless:?}");
        let sent_bytes = sent_bytes.load(Ordering::Relaxed);
        expect_that!(sent_bytes, lt(MAX_SENT_BYTES), "{endless:?}");
    }
}

#[googletest::test]
fn a_report_without_end_is_not_read() {
    expect_failures(async |address| PlatformRunners.report(address, "server").await.is_none());
}

#[googletest::test]
fn an_order_that_is_answered_without_end_has_no_known_outcome() {
    expect_failures(async |address| {
        let weights = Weights {
            model: "m0".into(),
            adapter: None,
        };
        let order = Order {
            server: "server",
            is_load: true,
            weights: &weights,
            expected_orders: None,
            leader: "vm",
            fence: 1,
        };
        PlatformRunners.order(address, &order).await == OrderOutcome::Unanswered
    });
}

#[googletest::test]
fn a_transfer_without_end_fails() {
    expect_failures(async |address| {
        let opened = Connection::open_bulk(address, LIMIT, LIMIT).await;
        let mut connection = opened.expect("the server accepts");
        let request = Request::get("/").body(Body::empty()).expect("a request");
        let sending = compio::time::timeout(LIMIT / 2, connection.send(request)).await;
        let Ok(Ok(response)) = sending else {
            return true;
        };
        let received_bytes = Cell::new(0);
        let body = response.into_body();
        let read = read_flowing_body(body, TRANSFER_BYTES, LIMIT / 2, &received_bytes);
        read.await.is_err()
    });
}
