//! On the platform: most new connections of callers go to one VM.

use googletest::prelude::*;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::{Answer, Caller, CallerRequest, CpuQuota, Site, plain, route};

const VMS: usize = 6;
/// The new connections per second at one VM while they are spread evenly.
const USUAL_RATE_PER_S: f64 = 5.0;
/// The share of a core that a VM has.
const CORES: f64 = 0.05;
/// A share with which a VM cannot serve a hundred times the usual new connections.
const SCARCE_CORES: f64 = 0.03;
const SPAN: Duration = Duration::from_secs(4);
/// How long a caller waits for a VM to read its request.
const READ_LIMIT: Duration = Duration::from_secs(1);
/// How long a caller waits for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// What became of a request: at the VM that it was sent to first, and in the end.
struct Outcome {
    first: Answer,
    last: Answer,
}

impl Outcome {
    /// Whether the first VM read the request, as far as the caller can tell.
    fn is_read(&self) -> bool {
        let is_answered = self.first.status.is_some() && !is_refused(&self.first);
        is_answered || self.first.duration >= READ_LIMIT
    }

    /// Whether the first VM closed the connection without an answer.
    fn is_closed(&self) -> bool {
        self.first.status.is_none() && self.first.duration < READ_LIMIT
    }
}

/// Whether a VM was too busy to serve the connection, and said when the caller may come again.
fn is_refused(answer: &Answer) -> bool {
    answer.status == Some(503) && retry_after(answer).is_some()
}

fn retry_after(answer: &Answer) -> Option<Duration> {
    let seconds = answer.header("retry-after").parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn is_whole(answer: &Answer) -> bool {
    answer.status == Some(200) && answer.is_complete
}

fn request() -> CallerRequest {
    let mut request = CallerRequest::get("/x");
    request.disconnect_after = Some(ANSWER_LIMIT);
    request
}

/// Sends a request on a new connection, and once more to another VM, when it may, if it was closed
/// or refused.
async fn send(first: SocketAddr, other: SocketAddr) -> Outcome {
    let answer = Caller::default().request(first, &request()).await;
    let mut outcome = Outcome {
        last: answer.clone(),
        first: answer,
    };
    if !outcome.is_read() {
        compio::time::sleep(retry_after(&outcome.first).unwrap_or_default()).await;
        outcome.last = Caller::default().request(other, &request()).await;
    }
    outcome
}

/// Sends requests at a rate to the VMs in turn, or all to the first one; retries go to the others.
async fn send_at(site: &Site, rate_per_s: f64, is_steered: bool) -> Vec<Outcome> {
    let began = Instant::now();
    let mut sent = Vec::new();
    for index in 0..(SPAN.as_secs_f64() * rate_per_s) as usize {
        let due = Duration::from_secs_f64(index as f64 / rate_per_s);
        compio::time::sleep_until(began + due).await;
        let first = if is_steered { 0 } else { index % VMS };
        let other = (first + 1 + index % (VMS - 1)) % VMS;
        let outcome = send(site.front(first), site.front(other));
        sent.push(compio::runtime::spawn(outcome));
    }
    let mut outcomes = Vec::new();
    for outcome in sent {
        outcomes.push(outcome.await.expect("sending a request does not panic"));
    }
    outcomes
}

/// Steers all new connections to one VM, each with one request, and opens more of them, while each
/// VM has a share of a core.
fn steer(factor: f64, cores: f64) {
    block_on(async {
        let mut site = Site::start(vec![("books", vec![]); 6]).await;
        site.configure(
            json!([route("/", "safe", "books")]),
            json!([plain("books")]),
        );
        site.start_vms(VMS);
        site.wait_ready().await;
        let quotas = site.vms.iter().map(|vm| CpuQuota::start(vm.id(), cores));
        let quotas: Vec<_> = quotas.collect();
        let rate_per_s = USUAL_RATE_PER_S * VMS as f64;
        let before = send_at(&site, rate_per_s, false).await;
        let rate_per_s = USUAL_RATE_PER_S * factor;
        let steered = send_at(&site, rate_per_s, true).await;
        drop(quotas);
        let share = |count: usize, of: usize| count as f64 / of.max(1) as f64;
        let usual = before.iter().filter(|it| is_whole(&it.first)).count();
        let usual = share(usual, before.len());
        let read = steered.iter().filter(|it| it.is_read());
        let whole = read.clone().filter(|it| is_whole(&it.first)).count();
        let at_first = share(whole, read.count());
        let served = steered.iter().filter(|it| is_whole(&it.last)).count();
        let served = share(served, steered.len());
        let refused = steered.iter().filter(|it| is_refused(&it.first)).count();
        let closed = steered.iter().filter(|it| it.is_closed()).count();
        println!(
            "{factor}: {usual:.3} before; of {} steered, {whole} answered by the first VM, \
             {at_first:.3} of those that it served, {refused} refused, {closed} closed, {served:.3} \
             in the end",
            steered.len()
        );
        expect_that!(at_first, ge(0.9 * usual));
        expect_that!(served, ge(0.9 * usual));
        expect_that!(site.is_ready(0).await, eq(true));
    });
}

#[googletest::test]
fn a_vm_with_five_times_the_new_connections_serves_them() {
    steer(5.0, CORES);
}

#[googletest::test]
fn a_vm_with_twenty_times_the_new_connections_serves_them() {
    steer(20.0, CORES);
}

#[googletest::test]
fn a_vm_with_a_hundred_times_the_new_connections_serves_what_it_reads() {
    steer(100.0, SCARCE_CORES);
}
