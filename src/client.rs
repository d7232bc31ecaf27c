//! HTTP/1 connections to other processes without automatic retries, and a pool of idle ones.
//!
//! Users of this module decide whether to retry a request: [`SendError`] says whether the
//! request may have been sent.

use crate::buffered_stream::BufferedStream;
use crate::http::Body;
use crate::response_body::{ResponseBody, has_two_lengths};
use crate::response_progress::{BoundedStream, ResponseProgress};
use crate::upload::Upload;
use crate::upload_stream::UploadStream;
use compio::io::AsyncRead;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use hyper::body::Body as _;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::rt::{Read, Write};
use hyper::{Request, Response};
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The largest number of idle connections that are kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// The size of one read of a response of up to some megabytes. Each read waits for a turn of the
/// runtime, and turns are long while a VM is overloaded.
const BULK_READ_BYTES: usize = 64 * 1024;
/// The size of one read of any other response, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// The most bytes of a request that are copied for the socket at a time.
const MAX_WRITE_BYTES: usize = 16 * 1024;

/// The largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The reason why no response head was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No part of the request was sent.
    NotSent,
    /// The request may have reached the server.
    MaybeSent,
}

/// A connection to a server, used for one request at a time.
pub struct Connection {
    sender: SendRequest<Body>,
    address: SocketAddr,
    progress: ResponseProgress,
    upload: Upload,
    /// Whether the connection may carry another request once its response has been read.
    is_reusable: bool,
    /// The task that drives the connection; dropping it closes the connection.
    driver: Option<JoinHandle<()>>,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Connection {
    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] when the address does not accept within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, SendError> {
        let mut connection = Self::open_with(address, timeout, None).await?;
        if let Some(driver) = connection.driver.take() {
            driver.detach();
        }
        Ok(connection)
    }

    /// Opens a new connection that is closed as soon as it is dropped, even in the middle of a
    /// response.
    ///
    /// The connection fails if sent bytes stay unacknowledged for `unacked_limit`, which detects a
    /// network path that drops packets without an error.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] when the address does not accept within `timeout`.
    pub(crate) async fn open_abort_on_drop(
        address: SocketAddr,
        timeout: Duration,
        unacked_limit: Duration,
    ) -> Result<Self, SendError> {
        Self::open_with(address, timeout, Some(unacked_limit)).await
    }

    /// Like [`Connection::open_abort_on_drop`], for responses of up to some megabytes: they are read
    /// in large pieces, so that they arrive in time while this process has much else to do.
    pub(crate) async fn open_bulk(
        address: SocketAddr,
        timeout: Duration,
        unacked_limit: Duration,
    ) -> Result<Self, SendError> {
        let stream = Self::connect(address, timeout, Some(unacked_limit)).await?;
        let (progress, upload) = (ResponseProgress::default(), Upload::default());
        let stream = monitored(stream, BULK_READ_BYTES, &progress, &upload);
        let stream = stream.with_read_bytes(BULK_READ_BYTES);
        let mut builder = http1::Builder::new();
        builder.read_buf_exact_size(Some(BULK_READ_BYTES));
        Self::handshake(&builder, stream, progress, upload, address).await
    }

