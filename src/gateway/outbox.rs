//! What a VM has yet to send to its peers, and the signals that it is there.

use crate::gateway::crash_message::CrashReportMessage;
use crate::gateway::crash_news::CrashNews;
use crate::gateway::crash_report::CrashReport;
use crate::gateway::directory_updates::DirectoryUpdate;
use crate::gateway::gossip_message::SentPrompt;
use crate::gateway::peers::MICROS_PER_MILLI;
use crate::gateway::software_versions::STREAM_LIFETIME;
use crate::gateway::stream_message::{BegunStream, VersionQuery};
use crate::gateway::stream_versions::StreamKey;
use crate::inventory::Name;
use crate::signal::Signal;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The maximum number of streams of a service that are held. The oldest ones are forgotten first.
const MAX_HELD_STREAMS: usize = 16_384;

/// The VMs that are sent a change before the next regular round; a later variant covers more.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum UpdateScope {
    /// No VM.
    #[default]
    None,
    /// The leader.
    Leader,
    /// All VMs of the local zone.
    Zone,
    /// All VMs, of a change in what runners have loaded. In a large fleet this waits for the
    /// regular rounds.
    Holdings,
    /// All VMs.
    All,
}

/// What has yet to be sent to peers.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// The scope of the triggered message that has yet to be sent.
    update_scope: Cell<UpdateScope>,
    update_signal: Signal,
    /// What is told of crashed servers.
    pub(super) crash_news: RefCell<CrashNews>,
    /// Directory changes that have yet to be sent to the local zone.
    pending_updates: RefCell<Vec<DirectoryUpdate>>,
    /// Prompts that have yet to be reported to peers, and when each was sent to its runner.
    prompts: RefCell<Vec<(SentPrompt, Instant)>>,
    prompt_signal: Signal,
    /// Streams whose software versions have yet to be told to other VMs.
    begun_streams: RefCell<Vec<BegunStream>>,
    stream_signal: Signal,
    /// Streams of which other VMs need not be told yet, by service, and when each began.
    held_streams: RefCell<HashMap<Name, VecDeque<(BegunStream, Instant)>>>,
    /// Questions for the software versions of streams, and the VMs that are asked.
    version_queries: RefCell<Vec<(VersionQuery, Vec<SocketAddr>)>>,
    query_signal: Signal,
}

impl Outbox {
    /// Triggers a message to all peers before the next regular round.
    pub(crate) fn trigger_update_to_all(&self) {
        self.trigger_update(UpdateScope::All);
    }

    /// Triggers a message to the peers in `scope` before the next regular round. The widest scope
    /// requested since the last message wins.
    pub(crate) fn trigger_update(&self, scope: UpdateScope) {
        self.update_scope.set(self.update_scope.get().max(scope));
        self.update_signal.notify();
    }

    /// Returns and resets the scope of the triggered message.
    pub(super) fn take_update_scope(&self) -> UpdateScope {
        self.update_scope.take()
    }

    /// Queues directory changes to be sent to the local zone, and triggers the message.
    pub(super) fn queue_directory_updates(&self, updates: Vec<DirectoryUpdate>) {
        self.pending_updates.borrow_mut().extend(updates);
        self.trigger_update(UpdateScope::Zone);
    }

    /// Returns and clears the queued directory changes.
    pub(super) fn take_directory_updates(&self) -> Vec<DirectoryUpdate> {
        self.pending_updates.take()
    }

    /// Reports to all peers a request that a server had not begun to answer when it crashed.
    pub(crate) fn report_crash(&self, report: &CrashReport, now: Instant) {
        let message = CrashReportMessage::of(report);
        self.crash_news.borrow_mut().push_report(message, now);
        self.trigger_update_to_all();
    }

    /// Reports to peers that a prompt is being sent to a runner, which takes `prefill_ms` to
    /// prefill it.
    pub(crate) fn report_prompt(&self, server: &Name, prefill_ms: f64, now: Instant) {
        let prompt = SentPrompt {
            server: server.to_string(),
            prefill_us: (prefill_ms * MICROS_PER_MILLI) as u32,
        };
        self.prompts.borrow_mut().push((prompt, now));
        self.prompt_signal.notify();
    }

