//! Receiving the datagrams between VMs: what each of them says is taken over by whom it concerns.

use crate::gateway::fleet::Incarnation;
use crate::gateway::gossip::Gossip;
use crate::gateway::gossip_message::Digest;
use crate::gateway::peers::{MICROS_PER_MILLI, holding};
use compio::BufResult;
use prost::Message;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The pause after a failed receipt.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);
/// The largest message that is received.
const RECEIVE_BYTES: usize = 64 * 1024;

impl Gossip {
    /// Receives messages until the process ends.
    pub(crate) async fn receive(self: Rc<Self>) {
        loop {
            let buffer = Vec::with_capacity(RECEIVE_BYTES);
            let BufResult(received, buffer) = self.socket.recv_from(buffer).await;
            match received {
                Ok((_, sender)) => {
                    if self.take(sender, &buffer) {
                        self.tell_all(sender).await;
                    }
                }
                // A peer that is gone makes the next receipt fail; nothing was lost.
                Err(_) => compio::time::sleep(RECEIVE_PAUSE).await,
            }
        }
    }

    /// Takes a message over; tells whether it asks for all VMs.
    fn take(&self, sender: SocketAddr, bytes: &[u8]) -> bool {
        let digest = match Digest::decode(bytes) {
            Ok(digest) => digest,
            Err(error) => {
                warn!(peer = %sender, %error, "peer message unreadable");
                return false;
            }
        };
        let now = Instant::now();
        for crash in &digest.crashes {
            let suspects = &self.state.suspects;
            if suspects.merge_crashes(crash.fingerprint, crash.crashes, now) {
                info!(peer = %sender, fingerprint = crash.fingerprint, crashes = crash.crashes, "crash told");
            }
        }
        if let Some(news) = digest.directory.clone() {
            self.state.apply_directory_update(news, now);
        }
        self.take_holdings(&digest, now);
        self.take_prompts(sender, &digest, now);
        self.take_tally(sender, &digest, now);
        if digest.has_loads {
            self.state.peers.apply_loads(sender, &digest);
        }
        if digest.has_demand {
            self.state.peers.apply_demand(sender, &digest);
        }
        self.state.peers.merge_sightings(&digest, now);
        if !digest.is_partial {
            self.state.peers.take(sender, &digest, now);
        }
        digest.requests_view
    }

    fn take_tally(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        let Some(told) = &digest.tally else {
            return;
        };
        let zone = digest.availability_zone.as_str();
        let mut ledger = self.state.ledger.borrow_mut();
        if zone == self.state.settings.availability_zone {
            let next_in = Duration::from_millis(u64::from(digest.next_in_ms));
            ledger.apply_vm_report(sender, told.tally(), next_in, now);
        } else {
            ledger.apply_zone_report(&zone.into(), told.tally(), now);
        }
    }

    fn take_prompts(&self, sender: SocketAddr, digest: &Digest, now: Instant) {
        self.state.peers.take_prompts(sender, &digest.prompts);
        for prompt in &digest.prompts {
            if let Some(server) = self.state.fleet.server(&prompt.server) {
                let read_ms = f64::from(prompt.prefill_us) / MICROS_PER_MILLI;
                server.backlog.note(read_ms, now);
            }
        }
    }

    fn take_holdings(&self, digest: &Digest, now: Instant) {
        if digest.holdings.is_empty() {
            return;
        }
        for told in &digest.holdings {
            let run = Incarnation {
                id: told.server.as_str().into(),
                started_ms: told.started_ms,
            };
            let Some(server) = self.state.fleet.run(&run) else {
                continue;
            };
            let models = told.models.iter();
            let holdings = models.map(|it| holding(&it.model, it.version, &it.adapters));
            server.note_leader_view(holdings.collect(), now);
        }
        self.state.changed.notify();
    }
}
