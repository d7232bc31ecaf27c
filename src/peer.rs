//! Heartbeats between VMs: one task for each peer, and one for each accepted connection.

use crate::client_memory::{ClientAccount, ClientMemory, ListenerId};
use crate::frame_codec::FrameCodec;
use crate::head_progress::HeadProgress;
use crate::inventory::Name;
use crate::membership::Membership;
use crate::metrics::Metrics;
use crate::shutdown::Shutdown;
use crate::stream::FoldedState;
use crate::wire::frame::Body;
use crate::wire::{ControlState, Frame, Heartbeat, StateRequest};
use bytes::Bytes;
use compio::io::compat::AsyncStream;
use compio::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use futures_util::{SinkExt, StreamExt};
use prometheus_client::metrics::counter::Counter;
use prost::Message;
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio_util::codec::Framed;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// The interval between two heartbeats to one peer.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// How long to wait for a connection or an answer; after that, a new connection is opened.
const LINK_TIMEOUT: Duration = Duration::from_millis(750);
/// How long a peer may take to send its folded state.
const STATE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The interval between two checks whether a peer's state is needed.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after each request for a peer's state.
const STATE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The maximum size of an answer, in bytes: fits a folded state with an inventory of maximum size.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// The maximum size of a request, in bytes: fits a heartbeat with the loads of thousands of runners.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;
/// The copies of a state that are made while it is sent.
const STATE_COPIES: usize = 3;
/// The connections that one peer may have to this VM.
const CONNECTIONS_PER_PEER: usize = 2;

/// A connection to a peer, split into length-delimited frames.
type Link = Framed<Compat<Pin<Box<AsyncStream<TcpStream>>>>, FrameCodec>;

/// The state that a VM exchanges with its peers.
pub(crate) trait PeerService: 'static {
    /// Builds the heartbeat to send now.
    fn heartbeat(&self) -> Heartbeat;
    /// Handles a heartbeat received from a peer.
    fn on_heartbeat(&self, heartbeat: &Heartbeat);
    /// Returns the folded control state, if there is a usable one beyond `after_offset`.
    fn folded_state(&self, after_offset: u64) -> Option<FoldedState>;
    /// Returns the offset beyond which a peer's state is needed; `None` if none is needed.
    fn wanted_state_offset(&self) -> Option<u64>;
    /// Applies a peer's folded control state.
    fn apply_state(&self, state: &FoldedState);
}

/// What connections from peers, or from whoever else reaches their address, may take.
#[derive(Clone, Debug)]
pub(crate) struct PeerLimits {
    /// The memory for what is held for them.
    pub(crate) memory: ClientMemory,
    /// The maximum number of connections beyond those of the known peers.
    pub(crate) max_unknown: usize,
}

/// A connection from a peer.
struct AcceptedLink {
    link: Link,
    account: ClientAccount,
    /// How far the peer has come with its next request.
    progress: HeadProgress,
}

/// The connections of this VM to its peers.
pub(crate) struct PeerConnections<S: PeerService> {
    service: Rc<S>,
    membership: Rc<Membership>,
    bytes: Counter,
    limits: PeerLimits,
    /// Identifies the connections from peers among all that share the memory.
    listener: ListenerId,
    accepted: Rc<Cell<usize>>,
}

/// Counts a connection from a peer as open until dropped.
struct OpenLink(Rc<Cell<usize>>);

impl OpenLink {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open.clone())
    }
}

impl Drop for OpenLink {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<S: PeerService> PeerConnections<S> {
    /// Creates the connections over which `service` exchanges state with peers.
    pub(crate) fn new(
        service: Rc<S>,
        membership: Rc<Membership>,
        metrics: &Metrics,
        limits: PeerLimits,
    ) -> Rc<Self> {
        Rc::new(Self {
            service,
            membership,
            bytes: metrics.control_traffic_counter("peers"),
            listener: limits.memory.add_listener(),
            limits,
            accepted: Rc::default(),
        })
    }

