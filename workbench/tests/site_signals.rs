//! On the platform: signals that come again, in series or while a VM starts.

use futures_util::future::join_all;
use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::json;
use std::cell::Cell;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::process::Process;
use workbench::site::events::{events_text, remaining_events};
use workbench::site::{Caller, CallerRequest, Site, route, runner_service};

/// Events of a whole stream, and the pause after each.
const EVENTS: u64 = 12;
const PAUSE_MS: u64 = 150;
/// The streams that are in flight when a VM is stopped.
const STREAMS: usize = 8;
/// Between two signals to a VM that is stopped.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(250);
/// Bursts of a series of signals, and the signals of each, without a pause between them.
const BURSTS: usize = 40;
const BURST_SIGNALS: usize = 10_000;
/// Between two bursts.
const BURST_INTERVAL: Duration = Duration::from_millis(2);
/// The callers that send requests during a series.
const CALLERS: usize = 8;
/// Signals to a busy VM, and the time between two.
const SPACED_SIGNALS: usize = 4_000;
const SPACED_INTERVAL: Duration = Duration::from_millis(3);
/// The callers that keep that VM busy, and how long they wait for an answer.
const BUSY_CALLERS: usize = 48;
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// How long signals come without a pause, and how long a request may wait meanwhile: callers leave
/// if it has not been read by then.
const FLOOD: Duration = Duration::from_secs(3);
const READ_LIMIT: Duration = Duration::from_secs(1);
/// How long a VM that is stopped may take to end.
const END_LIMIT: Duration = Duration::from_secs(8);
/// How long a VM may take until it listens.
const START_LIMIT: Duration = Duration::from_secs(10);

async fn hang_up_in_series(vm: &Process) {
    for _ in 0..BURSTS {
        for _ in 0..BURST_SIGNALS {
            vm.signal(Signal::SIGHUP);
        }
        compio::time::sleep(BURST_INTERVAL).await;
    }
}

