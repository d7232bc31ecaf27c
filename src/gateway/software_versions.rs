//! Which versions of its software the servers of each service had recently.
//!
//! Servers of several versions may serve side by side, and a stream may only go on at the version that
//! began it. VMs tell each other at which version a stream began, but only while that is not obvious:
//! as long as a service had a single version for as long as streams last, nothing is told. A stream
//! that was not told has therefore begun at the version that was the only one before.

use crate::inventory::Name;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// How long a stream can be taken up again after it began: longer than any caller waits for one.
pub(crate) const STREAM_LIFETIME: Duration = Duration::from_secs(30);
/// How long a report of another VM that a service has several versions holds.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// The versions of one service.
#[derive(Debug, Default)]
struct ServiceVersions {
    /// The versions of the listed servers.
    listed: BTreeSet<Name>,
    /// Versions that are no longer listed, and until when they were.
    former: HashMap<Name, Instant>,
    /// The last version that was the only one for as long as streams last, and until when it was.
    last_only: Option<(Name, Instant)>,
    /// When another VM last reported that the service has several versions.
    reported_at: Option<Instant>,
}

impl ServiceVersions {
    /// All versions that were listed within the time that streams last.
    fn recent(&self, now: Instant) -> BTreeSet<Name> {
        let former = self.former.iter();
        let former = former.filter(|(_, until)| is_recent(**until, now));
        let former = former.map(|(version, _)| version.clone());
        self.listed.iter().cloned().chain(former).collect()
    }

    /// Whether this or another VM has seen several versions within the time that streams last.
    fn is_mixed(&self, now: Instant) -> bool {
        self.is_reported(now) || self.recent(now).len() > 1
    }

    /// Whether another VM has recently reported that the service has several versions.
    fn is_reported(&self, now: Instant) -> bool {
        let reported_at = self.reported_at;
        reported_at.is_some_and(|at| now.saturating_duration_since(at) < REPORT_TTL)
    }

    fn update(&mut self, listed: BTreeSet<Name>, now: Instant) {
        let before = self.recent(now);
        for version in self.listed.difference(&listed) {
            self.former.insert(version.clone(), now);
        }
        self.former.retain(|_, until| is_recent(*until, now));
        self.listed = listed;
        if before.len() == 1 && self.recent(now).len() > 1 {
            self.last_only = before.into_iter().next().map(|version| (version, now));
        }
    }

    /// The version at which streams began while nothing was told, if that can still matter.
    fn untold(&self, now: Instant) -> Option<Name> {
        let recent = self.recent(now);
        if recent.len() <= 1 {
            return recent.into_iter().next();
        }
        let last_only = self.last_only.as_ref();
        let last_only = last_only.filter(|(_, until)| is_recent(*until, now));
        last_only.map(|(version, _)| version.clone())
    }
}

/// The software versions of all services.
#[derive(Debug, Default)]
pub(crate) struct SoftwareVersions {
    services: HashMap<Name, ServiceVersions>,
    /// Since when the servers are known.
    known_since: Option<Instant>,
}

impl SoftwareVersions {
    /// Records the versions of the servers that are listed now, by service.
    pub(crate) fn update(&mut self, mut listed: HashMap<Name, BTreeSet<Name>>, now: Instant) {
        self.known_since.get_or_insert(now);
        for service in self.services.keys() {
            listed.entry(service.clone()).or_default();
        }
        for (service, versions) in listed {
            self.services
                .entry(service)
                .or_default()
                .update(versions, now);
        }
    }

    /// Records that another VM has seen several versions of a service.
    pub(crate) fn note_report(&mut self, service: Name, now: Instant) {
        self.services.entry(service).or_default().reported_at = Some(now);
    }

    /// The services of which this VM has itself seen several versions.
    pub(crate) fn mixed_services(&self, now: Instant) -> Vec<Name> {
        let services = self.services.iter();
        let mixed = services.filter(|(_, versions)| versions.recent(now).len() > 1);
        mixed.map(|(service, _)| service.clone()).collect()
    }

    /// Whether other VMs have to be told at which version a stream of a service begins.
    pub(crate) fn must_tell(&self, service: &str, now: Instant) -> bool {
        if self.is_young(now) {
            // There may have been another version before.
            return true;
        }
        self.is_mixed(service, now)
    }

    /// Whether a service has had several versions within the time that streams last.
    pub(crate) fn is_mixed(&self, service: &str, now: Instant) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|versions| versions.is_mixed(now))
    }

    /// The version at which a stream of a service began that no VM was told of; `None` if there is
    /// none or if it may have been several.
    ///
    /// A VM that is young has to rely on what other VMs have seen.
    pub(crate) fn untold(&self, service: &str, now: Instant) -> Option<Name> {
        let versions = self.services.get(service)?;
        match self.is_young(now) {
            true if versions.is_mixed(now) => None,
            _ => versions.untold(now),
        }
    }

    /// Whether this VM has not known the servers for as long as streams last.
    pub(crate) fn is_young(&self, now: Instant) -> bool {
        let since = self.known_since;
        since.is_none_or(|since| now.saturating_duration_since(since) < STREAM_LIFETIME)
    }

    /// Whether a service had a single version for as long as streams last.
    pub(crate) fn is_settled(&self, service: &str, now: Instant) -> bool {
        let versions = self.services.get(service);
        let has_one = versions.is_some_and(|versions| versions.recent(now).len() == 1);
        has_one && !self.is_young(now)
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < STREAM_LIFETIME
}
