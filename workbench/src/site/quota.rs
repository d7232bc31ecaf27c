//! A quota of processor time, kept by stopping a process for a part of each period.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The period in which a process gets its quota, as with the scheduler's bandwidth control.
const PERIOD: Duration = Duration::from_millis(100);
/// How often it is checked what a process has used of its quota.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// More than the files hold that describe what a process used.
const FILE_BYTES: usize = 4_096;

/// Limits the main thread of a process to a share of a core until dropped.
///
/// Time in which the process could run counts as used, also while it is idle. Time in which it
/// waits for a core does not, so that it gets its share on a busy machine as well. What it uses
/// beyond the quota is taken from the next periods.
#[derive(Debug)]
pub struct CpuQuota {
    keeper: Option<(Sender<()>, JoinHandle<()>)>,
}

impl CpuQuota {
    /// Limits the process with this id to `share` of a core.
    ///
    /// # Panics
    ///
    /// Panics if the share is not between 0 and 1.
    pub fn start(process_id: u32, share: f64) -> Self {
        assert!((0.0..=1.0).contains(&share), "a share of a core: {share}");
        let quota = PERIOD.mul_f64(share);
        let (end, ended) = mpsc::channel();
        // A thread of its own, so that a busy test does not delay the signals.
        let keeper = std::thread::spawn(move || {
            // A process that has ended needs no quota.
            let _ = keep_quota(process_id, quota, &ended);
            send_signal(process_id, Signal::SIGCONT);
        });
        Self {
            keeper: Some((end, keeper)),
        }
    }
}

impl Drop for CpuQuota {
    fn drop(&mut self) {
        if let Some((end, keeper)) = self.keeper.take() {
            drop(end);
            // A keeper that panicked has shown its message.
            let _ = keeper.join();
        }
    }
}

/// What the main thread of a process has used of the processor since it began.
#[derive(Clone, Copy, Debug)]
struct Usage {
    running: Duration,
    /// The time for which it waited for a core; updated when it gets one.
    waiting: Duration,
    /// Whether it runs or waits for a core.
    is_runnable: bool,
}

/// The files that show what a process used. They stay open: a thread that opens a file waits while the
/// table of open files of its process grows.
#[derive(Debug)]
struct UsageFiles {
    schedule: File,
    state: File,
}

impl UsageFiles {
    /// Opens the files of a process; `None` if it has ended.
    fn open(process_id: u32) -> Option<Self> {
        let open = |name| File::open(format!("/proc/{process_id}/{name}")).ok();
        Some(Self {
            schedule: open("schedstat")?,
            state: open("stat")?,
        })
    }

    /// Reads the usage; `None` if the process has ended.
    fn read(&self) -> Option<Usage> {
        let schedule = read_start(&self.schedule).ok()?;
        let mut times = schedule.split_whitespace().map(str::parse);
        let mut time = || Some(Duration::from_nanos(times.next()?.ok()?));
        let (running, waiting) = (time()?, time()?);
        // The name of the program, in parentheses, may contain spaces.
        let state = read_start(&self.state).ok()?;
        let state = state.rsplit(") ").next()?.chars().next()?;
        (state != 'Z').then_some(Usage {
            running,
            waiting,
            is_runnable: state == 'R',
        })
    }
}

/// Reads what a short file holds now.
fn read_start(file: &File) -> io::Result<String> {
    let mut bytes = vec![0; FILE_BYTES];
    let length = file.read_at(&mut bytes, 0)?;
    bytes.truncate(length);
    String::from_utf8(bytes).map_err(io::Error::other)
}

/// Lets a process use `quota` in each period until `ended` is disconnected or the process ends.
fn keep_quota(process_id: u32, quota: Duration, ended: &Receiver<()>) -> Option<()> {
    let files = UsageFiles::open(process_id)?;
    let mut debt = Duration::ZERO;
    let mut end_of_period = Instant::now();
    loop {
        let began = Instant::now();
        end_of_period = began.max(end_of_period + PERIOD);
        if debt < quota {
            let before = files.read()?;
            let mut used = Duration::ZERO;
            let mut last = before;
            send_signal(process_id, Signal::SIGCONT);
            while debt + used < quota {
                wait(ended, CHECK_INTERVAL)?;
                let now = files.read()?;
                used = if now.is_runnable {
                    used + (now.running - last.running)
                } else {
                    began.elapsed().saturating_sub(now.waiting - before.waiting)
                };
                last = now;
            }
            send_signal(process_id, Signal::SIGSTOP);
            let could_run = began.elapsed();
            wait_until(ended, end_of_period)?;
            // Only now the times of a process that was running are complete.
            let after = files.read()?;
            let used = could_run
                .saturating_sub(after.waiting - before.waiting)
                .max(after.running - before.running);
            debt = (debt + used).saturating_sub(quota);
        } else {
            wait_until(ended, end_of_period)?;
            debt -= quota;
        }
    }
}

/// Waits for `time`; returns `None` at once when `ended` is disconnected.
fn wait(ended: &Receiver<()>, time: Duration) -> Option<()> {
    match ended.recv_timeout(time) {
        Err(RecvTimeoutError::Timeout) => Some(()),
        Ok(()) | Err(RecvTimeoutError::Disconnected) => None,
    }
}

fn wait_until(ended: &Receiver<()>, at: Instant) -> Option<()> {
    wait(ended, at.saturating_duration_since(Instant::now()))
}

fn send_signal(process_id: u32, signal: Signal) {
    // A process that has ended takes no signal.
    let _ = kill(Pid::from_raw(process_id as i32), signal);
}