#[googletest::test]
fn further_signals_do_not_cut_the_streams_of_a_vm_that_is_stopped() {
    block_on(async {
        let mut site = Site::start(vec![("llm", vec![("m0", vec![])])]).await;
        site.servers[0].script(|call| remaining_events(call, EVENTS, PAUSE_MS));
        site.configure(
            json!([route("/s/", "streaming", "llm")]),
            json!([runner_service("llm", &[("m0", 0)])]),
        );
        site.start_vms(1);
        site.wait_ready().await;
        let address = site.front(0);
        let answers = join_all((0..STREAMS).map(async |_| {
            let request = CallerRequest::model("/s/x", "m0");
            Caller::default().request(address, &request).await
        }));
        let vm = &site.vms[0];
        let stop = async {
            for signal in [
                Signal::SIGTERM,
                Signal::SIGHUP,
                Signal::SIGTERM,
                Signal::SIGINT,
            ] {
                compio::time::sleep(SIGNAL_INTERVAL).await;
                vm.signal(signal);
            }
        };
        let (answers, ()) = futures_util::join!(answers, stop);
        for answer in answers {
            expect_that!(answer.is_complete, eq(true));
            expect_that!(answer.body, eq(&events_text(1, EVENTS)));
        }
        let began = Instant::now();
        while !site.vms[0].has_ended() {
            assert!(began.elapsed() < END_LIMIT, "the VM did not end");
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        let log = site.log(0);
        let is_stopped = log.iter().any(|line| line["message"] == "stopped");
        expect_that!(is_stopped, eq(true));
    });
}

#[googletest::test]
fn a_series_of_sighups_neither_ends_a_vm_nor_loses_requests() {
    block_on(async {
        let mut site = Site::start_plain(2, 1).await;
        let address = site.front(0);
        let is_over = Cell::new(false);
        let callers = join_all((0..CALLERS).map(async |_| {
            let caller = Caller::default();
            let mut answers = Vec::new();
            while !is_over.get() {
                let request = CallerRequest::get("/x");
                answers.push(caller.request(address, &request).await);
            }
            answers
        }));
        let series = async {
            hang_up_in_series(&site.vms[0]).await;
            is_over.set(true);
        };
        let (answers, ()) = futures_util::join!(callers, series);
        let answers = answers.concat();
        let answered = answers.iter().filter(|it| it.status == Some(200));
        expect_that!(answered.count(), eq(answers.len()));
        expect_that!(site.vms[0].has_ended(), eq(false));
    });
}

/// Guards against a VM that serves nobody while it takes signals out of its queue.
#[googletest::test]
fn a_vm_serves_its_callers_while_sighups_come_without_a_pause() {
    block_on(async {
        let mut site = Site::start_plain(2, 1).await;
        let address = site.front(0);
        let began = Instant::now();
        let flood = site.vms[0].flood(Signal::SIGHUP);
        let callers = join_all((0..CALLERS).map(async |_| {
            let caller = Caller::default();
            let mut waits = Vec::new();
            while began.elapsed() < FLOOD {
                let sent = Instant::now();
                let answer = caller.request(address, &CallerRequest::get("/x")).await;
                waits.push((answer.status, sent.elapsed()));
            }
            waits
        }));
        let waits = callers.await.concat();
        drop(flood);
        expect_that!(waits, each((eq(&Some(200)), lt(&READ_LIMIT))));
        expect_that!(site.vms[0].has_ended(), eq(false));
    });
}

/// Guards against a signal to stop that waits behind others that keep coming.
#[googletest::test]
fn a_vm_stops_while_sighups_come_without_a_pause() {
    block_on(async {
        let mut site = Site::start_plain(1, 1).await;
        let flood = site.vms[0].flood(Signal::SIGHUP);
        compio::time::sleep(SIGNAL_INTERVAL).await;
        site.vms[0].signal(Signal::SIGTERM);
        let sent = Instant::now();
        while !site.vms[0].has_ended() && sent.elapsed() < END_LIMIT {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
        drop(flood);
        expect_that!(site.vms[0].has_ended(), eq(true));
    });
}

#[googletest::test]
fn no_request_of_a_busy_vm_is_forgotten_beside_sighups() {
    block_on(async {
        let mut site = Site::start_plain(4, 1).await;
        let address = site.front(0);
        let vm = nix::unistd::Pid::from_raw(site.vms[0].id() as i32);
        let signals = std::thread::spawn(move || {
            for _ in 0..SPACED_SIGNALS {
                // A VM that has ended takes no signal.
                let _ = nix::sys::signal::kill(vm, Signal::SIGHUP);
                std::thread::sleep(SPACED_INTERVAL);
            }
        });
        let callers = join_all((0..BUSY_CALLERS).map(async |_| {
            let caller = Caller::default();
            let mut unanswered = 0;
            while !signals.is_finished() {
                let mut request = CallerRequest::get("/x");
                request.disconnect_after = Some(ANSWER_LIMIT);
                let answer = caller.request(address, &request).await;
                unanswered += usize::from(answer.status != Some(200));
            }
            unanswered
        }));
        let unanswered: usize = callers.await.into_iter().sum();
        expect_that!(unanswered, eq(0));
        expect_that!(site.vms[0].has_ended(), eq(false));
    });
}

#[googletest::test]
fn sighups_while_a_vm_starts_do_not_end_it() {
    block_on(async {
        let mut site = Site::start_plain(1, 0).await;
        site.start_vms(1);
        let began = Instant::now();
        while TcpStream::connect(site.front(0)).is_err() {
            assert!(began.elapsed() < START_LIMIT, "the VM does not listen");
        }
        hang_up_in_series(&site.vms[0]).await;
        assert!(!site.vms[0].has_ended(), "the VM ended");
        site.wait_ready().await;
    });
}