    /// Returns and removes up to `limit` prompts to report to peers. Prompts whose prefill has
    /// ended by now are dropped: reporting them would make their runners appear busier than they
    /// are.
    pub(super) fn take_unsent_prompts(&self, limit: usize, now: Instant) -> Vec<SentPrompt> {
        let mut prompts = self.prompts.borrow_mut();
        prompts.retain(|(prompt, at)| {
            let prefill_time = Duration::from_micros(u64::from(prompt.prefill_us));
            now.saturating_duration_since(*at) < prefill_time
        });
        let count = prompts.len().min(limit);
        let taken = prompts.drain(..count);
        taken.map(|(prompt, _)| prompt).collect()
    }

    /// Waits for a prompt to report.
    pub(super) fn wait_for_prompts(&self) -> impl Future<Output = ()> + use<> {
        self.prompt_signal.wait()
    }

    /// Tells other VMs at which software version a stream begins.
    pub(crate) fn report_stream(&self, key: StreamKey, version: &Name) {
        let stream = BegunStream::of(key, version);
        self.begun_streams.borrow_mut().push(stream);
        self.stream_signal.notify();
    }

    /// Keeps at which software version a stream begins, in case that other VMs have to be told later.
    pub(crate) fn hold_stream(&self, service: &Name, key: StreamKey, version: &Name, now: Instant) {
        let mut held_streams = self.held_streams.borrow_mut();
        let held = held_streams.entry(service.clone()).or_default();
        let is_old = |at: Instant| now.saturating_duration_since(at) >= STREAM_LIFETIME;
        while held.len() >= MAX_HELD_STREAMS || held.front().is_some_and(|(_, at)| is_old(*at)) {
            held.pop_front();
        }
        held.push_back((BegunStream::of(key, version), now));
    }

    /// Tells other VMs of the streams that were held, of the services of which they have to be told.
    pub(super) fn release_streams(&self, must_tell: impl Fn(&str) -> bool, now: Instant) {
        let mut held_streams = self.held_streams.borrow_mut();
        for (_, held) in held_streams.extract_if(|service, _| must_tell(service)) {
            let is_old = |at: Instant| now.saturating_duration_since(at) >= STREAM_LIFETIME;
            let recent = held.into_iter().filter(|(_, at)| !is_old(*at));
            let mut begun_streams = self.begun_streams.borrow_mut();
            begun_streams.extend(recent.map(|(stream, _)| stream));
            self.stream_signal.notify();
        }
    }

    /// Returns and removes the streams to tell.
    pub(super) fn take_begun_streams(&self) -> Vec<BegunStream> {
        self.begun_streams.take()
    }

    /// Waits for [`Outbox::report_stream`].
    pub(super) fn wait_for_streams(&self) -> impl Future<Output = ()> + use<> {
        self.stream_signal.wait()
    }

    /// Asks VMs for the software version of a stream of a service.
    pub(crate) fn query_version(&self, key: StreamKey, service: &Name, vms: &[SocketAddr]) {
        let query = VersionQuery {
            stream: key.0,
            service: service.to_string(),
        };
        let mut queries = self.version_queries.borrow_mut();
        queries.push((query, vms.to_vec()));
        self.query_signal.notify();
    }

    /// Returns and removes the questions to send, each with the VMs that are asked.
    pub(super) fn take_version_queries(&self) -> Vec<(VersionQuery, Vec<SocketAddr>)> {
        self.version_queries.take()
    }

    /// Waits for [`Outbox::query_version`].
    pub(super) fn wait_for_version_queries(&self) -> impl Future<Output = ()> + use<> {
        self.query_signal.wait()
    }

    /// Waits for [`Outbox::trigger_update`].
    pub(super) fn wait_for_update(&self) -> impl Future<Output = ()> + use<> {
        self.update_signal.wait()
    }
}
