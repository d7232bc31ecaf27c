//! HTTP/1 serving with `hyper` on `compio`, and the body type of requests and responses.

use crate::accept_queue::{AcceptQueue, Admission, Overload};
use crate::buffered_stream::BufferedStream;
use crate::client_input::ClientInput;
use crate::client_memory::{ClientAccount, ClientMemory, ListenerId, Reservation};
use crate::connection_end::{CloseCause, ConnectionEnd};
use crate::head_progress::HeadProgress;
use crate::idle_timer::{ClientTimeouts, IdleTimer};
use crate::open_requests::OpenRequest;
use crate::received_request::answer_received;
use crate::refusals::{OpenRefusal, Refusals};
use crate::response_progress::BoundedStream;
use crate::shutdown::Shutdown;
use crate::signal::Signal;
use crate::write_stall::{MonitoredStream, StallMonitor};
use bytes::{Bytes, BytesMut};
use compio::BufResult;
use compio::io::AsyncRead;
use compio::net::{TcpListener, TcpSocket, TcpStream};
use compio::runtime::JoinHandle;
use futures_channel::mpsc;
use futures_util::future::{Either, select};
use futures_util::{FutureExt, SinkExt, StreamExt};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::http::request;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, header};
use prometheus_client::metrics::counter::Counter;
use serde::Serialize;
use socket2::SockRef;
use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// The size of one read from a client, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// The most bytes of an answer that are copied for the socket at a time.
const MAX_WRITE_BYTES: usize = 16 * 1024;
/// The default time a client may be idle, and take to send a request head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The most that is read and discarded of the body of a request that is answered without it.
const MAX_DISCARDED_BYTES: usize = 16 * 1024 * 1024;
/// What the kernel holds of a client's data each way, in bytes; it doubles the number for its own
/// records.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// The length of the queue of connections that are not accepted yet.
const BACKLOG: i32 = 1_024;
/// The delay before the next accept after one failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The maximum number of connections that are begun to be served before others have their turn.
const MAX_SERVED_PER_TURN: usize = 4;
/// The maximum number of connections that are begun to be refused before others have their turn.
const MAX_REFUSED_PER_TURN: usize = 128;
/// The default maximum number of connections that are open for a refusal.
const DEFAULT_MAX_REFUSALS: usize = 64;
/// How long a client that is not served may take to send a request head, which then is refused.
const REFUSED_HEAD_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the rest of a request that was refused is discarded.
const REFUSED_BODY_LIMIT: Duration = Duration::from_secs(2);
/// The size of one read of a request that is refused.
const REFUSED_READ_BYTES: usize = 4 * 1024;
/// How long a closing listener still accepts connections, and a closing idle connection still
/// accepts requests, that were in flight when the shutdown began.
const CLOSE_LINGER: Duration = Duration::from_millis(100);
/// How long a closing connection waits for the rest of a request head that has begun to arrive.
const HEAD_LINGER: Duration = Duration::from_millis(1_000);
/// The interval at which it is checked whether that head has arrived.
const HEAD_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long a write may make no progress before the connection is closed.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval at which a connection is checked for a stalled write.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The bytes of a streamed response that wait for its client's connection, from which on no more are
/// added.
const MAX_WINDOW_BYTES: usize = 64 * 1024;

/// The lowest rate at which a body has to arrive over the whole time, in bytes per second; far below
/// the slowest link of a VM.
const MIN_FLOW_BYTES_PER_S: u32 = 16 * 1024;
/// How far a body may fall behind that rate.
const MAX_FLOW_LAG: Duration = Duration::from_secs(5);

/// The body of a request or a response.
#[derive(Debug)]
pub enum Body {
    /// A body that is completely in memory; `None` if it is empty or already sent.
    Full(Option<Bytes>),
    /// Chunks that are sent as they arrive; an error item aborts the connection.
    Stream(mpsc::Receiver<io::Result<Bytes>>),
    /// A streamed response that ends cleanly only if it was marked as complete.
    Answer(AnswerBody),
    /// The response to a request whose end is recorded.
    Tracked(TrackedBody),
}

/// A response that records how far it has been passed on.
#[derive(Debug)]
pub struct TrackedBody {
    body: Box<Body>,
    request: OpenRequest,
}

