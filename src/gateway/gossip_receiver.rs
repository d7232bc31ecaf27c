//! Receives the gossip datagrams between VMs and applies each part of a message to the state that
//! it concerns.

use crate::callers::Ledger;
use crate::gateway::PromptPart;
use crate::gateway::coming_copy::ComingCopy;
use crate::gateway::crash_state::PeerCrashNews;
use crate::gateway::fleet::Incarnation;
use crate::gateway::fleet::holding;
use crate::gateway::gossip::Gossip;
use crate::gateway::gossip_message::{Digest, UsageReportPart};
use crate::gateway::peers::MICROS_PER_MILLI;
use crate::gateway::stream_message::VersionQuery;
use compio::BufResult;
use prost::Message;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// Pause after a failed receive call.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);
/// Maximum size of a received message, in bytes.
const RECEIVE_BYTES: usize = 64 * 1024;

/// What the sender of a message requests of its receiver.
enum Request {
    /// All VMs that the receiver knows.
    View,
    /// The software versions of streams.
    Versions(Vec<VersionQuery>),
    /// To forward the message to the VMs of the receiver's zone.
    ForwardToZone(Box<Digest>),
}

impl Gossip {
    /// Receives and applies messages until the process ends.
    pub(crate) async fn receive(self: Rc<Self>) {
        loop {
            let buffer = Vec::with_capacity(RECEIVE_BYTES);
            let BufResult(received, buffer) = self.socket.recv_from(buffer).await;
            match received {
                Ok((_, sender)) => match self.apply(sender, &buffer) {
                    Some(Request::View) => self.send_all_vms(sender).await,
                    Some(Request::Versions(queries)) => {
                        self.answer_version_queries(sender, &queries).await;
                    }
                    Some(Request::ForwardToZone(message)) => self.forward_to_zone(&message).await,
                    None => {}
                },
                // Sending to a peer that is gone makes the next receive call fail; no message is
                // lost.
                Err(_) => compio::time::sleep(RECEIVE_PAUSE).await,
            }
        }
    }

    /// Applies a message; returns what the sender requests.
    fn apply(&self, sender: SocketAddr, bytes: &[u8]) -> Option<Request> {
        let digest = match Digest::decode(bytes) {
            Ok(digest) => digest,
            Err(error) => {
                warn!(peer = %sender, %error, "peer message unreadable");
                return None;
            }
        };
        let now = Instant::now();
        if let Some(followed) = &digest.followed_log {
            for position in [followed.directory_end, followed.configuration_changed_to] {
                self.state.note_position(position, "vm", now);
            }
        }
        self.apply_crash_news(sender, &digest, now);
        for run in &digest.leaving {
            if let Some(server) = self.state.fleet.run(&run.incarnation()) {
                self.state.note_leaving(&server, now);
            }
        }
        if let Some(update) = digest.directory.clone() {
            self.state.apply_directory_update(update, now);
        }
        self.apply_holdings(&digest, now);
        self.apply_prompts(sender, &digest, now);
        self.apply_shared_usage(sender, &digest, now);
        self.apply_stream_versions(sender, &digest, now);
        self.apply_server_speeds(sender, &digest, now);
        if let Some(part) = &digest.runner_loads {
            self.state.runner_loads.apply(part, now);
        }
        self.apply_plain_loads(sender, &digest, now);
        if digest.has_loads {
            self.state.peers.apply_loads(sender, &digest);
        }
        if digest.has_demand {
            self.state.peers.apply_demand(sender, &digest);
        }
        self.state.peers.merge_sightings(&digest, now);
        if !digest.is_partial {
            self.state.peers.apply_digest(sender, &digest, now);
        } else if digest.followed_log.is_some() {
            self.state.peers.apply_followed_log(sender, &digest, now);
        }
        match digest {
            Digest {
                requests_view: true,
                ..
            } => Some(Request::View),
            Digest {
                is_for_zone: true, ..
            } => Some(Request::ForwardToZone(Box::new(Digest {
                is_for_zone: false,
                ..digest
            }))),
            Digest {
                version_queries, ..
            } if !version_queries.is_empty() => Some(Request::Versions(version_queries)),
            _ => None,
        }
    }

