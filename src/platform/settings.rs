//! The settings file that the platform writes for each process.

use crate::callers::QuotaBounds;
use crate::client_memory::ClientMemory;
use crate::error::Fault;
use crate::gateway::{Bounds, Settings};
use crate::inventory::{Name, Problem};
use crate::socket_limits::SocketLimits;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that holds the path of the settings file.
const PATH_VARIABLE: &str = "RATTANJUNCTION_BOOT";
/// The path of the settings file if the variable is not set.
const DEFAULT_PATH: &str = "/etc/rattanjunction/settings.toml";

/// A valid settings file; its values replace invalid ones so that further errors can be found.
const EXAMPLE: &str = include_str!("../../examples/front.toml");
/// The bytes in a megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// The bytes in a megabyte.
const BYTES_PER_MB: f64 = 1_000_000.0;
/// The largest value of a setting in seconds: one day.
const MAX_SECONDS: f64 = 86_400.0;
/// The memory if the settings do not state it, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// The number of file descriptors if the settings do not state it.
const DEFAULT_MAX_FDS: usize = 4_096;
/// The share of the memory, beyond what the process needs itself, for what is held for callers if the settings do not state it.
const DEFAULT_CLIENT_MEMORY_SHARE: f64 = 0.5;
/// How long a connection that waits for its caller is kept while others need its memory or place, if
/// the settings do not state it.
const DEFAULT_CLIENT_MIN_WAIT_MS: u64 = 1_000;

#[derive(Deserialize)]
struct SettingsFile {
    node_name: Name,
    ip: IpAddr,
    zone: Name,
    /// The first and the last port that VMs may use among themselves.
    internal_ports: [u16; 2],
    /// How often runners write their entries.
    heartbeat_ms: Option<u64>,
    listen: Listen,
    #[serde(default)]
    limits: FileLimits,
    bounds: FileBounds,
    platform: PlatformSettings,
}

#[derive(Deserialize)]
struct Listen {
    front: SocketAddr,
    ready_addr: SocketAddr,
}

#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
    /// The share of the processor that the process may use.
    cpu_share: f64,
    /// The speed of the processor, relative to the usual one.
    cores: f64,
    /// The memory beyond which the process is killed, in megabytes.
    memory_mb: f64,
    /// The bandwidth of the VM's link, in Mbit/s; not limited if it is missing.
    link_mbps: Option<f64>,
    /// The number of file descriptors that the process may have.
    max_fds: usize,
    /// The share of the memory for what is held for callers.
    client_memory_share: f64,
    /// How long a connection that waits for its caller is kept while others need its memory or place.
    client_min_wait_ms: u64,
}

impl Default for FileLimits {
    fn default() -> Self {
        Self {
            cpu_share: 1.0,
            cores: 1.0,
            memory_mb: DEFAULT_MEMORY_MB,
            link_mbps: None,
            max_fds: DEFAULT_MAX_FDS,
            client_memory_share: DEFAULT_CLIENT_MEMORY_SHARE,
            client_min_wait_ms: DEFAULT_CLIENT_MIN_WAIT_MS,
        }
    }
}

#[derive(Deserialize)]
struct FileBounds {
    grace_s: f64,
    drain_ms: u64,
    config_apply_ms: u64,
    budget_ratio: f64,
    budget_window_s: f64,
    budget_slack: f64,
    /// Present wherever organisations have quotas.
    quota_window_s: Option<f64>,
    #[serde(default)]
    quota_overage: f64,
    #[serde(default)]
    quota_slack: f64,
    /// Whether runners check the fence of an order.
    #[serde(default)]
    fencing_required: bool,
    lease_ms: u64,
    ceiling_window_s: f64,
}

#[derive(Deserialize)]
struct PlatformSettings {
    address: SocketAddr,
    ttl_min_ms: u64,
}

/// Returns the path of the settings file.
pub(crate) fn settings_path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE).map_or_else(|| DEFAULT_PATH.into(), PathBuf::from)
}

/// Reads the settings file; unknown fields are ignored.
///
/// # Errors
///
/// Fails if the file cannot be read or has invalid fields; the report names the file and the
/// fields.
pub(crate) fn load_settings(path: &Path) -> Result<Settings, Report<Fault>> {
    let text = std::fs::read_to_string(path)
        .change_context(Fault::Settings)
        .attach_with(|| path.display().to_string())?;
    parse_settings(&text).attach_with(|| path.display().to_string())
}

/// Parses the text of a settings file.
pub(super) fn parse_settings(text: &str) -> Result<Settings, Report<Fault>> {
    let table: toml::Table = toml::from_str(text).change_context(Fault::Settings)?;
    let (file, mut problems) = deserialize_lenient(table);
    problems.extend(file.iter().flat_map(invalid_values));
    let Some(file) = file.filter(|_| problems.is_empty()) else {
        return Err(problems_report(problems));
    };
    let bounds = &file.bounds;
    let limits = &file.limits;
    let memory_bytes = limits.memory_mb * BYTES_PER_MB;
    Ok(Settings {
        vm: file.node_name,
        availability_zone: file.zone,
        caller_address: file.listen.front,
        ready_address: file.listen.ready_addr,
        metrics_address: None,
        peer_address: SocketAddr::new(file.ip, file.internal_ports[0]),
        log_address: file.platform.address,
        cpu_cores: file.limits.cpu_share * file.limits.cores,
        report_interval: file.heartbeat_ms.map(Duration::from_millis),
        sockets: SocketLimits::of_descriptors(limits.max_fds),
        client_memory_bytes: ClientMemory::bytes_of_process(
            memory_bytes,
            limits.client_memory_share,
        ),
        client_min_wait: Duration::from_millis(limits.client_min_wait_ms),
        link_bytes_per_s: file.limits.link_mbps.map(|mbps| mbps * BYTES_PER_MBIT),
        bounds: Bounds {
            grace: Duration::from_secs_f64(bounds.grace_s),
            drain: Duration::from_millis(bounds.drain_ms),
            configuration_delay: Duration::from_millis(bounds.config_apply_ms),
            retry_ratio: bounds.budget_ratio,
            retry_window: Duration::from_secs_f64(bounds.budget_window_s),
            retry_slack: bounds.budget_slack,
            quota: quota_bounds(bounds),
            is_fenced: bounds.fencing_required,
            lease: Duration::from_millis(bounds.lease_ms),
            load_window: Duration::from_secs_f64(bounds.ceiling_window_s),
            min_member_ttl: Duration::from_millis(file.platform.ttl_min_ms),
        },
    })
}

