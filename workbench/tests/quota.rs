//! Quotas of processor time, by which tests stand in for small machines.

use googletest::prelude::*;
use std::fs::File;
use std::os::fd::AsRawFd;
use std::process::{Child, Command};
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::CpuQuota;

/// The share of a core that the process has.
const CORES: f64 = 0.05;
const SPAN: Duration = Duration::from_secs(3);
/// What the process may use in each period of its quota.
const QUOTA: Duration = Duration::from_millis(5);
/// Shorter than the pause of the process between two periods, and longer than its use of the quota.
const HALF_PERIOD: Duration = Duration::from_millis(50);
/// The numbers of open files at which the table of a process's files grows.
const FULL_TABLES: [i32; 5] = [256, 512, 1_024, 2_048, 4_096];

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

    /// Waits until the process runs after a pause, and returns what it had used before.
    async fn wait_until_resumed(&self) -> Duration {
        let (mut used, mut since) = (self.used(), Instant::now());
        loop {
            compio::time::sleep(Duration::from_millis(1)).await;
            let now = self.used();
            if now > used {
                if since.elapsed() >= HALF_PERIOD {
                    return used;
                }
                (used, since) = (now, Instant::now());
            }
        }
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

/// Guards against a limiter that stops its process late while it waits to open a file.
#[googletest::test]
fn a_process_keeps_its_quota_while_the_table_of_open_files_grows() {
    block_on(async {
        let limited = BusyProcess::start();
        let _quota = CpuQuota::start(limited.0.id(), CORES);
        let file = File::open("/proc/self/stat").expect("it can be read");
        let open = || file.try_clone().expect("more files can be opened");
        let mut files = Vec::new();
        let mut used = Duration::ZERO;
        for full in FULL_TABLES {
            // The other threads may need some.
            while files
                .last()
                .is_none_or(|it: &File| it.as_raw_fd() < full - 3)
            {
                files.push(open());
            }
            let before = limited.wait_until_resumed().await;
            files.extend((0..4).map(|_| open()));
            compio::time::sleep(HALF_PERIOD).await;
            used += limited.used() - before;
        }
        println!("{used:?} in {} periods", FULL_TABLES.len());
        expect_that!(used, le((QUOTA * FULL_TABLES.len() as u32).mul_f64(1.5)));
    });
}