impl TrackedBody {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let poll = hyper::body::Body::poll_frame(Pin::new(self.body.as_mut()), cx);
        match &poll {
            Poll::Ready(Some(Ok(_))) => {
                self.request.note_chunk();
                if hyper::body::Body::is_end_stream(self.body.as_ref()) {
                    self.request.note_delivered();
                }
            }
            Poll::Ready(Some(Err(_))) => self.request.note_broken(),
            Poll::Ready(None) => self.request.note_delivered(),
            Poll::Pending => {}
        }
        poll
    }
}

/// The receiving half of a streamed response.
#[derive(Debug)]
pub struct AnswerBody {
    chunks: mpsc::Receiver<Bytes>,
    is_complete: Rc<Cell<bool>>,
    window: Rc<AnswerWindow>,
    /// The task that produces the response; cancelled when the body is dropped.
    producer: Option<JoinHandle<()>>,
}

/// The sending half of a streamed response.
///
/// If it is dropped without a call of [`AnswerSender::mark_complete`], for whatever reason, the
/// connection is aborted, so that a client never mistakes a truncated response for a complete one.
#[derive(Debug)]
pub struct AnswerSender {
    chunks: mpsc::Sender<Bytes>,
    is_complete: Rc<Cell<bool>>,
    window: Rc<AnswerWindow>,
}

/// The chunks of a streamed response that its client's connection has not taken yet.
#[derive(Debug, Default)]
struct AnswerWindow {
    bytes: Cell<usize>,
    taken: Signal,
}

impl AnswerSender {
    /// Sends a chunk once those before it are few; returns false if the client has disconnected.
    pub async fn send(&mut self, chunk: Bytes) -> bool {
        let window = &self.window;
        while window.bytes.get() >= MAX_WINDOW_BYTES && !self.chunks.is_closed() {
            window.taken.wait().await;
        }
        window.bytes.set(window.bytes.get() + chunk.len());
        self.chunks.send(chunk).await.is_ok()
    }

    /// Ends the response cleanly, after its last chunk.
    pub fn mark_complete(self) {
        self.is_complete.set(true);
    }
}

impl AnswerBody {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.chunks.poll_next_unpin(cx).map(|chunk| match chunk {
            Some(chunk) => {
                let window = &self.window;
                window.bytes.set(window.bytes.get() - chunk.len());
                window.taken.notify();
                Some(Ok(Frame::data(chunk)))
            }
            None if self.is_complete.get() => None,
            None => Some(Err(io::ErrorKind::ConnectionAborted.into())),
        })
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.chunks.close();
        self.window.taken.notify();
    }
}

impl Body {
    /// A body without bytes.
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// A body that is completely in memory.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }

    /// A streamed body whose chunks are sent through the returned sender.
    ///
    /// Dropping the sender ends the body cleanly; sending an error aborts the connection.
    pub fn channel(capacity: usize) -> (mpsc::Sender<io::Result<Bytes>>, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (sender, Self::Stream(receiver))
    }

    /// A streamed response that ends cleanly only if its sender marks it as complete.
    ///
    /// `capacity` is the number of chunks that are buffered.
    pub fn answer(capacity: usize) -> (AnswerSender, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        let is_complete = Rc::new(Cell::new(false));
        let window = Rc::<AnswerWindow>::default();
        let sender = AnswerSender {
            chunks: sender,
            is_complete: is_complete.clone(),
            window: window.clone(),
        };
        let body = AnswerBody {
            chunks: receiver,
            is_complete,
            window,
            producer: None,
        };
        (sender, Self::Answer(body))
    }

    /// Keeps a reservation until the last copy of a body that is completely in memory is dropped.
    pub(crate) fn held_by(self, mut memory: Reservation) -> Self {
        match self {
            Self::Full(Some(bytes)) => {
                memory.shrink_to(bytes.len());
                Self::Full(Some(memory.hold(bytes)))
            }
            body => body,
        }
    }

    /// Records how far this body is passed on as the response to `request`.
    pub(crate) fn tracked(self, request: OpenRequest) -> Self {
        // `hyper` does not ask an empty body for frames.
        let size = hyper::body::Body::size_hint(&self).exact();
        if hyper::body::Body::is_end_stream(&self) || size == Some(0) {
            request.note_delivered();
        }
        Self::Tracked(TrackedBody {
            body: Box::new(self),
            request,
        })
    }

