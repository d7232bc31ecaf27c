//! The settings file that the platform writes for a process.

use crate::error::Fault;
use crate::gateway::{Bounds, Settings};
use crate::inventory::Name;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that holds the path of the settings file.
const PATH_VARIABLE: &str = "RATTANJUNCTION_BOOT";
/// Where the file lies if the variable is not set.
const DEFAULT_PATH: &str = "/etc/rattanjunction/settings.toml";

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

fn parse_settings(text: &str) -> Result<Settings, Report<Fault>> {
    let document = toml::Deserializer::parse(text).change_context(Fault::Settings)?;
    let file: File = serde_path_to_error::deserialize(document)
        .map_err(|error| Report::new(Fault::Settings).attach(error.to_string()))?;
    let duration = |field: &str, seconds: f64| {
        Duration::try_from_secs_f64(seconds)
            .map_err(|error| Report::new(Fault::Settings).attach(format!("{field}: {error}")))
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
            grace: duration("bounds.grace_s", bounds.grace_s)?,
            drain: Duration::from_millis(bounds.drain_ms),
            retry_ratio: bounds.budget_ratio,
            retry_window: duration("bounds.budget_window_s", bounds.budget_window_s)?,
            retry_slack: bounds.budget_slack,
            lease: Duration::from_millis(bounds.lease_ms),
            load_window: duration("bounds.ceiling_window_s", bounds.ceiling_window_s)?,
            min_member_ttl: Duration::from_millis(file.platform.ttl_min_ms),
        },
    })
}
