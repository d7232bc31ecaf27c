//! The rate limits that backend servers state in their responses.

use crate::gateway::fleet::Incarnation;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long the limit of a server is kept after its directory entry was removed, counted from its
/// last response: the entry may come back.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// What a server last stated about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Statement {
    /// The limit in requests per second over all VMs; `None` once the server states none.
    rate_per_s: Option<f64>,
    /// When the response arrived that stated it.
    at: Instant,
}

/// The rate limits of all backend servers.
#[derive(Debug, Default)]
pub(crate) struct ServerLimits {
    statements: HashMap<Incarnation, Statement>,
}

impl ServerLimits {
    /// Records the limit that a response of a server states, or that it states none. Returns
    /// whether that differs from the limit known before.
    pub(crate) fn record_response(
        &mut self,
        server: &Incarnation,
        rate_per_s: Option<f64>,
        now: Instant,
    ) -> bool {
        let before = self.rate_per_s(server);
        if before.is_some() || rate_per_s.is_some() {
            let statement = Statement {
                rate_per_s,
                at: now,
            };
            self.statements.insert(server.clone(), statement);
        }
        before != rate_per_s
    }

    /// Returns the limit of a server in requests per second; `None` if it has none.
    pub(crate) fn rate_per_s(&self, server: &Incarnation) -> Option<f64> {
        self.statements.get(server)?.rate_per_s
    }

    /// Returns the number of servers that have a limit.
    pub(crate) fn limited_servers(&self) -> usize {
        let statements = self.statements.values();
        statements.filter(|it| it.rate_per_s.is_some()).count()
    }

    /// Drops the limits of servers that are not listed and have not responded for a while.
    pub(crate) fn remove_unlisted(
        &mut self,
        is_listed: impl Fn(&Incarnation) -> bool,
        now: Instant,
    ) {
        self.statements.retain(|server, statement| {
            let age = now.saturating_duration_since(statement.at);
            age < UNLISTED_RETENTION || is_listed(server)
        });
    }
}
