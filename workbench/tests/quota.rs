//! Quotas of processor time, by which tests stand in for small machines.

use googletest::prelude::*;
use std::process::{Child, Command};
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::CpuQuota;

/// The share of a core that the process has.
const CORES: f64 = 0.05;
const SPAN: Duration = Duration::from_secs(3);

/// A process that is always busy, killed at the end.
struct BusyProcess(Child);

impl BusyProcess {
    fn start() -> Self {
        let mut command = Command::new("sh");
        command.args(["-c", "while :; do :; done"]);
        Self(command.spawn().expect("there is a shell"))
    }

    fn used(&self) -> Duration {
        let path = format!("/proc/{}/schedstat", self.0.id());
        let times = std::fs::read_to_string(path).expect("the process is running");
        let used_ns = times.split_whitespace().next().map(str::parse);
        Duration::from_nanos(used_ns.and_then(Result::ok).expect("a number"))
    }
}

impl Drop for BusyProcess {
    fn drop(&mut self) {
        // A process that has ended cannot be killed.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[googletest::test]
fn a_process_uses_its_whole_quota_and_no_more_while_all_cores_are_busy() {
    block_on(async {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let _others: Vec<_> = (0..cores).map(|_| BusyProcess::start()).collect();
        let limited = BusyProcess::start();
        let _quota = CpuQuota::start(limited.0.id(), CORES);
        let (began, before) = (Instant::now(), limited.used());
        compio::time::sleep(SPAN).await;
        let used = (limited.used() - before).as_secs_f64() / began.elapsed().as_secs_f64();
        println!("{used:.4} of {CORES} cores");
        expect_that!(used, ge(0.9 * CORES));
        expect_that!(used, le(1.1 * CORES));
    });
}
