//! Sends the directory and the configuration to other VMs, so that they need not read the log.

use crate::gateway::crash_message::ContainedCauseMessage;
use crate::gateway::directory_updates::ServerUpdate;
use crate::gateway::packed_document::pack;
use crate::gateway::state::State;
use crate::gateway::sync_message::{Part, SyncReply, SyncRequest};
use crate::gateway::transfer_slots::TransferSlots;
use crate::gateway::{Changes, Document, ServerChange};
use crate::http::{Body, read_body};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use prost::Message;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// How long the encoded directory is sent again although it has changed since. Its receivers then
/// ask for the changes.
const ENCODED_TTL: Duration = Duration::from_millis(1_000);
/// The number of packed configurations that are kept.
const MAX_PACKED: usize = 4;
/// How long a transfer may make no progress.
const MAX_STALL: Duration = Duration::from_millis(1_000);
/// Size of the chunks in which a reply is written.
const CHUNK_BYTES: usize = 32 * 1024;
/// Largest accepted request, in bytes.
const MAX_REQUEST_BYTES: usize = 1_024;
/// The header that holds the address at which the sender of a request receives messages.
pub(super) const SENDER_HEADER: &str = "x-sender";

/// The whole directory as it is sent.
#[derive(Debug)]
struct EncodedDirectory {
    reply: Bytes,
    at: Instant,
}

/// A configuration as it is sent to VMs that have the same one now.
#[derive(Debug)]
struct PackedConfiguration {
    digest: u64,
    base_digest: Option<u64>,
    packed: Bytes,
}

/// Counts a transfer as open until dropped.
#[derive(Debug)]
struct TransferGuard(Rc<SyncServer>);

impl Drop for TransferGuard {
    fn drop(&mut self) {
        self.0.slots.borrow_mut().release();
    }
}

/// Answers the requests of other VMs for the directory and the configuration.
#[derive(Debug)]
pub(crate) struct SyncServer {
    state: Rc<State>,
    slots: RefCell<TransferSlots>,
    encoded: RefCell<Option<EncodedDirectory>>,
    packed: RefCell<VecDeque<PackedConfiguration>>,
}

impl SyncServer {
    /// Creates a server that sends what `state` contains.
    pub(crate) fn new(state: Rc<State>) -> Rc<Self> {
        Rc::new(Self {
            state,
            slots: RefCell::default(),
            encoded: RefCell::new(None),
            packed: RefCell::default(),
        })
    }

