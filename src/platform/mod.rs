//! The adapter to the users' platform: its names, formats and calls.
//!
//! Each file translates one part of the platform's interfaces into the types of
//! [`crate::gateway`], which makes all decisions.

mod configuration;
mod directory;
mod entries;
mod object;
mod orders;
mod recent_records;
mod requests;
mod settings;
mod store;
mod stored_cause;
#[cfg(test)]
mod tests;
mod unreadable_records;

pub(crate) use orders::PlatformRunners;
pub(crate) use requests::PlatformProtocol;
pub(crate) use settings::{load_settings, settings_path};
pub(crate) use store::PlatformStore;

/// The path at which a VM reports whether it accepts new connections.
pub(crate) const READY_PATH: &str = "/-/readiness";
