//! What a process uses, read from the system's process table.

use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// The interval at which descriptors are counted.
const DESCRIPTOR_POLL: Duration = Duration::from_millis(20);

/// Clock ticks a second in the process table.
const TICKS_PER_S: u64 = 100;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time.
    pub cpu: Duration,
    /// Resident memory.
    pub rss_kib: u64,
    /// The most resident memory so far.
    pub peak_rss_kib: u64,
}

/// Reads the use of a process; zero for one that has ended.
pub fn of_process(pid: u32) -> Usage {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in parentheses may hold spaces.
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| -> u64 {
        fields
            .get(index)
            .and_then(|field| field.parse().ok())
            .unwrap_or(0)
    };
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let memory_kib = |name: &str| -> u64 {
        let mut lines = status.lines();
        let rest = lines.find_map(|line| line.strip_prefix(name));
        rest.and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok())
            .unwrap_or(0)
    };
    Usage {
        cpu: Duration::from_millis((ticks(11) + ticks(12)) * 1_000 / TICKS_PER_S),
        rss_kib: memory_kib("VmRSS:"),
        peak_rss_kib: memory_kib("VmHWM:"),
    }
}

/// The number of open file descriptors of a process; zero for one that has ended.
fn descriptors_of_process(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Counts a process's open file descriptors until dropped.
#[derive(Debug)]
pub struct DescriptorWatch {
    most: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
    watcher: Option<JoinHandle<()>>,
}

impl DescriptorWatch {
    /// Starts to count those of a process.
    pub fn start(pid: u32) -> Self {
        let (most, is_over) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
        let (highest, ends) = (most.clone(), is_over.clone());
        let watcher = std::thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                highest.fetch_max(descriptors_of_process(pid), Ordering::Relaxed);
                std::thread::sleep(DESCRIPTOR_POLL);
            }
        });
        Self {
            most,
            is_over,
            watcher: Some(watcher),
        }
    }

    /// The most so far.
    pub fn most(&self) -> usize {
        self.most.load(Ordering::Relaxed)
    }
}

impl Drop for DescriptorWatch {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(watcher) = self.watcher.take() {
            // A watcher that panicked has shown its message.
            let _ = watcher.join();
        }
    }
}

/// Reads a VM's metrics and sums the samples whose line begins with `prefix`.
pub async fn metric(operator: SocketAddr, prefix: &str) -> f64 {
    let text = metrics_text(operator).await.unwrap_or_default();
    text.lines()
        .filter(|line| line.starts_with(prefix))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

async fn metrics_text(operator: SocketAddr) -> Option<String> {
    let client = cyper::Client::new().ok()?;
    let response = client
        .get(format!("http://{operator}/metrics"))
        .ok()?
        .send()
        .await
        .ok()?;
    response.text().await.ok()
}

/// Sums a field over journal lines of a kind.
pub fn sum(lines: &[Value], kind: &str, field: &str) -> u64 {
    lines
        .iter()
        .filter(|line| line["kind"] == kind)
        .filter_map(|line| line[field].as_u64())
        .sum()
}
