//! Decides at which software version a stream goes on, whether its caller takes it up again or this
//! VM resumes it.

use crate::gateway::Protocol;
use crate::gateway::call::{Call, StreamVersion};
use crate::gateway::failure::Failure;
use crate::gateway::fleet::Server;
use crate::gateway::relay::Relay;
use crate::gateway::software_versions::STREAM_LIFETIME;
use crate::gateway::stream_versions::StreamKey;
use crate::gateway::sync_message::Part;
use crate::gateway::version_search::{VersionAnswer, decide, keepers};
use crate::inventory::Name;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How long ago this VM may have known its directory to be current for a version not to have come
/// that it does not know.
const MAX_DIRECTORY_AGE: Duration = Duration::from_millis(2_500);

/// From what the version of a stream is known.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// This VM was told, or began the stream itself.
    Own,
    /// The service has had no other version.
    OnlyVersion,
    /// Other VMs were asked.
    OtherVms,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::OnlyVersion => "only_version",
            Self::OtherVms => "other_vms",
        }
    }
}

impl<P: Protocol> Relay<P> {
    /// Finds the software version at which a stream that has begun goes on.
    ///
    /// # Errors
    ///
    /// Fails if the version cannot be found out, or if no server of that version is listed.
    pub(super) async fn bind_version(&self, call: &mut Call) -> Result<(), Failure> {
        if matches!(call.stream_version, StreamVersion::Unresolved) {
            let version = self.find_version(call).await?;
            call.stream_version = StreamVersion::Bound(version);
        }
        let StreamVersion::Bound(version) = &call.stream_version else {
            return Ok(());
        };
        let now = Instant::now();
        let servers = self.state.fleet.of_service(&call.service);
        let may_go_on = |server: &Server| {
            server.software_version() == *version && self.takes_requests(server, now)
        };
        if servers.iter().any(|server| may_go_on(server)) {
            return Ok(());
        }
        self.state.metrics.note_resumption("version_gone");
        warn!(request = %call.request.id, software = %version, "stream's version has no server");
        Err(Failure::VersionGone)
    }

    async fn find_version(&self, call: &Call) -> Result<Name, Failure> {
        let began = Instant::now();
        let found = match self.known_version(call, began) {
            Some(found) => Some(found),
            None => {
                let version = self.ask_for_version(call).await;
                version.map(|version| (version, Source::OtherVms))
            }
        };
        let took_ms = began.elapsed().as_millis() as u64;
        let Some((version, source)) = found else {
            self.state.metrics.note_resumption("unknown");
            warn!(request = %call.request.id, took_ms, "stream's version unknown");
            return Err(Failure::UnknownVersion);
        };
        self.state.metrics.note_resumption(source.name());
        info!(
            request = %call.request.id,
            software = %version,
            source = source.name(),
            took_ms,
            "stream's version found"
        );
        Ok(version)
    }

    /// The version of a call's stream as this VM knows it by itself.
    fn known_version(&self, call: &Call, now: Instant) -> Option<(Name, Source)> {
        let state = &self.state;
        let known = state.version_answer(call.stream_key(), &call.service, now);
        if let Some(version) = known.version {
            return Some((version, Source::Own));
        }
        let versions = state.software_versions.borrow();
        let directory_age = state.unconfirmed_time(Part::Directory, now);
        let is_current = directory_age.is_some_and(|age| age < MAX_DIRECTORY_AGE);
        if !is_current || !versions.is_settled(&call.service, now) {
            return None;
        }
        known.untold.map(|version| (version, Source::OnlyVersion))
    }

    /// Asks the VMs that may know the version of a call's stream.
    async fn ask_for_version(&self, call: &Call) -> Option<Name> {
        let began = Instant::now();
        let state = &self.state;
        let key = call.stream_key();
        let targets = state.peers.targets(&state.settings.availability_zone);
        let asked = keepers(key, &targets, state.settings.peer_address);
        let search = state.begin_version_search(key);
        if !asked.is_empty() {
            let outbox = &state.peers.outbox;
            search
                .wait(&asked, || outbox.query_version(key, &call.service, &asked))
                .await;
        }
        let own = state.version_answer(key, &call.service, began);
        let is_named = call.request.resumes.is_some();
        if state.peers.is_alone() {
            return own.untold.filter(|_| !(own.is_young && is_named));
        }
        let answers = search.answers();
        if is_named && self.may_have_lost_keepers(&call.service, &answers, asked.len()) {
            return None;
        }
        // A VM that hears no other may have missed what the others were told.
        decide(&answers, &own, asked.len().max(1), is_named)
    }

    /// Whether the VMs that answered may not be those that were told of the streams of a service, so
    /// that they cannot say of a stream that it was not told.
    fn may_have_lost_keepers(
        &self,
        service: &str,
        answers: &[VersionAnswer],
        asked: usize,
    ) -> bool {
        let now = Instant::now();
        let state = &self.state;
        let is_told = answers.iter().any(|answer| answer.version.is_some());
        if is_told || !state.software_versions.borrow().is_mixed(service, now) {
            return false;
        }
        let have_all_answered = answers.len() >= asked;
        let has_young = answers.iter().any(|answer| answer.is_young);
        let is_stable = state.peers.unchanged_for(now) >= STREAM_LIFETIME;
        !have_all_answered || has_young || !is_stable
    }

    /// Records that the stream of a call goes on at a server, and tells other VMs.
    pub(super) fn note_stream_version(&self, call: &mut Call, server: &Server) {
        if server.is_vm {
            // The other VM knows the version.
            call.stream_version = StreamVersion::Unresolved;
            return;
        }
        let now = Instant::now();
        let state = &self.state;
        let version = server.software_version();
        let key: StreamKey = call.stream_key();
        let mut versions = state.stream_versions.borrow_mut();
        versions.record(key, version.clone(), now);
        // VMs that have started lack what was not told before.
        let is_fleet_changed = state.peers.unchanged_for(now) < STREAM_LIFETIME;
        let software_versions = state.software_versions.borrow();
        if is_fleet_changed || software_versions.must_tell(&call.service, now) {
            state.peers.outbox.report_stream(key, &version);
        }
        call.stream_version = StreamVersion::Bound(version);
    }
}