    /// Applies what a peer tells of crashed servers.
    fn apply_crash_news(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        let reports = digest.crashes.iter().filter_map(|it| it.report());
        let clearances = digest.clearances.iter().filter_map(|it| it.clearance());
        let contained = digest.contained.iter().filter_map(|it| it.contained());
        let news = PeerCrashNews {
            reports: reports.collect(),
            clearances: clearances.collect(),
            begun_parts: digest.begun_parts.iter().copied().map(PromptPart).collect(),
            is_complete: digest.lists_all_contained
                && !self.state.containment_knowledge.get().is_told(),
            contained: contained.collect(),
        };
        if !news.is_empty() {
            self.state.apply_crash_news(sender, &news, now);
        }
    }

    fn apply_shared_usage(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        if let Some(part) = &digest.usage_report {
            let mut ledger = self.state.ledger.borrow_mut();
            self.apply_usage_report(&mut ledger, part, sender, digest, now);
        }
        let Some(part) = &digest.server_limits else {
            return;
        };
        for statement in part.statements.iter().filter_map(|it| it.statement()) {
            self.state.merge_limit_statement(&statement, now);
        }
        if let Some(usage) = &part.usage {
            let mut limits = self.state.server_limits.borrow_mut();
            self.apply_usage_report(limits.ledger(), usage, sender, digest, now);
        }
    }

    /// Applies the usage report of a message to the ledger that it concerns.
    fn apply_usage_report(
        &self,
        ledger: &mut Ledger,
        part: &UsageReportPart,
        sender: SocketAddr,
        digest: &Digest,
        now: Instant,
    ) {
        let zone = digest.availability_zone.as_str();
        if zone == self.state.settings.availability_zone {
            let next_in = Duration::from_millis(u64::from(digest.next_in_ms));
            ledger.apply_vm_report(sender, part.report(), next_in, now);
        } else {
            ledger.apply_zone_report(&zone.into(), part.report(), now);
        }
    }

    fn apply_server_speeds(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        let Some(part) = &digest.server_speeds else {
            return;
        };
        let speeds = &self.state.server_speeds;
        match digest.availability_zone == self.state.settings.availability_zone.as_str() {
            true => speeds.apply_vm(sender, part, now),
            false => speeds.apply_zone(&digest.availability_zone.as_str().into(), part, now),
        }
    }

    fn apply_plain_loads(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        let loads = &self.state.plain_loads;
        if digest.is_leaving {
            loads.forget_vm(&sender);
        }
        let Some(part) = &digest.plain_loads else {
            return;
        };
        match digest.availability_zone == self.state.settings.availability_zone.as_str() {
            true => loads.apply_vm(sender, part, now),
            false => loads.apply_zone(&digest.availability_zone.as_str().into(), part, now),
        }
    }

    fn apply_prompts(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        self.state.peers.apply_prompts(sender, &digest.prompts);
        for prompt in &digest.prompts {
            if let Some(server) = self.state.fleet.server(&prompt.server) {
                let prefill_ms = f64::from(prompt.prefill_us) / MICROS_PER_MILLI;
                server.backlog.note(prefill_ms, now);
            }
        }
    }

    fn apply_holdings(&self, digest: &Digest, now: Instant) {
        if digest.holdings.is_empty() {
            return;
        }
        for runner in &digest.holdings {
            let run = Incarnation {
                id: runner.server.as_str().into(),
                started_ms: runner.started_ms,
            };
            let Some(server) = self.state.fleet.run(&run) else {
                continue;
            };
            let models = runner.models.iter();
            let holdings = models.map(|it| holding(&it.model, it.version, &it.adapters));
            server.note_leader_view(holdings.collect(), now);
            let loading = runner.loading.as_ref();
            server.note_coming(loading.map(|loading| {
                ComingCopy::after_ms(loading.model.as_str().into(), loading.ready_in_ms, now)
            }));
        }
        self.state.changed.notify();
    }
}
