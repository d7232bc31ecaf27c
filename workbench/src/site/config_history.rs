//! The versions of a configuration that a soak publishes, and which of them an answer agrees with.

use super::{plain, route};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// The services between which routes move.
pub const SERVICES: [&str; 2] = ["left", "right"];
/// How many versions before and after its own a version's routes are about.
const ROUTE_SPAN: usize = 100;

/// What a request asked for: a route that one version changed, so that the versions before it and
/// those from it on differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// A route that this version added.
    Added(usize),
    /// A route that this version dropped.
    Dropped(usize),
    /// A route that this version moved to the other service.
    Moved(usize),
}

impl Probe {
    /// The prefix of the route's paths.
    pub fn prefix(self) -> String {
        match self {
            Self::Added(version) => format!("/added-{version}/"),
            Self::Dropped(version) => format!("/dropped-{version}/"),
            Self::Moved(version) => format!("/moved-{version}/"),
        }
    }

    /// The service that handles the request by a version; `None` if that has no route for it.
    fn service(self, version: usize) -> Option<&'static str> {
        match self {
            Self::Added(added) => (version >= added).then_some(SERVICES[0]),
            Self::Dropped(dropped) => (version < dropped).then_some(SERVICES[0]),
            Self::Moved(moved) => Some(SERVICES[usize::from(version >= moved)]),
        }
    }
}

/// How a VM handled a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Handling {
    /// No route was found.
    Unknown,
    /// A server of this service ran it.
    RanBy(String),
}

/// The published versions, from the first one on.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    /// When each version was acknowledged.
    acknowledged: Vec<Instant>,
}

impl ConfigHistory {
    /// The newest version.
    pub fn newest(&self) -> usize {
        self.acknowledged.len() - 1
    }

    /// The next version.
    pub fn next(&self) -> usize {
        self.acknowledged.len()
    }

    /// Records that the next version is acknowledged now.
    pub fn note_published(&mut self, now: Instant) {
        self.acknowledged.push(now);
    }

    /// The routes of the next version, with this many further ones.
    pub fn next_routes(&self, further: usize) -> Value {
        let version = self.next();
        let changes = version.saturating_sub(ROUTE_SPAN)..version + ROUTE_SPAN;
        let probes =
            changes.flat_map(|at| [Probe::Added(at), Probe::Dropped(at), Probe::Moved(at)]);
        let mut routes: Vec<Value> = probes
            .filter_map(|probe| Some(route(&probe.prefix(), "safe", probe.service(version)?)))
            .collect();
        routes.extend((0..further).map(|index| {
            let path = format!("/further-{version}-{index}/");
            route(&path, "safe", SERVICES[0])
        }));
        json!(routes)
    }

    /// The services of all versions.
    pub fn services() -> Value {
        json!(SERVICES.map(plain))
    }

    /// The versions that may decide on a request that was sent and answered at these times, if each
    /// has to be in force after `delay`.
    pub fn allowed(&self, sent: Instant, ended: Instant, delay: Duration) -> (usize, usize) {
        let count = |until: Instant| self.acknowledged.partition_point(|at| *at <= until);
        let oldest = sent.checked_sub(delay).map_or(0, count);
        (oldest.saturating_sub(1), count(ended).saturating_sub(1))
    }

    /// Whether a VM with a version in force handles a request like this.
    pub fn agrees(version: usize, probe: Probe, handling: &Handling) -> bool {
        let service = probe.service(version);
        match handling {
            Handling::Unknown => service.is_none(),
            Handling::RanBy(by) => service == Some(by),
        }
    }
}
