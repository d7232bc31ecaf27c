//! Heartbeats between VMs: one task for each peer, one for each connection.

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

/// The time between two heartbeats to one peer.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// A link without an answer for this long is replaced by a new connection.
const LINK_TIMEOUT: Duration = Duration::from_millis(750);
/// How long a peer may take to hand over its folded state.
const STATE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The time between two looks whether a peer's state is needed.
const STATE_LOOK: Duration = Duration::from_millis(100);
/// The time between two states taken from peers.
const STATE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The largest frame, in bytes: a folded state with an inventory of the largest size.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

type Link = Framed<Compat<Pin<Box<AsyncStream<TcpStream>>>>, LengthDelimitedCodec>;

/// What a VM tells its peers, and takes from them.
pub(crate) trait PeerService: 'static {
    /// Builds the heartbeat to send now.
    fn heartbeat(&self) -> Heartbeat;
    /// Takes note of a peer's heartbeat.
    fn heard(&self, heartbeat: &Heartbeat);
    /// The folded control state, if it is known and goes beyond `after_offset`.
    fn state(&self, after_offset: u64) -> Option<FoldedState>;
    /// The offset beyond which a peer's state is of use now.
    fn wants_state(&self) -> Option<u64>;
    /// Takes over a peer's state.
    fn take_state(&self, state: &FoldedState);
}

/// The links of this VM to its peers.
pub(crate) struct Links<S: PeerService> {
    service: Rc<S>,
    membership: Rc<Membership>,
    bytes: Counter,
}

impl<S: PeerService> Links<S> {
    /// Links over which `service` talks to peers.
    pub(crate) fn new(service: Rc<S>, membership: Rc<Membership>, metrics: &Metrics) -> Rc<Self> {
        Rc::new(Self {
            service,
            membership,
            bytes: metrics.control_traffic_counter("peers"),
        })
    }

    /// Sends heartbeats to one peer until it is not listed any more.
    pub(crate) async fn call(self: Rc<Self>, peer: Name) {
        while let Some(address) = self.membership.peer_address(&peer) {
            if let Some(mut link) = open(address).await {
                while self.membership.peer_address(&peer) == Some(address) {
                    if !self.exchange(&mut link).await {
                        break;
                    }
                    compio::time::sleep(HEARTBEAT_INTERVAL).await;
                }
            }
            compio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Sends one heartbeat and takes the one that answers it.
    async fn exchange(self: &Rc<Self>, link: &mut Link) -> bool {
        let asked_at = Instant::now();
        let turn = async {
            self.say(link).await?;
            self.hear(link, asked_at).await
        };
        matches!(
            compio::time::timeout(LINK_TIMEOUT, turn).await,
            Ok(Some(()))
        )
    }

    async fn say(&self, link: &mut Link) -> Option<()> {
        let heartbeat = Body::Heartbeat(self.service.heartbeat());
        self.send(link, heartbeat).await
    }

    async fn hear(self: &Rc<Self>, link: &mut Link, asked_at: Instant) -> Option<()> {
        let Body::Heartbeat(heartbeat) = self.receive(link).await? else {
            return None;
        };
        self.note(heartbeat, Some(asked_at));
        Some(())
    }

    fn note(self: &Rc<Self>, heartbeat: Heartbeat, asked_at: Option<Instant>) {
        self.service.heard(&heartbeat);
        if let Some(peer) = self.membership.note(heartbeat, asked_at) {
            compio::runtime::spawn(self.clone().call(peer)).detach();
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

    /// Takes the folded control state from a peer whenever the log does not help.
    pub(crate) async fn catch_up(self: Rc<Self>) {
        loop {
            compio::time::sleep(STATE_LOOK).await;
            let Some(offset) = self.service.wants_state() else {
                continue;
            };
            let Some(address) = self.membership.most_advanced_peer(offset) else {
                continue;
            };
            let fetched = compio::time::timeout(STATE_TIMEOUT, self.fetch_state(address, offset));
            if let Ok(Some(state)) = fetched.await {
                self.service.take_state(&state);
            }
            compio::time::sleep(STATE_INTERVAL).await;
        }
    }

    /// Asks one peer for its state, on a connection of its own: it may be large.
    async fn fetch_state(&self, address: SocketAddr, after_offset: u64) -> Option<FoldedState> {
        let mut link = open(address).await?;
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

    /// Accepts links from peers until shutdown closes.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener, shutdown: Rc<Shutdown>) {
        let mut stop = pin!(shutdown.wait());
        loop {
            let accept = pin!(listener.accept());
            match select(accept, stop.as_mut()).await {
                Either::Left((Ok((stream, _)), _)) => {
                    compio::runtime::spawn(self.clone().answer(stream)).detach();
                }
                Either::Left((Err(_), _)) => compio::time::sleep(HEARTBEAT_INTERVAL).await,
                Either::Right(_) => return,
            }
        }
    }

    async fn answer(self: Rc<Self>, stream: TcpStream) {
        let mut link = frame(stream);
        while let Some(body) = self.receive(&mut link).await {
            let answered = match body {
                Body::Heartbeat(heartbeat) => {
                    self.note(heartbeat, None);
                    self.say(&mut link).await
                }
                Body::StateRequest(request) => self.hand_over(&mut link, &request).await,
                Body::ControlState(_) => None,
            };
            if answered.is_none() {
                return;
            }
        }
    }

    async fn hand_over(&self, link: &mut Link, request: &StateRequest) -> Option<()> {
        let state = self.service.state(request.after_offset)?;
        let state = ControlState {
            read_to: state.read_to,
            record: state.record,
        };
        self.send(link, Body::ControlState(state)).await
    }
}

async fn open(address: SocketAddr) -> Option<Link> {
    let stream = compio::time::timeout(LINK_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    Some(frame(stream))
}

fn frame(stream: TcpStream) -> Link {
    // A slow loss of this option only costs latency.
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(Box::pin(AsyncStream::new(stream)).compat(), codec)
}
