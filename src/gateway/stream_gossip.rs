//! Sends and receives the gossip messages that concern the software versions of streams.

use crate::gateway::gossip::{Gossip, INTERVAL};
use crate::gateway::gossip_message::Digest;
use crate::gateway::gossip_targets::Targets;
use crate::gateway::software_versions::STREAM_LIFETIME;
use crate::gateway::stream_message::{BegunStream, VersionQuery, VersionReply};
use crate::gateway::stream_versions::StreamKey;
use crate::gateway::version_search::keepers;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of streams in a message. At about 20 bytes each they fit into one datagram.
const MAX_STREAMS: usize = 50;
/// Pause after a message, in which further streams are collected.
const PAUSE: Duration = Duration::from_millis(10);

/// Streams that this VM has told, for VMs that it discovers later.
struct ToldStreams {
    /// The address at which this VM receives messages.
    own: SocketAddr,
    streams: VecDeque<(BegunStream, Instant)>,
    vms: HashSet<SocketAddr>,
    /// Streams that are told once more, since a message may be lost.
    unrepeated: Vec<BegunStream>,
    repeated_at: Option<Instant>,
}

impl ToldStreams {
    fn new(own: SocketAddr) -> Self {
        Self {
            own,
            streams: VecDeque::new(),
            vms: HashSet::new(),
            unrepeated: Vec::new(),
            repeated_at: None,
        }
    }

    /// Returns what each VM has to be told: of the streams that have just begun, and VMs that were
    /// not known before also of the earlier ones.
    fn update(
        &mut self,
        begun: Vec<BegunStream>,
        targets: &Targets,
        now: Instant,
    ) -> HashMap<SocketAddr, Vec<BegunStream>> {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= STREAM_LIFETIME;
        while self.streams.front().is_some_and(|(_, at)| is_old(*at)) {
            self.streams.pop_front();
        }
        let vms: HashSet<SocketAddr> = targets.all().collect();
        let discovered: HashSet<SocketAddr> = vms.difference(&self.vms).copied().collect();
        let mut by_vm: HashMap<SocketAddr, Vec<BegunStream>> = HashMap::new();
        if !discovered.is_empty() {
            for (stream, _) in &self.streams {
                let keepers = keepers(StreamKey(stream.stream), targets, self.own).into_iter();
                for vm in keepers.filter(|vm| discovered.contains(vm)) {
                    by_vm.entry(vm).or_default().push(stream.clone());
                }
            }
        }
        let is_repeat_due = self
            .repeated_at
            .is_none_or(|at| now.saturating_duration_since(at) >= INTERVAL);
        let mut to_tell = Vec::new();
        if is_repeat_due {
            self.repeated_at = Some(now);
            to_tell.append(&mut self.unrepeated);
        }
        for stream in begun {
            self.streams.push_back((stream.clone(), now));
            self.unrepeated.push(stream.clone());
            to_tell.push(stream);
        }
        for stream in to_tell {
            for vm in keepers(StreamKey(stream.stream), targets, self.own) {
                by_vm.entry(vm).or_default().push(stream.clone());
            }
        }
        self.vms = vms;
        by_vm
    }
}

impl Gossip {
    /// Tells other VMs at which versions streams began, until the process ends.
    pub(crate) async fn send_stream_versions(self: Rc<Self>) {
        let outbox = &self.state.peers.outbox;
        let mut told = ToldStreams::new(self.state.settings.peer_address);
        loop {
            let is_added = outbox.wait_for_streams();
            let begun = outbox.take_begun_streams();
            if begun.is_empty() && told.streams.is_empty() {
                is_added.await;
                continue;
            }
            let zone = &self.state.settings.availability_zone;
            let targets = self.state.peers.targets(zone);
            for (vm, streams) in told.update(begun, &targets, Instant::now()) {
                for streams in streams.chunks(MAX_STREAMS) {
                    let message = Digest {
                        begun_streams: streams.to_vec(),
                        ..self.partial_digest()
                    };
                    self.send_to(&message, &[vm]).await;
                }
            }
            compio::time::sleep(PAUSE).await;
            // Without another stream, VMs that were discovered meanwhile are told.
            let _ = compio::time::timeout(INTERVAL, is_added).await;
        }
    }

    /// Asks other VMs for the versions of streams, until the process ends.
    pub(crate) async fn send_version_queries(self: Rc<Self>) {
        let outbox = &self.state.peers.outbox;
        loop {
            let is_added = outbox.wait_for_version_queries();
            let queries = outbox.take_version_queries();
            for (query, vms) in &queries {
                let message = Digest {
                    version_queries: vec![query.clone()],
                    ..self.partial_digest()
                };
                self.send_to(&message, vms).await;
            }
            if queries.is_empty() {
                is_added.await;
            }
        }
    }

    /// Answers the questions of another VM.
    pub(super) async fn answer_version_queries(&self, vm: SocketAddr, queries: &[VersionQuery]) {
        let now = Instant::now();
        let replies = queries.iter().take(MAX_STREAMS).map(|query| {
            let key = StreamKey(query.stream);
            let answer = self.state.version_answer(key, &query.service, now);
            VersionReply::of(query.stream, &answer)
        });
        let message = Digest {
            version_replies: replies.collect(),
            ..self.partial_digest()
        };
        self.send_to(&message, &[vm]).await;
    }

    /// Applies what a message says of streams and their versions.
    pub(super) fn apply_stream_versions(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        let state = &self.state;
        for begun in &digest.begun_streams {
            let key = StreamKey(begun.stream);
            let version = begun.version.as_str().into();
            state.stream_versions.borrow_mut().record(key, version, now);
        }
        for service in &digest.mixed_services {
            let service = service.as_str().into();
            state
                .software_versions
                .borrow_mut()
                .note_report(service, now);
        }
        for open in &digest.open_versions {
            let (service, version) = (open.service.as_str().into(), open.version.as_str().into());
            let mut software_versions = state.software_versions.borrow_mut();
            software_versions.note_open(service, version, now);
        }
        for reply in &digest.version_replies {
            let search = state.version_search(StreamKey(reply.stream));
            if let Some(search) = search {
                search.record(sender, reply.answer());
            }
        }
    }

    fn partial_digest(&self) -> Digest {
        Digest {
            boot: self.boot,
            is_partial: true,
            ..Digest::default()
        }
    }
}
