//! Obtains the directory and the configuration from other VMs.

use crate::client::{Connection, SendError};
use crate::gateway::Document;
use crate::gateway::packed_document::unpack;
use crate::gateway::peer_search::{PeerSearch, REGULAR_REQUESTS};
use crate::gateway::state::State;
use crate::gateway::sync_message::{Part, SyncReply, SyncRequest};
use crate::gateway::sync_server::SENDER_HEADER;
use crate::http::{Body, read_flowing_body};
use crate::response_body::ResponseBody;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response};
use prost::Message;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How long another VM may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long sent bytes may stay unacknowledged.
const UNACKED_LIMIT: Duration = Duration::from_millis(1_000);
/// How long a reply may take to begin.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a reply may pause. How long it takes depends on its size and on the links of both VMs.
const MAX_STALL: Duration = Duration::from_millis(400);
/// How long a VM without the part looks for one that sends it.
pub(super) const SEARCH_TIME: Duration = Duration::from_millis(4_000);
/// Largest accepted reply, in bytes.
const MAX_REPLY_BYTES: usize = 32 * 1024 * 1024;

/// A reply of another VM.
#[derive(Debug)]
pub(super) struct ReceivedPart {
    pub(super) reply: SyncReply,
    /// The VM that sent it.
    pub(super) peer: SocketAddr,
    /// The bytes that were transferred.
    pub(super) bytes: u64,
    /// When it was requested.
    pub(super) requested_at: Instant,
}

impl ReceivedPart {
    /// Returns a time at which the part was current. Its age counts from the request: the reply may
    /// have been under way for any part of the time since then, or have waited while this VM was
    /// stopped.
    pub(super) fn confirmed_at(&self) -> Instant {
        let age = Duration::from_millis(self.reply.confirmed_age_ms);
        let requested_at = self.requested_at;
        requested_at.checked_sub(age).unwrap_or(requested_at)
    }
}

/// Requests parts of the state from other VMs.
#[derive(Debug)]
pub(crate) struct SyncClient {
    state: Rc<State>,
    /// The number of requests for either part since another VM last sent one.
    unanswered: Cell<usize>,
}

impl SyncClient {
    /// Creates a client for the VM with this state.
    pub(crate) fn new(state: Rc<State>) -> Self {
        Self {
            state,
            unanswered: Cell::new(0),
        }
    }

    /// Requests what is newer than `from` in a part, or the whole part, from the VMs of `search` or
    /// from those to which they refer. Returns `None` if none of them begins to send it within `limit`.
    pub(super) async fn fetch(
        &self,
        part: Part,
        from: Option<u64>,
        mut search: PeerSearch,
        limit: Duration,
    ) -> Option<ReceivedPart> {
        let began = Instant::now();
        loop {
            let left = limit.checked_sub(began.elapsed())?;
            let peer = search.next(rand::random())?;
            let requested_at = Instant::now();
            let received_bytes = Cell::new(0);
            let reply_timeout = left.min(REPLY_TIMEOUT);
            let reply = self.request(part, from, peer, reply_timeout, &received_bytes);
            let reply = reply.await;
            self.state.metrics.sync_bytes.inc_by(received_bytes.get());
            let is_busy = matches!(&reply, Ok(reply) if reply.is_busy);
            match reply {
                Ok(reply) if reply.has_part => {
                    self.unanswered.set(0);
                    return Some(ReceivedPart {
                        reply,
                        peer,
                        bytes: received_bytes.get(),
                        requested_at,
                    });
                }
                Ok(reply) if reply.is_busy => {
                    let own = self.state.settings.peer_address;
                    let referrals = reply.referrals.iter().filter_map(|it| it.parse().ok());
                    search.note_busy(referrals.filter(|it| *it != own));
                }
                Ok(reply) => {
                    if reply.is_reading {
                        self.state.peers.note_reader(Instant::now());
                    }
                    search.note_lacking(peer);
                }
                Err(error) => {
                    info!(
                        %peer,
                        part = part.name(),
                        ?error,
                        took_ms = requested_at.elapsed().as_millis() as u64,
                        received_bytes = received_bytes.get(),
                        "state not received"
                    );
                    search.note_unreachable(peer);
                }
            }
            let requests = match from {
                // A running VM that lacks a change asks at the regular rate.
                Some(_) => REGULAR_REQUESTS,
                None => self.unanswered.get() + 1,
            };
            if from.is_none() {
                self.unanswered.set(requests);
            }
            // A busy VM has the part, and sends it or names others that do.
            let requests = match is_busy {
                true => requests.min(REGULAR_REQUESTS),
                false => requests,
            };
            compio::time::sleep(PeerSearch::pause(requests, rand::random())).await;
        }
    }

    /// Requests a part from one VM, which has to begin its reply within `timeout`.
    async fn request(
        &self,
        part: Part,
        from: Option<u64>,
        peer: SocketAddr,
        timeout: Duration,
        received_bytes: &Cell<u64>,
    ) -> Result<SyncReply, SendError> {
        let base = match part {
            Part::Configuration => self.state.configuration().map(|it| it.document.clone()),
            Part::Directory => None,
        };
        let request = SyncRequest {
            part: part.into(),
            from,
            accepts_packed: part == Part::Configuration,
            base_digest: base.as_ref().map(Document::digest),
        };
        let head = compio::time::timeout(timeout, self.request_head(peer, &request)).await;
        // The connection is closed when it is dropped.
        let (_connection, response) = head.unwrap_or(Err(SendError::MaybeSent))?;
        let body = response.into_body();
        let body = read_flowing_body(body, MAX_REPLY_BYTES, MAX_STALL, received_bytes).await;
        let body = body.map_err(|_error| SendError::MaybeSent)?;
        let reply = SyncReply::decode(body).map_err(io::Error::other);
        let reply = reply.and_then(|reply| unpack_document(reply, base.as_ref()));
        reply.map_err(|error| {
            warn!(%peer, %error, "reply of another VM unreadable");
            SendError::MaybeSent
        })
    }

    /// Sends a request and waits until the reply begins.
    async fn request_head(
        &self,
        peer: SocketAddr,
        request: &SyncRequest,
    ) -> Result<(Connection, Response<ResponseBody>), SendError> {
        let mut connection = Connection::open_bulk(peer, CONNECT_TIMEOUT, UNACKED_LIMIT).await?;
        let request = Request::post("/sync")
            .header(header::HOST, address_header(peer))
            .header(
                SENDER_HEADER,
                address_header(self.state.settings.peer_address),
            )
            .body(Body::full(request.encode_to_vec()))
            .expect("the parts are valid");
        let response = connection.send(request).await?;
        Ok((connection, response))
    }
}

/// Replaces a packed configuration in a reply by its text. `base` is the configuration that this VM
/// named in its request.
fn unpack_document(mut reply: SyncReply, base: Option<&Document>) -> io::Result<SyncReply> {
    if reply.packed.is_empty() {
        return Ok(reply);
    }
    let base = match reply.base_digest {
        None => Bytes::new(),
        Some(digest) => base
            .filter(|base| base.digest() == digest)
            .map(Document::bytes)
            .ok_or_else(|| io::Error::other("difference to another configuration"))?,
    };
    let packed = std::mem::take(&mut reply.packed);
    reply.document = unpack(&packed, &base, MAX_REPLY_BYTES)?.into();
    Ok(reply)
}

fn address_header(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).expect("an address is a header value")
}
