//! Processes that the workbench starts, and the programs that they run.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// A process started by the workbench, killed at the end.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    pub(crate) fn start(mut command: Command, output: &Path) -> Self {
        let file = File::options()
            .append(true)
            .create(true)
            .open(output)
            .expect("the site's folder takes files");
        let child = command
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("a file can be shared"))
            .stderr(file)
            .spawn()
            .unwrap_or_else(|error| panic!("{command:?}: {error}"));
        Self { child }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: nix::sys::signal::Signal) {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        // A process that has ended takes no signal.
        let _ = nix::sys::signal::kill(pid, signal);
    }

    /// Sends a signal again and again without a pause, until the result is dropped.
    pub fn flood(&self, signal: nix::sys::signal::Signal) -> SignalFlood {
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        let is_over = Arc::new(AtomicBool::new(false));
        let ends = is_over.clone();
        let sender = std::thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                // A process that has ended takes no signal.
                let _ = nix::sys::signal::kill(pid, signal);
            }
        });
        SignalFlood {
            is_over,
            sender: Some(sender),
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // A process that has ended cannot be killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Describes each thread for a message: its name, state, function of the kernel in which it
    /// waits, and processor time.
    pub(crate) fn describe_threads(&self) -> String {
        let tasks = PathBuf::from(format!("/proc/{}/task", self.child.id()));
        let Ok(threads) = std::fs::read_dir(&tasks) else {
            return "ended".to_owned();
        };
        let describe = |thread: PathBuf| {
            let read = |file| std::fs::read_to_string(thread.join(file)).unwrap_or_default();
            let status = read("status");
            let state = status.lines().find_map(|line| line.strip_prefix("State:"));
            let times = read("schedstat");
            let running_ns = times.split_whitespace().next().unwrap_or_default();
            format!(
                "{} {} in {}, ran {running_ns} ns",
                read("comm").trim(),
                state.unwrap_or_default().trim(),
                read("wchan"),
            )
        };
        let threads = threads.flatten().map(|thread| describe(thread.path()));
        threads.collect::<Vec<_>>().join("; ")
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal(nix::sys::signal::Signal::SIGCONT);
        self.kill();
    }
}

/// Signals that a thread sends to a process without a pause until this is dropped.
#[derive(Debug)]
pub struct SignalFlood {
    is_over: Arc<AtomicBool>,
    sender: Option<JoinHandle<()>>,
}

impl Drop for SignalFlood {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(sender) = self.sender.take() {
            // A sender that panicked has shown its message.
            let _ = sender.join();
        }
    }
}

/// The folder of this build's programs.
fn build_folder() -> PathBuf {
    let own = std::env::current_exe().expect("this program has a path");
    let folder = own.parent().expect("a program lies in a folder");
    // Tests lie one folder below the programs.
    if folder.ends_with("deps") {
        folder.parent().expect("deps lies in a folder").to_owned()
    } else {
        folder.to_owned()
    }
}

/// The workbench's own program of this build.
pub(crate) fn workbench_binary() -> PathBuf {
    build_folder().join("workbench")
}

/// The product's program of this build.
pub fn product_binary() -> PathBuf {
    build_folder().join("rattanjunction")
}
