//! Plain services and their routes.

use super::Name;
use serde::{Deserialize, Serialize};

/// A plain service that requests are routed to by path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// The name in the asset register.
    pub name: Name,
    /// The path prefix of its routes, such as `/receipts`.
    pub path: Name,
    /// Whether its `POST`, `PUT`, `PATCH` and `DELETE` calls may be repeated.
    #[serde(default)]
    pub idempotent: bool,
    /// The backend servers that run it.
    pub backend_servers: Vec<Name>,
    /// How long one attempt may take.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    5_000
}

impl PlainService {
    /// Whether `path` is the service's path or lies below it.
    pub fn covers(&self, path: &str) -> bool {
        path.strip_prefix(self.path.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}
