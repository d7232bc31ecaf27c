//! Bare HTTP/1 connections to backend servers, with a small pool of idle ones.
//!
//! A caller of this module decides itself whether a request may be sent again:
//! [`SendError`] tells whether the request can have left the process.

use crate::http::Body;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Why no answer head came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// Nothing of the request left the process.
    NotSent,
    /// The request may have arrived.
    MaybeSent,
}

/// One connection to a backend server, used for one request at a time.
pub struct Connection {
    sender: SendRequest<Body>,
    address: SocketAddr,
    /// Ends the connection's driver, and so the connection, when dropped.
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
        let mut connection = Self::connect(address, timeout, None).await?;
        if let Some(driver) = connection.driver.take() {
            driver.detach();
        }
        Ok(connection)
    }

    /// Opens a new connection that is cut as soon as it is dropped, also in mid-answer.
    ///
    /// Bytes that stay unacknowledged for `unacked_limit` break it: a path may go silent.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] when the address does not accept within `timeout`.
    pub(crate) async fn open_abort_on_drop(
        address: SocketAddr,
        timeout: Duration,
        unacked_limit: Duration,
    ) -> Result<Self, SendError> {
        Self::connect(address, timeout, Some(unacked_limit)).await
    }

    async fn connect(
        address: SocketAddr,
        timeout: Duration,
        unacked_limit: Option<Duration>,
    ) -> Result<Self, SendError> {
        let stream = compio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_elapsed| SendError::NotSent)?
            .map_err(|_refused| SendError::NotSent)?;
        // A slow loss of these options only costs latency.
        let _ = stream.set_nodelay(true);
        if unacked_limit.is_some() {
            let _ = SockRef::from(&stream).set_tcp_user_timeout(unacked_limit);
        }
        let (sender, driver) = http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|_closed| SendError::NotSent)?;
        let driver = compio::runtime::spawn(async move {
            // The sender reports a broken connection to whoever waits on it.
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            address,
            driver: Some(driver),
        })
    }

    /// Whether another request can be sent at once.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the other end is gone.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends one request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Tells whether the request can have left the process.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, SendError> {
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(_) => SendError::NotSent,
                None => SendError::MaybeSent,
            })
    }

    /// The address at the other end.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Whether a process at the address refuses connections; false if it is unknown.
pub(crate) async fn is_refused(address: SocketAddr) -> bool {
    let connected = TcpStream::connect(address).await;
    connected.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Takes an idle connection, if one is ready.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Gives back a connection whose answer was read to its end.
    pub fn put(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
        }
    }

    /// Drops every idle connection to `address`, such as after one went silent.
    pub fn clear(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}