    /// Answers one request.
    pub(crate) async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let sender = request.headers().get(SENDER_HEADER);
        let sender = sender.and_then(|it| it.to_str().ok()?.parse::<SocketAddr>().ok());
        let body = read_body(request.into_body(), MAX_REQUEST_BYTES).await;
        let request = body.ok().and_then(|body| SyncRequest::decode(body).ok());
        let (Some(sender), Some(request)) = (sender, request) else {
            warn!("request of another VM unreadable");
            let mut response = Response::new(Body::empty());
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return response;
        };
        let part = request.part();
        let now = Instant::now();
        let slot = self.slots.borrow_mut().take(part, sender, now);
        let reply = match slot.map(|()| TransferGuard(self.clone())) {
            Err(referrals) => SyncReply {
                is_busy: true,
                referrals: referrals.iter().map(SocketAddr::to_string).collect(),
                ..SyncReply::default()
            },
            Ok(guard) => match self.encode_part(&request, now) {
                Some(reply) => {
                    debug!(peer = %sender, part = part.name(), bytes = reply.len(), "state sent");
                    let mut slots = self.slots.borrow_mut();
                    slots.note_receiver(part, sender, now);
                    return Response::new(send_chunks(reply, guard));
                }
                None => SyncReply {
                    is_reading: self.state.reads_log.get(),
                    ..SyncReply::default()
                },
            },
        };
        Response::new(Body::full(reply.encode_to_vec()))
    }

    /// Encodes the reply with a part; `None` if this VM has nothing newer than the sender
    /// of the request.
    fn encode_part(&self, request: &SyncRequest, now: Instant) -> Option<Bytes> {
        let part = request.part();
        let from = request.from;
        let end = self.state.synced_to(part)?;
        if from.is_some_and(|from| from >= end) {
            return None;
        }
        let containment = self.state.containment_knowledge.get();
        match part {
            // The receiver would have to read from the log what is contained.
            Part::Configuration if from.is_none() && !containment.may_serve() => None,
            Part::Configuration => {
                let document = &self.state.configuration()?.document;
                let mut reply = self.reply(part, end, now)?;
                match request.accepts_packed {
                    true => self.add_packed(&mut reply, document, request.base_digest),
                    false => reply.document = document.bytes(),
                }
                if from.is_none() {
                    reply.knows_contained = containment.is_told();
                    reply.lists_all_contained = containment.is_told();
                    reply.contained = self.contained_causes(now);
                }
                Some(reply.encode_to_vec().into())
            }
            Part::Directory => {
                let since = from.and_then(|from| self.state.history.borrow().since(from));
                match since {
                    Some(changes) => Some(self.encode_directory(&changes, false, now)?),
                    None => self.encode_whole_directory(end, now),
                }
            }
        }
    }

    /// What this VM contains because it crashes servers.
    fn contained_causes(&self, now: Instant) -> Vec<ContainedCauseMessage> {
        let confirmed = self.state.containment.borrow().confirmed(now).into_iter();
        let encoded = confirmed.map(|(cause, idle)| ContainedCauseMessage::of(cause, idle));
        encoded.collect()
    }

    /// Adds a configuration to a reply as a difference to the one that the receiver has, if this VM
    /// had that too.
    fn add_packed(&self, reply: &mut SyncReply, document: &Document, base_digest: Option<u64>) {
        let base = base_digest.and_then(|digest| self.state.documents.borrow().find(digest));
        reply.base_digest = base.as_ref().map(Document::digest);
        let mut cached = self.packed.borrow_mut();
        let is_same = |it: &&PackedConfiguration| {
            it.digest == document.digest() && it.base_digest == reply.base_digest
        };
        if let Some(same) = cached.iter().find(is_same) {
            reply.packed = same.packed.clone();
            return;
        }
        let base = base.unwrap_or_default();
        match pack(&document.bytes(), &base.bytes()) {
            Ok(packed) => {
                reply.packed = packed.into();
                cached.truncate(MAX_PACKED - 1);
                cached.push_front(PackedConfiguration {
                    digest: document.digest(),
                    base_digest: reply.base_digest,
                    packed: reply.packed.clone(),
                });
            }
            Err(error) => {
                warn!(%error, "configuration not packed");
                reply.base_digest = None;
                reply.document = document.bytes();
            }
        }
    }

    /// Encodes the whole directory, or returns a copy that was encoded a moment ago.
    fn encode_whole_directory(&self, end: u64, now: Instant) -> Option<Bytes> {
        let mut encoded = self.encoded.borrow_mut();
        let recent = encoded
            .as_ref()
            .filter(|it| now.saturating_duration_since(it.at) < ENCODED_TTL);
        if let Some(recent) = recent {
            return Some(recent.reply.clone());
        }
        let servers = self.state.fleet.servers().into_iter();
        let listed = servers.filter(|server| !server.is_marked_removed());
        let entries = listed.flat_map(|server| {
            let entry = server.with_entry(|it| ServerChange::Revived(it.clone()));
            let is_lost = server.is_entry_lost();
            let lost = is_lost.then(|| ServerChange::Lost(server.id.clone()));
            [Some(entry), lost].into_iter().flatten()
        });
        let changes = Changes {
            items: entries.chain(self.recent_removals(now)).collect(),
            next_offset: end,
        };
        let reply = self.encode_directory(&changes, true, now)?;
        *encoded = Some(EncodedDirectory {
            reply: reply.clone(),
            at: now,
        });
        Some(reply)
    }

    /// The removals after which late entries may still be read, with the entries read since.
    fn recent_removals(&self, now: Instant) -> Vec<ServerChange> {
        let removals = self.state.fleet.recent_removals(now).into_iter();
        let changes = removals.flat_map(|(id, removal)| {
            let entry = removal.candidate().cloned().map(ServerChange::Upserted);
            [Some(ServerChange::RemovedRun(id, removal)), entry]
                .into_iter()
                .flatten()
        });
        changes.collect()
    }

    fn encode_directory(
        &self,
        changes: &Changes<ServerChange>,
        is_whole: bool,
        now: Instant,
    ) -> Option<Bytes> {
        let items = changes.items.iter();
        let unknown_for = self.state.fleet.removals_unknown_for(now);
        let reply = SyncReply {
            is_whole,
            removals_unknown_ms: is_whole.then_some(unknown_for.as_millis() as u64),
            changes: items.map(ServerUpdate::from_change).collect(),
            ..self.reply(Part::Directory, changes.next_offset, now)?
        };
        Some(reply.encode_to_vec().into())
    }

    fn reply(&self, part: Part, next: u64, now: Instant) -> Option<SyncReply> {
        let confirmed_at = self.state.confirmed_at(part, now)?;
        let age = now.saturating_duration_since(confirmed_at);
        Some(SyncReply {
            has_part: true,
            next,
            confirmed_age_ms: age.as_millis() as u64,
            ..SyncReply::default()
        })
    }
}

/// Sends a reply in chunks. The transfer counts as open until the last one is taken, or until the
/// receiver has taken none for [`MAX_STALL`]: one that hangs does not keep others waiting.
fn send_chunks(mut reply: Bytes, guard: TransferGuard) -> Body {
    let (mut sender, body) = Body::answer(1);
    compio::runtime::spawn(async move {
        let _guard = guard;
        while !reply.is_empty() {
            let chunk = reply.split_to(reply.len().min(CHUNK_BYTES));
            match compio::time::timeout(MAX_STALL, sender.send(chunk)).await {
                Ok(true) => {}
                Ok(false) => return,
                Err(_elapsed) => {
                    debug!("transfer of state abandoned");
                    return;
                }
            }
        }
        sender.mark_complete();
    })
    .detach();
    body
}
