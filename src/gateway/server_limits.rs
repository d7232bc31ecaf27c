//! The rate limits that backend servers state in their responses, kept over all VMs together.
//!
//! A limit applies to the requests of all VMs. Each VM reports the requests that it sent to servers
//! with a limit, and sends to such a server by the sum over all reports ([`Ledger`]). A part of each
//! limit is left to the VMs that do not report. A VM whose part allows less than one request at once,
//! because it receives too few reports, spaces its requests evenly by its own share instead.

use crate::callers::{Ledger, Measure, Quota, QuotaBounds};
use crate::gateway::fleet::Incarnation;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How far the requests of all VMs together may exceed a limit.
const LIMIT_BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(4),
    overage: 0.2,
    slack: 5.0,
};
/// The rate at which a server with a lower limit still gets requests, over all VMs: without a
/// response, no VM would learn that the limit has ended.
const MIN_RATE_PER_S: f64 = 0.25;
/// How long the limit of a server is kept after its directory entry was removed, counted from its
/// last response: the entry may come back.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);
/// The age up to which statements are sent to other VMs.
const MAX_SENT_AGE: Duration = Duration::from_secs(10);
/// Added to the age of a statement each time that it is received. It exceeds the time that a message
/// takes, so that a statement never appears newer than it is, however many VMs pass it on.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(100);

/// What a server last stated about its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Statement {
    /// The limit in requests per second over all VMs; `None` once the server states none.
    rate_per_s: Option<f64>,
    /// When the response arrived that stated it.
    at: Instant,
    /// When this VM may send the next request by its own share; `None` while the reports of others
    /// allow more.
    next_spaced_at: Option<Instant>,
}

/// What a server stated about its rate limit, as VMs send it to each other.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LimitStatement {
    /// The server.
    pub(crate) server: Incarnation,
    /// The limit in requests per second over all VMs; `None` if the server states none.
    pub(crate) rate_per_s: Option<f64>,
    /// The time since the response that stated it.
    pub(crate) age: Duration,
}

/// The rate limits of all backend servers, and the requests sent under them.
#[derive(Debug)]
pub(crate) struct ServerLimits {
    statements: HashMap<Incarnation, Statement>,
    /// The requests sent to servers with a limit, by the server's name.
    ledger: Ledger,
}

impl ServerLimits {
    /// Creates an empty set of limits.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            statements: HashMap::new(),
            ledger: Ledger::new(LIMIT_BOUNDS, now),
        }
    }

    /// Records the limit that a response of a server states, or that it states none. Returns
    /// whether that differs from the limit known before.
    pub(crate) fn record_response(
        &mut self,
        server: &Incarnation,
        rate_per_s: Option<f64>,
        now: Instant,
    ) -> bool {
        if rate_per_s.is_none() && self.rate_per_s(server).is_none() {
            return false;
        }
        self.replace_statement(server, rate_per_s, now)
    }

    /// Applies a statement that another VM sent, unless a later one is known. Returns whether the
    /// limit differs from the one known before.
    pub(crate) fn merge(&mut self, statement: &LimitStatement, now: Instant) -> bool {
        let age = statement.age + TRANSIT_ALLOWANCE;
        let Some(at) = now.checked_sub(age) else {
            return false;
        };
        let known = self.statements.get(&statement.server);
        if age > MAX_SENT_AGE || known.is_some_and(|known| known.at >= at) {
            return false;
        }
        self.replace_statement(&statement.server, statement.rate_per_s, at)
    }

    /// Replaces what is known of a server's limit; returns whether the limit differs.
    fn replace_statement(
        &mut self,
        server: &Incarnation,
        rate_per_s: Option<f64>,
        at: Instant,
    ) -> bool {
        let before = self.statements.get(server);
        let has_changed = before.and_then(|it| it.rate_per_s) != rate_per_s;
        let statement = Statement {
            rate_per_s,
            at,
            next_spaced_at: before.and_then(|it| it.next_spaced_at),
        };
        self.statements.insert(server.clone(), statement);
        has_changed
    }

    /// Returns the limit of a server in requests per second, at least the rate that it always gets;
    /// `None` if it has none.
    pub(crate) fn rate_per_s(&self, server: &Incarnation) -> Option<f64> {
        let stated = self.statements.get(server)?.rate_per_s;
        stated.map(|rate_per_s| rate_per_s.max(MIN_RATE_PER_S))
    }

    /// Returns the number of servers that have a limit.
    pub(crate) fn limited_servers(&self) -> usize {
        let statements = self.statements.values();
        statements.filter(|it| it.rate_per_s.is_some()).count()
    }

    /// Returns whether a request may be sent to a server now, and counts it as sent if so.
    ///
    /// `vms` is the number of VMs that share the limit; if it is unknown, this VM has no share.
    /// `draw` is a random number from 0 to 1.
    pub(crate) fn try_send(
        &mut self,
        server: &Incarnation,
        vms: Option<usize>,
        draw: f64,
        now: Instant,
    ) -> bool {
        let Some(statement) = self.statements.get_mut(server) else {
            return true;
        };
        let Some(rate_per_s) = statement.rate_per_s else {
            return true;
        };
        let Some(vms) = vms else {
            return false;
        };
        let quota = Quota {
            measure: Measure::Requests,
            rate_per_s: rate_per_s.max(MIN_RATE_PER_S),
            burst: 0.0,
        };
        let charge = quota.charge(None);
        match self.ledger.try_grant(&server.id, charge, vms, draw, now) {
            Ok(_granted) => {
                statement.next_spaced_at = None;
                true
            }
            Err(over) if over.check.is_attainable => {
                statement.next_spaced_at = None;
                false
            }
            Err(_beyond_share) => {
                let interval = Duration::from_secs_f64(vms as f64 / quota.rate_per_s);
                let is_due = statement.take_spaced(interval, draw, now);
                if is_due {
                    self.ledger.record_grant(&server.id, charge, now);
                }
                is_due
            }
        }
    }

    /// Returns the statements to send to other VMs.
    pub(crate) fn statements(&self, now: Instant) -> Vec<LimitStatement> {
        let statements = self.statements.iter().map(|(server, it)| LimitStatement {
            server: server.clone(),
            rate_per_s: it.rate_per_s,
            age: now.saturating_duration_since(it.at),
        });
        statements.filter(|it| it.age <= MAX_SENT_AGE).collect()
    }

    /// The ledger of the requests sent to servers with a limit.
    pub(crate) fn ledger(&mut self) -> &mut Ledger {
        &mut self.ledger
    }

    /// Drops expired reports, and the limits of servers that are not listed and have not responded
    /// for a while.
    pub(crate) fn prune_expired(&mut self, is_listed: impl Fn(&Incarnation) -> bool, now: Instant) {
        self.ledger.prune_expired(now);
        self.statements.retain(|server, statement| {
            let age = now.saturating_duration_since(statement.at);
            age < UNLISTED_RETENTION || is_listed(server)
        });
    }
}

impl Statement {
    /// Returns whether the next request by this VM's own share is due, and schedules the one after
    /// it. The first one is delayed by a random part of the interval, so that VMs that learn of a
    /// limit together do not send together.
    fn take_spaced(&mut self, interval: Duration, draw: f64, now: Instant) -> bool {
        let first_at = || now + interval.mul_f64(draw);
        let due_at = *self.next_spaced_at.get_or_insert_with(first_at);
        if now < due_at {
            return false;
        }
        self.next_spaced_at = Some(now + interval);
        true
    }
}
