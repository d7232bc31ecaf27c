//! A quota of processor time, kept by stopping a process for a part of each period.

use nix::sched::{CpuSet, sched_getaffinity, sched_setaffinity};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The period in which a process gets its quota, as with the scheduler's bandwidth control.
const PERIOD: Duration = Duration::from_millis(100);
/// How often it is checked what a process has used of its quota.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Limits the main thread of a process to a share of a core until dropped.
///
/// In each period it may run for as long as its quota lasts. Idle time counts towards that, time in
/// which it waits for a core does not, so that it gets its share on a busy machine as well. What it
/// runs beyond the quota is taken from the next periods.
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
            let shared_core = SharedCore::claim(process_id);
            // A process that has ended needs no quota.
            let _ = keep_quota(process_id, quota, &ended);
            drop(shared_core);
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

/// Keeps the main thread of a process and the thread that limits it on one core, until dropped.
///
/// On cores of their own the process would run on while the other thread waits for a busy core.
#[derive(Debug)]
struct SharedCore {
    process_id: u32,
    usual_cores: CpuSet,
}

impl SharedCore {
    /// Moves a process and the calling thread to a core; `None` if the process has ended.
    fn claim(process_id: u32) -> Option<Self> {
        static CLAIMED: AtomicUsize = AtomicUsize::new(0);
        let usual_cores = sched_getaffinity(pid(process_id)).ok()?;
        let cores = (0..CpuSet::count()).filter(|core| usual_cores.is_set(*core) == Ok(true));
        let cores: Vec<_> = cores.collect();
        // Other test processes begin with other cores.
        let first = std::process::id() as usize;
        let core = cores[(first + CLAIMED.fetch_add(1, Ordering::Relaxed)) % cores.len()];
        let mut shared = CpuSet::new();
        shared.set(core).ok()?;
        sched_setaffinity(pid(process_id), &shared).ok()?;
        let calling_thread = Pid::from_raw(0);
        sched_setaffinity(calling_thread, &shared).expect("the core is allowed to the process");
        Some(Self {
            process_id,
            usual_cores,
        })
    }
}

impl Drop for SharedCore {
    fn drop(&mut self) {
        // A process that has ended needs no core.
        let _ = sched_setaffinity(pid(self.process_id), &self.usual_cores);
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

/// The files that tell what a process has used.
///
/// They stay open: while the table of this process's files grows, no thread can open another one.
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

/// Reads a file of one short line.
fn read_start(file: &File) -> io::Result<String> {
    let mut line = [0; 1_024];
    let length = file.read_at(&mut line, 0)?;
    Ok(String::from_utf8_lossy(&line[..length]).into_owned())
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
            wait_until(ended, end_of_period)?;
            // Only now the times of a process that was running are complete.
            let after = files.read()?;
            debt = (debt + (after.running - before.running)).saturating_sub(quota);
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
    let _ = kill(pid(process_id), signal);
}

fn pid(process_id: u32) -> Pid {
    Pid::from_raw(process_id as i32)
}
