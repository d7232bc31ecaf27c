//! Which versions of its software the servers of each service had recently.
//!
//! Servers of several versions may serve side by side, and a stream may only go on at the version that
//! began it. VMs tell each other at which version a stream began, but only while that is not obvious.
//!
//! A VM that knows a single version may not have heard of another one yet. So streams begin at a version
//! that joins others only once it has been listed for [`OPENING_TIME`]. A VM that has read the directory
//! within the shorter [`MAX_KNOWLEDGE_AGE`] lists each version at which any stream can have begun,
//! whatever it has missed from other VMs. Only such a VM says that a service has one version.

use crate::inventory::Name;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// How long a stream can be taken up again after it began: longer than any caller waits for one.
pub(crate) const STREAM_LIFETIME: Duration = Duration::from_secs(30);
/// How long ago a VM may have read the directory to know all versions at which streams have begun. Where
/// a VM of the zone reads it, that is at most half a second.
pub(crate) const MAX_KNOWLEDGE_AGE: Duration = Duration::from_millis(1_500);
/// How long a version that joins others is listed before streams begin there. It is longer than
/// [`MAX_KNOWLEDGE_AGE`] by more than clocks differ in speed.
pub(crate) const OPENING_TIME: Duration = Duration::from_millis(1_750);
/// How long a report of another VM that a service has several versions holds.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Software versions by service.
pub(crate) type ListedVersions = HashMap<Name, BTreeSet<Name>>;

/// The versions of one service.
#[derive(Debug, Default)]
struct ServiceVersions {
    /// The versions of the listed servers.
    listed: BTreeSet<Name>,
    /// Versions that are no longer listed, and until when they were.
    former: HashMap<Name, Instant>,
    /// Versions that joined others, and since when they are listed, until they are open.
    joining: HashMap<Name, Instant>,
    /// Versions that other VMs have reported as open, and when they last did.
    reported_open: HashMap<Name, Instant>,
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

    /// Returns the versions that join others now.
    fn update(
        &mut self,
        listed: BTreeSet<Name>,
        passed: Option<&BTreeSet<Name>>,
        now: Instant,
    ) -> Vec<Name> {
        let before = self.recent(now);
        let gone = passed.into_iter().flatten().chain(&self.listed);
        for version in gone.filter(|version| !listed.contains(*version)) {
            self.former.insert(version.clone(), now);
        }
        self.former.retain(|_, until| is_recent(*until, now));
        self.reported_open.retain(|_, at| is_recent(*at, now));
        let listed_before = std::mem::replace(&mut self.listed, listed);
        let recent = self.recent(now);
        // A version that left before it was open joins anew when it comes back.
        self.joining.retain(|version, at| {
            let is_open = listed_before.contains(version) && has_opened(*at, now);
            recent.contains(version) && !is_open
        });
        let added = self.listed.difference(&listed_before);
        let joining: Vec<Name> = added
            .filter(|version| !before.contains(*version) || self.joining.contains_key(*version))
            .filter(|_| recent.len() > 1)
            .cloned()
            .collect();
        let since = joining.iter().map(|version| (version.clone(), now));
        self.joining.extend(since);
        if before.len() == 1 && recent.len() > 1 {
            self.last_only = before.into_iter().next().map(|version| (version, now));
        }
        joining
    }

    /// Whether streams may begin at a version.
    fn is_open(&self, version: &str, now: Instant) -> bool {
        let joined_at = self.joining.get(version);
        let reported_at = self.reported_open.get(version);
        joined_at.is_none_or(|at| has_opened(*at, now))
            || reported_at.is_some_and(|at| is_recent(*at, now))
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
    /// Since when the servers are known without a gap.
    known_since: Option<Instant>,
}

impl SoftwareVersions {
    /// Records the versions of the servers that are listed now. `passed` are versions that were listed
    /// since the last update, and may be gone again. Returns the versions that join others of their
    /// service, where streams begin later.
    pub(crate) fn update(
        &mut self,
        mut listed: ListedVersions,
        passed: &ListedVersions,
        now: Instant,
    ) -> Vec<(Name, Name)> {
        self.known_since.get_or_insert(now);
        for service in self.services.keys().chain(passed.keys()) {
            listed.entry(service.clone()).or_default();
        }
        let mut all_joining = Vec::new();
        for (service, versions) in listed {
            let of_service = self.services.entry(service.clone()).or_default();
            let joining = of_service.update(versions, passed.get(&service), now);
            let joining = joining.into_iter().map(|it| (service.clone(), it));
            all_joining.extend(joining);
        }
        all_joining
    }

    /// Records that versions may have come and gone unseen: this VM counts as one that has just
    /// started.
    pub(crate) fn forget_age(&mut self, now: Instant) {
        self.known_since = self.known_since.map(|_| now);
    }

    /// Records that another VM has seen several versions of a service.
    pub(crate) fn note_report(&mut self, service: Name, now: Instant) {
        self.services.entry(service).or_default().reported_at = Some(now);
    }

    /// Records that streams begin at a version at another VM.
    pub(crate) fn note_open(&mut self, service: Name, version: Name, now: Instant) {
        let of_service = self.services.entry(service).or_default();
        of_service.reported_open.insert(version, now);
    }

    /// Whether streams of a service may begin at a version.
    pub(crate) fn is_open(&self, service: &str, version: &str, now: Instant) -> bool {
        let versions = self.services.get(service);
        versions.is_none_or(|versions| versions.is_open(version, now))
    }

    /// Whether this VM has just started and lists services of which it knows no version at which streams
    /// may begin.
    pub(crate) fn is_waiting_to_open(&self, now: Instant) -> bool {
        let is_closed = |it: &ServiceVersions| {
            !it.listed.is_empty() && !it.listed.iter().any(|version| it.is_open(version, now))
        };
        self.is_young(now) && self.services.values().any(is_closed)
    }

    /// The versions of services with several ones at which streams may begin.
    pub(crate) fn open_versions(&self, now: Instant) -> Vec<(Name, Name)> {
        let mixed = self.services.iter();
        let mixed = mixed.filter(|(_, versions)| versions.recent(now).len() > 1);
        let open = mixed.flat_map(|(service, versions)| {
            let listed = versions.listed.iter();
            let open = listed.filter(|version| versions.is_open(version, now));
            open.map(|version| (service.clone(), version.clone()))
        });
        open.collect()
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

    /// The version of a service that had no other one for as long as streams last. That holds only for
    /// a VM that has read the directory within [`MAX_KNOWLEDGE_AGE`].
    pub(crate) fn only(&self, service: &str, now: Instant) -> Option<Name> {
        let versions = self.services.get(service)?;
        if self.is_young(now) || versions.is_reported(now) {
            return None;
        }
        let mut recent = versions.recent(now).into_iter();
        recent.next().filter(|_| recent.next().is_none())
    }
}

/// Whether a version that has been listed since then has been listed for [`OPENING_TIME`].
fn has_opened(listed_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(listed_at) >= OPENING_TIME
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < STREAM_LIFETIME
}
