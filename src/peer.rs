//! Heartbeats between VMs: one task for each peer, one for each connection.

use crate::inventory::Name;
use crate::membership::Membership;
use crate::metrics::Metrics;
use crate::shutdown::Shutdown;
use crate::wire::Heartbeat;
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
use std::time::Duration;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// The time between two heartbeats to one peer.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// A link without an answer for this long is replaced by a new connection.
const LINK_TIMEOUT: Duration = Duration::from_millis(750);
/// The largest frame, in bytes.
const MAX_FRAME_BYTES: usize = 1024 * 1024;

type Link = Framed<Compat<Pin<Box<AsyncStream<TcpStream>>>>, LengthDelimitedCodec>;

/// What a VM says of itself in each heartbeat.
pub(crate) trait Speaker: 'static {
    /// Builds the heartbeat to send now.
    fn heartbeat(&self) -> Heartbeat;
}

/// The links of this VM to its peers.
pub(crate) struct Links<S: Speaker> {
    speaker: Rc<S>,
    membership: Rc<Membership>,
    bytes: Counter,
}

impl<S: Speaker> Links<S> {
    /// Links that say what `speaker` says.
    pub(crate) fn new(speaker: Rc<S>, membership: Rc<Membership>, metrics: &Metrics) -> Rc<Self> {
        Rc::new(Self {
            speaker,
            membership,
            bytes: metrics.leg("peers"),
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
    async fn exchange(&self, link: &mut Link) -> bool {
        let turn = async {
            self.say(link).await?;
            self.hear(link).await
        };
        matches!(
            compio::time::timeout(LINK_TIMEOUT, turn).await,
            Ok(Some(()))
        )
    }

    async fn say(&self, link: &mut Link) -> Option<()> {
        let frame = self.speaker.heartbeat().encode_to_vec();
        self.bytes.inc_by(frame.len() as u64);
        link.send(Bytes::from(frame)).await.ok()
    }

    async fn hear(&self, link: &mut Link) -> Option<()> {
        let frame = link.next().await?.ok()?;
        self.bytes.inc_by(frame.len() as u64);
        let heartbeat = Heartbeat::decode(frame).ok()?;
        self.membership.note(heartbeat);
        Some(())
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
        while self.hear(&mut link).await.is_some() {
            if self.say(&mut link).await.is_none() {
                return;
            }
        }
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
