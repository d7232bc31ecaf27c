//! A quota of processor time, kept by stopping a process for a part of each period.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The period in which a process gets its quota, as with the scheduler's bandwidth control.
const PERIOD: Duration = Duration::from_millis(100);

/// Limits a process to a share of a core until dropped.
#[derive(Debug)]
pub struct CpuQuota {
    is_over: Rc<Cell<bool>>,
}

impl CpuQuota {
    /// Limits the process with this id to `share` of a core.
    pub fn start(process_id: u32, share: f64) -> Self {
        let is_over = Rc::new(Cell::new(false));
        let quota = Self {
            is_over: is_over.clone(),
        };
        compio::runtime::spawn(async move {
            let process = Pid::from_raw(process_id as i32);
            while !is_over.get() {
                // A process that has ended takes no signal.
                let _ = kill(process, Signal::SIGSTOP);
                compio::time::sleep(PERIOD.mul_f64(1.0 - share)).await;
                let _ = kill(process, Signal::SIGCONT);
                compio::time::sleep(PERIOD.mul_f64(share)).await;
            }
        })
        .detach();
        quota
    }
}

impl Drop for CpuQuota {
    fn drop(&mut self) {
        self.is_over.set(true);
    }
}
