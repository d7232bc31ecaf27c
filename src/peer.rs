//! Heartbeats between VMs: one task for each peer, and one for each accepted connection.

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
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
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
/// The maximum frame size, in bytes: fits a folded state with an inventory of maximum size.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// A connection to a peer, split into length-delimited frames.
type Link = Framed<Compat<Pin<Box<AsyncStream<TcpStream>>>>, LengthDelimitedCodec>;

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

/// The connections of this VM to its peers.
pub(crate) struct PeerConnections<S: PeerService> {
    service: Rc<S>,
    membership: Rc<Membership>,
    bytes: Counter,
}

impl<S: PeerService> PeerConnections<S> {
    /// Creates the connections over which `service` exchanges state with peers.
    pub(crate) fn new(service: Rc<S>, membership: Rc<Membership>, metrics: &Metrics) -> Rc<Self> {
        Rc::new(Self {
            service,
            membership,
            bytes: metrics.control_traffic_counter("peers"),
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
                Either::Left((Ok((stream, _)), _)) => {
                    compio::runtime::spawn(self.clone().serve_connection(stream)).detach();
                }
                Either::Left((Err(_), _)) => compio::time::sleep(HEARTBEAT_INTERVAL).await,
                Either::Right(_) => return,
            }
        }
    }

    /// Answers the frames of one connection until it fails or a frame has no answer.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let mut link = framed(stream);
        while let Some(body) = self.receive(&mut link).await {
            let answered = match body {
                Body::Heartbeat(heartbeat) => {
                    self.handle_heartbeat(heartbeat, None);
                    self.send_heartbeat(&mut link).await
                }
                Body::StateRequest(request) => self.send_state(&mut link, &request).await,
                Body::ControlState(_) => None,
            };
            if answered.is_none() {
                return;
            }
        }
    }

    async fn send_state(&self, link: &mut Link, request: &StateRequest) -> Option<()> {
        let state = self.service.folded_state(request.after_offset)?;
        let state = ControlState {
            read_to: state.read_to,
            record: state.record,
        };
        self.send(link, Body::ControlState(state)).await
    }
}

async fn connect(address: SocketAddr) -> Option<Link> {
    let stream = compio::time::timeout(LINK_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    Some(framed(stream))
}

fn framed(stream: TcpStream) -> Link {
    // Failing to set TCP_NODELAY only costs latency.
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(Box::pin(AsyncStream::new(stream)).compat(), codec)
}
