//! Decides at which software version a stream goes on, whether its caller takes it up again or this
//! VM resumes it.

use crate::gateway::Protocol;
use crate::gateway::call::{Call, StreamVersion};
use crate::gateway::failure::Failure;
use crate::gateway::fleet::Server;
use crate::gateway::relay::Relay;
use crate::gateway::stream_versions::StreamKey;
use crate::gateway::version_search::{VersionAnswer, decide, keepers};
use crate::inventory::Name;
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Instant;
use tracing::{info, warn};

/// How many VMs that read the directory are asked beside those that may have been told of a stream.
const MAX_ASKED_READERS: usize = 3;

/// From what the version of a stream is known.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// This VM was told, or began the stream itself.
    Own,
    /// This VM knows that the service has had no other version.
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
        let known = self
            .state
            .version_answer(call.stream_key(), &call.service, now);
        let own = known.version.map(|version| (version, Source::Own));
        own.or_else(|| known.only.map(|version| (version, Source::OnlyVersion)))
    }

    /// Asks the VMs that may know the version of a call's stream. If none of them does, reads the
    /// directory, which shows whether the service has a single version.
    async fn ask_for_version(&self, call: &Call) -> Option<Name> {
        let began = Instant::now();
        let state = &self.state;
        let key = call.stream_key();
        let asked = self.asked_vms(call);
        let search = state.begin_version_search(key);
        if !asked.is_empty() {
            let outbox = &state.peers.outbox;
            search
                .wait(&asked, || outbox.query_version(key, &call.service, &asked))
                .await;
        }
        let answers = search.answers();
        let is_certain = answers.iter().any(VersionAnswer::is_certain);
        let only = state.software_versions.borrow().only(&call.service, began);
        if !is_certain && only.is_some() {
            state.read_directory_soon().await;
        }
        let own = state.version_answer(key, &call.service, Instant::now());
        let is_named = call.request.resumes.is_some();
        if state.peers.is_alone() {
            return own.only.or(own.untold.filter(|_| !is_named));
        }
        // A VM that hears no other may have missed what the others were told.
        decide(&answers, &own, asked.len().max(1), is_named)
    }

    /// The VMs that may have been told of a call's stream, and some that read the directory.
    fn asked_vms(&self, call: &Call) -> Vec<SocketAddr> {
        let state = &self.state;
        let zone = &state.settings.availability_zone;
        let targets = state.peers.targets(zone);
        let mut asked = keepers(call.stream_key(), &targets, state.settings.peer_address);
        let mut readers = state.peers.all_readings();
        readers.retain(|(vm, _, _)| !asked.contains(vm));
        readers.sort_by_key(|(_, of_zone, readings)| {
            (of_zone != zone, Reverse(readings.directory.at))
        });
        let readers = readers.into_iter().take(MAX_ASKED_READERS);
        asked.extend(readers.map(|(vm, _, _)| vm));
        asked
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
        let outbox = &state.peers.outbox;
        match state.must_tell_version(&call.service, now) {
            true => outbox.report_stream(key, &version),
            false => outbox.hold_stream(&call.service, key, &version, now),
        }
        call.stream_version = StreamVersion::Bound(version);
    }
}
