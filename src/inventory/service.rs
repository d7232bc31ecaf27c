//! Plain services and their routes.

use super::Name;
use serde::{Deserialize, Serialize};

/// A plain service that requests are routed to by path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// The service's name in the asset register.
    pub name: Name,
    /// The path prefix of the service's routes, such as `/receipts`.
    pub path: Name,
    /// Whether `POST`, `PUT`, `PATCH` and `DELETE` calls to the service may be retried.
    #[serde(default)]
    pub idempotent: bool,
    /// The names of the backend servers that run the service.
    pub backend_servers: Vec<Name>,
    /// The timeout of one attempt, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

fn default_timeout_ms() -> u64 {
    5_000
}

impl PlainService {
    /// Whether `path` is the service's path or a path below it.
    pub fn matches_path(&self, path: &str) -> bool {
        path.strip_prefix(self.path.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}
