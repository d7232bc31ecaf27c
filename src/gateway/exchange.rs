//! Sending one request to one backend server, and the pool of idle connections.

use crate::client::{Connection, SendError};
use crate::gateway::fleet::{InFlightGuard, Incarnation, Server};
use crate::gateway::state::State;
use crate::gateway::{Protocol, Reply};
use crate::http::Body;
use crate::inventory::Name;
use crate::response_progress::ProgressBody;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long opening a connection to a server may take. TCP retransmits a lost SYN only after a
/// second, so trying another server is faster.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged before the connection counts as broken.
pub(super) const UNACKED_LIMIT: Duration = Duration::from_millis(1_500);
/// The share of a server's idle timeout during which a connection is reused. If the server closes
/// the connection while a request is being sent, it is unknown whether the request was executed.
const REUSE_SHARE: f64 = 0.7;
/// How long an idle connection is reused if the server gives no idle timeout.
const DEFAULT_REUSE_TIME: Duration = Duration::from_millis(300);
/// The maximum number of idle connections per server.
const MAX_IDLE: usize = 16;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// A response whose head has arrived.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The response head.
    pub(crate) head: response::Parts,
    /// The parsed protocol fields of the head.
    pub(crate) reply: Reply,
    /// The response body, as far as it has not been read.
    pub(crate) body: ProgressBody,
    /// The body if it was read to its end before the response was chosen.
    pub(crate) whole_body: Option<Bytes>,
    /// The server that answers.
    pub(crate) server: Rc<Server>,
    connection: Connection,
    _in_flight: InFlightGuard,
}

/// The pool of this VM's idle connections to backend servers.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    state: Rc<State>,
    idle: RefCell<HashMap<Incarnation, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool; `state` learns which servers it reaches.
    pub(crate) fn new(state: Rc<State>) -> Self {
        Self {
            state,
            idle: RefCell::default(),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the future closes the connection, so that the server stops working on the request.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] if the request cannot have reached the server, else with
    /// [`SendError::MaybeSent`].
    pub(crate) async fn exchange<P: Protocol>(
        &self,
        server: &Rc<Server>,
        model: Name,
        request: impl Fn() -> Request<Body>,
    ) -> Result<Exchange, SendError> {
        let in_flight = server.track_in_flight(model);
        while let Some(mut connection) = self.take(server) {
            match connection.send(request()).await {
                // The connection was closed before the request was written: try the next one.
                Err(SendError::NotSent) => {}
                Err(SendError::MaybeSent) => return Err(SendError::MaybeSent),
                Ok(response) => {
                    return Ok(Exchange::new::<P>(server, connection, response, in_flight));
                }
            }
        }
        let mut connection = self.open(server).await?;
        let response = connection.send(request()).await?;
        Ok(Exchange::new::<P>(server, connection, response, in_flight))
    }

    /// Returns the connection of a response that was read completely to the pool.
    pub(crate) fn keep(&self, exchange: Exchange) {
        let Exchange {
            connection,
            reply,
            server,
            ..
        } = exchange;
        if connection.is_closed() {
            return;
        }
        let reuse_time = reply
            .keep_alive
            .map_or(DEFAULT_REUSE_TIME, |timeout| timeout.mul_f64(REUSE_SHARE));
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(server.incarnation()).or_default();
        if idle.len() < MAX_IDLE {
            let usable_until = Instant::now() + reuse_time;
            idle.push(IdleConnection {
                connection,
                usable_until,
            });
        }
    }

    /// Whether the pool has a reusable connection to a server.
    pub(crate) fn has_idle(&self, server: &Server, now: Instant) -> bool {
        let idle = self.idle.borrow();
        let mut kept = idle.get(&server.incarnation()).into_iter().flatten();
        kept.any(|kept| now < kept.usable_until && kept.connection.is_ready())
    }

    /// Drops connections that are closed, that were idle for too long, or whose server is no
    /// longer listed.
    pub(crate) fn remove_stale(&self, is_listed: impl Fn(&Incarnation) -> bool, now: Instant) {
        self.idle.borrow_mut().retain(|incarnation, idle| {
            idle.retain(|idle| now < idle.usable_until && !idle.connection.is_closed());
            is_listed(incarnation) && !idle.is_empty()
        });
    }

    /// Drops all idle connections to a server, for example after one of them stalled.
    pub(crate) fn clear(&self, server: &Server) {
        self.idle.borrow_mut().remove(&server.incarnation());
    }

    /// Drops all idle connections: after a network partition they may stay silent.
    pub(crate) fn clear_all(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take(&self, server: &Server) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&server.incarnation())?;
        let now = Instant::now();
        while let Some(kept) = idle.pop() {
            if now < kept.usable_until && kept.connection.is_ready() {
                return Some(kept.connection);
            }
        }
        None
    }

    async fn open(&self, server: &Server) -> Result<Connection, SendError> {
        if server.is_vm {
            return Connection::open_abort_on_drop(server.address, CONNECT_TIMEOUT, UNACKED_LIMIT)
                .await;
        }
        self.state.metrics.connections_opened.inc();
        let begun_at = Instant::now();
        let opened =
            Connection::open_abort_on_drop(server.address, CONNECT_TIMEOUT, UNACKED_LIMIT).await;
        match &opened {
            Ok(_) => self.state.record_server_reached(Instant::now()),
            Err(_) => self.state.record_server_unreached(server, begun_at),
        }
        opened
    }
}

impl Exchange {
    /// Whether the response names another server than the one that the request was sent to: one
    /// that took over its address.
    pub(crate) fn is_from_other_server(&self) -> bool {
        let answered = self.reply.server.as_ref();
        answered.is_some_and(|id| *id != self.server.id)
    }

    /// Whether the response is an answer to this request from the server that it was sent to, and the
    /// server ran it.
    pub(crate) fn is_answer_to(&self, request_id: &Name) -> bool {
        let status = self.head.status;
        let is_refused = match self.server.is_vm {
            true => status == StatusCode::SERVICE_UNAVAILABLE,
            false => self.reply.is_not_executed || status == StatusCode::MISDIRECTED_REQUEST,
        };
        let is_own = self
            .reply
            .request_id
            .as_ref()
            .is_none_or(|id| id == request_id);
        let is_valid = !status.is_success() || self.reply.is_signed;
        is_own && is_valid && !is_refused
    }

    fn new<P: Protocol>(
        server: &Rc<Server>,
        connection: Connection,
        response: Response<Incoming>,
        in_flight: InFlightGuard,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self {
            reply: P::read_reply(&head),
            head,
            body: ProgressBody::new(body, connection.progress().clone()),
            whole_body: None,
            server: server.clone(),
            connection,
            _in_flight: in_flight,
        }
    }
}
