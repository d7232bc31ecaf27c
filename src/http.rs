//! HTTP serving over `hyper` and `compio`, and the body type of all answers.

use crate::shutdown::Shutdown;
use crate::write_stall::{MonitoredStream, StallMonitor};
use bytes::Bytes;
use compio::net::{TcpListener, TcpSocket, TcpStream};
use compio::runtime::JoinHandle;
use cyper_core::{CompioTimer, HyperStream};
use futures_channel::mpsc;
use futures_util::future::{Either, select};
use futures_util::{SinkExt, StreamExt};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use serde::Serialize;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// How long a client may take to send its request head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;
/// The pause after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How long a closing listener, or an idle connection, still takes what was under way to it.
const CLOSE_LINGER: Duration = Duration::from_millis(100);
/// How long a client may take nothing of what is written to it.
const WRITE_STALL: Duration = Duration::from_secs(20);
/// How often a connection is looked at for a stalled write.
const STALL_LOOK: Duration = Duration::from_secs(5);

/// An answer's or a request's body.
#[derive(Debug)]
pub enum Body {
    /// A body held whole, taken when sent.
    Full(Option<Bytes>),
    /// Chunks as they come; an error item cuts the connection.
    Stream(mpsc::Receiver<io::Result<Bytes>>),
    /// Chunks of an answer that ends cleanly only once it was declared whole.
    Answer(AnswerBody),
}

/// The receiving half of an answer under way.
#[derive(Debug)]
pub struct AnswerBody {
    chunks: mpsc::Receiver<Bytes>,
    whole: Rc<Cell<bool>>,
    /// The task that makes the answer; ends when the body is dropped.
    maker: Option<JoinHandle<()>>,
}

/// The sending half of an answer under way.
///
/// Dropping it before [`AnswerSender::mark_complete`] cuts the connection, whatever
/// the reason: an answer that is not whole never looks as if it were.
#[derive(Debug)]
pub struct AnswerSender {
    chunks: mpsc::Sender<Bytes>,
    whole: Rc<Cell<bool>>,
}

impl AnswerSender {
    /// Sends a chunk; false once the client is gone.
    pub async fn send(&mut self, chunk: Bytes) -> bool {
        self.chunks.send(chunk).await.is_ok()
    }

    /// Declares that every chunk was sent.
    pub fn mark_complete(self) {
        self.whole.set(true);
    }
}

impl AnswerBody {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.chunks.poll_next_unpin(cx).map(|chunk| match chunk {
            Some(chunk) => Some(Ok(Frame::data(chunk))),
            None if self.whole.get() => None,
            None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
        })
    }
}

impl Body {
    /// A body without bytes.
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// A body held whole.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// A body of chunks sent through the returned sender.
    ///
    /// Dropping the sender ends the body cleanly; sending an error cuts it.
    pub fn channel(capacity: usize) -> (mpsc::Sender<io::Result<Bytes>>, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (sender, Self::Stream(receiver))
    }

    /// An answer of chunks that ends cleanly only once it is declared whole.
    pub fn answer(capacity: usize) -> (AnswerSender, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        let whole = Rc::new(Cell::new(false));
        let sender = AnswerSender {
            chunks: sender,
            whole: whole.clone(),
        };
        let body = AnswerBody {
            chunks: receiver,
            whole,
            maker: None,
        };
        (sender, Self::Answer(body))
    }

    /// An answer made by a task that is cancelled once its client is gone.
    pub(crate) fn answer_from_task(
        capacity: usize,
        spawn: impl FnOnce(AnswerSender) -> JoinHandle<()>,
    ) -> Self {
        let (sender, mut body) = Self::answer(capacity);
        if let Self::Answer(answer) = &mut body {
            answer.maker = Some(spawn(sender));
        }
        body
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(receiver) => receiver
                .poll_next_unpin(cx)
                .map(|item| item.map(|chunk| chunk.map(Frame::data))),
            Self::Answer(answer) => answer.poll_chunk(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) | Self::Answer(_) => SizeHint::default(),
        }
    }
}