    async fn connect(
        address: SocketAddr,
        timeout: Duration,
        unacked_limit: Option<Duration>,
    ) -> Result<TcpStream, SendError> {
        let stream = compio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| SendError::NotSent)?
            .map_err(|_refused| SendError::NotSent)?;
        // A failure to set the options only costs latency.
        let _ = stream.set_nodelay(true);
        if unacked_limit.is_some() {
            let _ = SockRef::from(&stream).set_tcp_user_timeout(unacked_limit);
        }
        Ok(stream)
    }

    async fn open_with(
        address: SocketAddr,
        timeout: Duration,
        unacked_limit: Option<Duration>,
    ) -> Result<Self, SendError> {
        let stream = Self::connect(address, timeout, unacked_limit).await?;
        let (progress, upload) = (ResponseProgress::default(), Upload::default());
        let stream = monitored(stream, READ_BYTES, &progress, &upload);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        Self::handshake(&builder, stream, progress, upload, address).await
    }

    /// Begins HTTP on a stream whose bytes count towards `progress` and `upload`.
    async fn handshake(
        builder: &http1::Builder,
        stream: impl Read + Unpin + Write + 'static,
        progress: ResponseProgress,
        upload: Upload,
        address: SocketAddr,
    ) -> Result<Self, SendError> {
        let handshake = builder.handshake(stream).await;
        let (sender, driver) = handshake.map_err(|_closed| SendError::NotSent)?;
        let driver = compio::runtime::spawn(async move {
            // The sender reports a broken connection to the code that awaits a response.
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            address,
            progress,
            upload,
            is_reusable: true,
            driver: Some(driver),
        })
    }

    /// Whether the connection can send another request immediately.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_reusable && self.sender.is_ready()
    }

    /// Whether the connection is closed, or to be closed once its response has been read.
    pub(crate) fn is_closed(&self) -> bool {
        !self.is_reusable || self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] if no part of the request was sent, and with
    /// [`SendError::MaybeSent`] otherwise, also if what arrives is no proper head of a response.
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<ResponseBody>, SendError> {
        self.progress.note();
        self.upload.begin(request.body().size_hint().lower());
        let sent = self.sender.try_send_request(request).await;
        self.progress.stop();
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::MaybeSent,
        })?;
        self.is_reusable &= !has_two_lengths(response.headers());
        ResponseBody::of(response, self.progress.clone(), self.upload.clone()).map_err(|fault| {
            self.is_reusable = false;
            tracing::warn!(server = %self.address, %fault, "answer improper");
            SendError::MaybeSent
        })
    }

    /// The address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Wraps a stream so that its reads are bounded and its writes are known.
fn monitored(
    stream: TcpStream,
    buffer_bytes: usize,
    progress: &ResponseProgress,
    upload: &Upload,
) -> BoundedStream<UploadStream<BufferedStream>, ResponseProgress> {
    let stream = BufferedStream::new(stream, buffer_bytes, MAX_WRITE_BYTES);
    BoundedStream::new(UploadStream::new(stream, upload.clone()), progress.clone())
}

/// How long a new connection must stay open before its server is known to go on.
const CLOSE_WAIT: Duration = Duration::from_millis(50);

/// What became of a connection that was opened only to learn whether a process listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Listening {
    /// The connection was accepted.
    Yes,
    /// The connection was refused, so that no process listens.
    No,
    /// The connection was not accepted in time, or failed for another reason.
    Unknown,
}

/// Learns whether a process listens at the address, and has not begun to end: a process that ends
/// may close some connections before it stops listening. Takes at most twice the `timeout` and
/// [`CLOSE_WAIT`].
pub(crate) async fn probe_listening(address: SocketAddr, timeout: Duration) -> Listening {
    let (listening, connection) = connect_once(address, timeout).await;
    let Some(mut connection) = connection else {
        return listening;
    };
    let closed = compio::time::timeout(CLOSE_WAIT, connection.read(Vec::with_capacity(1))).await;
    match closed {
        Err(_elapsed) => Listening::Yes,
        // A server with too many connections closes them too, and goes on listening.
        Ok(_) => connect_once(address, timeout).await.0,
    }
}

async fn connect_once(address: SocketAddr, timeout: Duration) -> (Listening, Option<TcpStream>) {
    match compio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(connection)) => (Listening::Yes, Some(connection)),
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            (Listening::No, None)
        }
        Ok(Err(_)) | Err(_) => (Listening::Unknown, None),
    }
}

/// A pool of idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Takes an idle connection to `address` that is ready for a request, if there is one.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn put(&self, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
        }
    }

    /// Drops all idle connections to `address`, for example after one stopped responding.
    pub fn clear(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}
