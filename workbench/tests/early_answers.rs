//! Servers of plain services that send what is no complete and proper answer, in part while the call
//! is still being written.

use futures_util::future::join_all;
use googletest::prelude::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;
use workbench::cluster::{Cluster, PROXY_PORT, Plan, SERVER_PORT, block_on};
use workbench::keyed_calls::{KeyedCall, Ledger};
use workbench::sample_inventory::Shape;

const LIMIT: Duration = Duration::from_secs(30);
/// The length of a long call, how many are in flight together, and how often as many are sent.
const UPLOAD_BYTES: usize = 7_000_000;
const UPLOADS: usize = 4;
const ROUNDS: usize = 25;
/// The time between the part of an answer and the end of its connection goes up to this.
const MAX_PAUSE_MS: u64 = 8;

/// How much of a call a server reads before it answers.
#[derive(Clone, Copy)]
enum Reads {
    /// The beginning; the rest resets the connection when it is closed.
    Head,
    /// All of a short call.
    All,
}

/// Serves calls at an address with such an answer, and closes each connection.
fn serve(address: SocketAddr, answer: &'static str, reads: Reads) {
    let listener = TcpListener::bind(address).expect("the address is free");
    let serve_one = move |mut stream: TcpStream, pause: Duration| {
        let mut received = Vec::new();
        let mut bytes = [0; 1_024];
        loop {
            let length = stream.read(&mut bytes).unwrap_or(0);
            received.extend_from_slice(&bytes[..length]);
            // The body of a call is an object.
            let is_whole = received.ends_with(b"}");
            if length == 0 || is_whole || matches!(reads, Reads::Head) {
                break;
            }
        }
        // The VM may have left.
        let _ = stream.write_all(answer.as_bytes());
        thread::sleep(pause);
    };
    thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming().flatten()) {
            let pause = Duration::from_millis(number % (MAX_PAUSE_MS + 1));
            thread::spawn(move || serve_one(stream, pause));
        }
    });
}

/// One VM, and a service whose only server answers so.
async fn start(answer: &'static str, reads: Reads) -> Cluster {
    let shape = Shape {
        runners: 1,
        models: 1,
        adapters: 0,
        servers: 1,
        ..Shape::small()
    };
    let mut plan = Plan::new(shape, 1);
    plan.settings["max_body_bytes"] = json!(2 * UPLOAD_BYTES);
    let ip = Cluster::pick_ip();
    let at = |port| SocketAddr::new(ip, port);
    serve(at(PROXY_PORT), answer, reads);
    plan.detours = vec![(at(SERVER_PORT), at(PROXY_PORT))];
    let cluster = Cluster::start_at(plan, ip).await;
    cluster
        .wait_for("the inventory is accepted", LIMIT, async || {
            let published = cluster.publish(0, &cluster.inventory, None);
            published.await.is_ok()
        })
        .await;
    cluster
        .wait_for("the VM is ready", LIMIT, async || {
            let health = workbench::http_json::get(cluster.operator_address(0), "/health");
            health.await.is_some_and(|health| health["ready"] == true)
        })
        .await;
    cluster
}

#[googletest::test]
fn a_part_of_an_answer_that_is_reset_during_the_call_does_not_look_complete() {
    block_on(async {
        let cluster = start("HTTP/1.1 200 OK\r\n\r\npart", Reads::Head).await;
        let (address, ledger) = (cluster.caller_address(0), Ledger::default());
        let mut complete = 0;
        for _ in 0..ROUNDS {
            let answers = join_all((0..UPLOADS).map(async |_| {
                let call = KeyedCall::with_text(UPLOAD_BYTES);
                ledger.send(address, &call).await.expect("an answer")
            }));
            for answer in answers.await {
                complete += usize::from(answer.status == 200);
                if answer.status != 200 {
                    expect_that!(answer.ran(), eq("unknown"), "{answer:?}");
                }
            }
        }
        println!("{complete} of {}", ROUNDS * UPLOADS);
        expect_that!(complete, eq(0));
    });
}

#[googletest::test]
fn what_is_no_proper_answer_leaves_the_outcome_unknown() {
    for answer in [
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 101 Switching\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n",
        "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 600 Trouble\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nX Of: it\r\nContent-Length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody",
    ] {
        block_on(async {
            let cluster = start(answer, Reads::All).await;
            let call = KeyedCall::new();
            let sent = Ledger::default();
            let received = sent.send(cluster.caller_address(0), &call).await;
            let received = received.expect("an answer");
            expect_that!(received.status, ge(500), "{answer:?} {received:?}");
            expect_that!(received.status, lt(600), "{answer:?} {received:?}");
            expect_that!(received.ran(), eq("unknown"), "{answer:?} {received:?}");
        });
    }
}
