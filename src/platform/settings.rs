//! The settings file that the platform writes for a process.

use crate::callers::QuotaBounds;
use crate::error::Fault;
use crate::gateway::{Bounds, Settings};
use crate::inventory::{Name, Problem};
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that holds the path of the settings file.
const PATH_VARIABLE: &str = "RATTANJUNCTION_BOOT";
/// Where the file lies if the variable is not set.
const DEFAULT_PATH: &str = "/etc/rattanjunction/settings.toml";

/// A whole file, whose values stand in for wrong ones while further errors are looked for.
const EXAMPLE: &str = include_str!("../../examples/front.toml");
/// The longest time that a setting may give, in seconds: a day.
const MAX_SECONDS: f64 = 86_400.0;

#[derive(Deserialize)]
struct File {
    node_name: Name,
    ip: IpAddr,
    zone: Name,
    /// The first and the last port that VMs may use among themselves.
    internal_ports: [u16; 2],
    listen: Listen,
    bounds: FileBounds,
    platform: Platform,
}

#[derive(Deserialize)]
struct Listen {
    front: SocketAddr,
    ready_addr: SocketAddr,
}

#[derive(Deserialize)]
struct FileBounds {
    grace_s: f64,
    drain_ms: u64,
    budget_ratio: f64,
    budget_window_s: f64,
    budget_slack: f64,
    /// Organisations' quotas are there only where this is.
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
struct Platform {
    address: SocketAddr,
    ttl_min_ms: u64,
}

/// The path of the settings file.
pub(crate) fn settings_path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE).map_or_else(|| DEFAULT_PATH.into(), PathBuf::from)
}

/// Reads the settings; fields that are not known are ignored.
///
/// # Errors
///
/// Names the file and the field that is wrong.
pub(crate) fn load_settings(path: &Path) -> Result<Settings, Report<Fault>> {
    let text = std::fs::read_to_string(path)
        .change_context(Fault::Settings)
        .attach_with(|| path.display().to_string())?;
    parse_settings(&text).attach_with(|| path.display().to_string())
}

/// Reads settings from their text.
pub(super) fn parse_settings(text: &str) -> Result<Settings, Report<Fault>> {
    let table: toml::Table = toml::from_str(text).change_context(Fault::Settings)?;
    let (file, mut problems) = read_whole(table);
    problems.extend(file.iter().flat_map(out_of_range));
    let Some(file) = file.filter(|_| problems.is_empty()) else {
        return Err(refuse(problems));
    };
    let bounds = &file.bounds;
    Ok(Settings {
        vm: file.node_name,
        availability_zone: file.zone,
        caller_address: file.listen.front,
        ready_address: file.listen.ready_addr,
        metrics_address: None,
        peer_address: SocketAddr::new(file.ip, file.internal_ports[0]),
        log_address: file.platform.address,
        bounds: Bounds {
            grace: Duration::from_secs_f64(bounds.grace_s),
            drain: Duration::from_millis(bounds.drain_ms),
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

fn refuse(problems: Vec<Problem>) -> Report<Fault> {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    Report::new(Fault::Settings).attach(lines.join("\n  "))
}

/// Deserializes the file and tells everything that is missing or of the wrong shape; where
/// something is, the file holds the example's values instead.
fn read_whole(table: toml::Table) -> (Option<File>, Vec<Problem>) {
    let example: toml::Table = toml::from_str(EXAMPLE).expect("the example is valid");
    let example = toml::Value::Table(example);
    let mut value = toml::Value::Table(table);
    let mut problems = Vec::new();
    loop {
        let error = match serde_path_to_error::deserialize::<_, File>(value.clone()) {
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
        // With the example's value in place of the wrong one, the next error shows.
        let is_new = problems.iter().filter(|it| it.field == path).count() == 1;
        if !is_new || !mend(&mut value, &example, path) {
            return (None, problems);
        }
    }
}

/// Puts the example's value at a path; false if it has none there.
fn mend(value: &mut toml::Value, example: &toml::Value, path: &str) -> bool {
    let (parent, field) = path.rsplit_once('.').unwrap_or(("", path));
    let parents = || parent.split('.').filter(|part| !part.is_empty());
    let sound = parents()
        .chain([field])
        .try_fold(example, |value, part| value.get(part));
    let place = parents().try_fold(value, |value, part| value.get_mut(part));
    match (sound, place.and_then(toml::Value::as_table_mut)) {
        (Some(sound), Some(table)) => {
            table.insert(field.to_owned(), sound.clone());
            true
        }
        _ => false,
    }
}

/// What is of the right shape and yet not allowed.
fn out_of_range(file: &File) -> Vec<Problem> {
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
            let message = format!("is {value}, allowed are seconds up to {MAX_SECONDS}");
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
                format!("is {value}, allowed is 0 or more"),
            ));
        }
    }
    if file.node_name.is_empty() {
        problems.push(Problem::new("node_name", "must not be empty"));
    }
    problems
}