    /// A streamed response produced by a task that is cancelled when the client disconnects.
    pub(crate) fn answer_from_task(
        capacity: usize,
        spawn: impl FnOnce(AnswerSender) -> JoinHandle<()>,
    ) -> Self {
        let (sender, mut body) = Self::answer(capacity);
        if let Self::Answer(answer) = &mut body {
            answer.producer = Some(spawn(sender));
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
            Self::Tracked(tracked) => tracked.poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Stream(_) | Self::Answer(_) => false,
            Self::Tracked(tracked) => tracked.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) | Self::Answer(_) => SizeHint::default(),
            Self::Tracked(tracked) => tracked.body.size_hint(),
        }
    }
}

/// Creates a response with a JSON body.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("the value serializes to JSON");
    let mut response = Response::new(Body::full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Creates a response without a body.
fn status_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// The reason why a body could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection was lost before the end of the body.
    Disconnected,
    /// The body stopped arriving before its end.
    Stalled,
}

/// Reads a whole body into memory.
///
/// # Errors
///
/// Fails if the body is longer than `limit_bytes` or the connection is lost.
pub async fn read_body<B>(body: B, limit_bytes: usize) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Error + Send + Sync + 'static,
{
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ReadError::TooLarge),
        Err(_) => Err(ReadError::Disconnected),
    }
}

/// The length of a request head as it was sent, but for spaces that have no meaning.
pub(crate) fn head_bytes(head: &request::Parts) -> usize {
    const LINE_END_BYTES: usize = "\r\n".len();
    const SEPARATOR_BYTES: usize = ": ".len();
    let path_bytes = head.uri.path_and_query().map_or(1, |it| it.as_str().len());
    let begin_bytes = head.method.as_str().len() + path_bytes + "  HTTP/1.1".len();
    let lines = head.headers.iter();
    let line_bytes = lines
        .map(|(name, value)| name.as_str().len() + SEPARATOR_BYTES + value.len() + LINE_END_BYTES);
    begin_bytes + LINE_END_BYTES + line_bytes.sum::<usize>() + LINE_END_BYTES
}

/// Reads what is left of the body of a request that is answered without it, for up to `limit`, and
/// discards it.
///
/// `hyper` closes a connection whose request was not read to its end; the client's next bytes then
/// reset it, and the answer may be lost.
pub(crate) fn discard_body(mut body: Incoming, limit: Duration, account: Option<&ClientAccount>) {
    let receiving = account.map(ClientAccount::receive);
    let discarding = async move {
        let _receiving = receiving;
        let mut discarded_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    compio::runtime::spawn(async move {
        // What takes longer closes the connection.
        let _ = compio::time::timeout(limit, discarding).await;
    })
    .detach();
}

/// Reads a whole body into memory for as long as its bytes flow, however long that takes, and adds
/// them to `received_bytes`, so that the caller knows how far a failed read came.
///
/// # Errors
///
/// Fails if the body is longer than `limit_bytes`, the connection is lost, nothing arrives for
/// `max_stall`, or the body falls too far behind [`MIN_FLOW_BYTES_PER_S`].
pub(crate) async fn read_flowing_body(
    body: impl hyper::body::Body<Data = Bytes>,
    limit_bytes: usize,
    max_stall: Duration,
    received_bytes: &Cell<u64>,
) -> Result<Bytes, ReadError> {
    let mut body = pin!(body);
    let mut bytes = BytesMut::new();
    let began = Instant::now();
    loop {
        let flow_time = Duration::from_secs(bytes.len() as u64) / MIN_FLOW_BYTES_PER_S;
        let late_after = (flow_time + MAX_FLOW_LAG).saturating_sub(began.elapsed());
        let frame = compio::time::timeout(max_stall.min(late_after), body.frame()).await;
        let Some(frame) = frame.map_err(|_elapsed| ReadError::Stalled)? else {
            return Ok(bytes.freeze());
        };
        let Ok(frame) = frame else {
            return Err(ReadError::Disconnected);
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        received_bytes.set(received_bytes.get() + data.len() as u64);
        if bytes.len() + data.len() > limit_bytes {
            return Err(ReadError::TooLarge);
        }
        bytes.extend_from_slice(data);
    }
}

/// Binds a listener with a backlog that is long enough for bursts of new connections.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this machine.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    listen_with(address, |_| Ok(())).await
}

/// Like [`listen`], for clients of whose data the kernel is to hold no more than
/// [`SOCKET_BUFFER_BYTES`] each way, so that one that does not read is noticed.
///
/// # Errors
///
/// Fails as [`listen`] does.
pub(crate) async fn listen_for_clients(address: SocketAddr) -> io::Result<TcpListener> {
    let set_buffers = |socket: SockRef<'_>| {
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)
    };
    listen_with(address, set_buffers).await
}

