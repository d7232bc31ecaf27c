//! The settings of one VM, read from a JSON file.

use crate::check;
use crate::client_memory::ClientMemory;
use crate::error::Fault;
use crate::inventory::{Name, Problem};
use crate::socket_limits::SocketLimits;
use error_stack::Report;
use nix::sys::resource::{Resource, getrlimit};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// The bytes in a megabyte.
const BYTES_PER_MB: f64 = 1_000_000.0;
/// The memory of a machine whose memory cannot be read.
const DEFAULT_MEMORY_BYTES: u64 = 256_000_000;
/// The number of file descriptors of a process whose limit cannot be read.
const DEFAULT_MAX_FDS: usize = 1_024;

/// The settings of one VM.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The VM's name in the platform's VM list.
    pub vm: Name,
    /// The availability zone of the VM.
    pub availability_zone: Name,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    /// The address for operators, health checks and metrics.
    pub operator_address: SocketAddr,
    /// The address that other VMs connect to.
    pub peer_address: SocketAddr,
    /// The address of the platform's log service.
    pub log_address: SocketAddr,
    /// The address of the platform's VM list.
    pub vm_list_address: SocketAddr,
    /// How long the platform's log keeps records, in milliseconds.
    #[serde(default = "default_log_retention_ms")]
    pub log_retention_ms: u64,
    /// The maximum number of appends per second for idempotency keys, over all VMs.
    #[serde(default = "default_key_appends_per_s")]
    pub key_appends_per_s: u32,
    /// How long health checks fail before the listeners close, in milliseconds.
    #[serde(default = "default_drain_grace_ms")]
    pub drain_grace_ms: u64,
    /// How long open requests may take to finish once the listeners are closed, in milliseconds.
    #[serde(default = "default_drain_limit_ms")]
    pub drain_limit_ms: u64,
    /// The maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// The memory of the process, in megabytes; that of the machine if absent.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// The share of the memory, beyond what the process needs itself, for what is held for clients.
    #[serde(default = "default_client_memory_share")]
    pub client_memory_share: f64,
    /// How long a connection that waits for its client is kept while others need its memory or place,
    /// in milliseconds.
    #[serde(default = "default_client_min_wait_ms")]
    pub client_min_wait_ms: u64,
    /// The maximum number of file descriptors; the limit of the process if absent.
    #[serde(default)]
    pub max_fds: Option<usize>,
    /// The log level: off, error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log_level: log::LevelFilter,
}

fn default_log_retention_ms() -> u64 {
    3_600_000
}

fn default_key_appends_per_s() -> u32 {
    240
}

fn default_drain_grace_ms() -> u64 {
    2_000
}

fn default_drain_limit_ms() -> u64 {
    120_000
}

fn default_max_body_bytes() -> usize {
    4 * 1024 * 1024
}

fn default_client_memory_share() -> f64 {
    0.5
}

fn default_client_min_wait_ms() -> u64 {
    1_000
}

fn default_log_level() -> log::LevelFilter {
    log::LevelFilter::Info
}

impl Config {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not valid. The report has a line for each problem,
    /// with its field, its line and the allowed values.
    pub fn load(path: &Path) -> Result<Self, Report<Fault>> {
        check::load(path, Self::problems)
    }

    /// Checks the values and returns every problem found.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        if self.vm.is_empty() {
            problems.push(Problem::new("vm", "must not be empty"));
        }
        if self.availability_zone.is_empty() {
            problems.push(Problem::new("availability_zone", "must not be empty"));
        }
        let mut check_range = |field: &str, value: u64, low: u64, high: u64| {
            if !(low..=high).contains(&value) {
                let message = format!("is {value}, must be from {low} to {high}");
                problems.push(Problem::new(field, message));
            }
        };
        check_range(
            "log_retention_ms",
            self.log_retention_ms,
            10_000,
            1_000_000_000_000,
        );
        let key_appends_per_s = u64::from(self.key_appends_per_s);
        check_range("key_appends_per_s", key_appends_per_s, 1, 1_000_000);
        check_range("drain_grace_ms", self.drain_grace_ms, 0, 600_000);
        check_range("drain_limit_ms", self.drain_limit_ms, 0, 3_600_000);
        check_range("max_body_bytes", self.max_body_bytes as u64, 1_024, 1 << 30);
        if let Some(memory_mb) = self.memory_mb {
            check_range("memory_mb", memory_mb, 32, 1 << 30);
        }
        if let Some(max_fds) = self.max_fds {
            check_range("max_fds", max_fds as u64, 64, 1 << 30);
        }
        check_range("client_min_wait_ms", self.client_min_wait_ms, 100, 600_000);
        let share = self.client_memory_share;
        if !(share > 0.0 && share < 1.0) {
            let message = format!("is {share}, must be more than 0 and less than 1");
            problems.push(Problem::new("client_memory_share", message));
        }
        problems
    }

    /// The memory for what is held for clients, in bytes.
    pub(crate) fn client_memory_bytes(&self) -> usize {
        let stated = self.memory_mb.map(|mb| mb as f64 * BYTES_PER_MB);
        let memory_bytes = stated.unwrap_or_else(|| machine_memory_bytes() as f64);
        ClientMemory::bytes_of_process(memory_bytes, self.client_memory_share)
    }

    /// How many sockets the process may have for what.
    pub(crate) fn sockets(&self) -> SocketLimits {
        let max_fds = self.max_fds.unwrap_or_else(|| {
            let limit = getrlimit(Resource::RLIMIT_NOFILE);
            limit.map_or(DEFAULT_MAX_FDS, |(soft, _)| {
                usize::try_from(soft).unwrap_or(usize::MAX)
            })
        });
        SocketLimits::of_descriptors(max_fds)
    }
}

/// The memory of the machine, as far as it can be read.
fn machine_memory_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let total_kib = total.and_then(|total| total.trim().trim_end_matches("kB").trim().parse().ok());
    total_kib.map_or(DEFAULT_MEMORY_BYTES, |kib: u64| kib * 1_024)
}