fn quota_bounds(bounds: &FileBounds) -> QuotaBounds {
    let default = QuotaBounds::default();
    let window = bounds.quota_window_s.map(Duration::from_secs_f64);
    QuotaBounds {
        window: window.unwrap_or(default.window),
        overage: bounds.quota_overage,
        slack: bounds.quota_slack,
    }
}

fn problems_report(problems: Vec<Problem>) -> Report<Fault> {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    Report::new(Fault::Settings).attach(lines.join("\n  "))
}

/// Deserializes the file and collects the fields that are missing or have the wrong type; the
/// returned file has the example's values for them.
fn deserialize_lenient(table: toml::Table) -> (Option<SettingsFile>, Vec<Problem>) {
    let example: toml::Table = toml::from_str(EXAMPLE).expect("the example is valid");
    let example = toml::Value::Table(example);
    let mut value = toml::Value::Table(table);
    let mut problems = Vec::new();
    loop {
        let error = match serde_path_to_error::deserialize::<_, SettingsFile>(value.clone()) {
            Ok(file) => return (Some(file), problems),
            Err(error) => error,
        };
        let message = error.inner().to_string();
        let message = message.lines().next().unwrap_or_default();
        let mut path = error.path().to_string();
        if message.starts_with("missing field") {
            let field = message.split('`').nth(1).unwrap_or_default();
            path = format!("{path}.{field}");
        }
        let path = path.trim_start_matches('.');
        problems.push(Problem::new(path, message));
        // With the invalid value replaced by the example's, the next attempt finds the next error.
        let is_new = problems.iter().filter(|it| it.field == path).count() == 1;
        if !is_new || !substitute_example(&mut value, &example, path) {
            return (None, problems);
        }
    }
}

/// Replaces the value at a path by the example's; returns whether it could.
fn substitute_example(value: &mut toml::Value, example: &toml::Value, path: &str) -> bool {
    let (parent, field) = path.rsplit_once('.').unwrap_or(("", path));
    let parents = || parent.split('.').filter(|part| !part.is_empty());
    let substitute = parents()
        .chain([field])
        .try_fold(example, |value, part| value.get(part));
    let target = parents().try_fold(value, |value, part| value.get_mut(part));
    match (substitute, target.and_then(toml::Value::as_table_mut)) {
        (Some(substitute), Some(table)) => {
            table.insert(field.to_owned(), substitute.clone());
            true
        }
        _ => false,
    }
}

/// Finds the fields that have the right type but a value that is not allowed.
fn invalid_values(file: &SettingsFile) -> Vec<Problem> {
    let mut problems = Vec::new();
    let bounds = &file.bounds;
    let seconds = [
        ("bounds.grace_s", bounds.grace_s),
        ("bounds.budget_window_s", bounds.budget_window_s),
        ("bounds.ceiling_window_s", bounds.ceiling_window_s),
    ];
    let window = bounds.quota_window_s;
    let windows = window.map(|value| ("bounds.quota_window_s", value));
    for (field, value) in seconds.into_iter().chain(windows) {
        if !(value > 0.0 && value <= MAX_SECONDS) {
            let message =
                format!("is {value}, must be more than 0 and at most {MAX_SECONDS} seconds");
            problems.push(Problem::new(field, message));
        }
    }
    let amounts = [
        ("bounds.budget_ratio", bounds.budget_ratio),
        ("bounds.budget_slack", bounds.budget_slack),
        ("bounds.quota_overage", bounds.quota_overage),
        ("bounds.quota_slack", bounds.quota_slack),
    ];
    for (field, value) in amounts {
        if !(value >= 0.0 && value.is_finite()) {
            problems.push(Problem::new(
                field,
                format!("is {value}, must be 0 or more"),
            ));
        }
    }
    let limits = [
        ("limits.cpu_share", file.limits.cpu_share),
        ("limits.cores", file.limits.cores),
        ("limits.memory_mb", file.limits.memory_mb),
    ];
    let link = file.limits.link_mbps.map(|mbps| ("limits.link_mbps", mbps));
    for (field, value) in limits.into_iter().chain(link) {
        if !(value > 0.0 && value.is_finite()) {
            let message = format!("is {value}, must be more than 0");
            problems.push(Problem::new(field, message));
        }
    }
    let share = file.limits.client_memory_share;
    if !(share > 0.0 && share < 1.0) {
        let message = format!("is {share}, must be more than 0 and less than 1");
        problems.push(Problem::new("limits.client_memory_share", message));
    }
    let [first_port, last_port] = file.internal_ports;
    if last_port <= first_port {
        let message = format!("are {first_port} to {last_port}, must be two ports or more");
        problems.push(Problem::new("internal_ports", message));
    }
    if file.heartbeat_ms == Some(0) {
        problems.push(Problem::new("heartbeat_ms", "is 0, must be more than 0"));
    }
    if file.node_name.is_empty() {
        problems.push(Problem::new("node_name", "must not be empty"));
    }
    problems
}