async fn listen_with(
    address: SocketAddr,
    set_options: impl Fn(SockRef<'_>) -> io::Result<()>,
) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4().await?
    } else {
        TcpSocket::new_v6().await?
    };
    socket.set_reuseaddr(true)?;
    // Connections inherit the options.
    if let Err(error) = set_options(SockRef::from(&socket)) {
        tracing::warn!(%error, "socket options not set");
    }
    socket.bind(address).await?;
    let listener = socket.listen(BACKLOG).await?;
    SockRef::from(&listener).set_nonblocking(true)?;
    Ok(listener)
}

/// Accepts connections until `shutdown` begins and serves each in its own task.
///
/// A connection completes its current request during a shutdown; `shutdown` counts the open
/// connections.
pub async fn serve<H, F>(listener: TcpListener, shutdown: Rc<Shutdown>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    serve_bounded(AcceptLimits::default(), listener, shutdown, handler).await;
}

/// Like [`serve`], within limits beyond which requests get a response without a body that they were not
/// run.
pub(crate) async fn serve_bounded<H, F>(
    limits: AcceptLimits,
    listener: TcpListener,
    shutdown: Rc<Shutdown>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let refuse = |_: &request::Parts, _| status_response(StatusCode::SERVICE_UNAVAILABLE);
    serve_within(limits, listener, shutdown, handler, refuse).await;
}

/// What a server does with new connections; by default there is no limit.
#[derive(Debug)]
pub(crate) struct AcceptLimits {
    /// How long a client may be idle, and take to send a request head.
    pub(crate) timeouts: ClientTimeouts,
    /// How long a connection may wait for this process to serve it.
    pub(crate) max_wait: Duration,
    /// The maximum number of open connections.
    pub(crate) max_open: usize,
    /// The maximum number of connections that are open for a refusal.
    pub(crate) max_refusals: usize,
    /// The memory for what is held for clients.
    pub(crate) memory: ClientMemory,
    /// Counts connections that were closed before a request was read.
    pub(crate) closed_unread: Counter,
}

impl Default for AcceptLimits {
    fn default() -> Self {
        Self {
            timeouts: ClientTimeouts::new(HEADER_TIMEOUT, HEADER_TIMEOUT),
            max_wait: Duration::MAX,
            max_open: usize::MAX,
            max_refusals: DEFAULT_MAX_REFUSALS,
            memory: ClientMemory::unbounded(),
            closed_unread: Counter::default(),
        }
    }
}

impl AcceptLimits {
    /// Bounds the number of open connections and the memory for what is held for their clients.
    pub(crate) fn bounded(max_open: usize, memory: &ClientMemory) -> Self {
        Self {
            max_open,
            max_refusals: DEFAULT_MAX_REFUSALS.min(max_open),
            memory: memory.clone(),
            ..Self::default()
        }
    }

    /// The number of connections that may wait to be served or refused while `open` are open, each of
    /// which has a descriptor.
    fn max_queued(&self, open: usize) -> usize {
        self.max_open.saturating_sub(open).max(self.max_refusals)
    }

    /// The number of connections that count as open, `open` of which are: where the next one finds no
    /// place or no memory, another one is closed for it if possible.
    fn count_open(&self, listener: ListenerId, open: usize) -> usize {
        let has_place = open < self.max_open || self.memory.free_place(Some(listener));
        match has_place && self.memory.has_connection_room() {
            true => open.min(self.max_open.saturating_sub(1)),
            false => self.max_open,
        }
    }
}

