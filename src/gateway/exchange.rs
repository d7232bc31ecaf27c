//! Sending one request to one backend server, and the pool of idle connections.

use crate::client::{Connection, SendError};
use crate::client_memory::{AnswerError, ClientAccount, read_answer};
use crate::gateway::attempt::{ConnectionId, UsedConnections, Verdict};
use crate::gateway::failure::promises_not_run;
use crate::gateway::fleet::{InFlightGuard, Incarnation, Server};
use crate::gateway::state::State;
use crate::gateway::{Protocol, Reply};
use crate::http::Body;
use crate::inventory::Name;
use crate::response_body::ResponseBody;
use bytes::Bytes;
use hyper::http::response;
use hyper::{Request, Response};
use std::cell::{Cell, RefCell};
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
/// The longest idle timeout that a server is taken to have.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// The maximum number of idle connections per server.
const MAX_IDLE: usize = 16;
/// The fraction of the sockets of a VM that idle connections to all servers may take.
const IDLE_SOCKET_FRACTION: usize = 8;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    id: ConnectionId,
    usable_until: Instant,
}

/// The connection that carries an attempt.
struct Carrier {
    connection: Connection,
    id: ConnectionId,
    /// Whether the connection has carried nothing else.
    is_first_use: bool,
}

/// A response whose head has arrived.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The response head.
    pub(crate) head: response::Parts,
    /// The parsed protocol fields of the head.
    pub(crate) reply: Reply,
    /// The response body, as far as it has not been read.
    pub(crate) body: ResponseBody,
    /// The body if it was read to its end before the response was chosen.
    pub(crate) whole_body: Option<Bytes>,
    /// The server that answers.
    pub(crate) server: Rc<Server>,
    connection: Connection,
    connection_id: ConnectionId,
    /// Whether the connection has carried nothing but this request.
    is_first_use: bool,
    _in_flight: InFlightGuard,
}

/// The pool of this VM's idle connections to backend servers.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    state: Rc<State>,
    idle: RefCell<HashMap<Incarnation, Vec<IdleConnection>>>,
    max_idle: usize,
    /// The number of connections opened so far.
    opened: Cell<u64>,
}

impl ConnectionPool {
    /// Creates an empty pool; `state` learns which servers it reaches.
    pub(crate) fn new(state: Rc<State>) -> Self {
        Self {
            max_idle: state.settings.sockets.max_shared / IDLE_SOCKET_FRACTION,
            state,
            idle: RefCell::default(),
            opened: Cell::default(),
        }
    }

    /// Sends a request and waits for the head of the response, on a connection that is not among the
    /// `used` ones of the request, and adds it to them.
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
        used: &UsedConnections,
        request: impl Fn() -> Request<Body>,
    ) -> Result<Exchange, SendError> {
        let in_flight = server.track_in_flight(model);
        while let Some(idle) = self.take(server, used) {
            let (mut connection, id) = (idle.connection, idle.id);
            used.note(id);
            match connection.send(request()).await {
                // The connection was closed before the request was written: try the next one.
                Err(SendError::NotSent) => {}
                Err(SendError::MaybeSent) => return Err(SendError::MaybeSent),
                Ok(response) => {
                    let carrier = Carrier {
                        connection,
                        id,
                        is_first_use: false,
                    };
                    return Ok(Exchange::new::<P>(server, carrier, response, in_flight));
                }
            }
        }
        let mut connection = self.open(server).await?;
        let id = ConnectionId(self.opened.get());
        self.opened.set(id.0 + 1);
        used.note(id);
        let response = connection.send(request()).await?;
        let carrier = Carrier {
            connection,
            id,
            is_first_use: true,
        };
        Ok(Exchange::new::<P>(server, carrier, response, in_flight))
    }

    /// Returns the connection of a response that was read completely to the pool, unless a late copy
    /// of that response could not be told from the answer to the next request.
    pub(crate) fn keep(&self, exchange: Exchange) {
        let Exchange {
            connection,
            connection_id: id,
            reply,
            server,
            ..
        } = exchange;
        let is_identified = server.is_vm || reply.request_id.is_some();
        if connection.is_closed() || !is_identified {
            return;
        }
        let reuse_time = reply.keep_alive.map_or(DEFAULT_REUSE_TIME, |timeout| {
            timeout.min(MAX_IDLE_TIMEOUT).mul_f64(REUSE_SHARE)
        });
        let idle_count = self.idle_count();
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(server.incarnation()).or_default();
        if idle.len() < MAX_IDLE && idle_count < self.max_idle {
            let usable_until = Instant::now() + reuse_time;
            idle.push(IdleConnection {
                connection,
                id,
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

    /// The number of idle connections.
    pub(crate) fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Drops all idle connections: after a network partition they may stay silent.
    pub(crate) fn clear_all(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Takes the connection that was used last and is not among the `used` ones.
    fn take(&self, server: &Server, used: &UsedConnections) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&server.incarnation())?;
        let now = Instant::now();
        while let Some(index) = idle.iter().rposition(|kept| !used.contains(kept.id)) {
            let kept = idle.remove(index);
            if now < kept.usable_until && kept.connection.is_ready() {
                return Some(kept);
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

    /// Reads the rest of the body to its end, into the memory of the client.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off or is too long.
    pub(crate) async fn read_to_end(
        &mut self,
        account: &ClientAccount,
    ) -> Result<Bytes, AnswerError> {
        read_answer(&mut self.body, account).await
    }

    /// What the response shows about the attempt of a request that servers may have executed `runs`
    /// times before.
    pub(crate) fn verdict(&self, request_id: &str, runs: u32) -> Verdict {
        let reply = &self.reply;
        match self.server.is_vm {
            true => Verdict::of_vm(reply, &self.head, request_id, runs),
            false => Verdict::of_server(reply, self.head.status, request_id, self.is_first_use),
        }
    }

    /// Whether the response is an answer to this request, which may have been executed for it.
    pub(crate) fn is_answer_to(&self, request_id: &str) -> bool {
        let is_answered = self.verdict(request_id, 0) == Verdict::Answered;
        is_answered && !promises_not_run(self.head.status)
    }

    fn new<P: Protocol>(
        server: &Rc<Server>,
        carrier: Carrier,
        response: Response<ResponseBody>,
        in_flight: InFlightGuard,
    ) -> Self {
        let Carrier {
            connection,
            id,
            is_first_use,
        } = carrier;
        let (head, body) = response.into_parts();
        Self {
            reply: P::read_reply(&head),
            head,
            body,
            whole_body: None,
            server: server.clone(),
            connection,
            connection_id: id,
            is_first_use,
            _in_flight: in_flight,
        }
    }
}
