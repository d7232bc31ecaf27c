//! The users' platform: its names, formats and calls, and nothing that decides.
//!
//! Each file translates one part of what the platform speaks into the types of
//! [`crate::gateway`].

mod configuration;
mod directory;
mod entries;
mod object;
mod orders;
mod requests;
mod settings;
mod store;
#[cfg(test)]
mod tests;

pub(crate) use orders::PlatformRunners;
pub(crate) use requests::PlatformProtocol;
pub(crate) use settings::{load_settings, settings_path};
pub(crate) use store::PlatformStore;

/// Where a VM tells whether it takes new connections.
pub(crate) const READY_PATH: &str = "/-/readiness";
