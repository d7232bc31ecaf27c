//! Callers with their priorities and limits.

use super::Name;
use serde::{Deserialize, Serialize};

/// The priority of a caller's requests.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Requests that someone waits for, such as a clearance desk or a loading bay.
    Urgent,
    /// Ordinary requests.
    #[default]
    Normal,
    /// Requests that use the capacity left by the other priorities.
    Batch,
}

impl Priority {
    /// The priority value sent to engines; lower values run first.
    pub fn rank(self) -> u8 {
        match self {
            Self::Urgent => 0,
            Self::Normal => 1,
            Self::Batch => 2,
        }
    }

    /// The name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Batch => "batch",
        }
    }
}

/// A caller, identified by its API key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The caller's name.
    pub name: Name,
    /// The bearer token that the caller sends.
    pub api_key: Name,
    /// The priority of the caller's requests.
    #[serde(default)]
    pub priority: Priority,
    /// The deadline for the whole response in milliseconds, unless a request sets its own.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// The deadline for the first token in milliseconds, if the caller has one.
    #[serde(default)]
    pub first_token_ms: Option<u64>,
    /// The maximum number of requests in flight on one VM; 0 for no limit.
    #[serde(default)]
    pub max_concurrent: u32,
}

fn default_deadline_ms() -> u64 {
    30_000
}