/// An answer with a JSON body.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("answers serialize");
    let mut response = Response::new(Body::full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Why a body was not read.
#[derive(Debug)]
pub enum ReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection broke.
    Disconnected,
}

/// Reads a body whole.
///
/// # Errors
///
/// Fails when the body is longer than `limit_bytes` or the connection breaks.
pub async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, ReadError> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ReadError::TooLarge),
        Err(_) => Err(ReadError::Disconnected),
    }
}

/// Listens at an address, with room for bursts of new connections.
///
/// # Errors
///
/// Fails when the address is taken or not one of this machine's.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4().await?
    } else {
        TcpSocket::new_v6().await?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address).await?;
    socket.listen(BACKLOG).await
}

/// Accepts connections until `shutdown` and serves each in a task of its own.
///
/// Connections finish the request they are at; `shutdown` counts them.
pub async fn serve<H, F>(listener: TcpListener, shutdown: Rc<Shutdown>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    serve_with_head_timeout(listener, shutdown, || HEADER_TIMEOUT, handler).await;
}

/// Like [`serve`]; `head_timeout` tells, for each connection, how long a client may be idle
/// or take to send a request head.
pub(crate) async fn serve_with_head_timeout<T, H, F>(
    listener: TcpListener,
    shutdown: Rc<Shutdown>,
    head_timeout: T,
    handler: H,
) where
    T: Fn() -> Duration,
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let mut stop = pin!(shutdown.wait());
    loop {
        let accept = pin!(listener.accept());
        match select(accept, stop.as_mut()).await {
            Either::Left((Ok((stream, _)), _)) => {
                spawn_connection(stream, shutdown.clone(), head_timeout(), handler.clone());
            }
            Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_PAUSE).await,
            Either::Right(_) => break,
        }
    }
    // Who had connected before the listener closes is still answered.
    let linger = async {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                spawn_connection(stream, shutdown.clone(), head_timeout(), handler.clone());
            }
        }
    };
    // The end of the linger is the expected way out.
    let _ = compio::time::timeout(CLOSE_LINGER, linger).await;
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    shutdown: Rc<Shutdown>,
    head_timeout: Duration,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    // Counted before its task first runs, so that a drain cannot overlook it.
    let guard = shutdown.enter();
    compio::runtime::spawn(async move {
        let _guard = guard;
        // A slow loss of this option only costs latency.
        let _ = stream.set_nodelay(true);
        let leaving = shutdown.clone();
        let service = service_fn(move |request| {
            let answer = handler(request);
            let leaving = leaving.clone();
            async move { Ok::<_, Infallible>(close_if_leaving(&leaving, answer.await)) }
        });
        let (stream, watch) = MonitoredStream::new(HyperStream::new_plain(stream));
        let connection = http1::Builder::new()
            .timer(CompioTimer)
            .header_read_timeout(head_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(stream, service);
        let serving = async {
            let mut connection = pin!(connection);
            let stop = async {
                shutdown.wait().await;
                // Answers ask to close by now; only idle connections are left.
                compio::time::sleep(CLOSE_LINGER).await;
            };
            let stop = pin!(stop);
            if let Either::Right(((), _)) = select(connection.as_mut(), stop).await {
                connection.as_mut().graceful_shutdown();
                // The client sees a broken connection by itself.
                let _ = connection.await;
            }
        };
        // A client that takes nothing for too long is cut.
        select(pin!(serving), pin!(stalled(watch))).await;
    })
    .detach();
}

/// Asks clients of a VM that leaves to use another connection next time.
fn close_if_leaving(shutdown: &Shutdown, mut response: Response<Body>) -> Response<Body> {
    if shutdown.is_leaving() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn stalled(watch: StallMonitor) {
    while watch.stalled_for() < WRITE_STALL {
        compio::time::sleep(STALL_LOOK).await;
    }
}
