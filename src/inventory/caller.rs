//! Callers, their priority and their limits.

use super::Name;
use serde::{Deserialize, Serialize};

/// How urgent a caller's requests are.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A clearance desk or a loading bay waits for the answer.
    Urgent,
    /// Ordinary requests.
    #[default]
    Normal,
    /// Fills what the others leave.
    Batch,
}

impl Priority {
    /// The number sent to engines: lower runs first.
    pub fn rank(self) -> u8 {
        match self {
            Self::Urgent => 0,
            Self::Normal => 1,
            Self::Batch => 2,
        }
    }

    /// The word used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Batch => "batch",
        }
    }
}

/// A caller, known by its API key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The caller's name.
    pub name: Name,
    /// The bearer token that the caller sends.
    pub api_key: Name,
    /// How urgent its requests are.
    #[serde(default)]
    pub priority: Priority,
    /// The deadline for the whole answer, unless a request states its own.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// The deadline for the first token, if the caller has one.
    #[serde(default)]
    pub first_token_ms: Option<u64>,
    /// Requests at once over one VM; 0 for no limit.
    #[serde(default)]
    pub max_concurrent: u32,
}

fn default_deadline_ms() -> u64 {
    30_000
}