    /// Sends heartbeats to one peer until it is no longer listed; reconnects after a failure.
    pub(crate) async fn send_heartbeats(self: Rc<Self>, peer: Name) {
        while let Some(address) = self.membership.peer_address(&peer) {
            if let Some(mut link) = connect(address).await {
                while self.membership.peer_address(&peer) == Some(address) {
                    if !self.exchange_heartbeats(&mut link).await {
                        break;
                    }
                    compio::time::sleep(HEARTBEAT_INTERVAL).await;
                }
            }
            compio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Sends one heartbeat and receives its answer; returns whether both succeeded in time.
    async fn exchange_heartbeats(self: &Rc<Self>, link: &mut Link) -> bool {
        let sent_at = Instant::now();
        let round_trip = async {
            self.send_heartbeat(link).await?;
            self.receive_heartbeat(link, sent_at).await
        };
        matches!(
            compio::time::timeout(LINK_TIMEOUT, round_trip).await,
            Ok(Some(()))
        )
    }

    async fn send_heartbeat(&self, link: &mut Link) -> Option<()> {
        let heartbeat = Body::Heartbeat(self.service.heartbeat());
        self.send(link, heartbeat).await
    }

    async fn receive_heartbeat(
        self: &Rc<Self>,
        link: &mut Link,
        request_sent_at: Instant,
    ) -> Option<()> {
        let Body::Heartbeat(heartbeat) = self.receive(link).await? else {
            return None;
        };
        self.handle_heartbeat(heartbeat, Some(request_sent_at));
        Some(())
    }

    /// Records a heartbeat; starts sending heartbeats to the peer if it is new.
    fn handle_heartbeat(self: &Rc<Self>, heartbeat: Heartbeat, request_sent_at: Option<Instant>) {
        self.service.on_heartbeat(&heartbeat);
        if let Some(peer) = self.membership.record_heartbeat(heartbeat, request_sent_at) {
            compio::runtime::spawn(self.clone().send_heartbeats(peer)).detach();
        }
    }

    async fn send(&self, link: &mut Link, body: Body) -> Option<()> {
        let frame = Frame { body: Some(body) }.encode_to_vec();
        self.bytes.inc_by(frame.len() as u64);
        link.send(Bytes::from(frame)).await.ok()
    }

    async fn receive(&self, link: &mut Link) -> Option<Body> {
        let frame = link.next().await?.ok()?;
        self.bytes.inc_by(frame.len() as u64);
        Frame::decode(frame).ok()?.body
    }

    /// Fetches the folded control state from a peer whenever the log cannot supply it.
    pub(crate) async fn catch_up(self: Rc<Self>) {
        loop {
            compio::time::sleep(STATE_POLL_INTERVAL).await;
            let Some(offset) = self.service.wanted_state_offset() else {
                continue;
            };
            let Some(address) = self.membership.most_advanced_peer(offset) else {
                continue;
            };
            let fetched = compio::time::timeout(STATE_TIMEOUT, self.fetch_state(address, offset));
            if let Ok(Some(state)) = fetched.await {
                self.service.apply_state(&state);
            }
            compio::time::sleep(STATE_INTERVAL).await;
        }
    }

    /// Requests a peer's state over a separate connection, since the state may be large.
    async fn fetch_state(&self, address: SocketAddr, after_offset: u64) -> Option<FoldedState> {
        let mut link = connect(address).await?;
        let request = Body::StateRequest(StateRequest { after_offset });
        self.send(&mut link, request).await?;
        match self.receive(&mut link).await? {
            Body::ControlState(state) => Some(FoldedState {
                read_to: state.read_to,
                record: state.record,
            }),
            Body::Heartbeat(_) | Body::StateRequest(_) => None,
        }
    }

    /// Accepts connections from peers until `shutdown` is closed.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener, shutdown: Rc<Shutdown>) {
        let mut stop = pin!(shutdown.wait());
        loop {
            let accept = pin!(listener.accept());
            match select(accept, stop.as_mut()).await {
                Either::Left((Ok((stream, _)), _)) => self.clone().admit(stream),
                Either::Left((Err(_), _)) => compio::time::sleep(HEARTBEAT_INTERVAL).await,
                Either::Right(_) => return,
            }
        }
    }

    /// Serves a connection, if there is a place and memory for it. Another one is closed for it if
    /// possible.
    fn admit(self: Rc<Self>, stream: TcpStream) {
        let of_peers = CONNECTIONS_PER_PEER * self.membership.peer_count();
        let max_accepted = self.limits.max_unknown + of_peers;
        let memory = &self.limits.memory;
        let has_place =
            self.accepted.get() < max_accepted || memory.free_place(Some(self.listener));
        if !has_place || !memory.has_connection_room() {
            return;
        }
        let progress = HeadProgress::default();
        let account = memory.open_account(self.listener, progress.clone());
        let codec =
            FrameCodec::reserving(MAX_REQUEST_BYTES, account.reservation(), progress.clone());
        let accepted = AcceptedLink {
            link: framed(stream, codec),
            account,
            progress,
        };
        let open = OpenLink::new(&self.accepted);
        compio::runtime::spawn(async move {
            let _open = open;
            let account = accepted.account.clone();
            let serving = pin!(self.serve_connection(accepted));
            select(serving, pin!(account.evicted())).await;
        })
        .detach();
    }

    /// Answers the frames of one connection until it fails or a frame has no answer.
    async fn serve_connection(self: Rc<Self>, mut accepted: AcceptedLink) {
        loop {
            let received = {
                let _awaited = accepted.progress.await_head();
                self.receive(&mut accepted.link).await
            };
            let Some(body) = received else {
                return;
            };
            accepted.account.note_unread();
            let answered = match body {
                Body::Heartbeat(heartbeat) => {
                    self.handle_heartbeat(heartbeat, None);
                    self.send_heartbeat(&mut accepted.link).await
                }
                Body::StateRequest(request) => self.send_state(&mut accepted, &request).await,
                Body::ControlState(_) => None,
            };
            accepted.account.note_read();
            if answered.is_none() {
                return;
            }
        }
    }

    async fn send_state(&self, accepted: &mut AcceptedLink, request: &StateRequest) -> Option<()> {
        let state = self.service.folded_state(request.after_offset)?;
        let mut reservation = accepted.account.reservation();
        let held_bytes = STATE_COPIES * state.record.len();
        if !reservation.grow_to_or_fail(held_bytes).await {
            return None;
        }
        let state = ControlState {
            read_to: state.read_to,
            record: state.record,
        };
        self.send(&mut accepted.link, Body::ControlState(state))
            .await
    }
}

async fn connect(address: SocketAddr) -> Option<Link> {
    let stream = compio::time::timeout(LINK_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    Some(framed(stream, FrameCodec::new(MAX_ANSWER_BYTES)))
}

fn framed(stream: TcpStream, codec: FrameCodec) -> Link {
    // Failing to set TCP_NODELAY only costs latency.
    let _ = stream.set_nodelay(true);
    Framed::new(Box::pin(AsyncStream::new(stream)).compat(), codec)
}