/// Like [`serve`], within limits beyond which the request of a new connection gets its response from
/// `refuse`, and the connection is closed.
///
/// A connection without a request is closed without a response.
pub(crate) async fn serve_within<H, F, R>(
    limits: AcceptLimits,
    listener: TcpListener,
    shutdown: Rc<Shutdown>,
    handler: H,
    refuse: R,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
    R: Fn(&request::Parts, Overload) -> Response<Body> + Clone + 'static,
{
    let listener_id = limits.memory.add_listener();
    let serve_one = |stream| {
        let head = HeadProgress::default();
        let account = limits.memory.open_account(listener_id, head.clone());
        let client = Client { account, head };
        let timeouts = limits.timeouts.clone();
        spawn_connection(stream, client, shutdown.clone(), timeouts, handler.clone());
    };
    let refusals = Refusals::new(
        limits.max_refusals,
        limits.closed_unread.clone(),
        Instant::now(),
    );
    let mut queue = AcceptQueue::new(limits.max_wait, limits.max_open);
    let mut stop = pin!(shutdown.wait());
    loop {
        if queue.is_empty() {
            let accept = pin!(listener.accept());
            match select(accept, stop.as_mut()).await {
                Either::Left((Ok((stream, _)), _)) => queue.push(stream, Instant::now()),
                Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
                Either::Right(_) => break,
            }
        }
        let open = shutdown.open().saturating_sub(refusals.open());
        accept_pending(&listener, &mut queue, limits.max_queued(open));
        let (mut served, mut refused) = (0, 0);
        while served < MAX_SERVED_PER_TURN && refused < MAX_REFUSED_PER_TURN && !queue.is_empty() {
            let open = shutdown.open().saturating_sub(refusals.open());
            let open = limits.count_open(listener_id, open);
            match queue.pop(open, Instant::now()) {
                Some(Admission::Serve(stream)) => {
                    serve_one(stream);
                    refusals.note_served();
                    served += 1;
                }
                Some(Admission::Refuse(stream, overload)) => {
                    refuse_connection(stream, &shutdown, &refusals, overload, &refuse);
                    refused += 1;
                }
                None => break,
            }
        }
        // The connections that are being served have their turn, so that the time for which others
        // wait shows how busy this process is.
        if let Either::Right(_) = select(pin!(yield_now()), stop.as_mut()).await {
            break;
        }
    }
    // Connections that were established before the listener closes are still served.
    let serve_all = |queue: &mut AcceptQueue<TcpStream>| {
        while let Some(admission) = queue.pop(0, Instant::now()) {
            serve_one(admission.into_connection());
        }
    };
    serve_all(&mut queue);
    let accept_last = async {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => serve_one(stream),
                Err(_) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    };
    // `accept_last` never returns, so that a timeout is the normal case.
    let _ = compio::time::timeout(CLOSE_LINGER, accept_last).await;
    accept_pending(&listener, &mut queue, usize::MAX);
    serve_all(&mut queue);
}

/// Takes the connections that the kernel has ready, while fewer than `max_queued` wait.
fn accept_pending(listener: &TcpListener, queue: &mut AcceptQueue<TcpStream>, max_queued: usize) {
    let socket = SockRef::from(listener);
    let now = Instant::now();
    for _ in 0..BACKLOG {
        if queue.len() >= max_queued {
            return;
        }
        // An error is met again, and handled, when the next connection is waited for.
        let Ok((accepted, _)) = socket.accept() else {
            return;
        };
        let stream = accepted.set_nonblocking(true);
        match stream.and_then(|()| TcpStream::from_std(accepted.into())) {
            Ok(stream) => queue.push(stream, now),
            Err(error) => tracing::warn!(%error, "connection not taken over"),
        }
    }
}

/// Lets the other tasks run once.
async fn yield_now() {
    let mut has_yielded = false;
    std::future::poll_fn(|context| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

/// The client of a connection.
struct Client {
    account: ClientAccount,
    head: HeadProgress,
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    client: Client,
    shutdown: Rc<Shutdown>,
    timeouts: ClientTimeouts,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    // Counted before the task first runs, so that a drain cannot miss the connection.
    let guard = shutdown.enter();
    compio::runtime::spawn(async move {
        let _guard = guard;
        // A failure to set the option only costs latency.
        let _ = stream.set_nodelay(true);
        let shutdown_state = shutdown.clone();
        let end = ConnectionEnd::default();
        let request_end = end.clone();
        let Client { account, head } = client;
        let request_account = account.clone();
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(request_end.clone());
            request.extensions_mut().insert(request_account.clone());
            let handler = handler.clone();
            let shutdown_state = shutdown_state.clone();
            async move {
                // The panic itself has been logged. The request may have had an effect.
                let answer = AssertUnwindSafe(async move { handler(request).await });
                let answer = answer.catch_unwind().await;
                let answer = answer.unwrap_or_else(|_panic| {
                    let mut failure = Response::new(Body::empty());
                    *failure.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                    failure
                });
                Ok::<_, Infallible>(close_if_leaving(&shutdown_state, answer))
            }
        });
        let input = ClientInput::new(stream.clone(), head.clone(), &account);
        let closing = Closing { end, input, head };
        let buffered = BufferedStream::new(stream.clone(), READ_BYTES, MAX_WRITE_BYTES);
        let bounded = BoundedStream::new(buffered, closing.input.clone());
        let (monitored, watch) = MonitoredStream::new(bounded, account.clone());
        let connection = http1::Builder::new()
            .header_read_timeout(timeouts.idle())
            .timer(IdleTimer::new(timeouts, closing.head.clone()))
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(monitored, service);
        let serving = async {
            let mut connection = pin!(connection);
            let stop = pin!(async {
                shutdown.wait().await;
                closing.linger().await;
            });
            let (served, is_shutdown) = match select(connection.as_mut(), stop).await {
                Either::Left((served, _)) => (served, false),
                Either::Right(_) if closing.input.has_begun_head() => {
                    closing.note(CloseCause::Shutdown, None);
                    return;
                }
                Either::Right(_) => {
                    let is_idle = closing.head.is_awaited();
                    connection.as_mut().graceful_shutdown();
                    (connection.as_mut().await, is_idle)
                }
            };
            // The cause is known before the connection, and any request in work on it, is dropped.
            let cause = match &served {
                Ok(()) if is_shutdown => CloseCause::Shutdown,
                Ok(()) => CloseCause::ClientLeft,
                Err(error) => CloseCause::of_error(error),
            };
            let error = served.err().map(|error| error.to_string());
            closing.note(cause, error.as_deref());
        };
        let mut serving = pin!(serving);
        // A connection whose client has stopped reading is closed.
        let stalled = async {
            wait_for_stall(watch).await;
            CloseCause::WriteStalled
        };
        let evicted = account.evicted().map(CloseCause::of_eviction);
        let (stalled, evicted) = (pin!(stalled), pin!(evicted));
        let ended = select(stalled, evicted);
        if let Either::Right((ended, _)) = select(serving.as_mut(), ended).await {
            let (cause, _) = ended.factor_first();
            closing.note(cause, None);
            // What the client has not read does not stay in the kernel. A failure leaves it there until
            // the client reads it or is gone.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    })
    .detach();
}

/// Refuses the request on a connection that is not served, and closes the connection.
fn refuse_connection<R>(
    stream: TcpStream,
    shutdown: &Rc<Shutdown>,
    refusals: &Refusals,
    overload: Overload,
    refuse: &R,
) where
    R: Fn(&request::Parts, Overload) -> Response<Body> + Clone + 'static,
{
    if !refusals.take(Instant::now()) {
        return;
    }
    let mut received = vec![0; REFUSED_READ_BYTES];
    // Nothing may have arrived yet.
    let length = (&*SockRef::from(&stream)).read(&mut received).unwrap_or(0);
    received.truncate(length);
    let is_whole = try_refuse(&stream, &received, overload, refuse);
    if is_whole == Some(true) {
        return;
    }
    let Some(open) = refusals.open_one(is_whole.is_some()) else {
        return;
    };
    let (guard, refuse) = (shutdown.enter(), refuse.clone());
    compio::runtime::spawn(async move {
        let _guard = guard;
        let finishing = finish_refusal(stream, received, overload, refuse, &open);
        // What takes longer closes the connection.
        let _ = compio::time::timeout(REFUSED_BODY_LIMIT, finishing).await;
    })
    .detach();
}

/// Sends the refusal if the head of the request is in `received`; returns whether the rest of the
/// request is as well.
fn try_refuse(
    stream: &TcpStream,
    received: &[u8],
    overload: Overload,
    refuse: &impl Fn(&request::Parts, Overload) -> Response<Body>,
) -> Option<bool> {
    let respond = |request: Request<Incoming>| {
        let (head, _) = request.into_parts();
        closing(refuse(&head, overload))
    };
    let answer = answer_received(received, respond)?;
    // A new connection takes as little as this at once. An error means that the client has left.
    let _ = SockRef::from(stream).send(&answer.response);
    Some(answer.is_whole)
}

/// Reads the rest of a request whose beginning is in `received`, and refuses the request unless that
/// is done. Bytes that were left unread would reset the connection, and the refusal might be lost.
async fn finish_refusal<R>(
    mut stream: TcpStream,
    mut received: Vec<u8>,
    overload: Overload,
    refuse: R,
    open: &OpenRefusal,
) where
    R: Fn(&request::Parts, Overload) -> Response<Body>,
{
    let began = Instant::now();
    let mut buffer = Vec::with_capacity(REFUSED_READ_BYTES);
    let mut discarded_bytes = 0;
    while !open.is_read() {
        let time_left = REFUSED_HEAD_TIMEOUT.saturating_sub(began.elapsed());
        let read = compio::time::timeout(time_left, stream.read(buffer)).await;
        let Ok(BufResult(Ok(1..), bytes)) = read else {
            return;
        };
        received.extend_from_slice(&bytes);
        if received.len() > MAX_HEAD_BYTES {
            return;
        }
        if let Some(is_whole) = try_refuse(&stream, &received, overload, &refuse) {
            open.note_read();
            if is_whole {
                return;
            }
        }
        buffer = bytes;
        buffer.clear();
    }
    // The client learns that no other response follows. An error means that it has left.
    let _ = SockRef::from(&stream).shutdown(std::net::Shutdown::Write);
    while discarded_bytes < MAX_DISCARDED_BYTES {
        let BufResult(read, bytes) = stream.read(buffer).await;
        match read {
            Ok(count @ 1..) => discarded_bytes += count,
            _ => return,
        }
        buffer = bytes;
        buffer.clear();
    }
}

/// What is known of a connection when it is closed.
struct Closing {
    end: ConnectionEnd,
    input: ClientInput,
    head: HeadProgress,
}

impl Closing {
    /// Waits during a shutdown until the connection may be closed, unless a request is in work on it:
    /// responses carry `Connection: close` by now, so that the others are idle.
    async fn linger(&self) {
        let began = Instant::now();
        compio::time::sleep(CLOSE_LINGER).await;
        while self.input.has_begun_head() && began.elapsed() < HEAD_LINGER {
            compio::time::sleep(HEAD_CHECK_INTERVAL).await;
        }
    }

    /// States why the connection ends, and logs it unless it ends between requests as usual.
    fn note(&self, cause: CloseCause, error: Option<&str>) {
        self.end.set(cause);
        let open_requests = self.end.open_requests();
        let head_bytes = self.head.received_bytes();
        let unread_bytes = self.input.unread_bytes();
        let has_input = head_bytes > 0 || unread_bytes > 0;
        if open_requests > 0 || has_input || !cause.is_usual() {
            tracing::info!(
                cause = cause.name(),
                error,
                open_requests,
                head_bytes,
                unread_bytes,
                age_ms = self.head.age().as_millis() as u64,
                "connection closed early"
            );
        }
    }
}

/// Adds `Connection: close` to responses of a VM that is shutting down, so that clients open
/// their next connection elsewhere.
fn close_if_leaving(shutdown: &Shutdown, response: Response<Body>) -> Response<Body> {
    match shutdown.is_leaving() {
        true => closing(response),
        false => response,
    }
}

/// Adds `Connection: close`.
pub(crate) fn closing(mut response: Response<Body>) -> Response<Body> {
    let close = header::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

/// Returns when a write on the connection has made no progress for [`WRITE_STALL_TIMEOUT`].
async fn wait_for_stall(watch: StallMonitor) {
    while watch.stalled_for() < WRITE_STALL_TIMEOUT {
        compio::time::sleep(STALL_CHECK_INTERVAL).await;
    }
}
