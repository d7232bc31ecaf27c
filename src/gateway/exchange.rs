//! One request sent to one backend server, and the connections kept for the next.

use crate::client::{Connection, SendError};
use crate::gateway::fleet::{InFlight, Incarnation, Server};
use crate::gateway::{Protocol, Reply};
use crate::http::Body;
use crate::inventory::Name;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response};
use prometheus_client::metrics::counter::Counter;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a connection to a server may take; a lost opening packet is sent again only
/// after a second, when another server has long been tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged.
const UNACKED_LIMIT: Duration = Duration::from_millis(1_500);
/// The part of a server's idle timeout during which a connection is used again: one that
/// is closed just as a request is sent leaves it open whether the request ran.
const KEPT_SHARE: f64 = 0.7;
/// How long an idle connection is used again where the server names no timeout.
const KEPT_UNTOLD: Duration = Duration::from_millis(300);
/// Idle connections kept for one server.
const MAX_IDLE: usize = 16;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The head of an answer with its body under way.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The head.
    pub(crate) head: response::Parts,
    /// What the head says beyond HTTP.
    pub(crate) reply: Reply,
    /// The body.
    pub(crate) body: Incoming,
    /// Who answers.
    pub(crate) server: Rc<Server>,
    connection: Connection,
    _in_flight: InFlight,
}

/// The connections of this VM to backend servers.
#[derive(Debug)]
pub(crate) struct Links {
    opened: Counter,
    idle: RefCell<HashMap<Incarnation, Vec<Idle>>>,
}

impl Links {
    /// No connections yet; counts those that it opens.
    pub(crate) fn new(opened: Counter) -> Self {
        Self {
            opened,
            idle: RefCell::default(),
        }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// Dropping the future cuts the connection, so that the server stops its work.
    ///
    /// # Errors
    ///
    /// Tells whether the request can have reached the server.
    pub(crate) async fn exchange<P: Protocol>(
        &self,
        server: &Rc<Server>,
        model: Name,
        request: impl Fn() -> Request<Body>,
    ) -> Result<Exchange, SendError> {
        let in_flight = server.enter(model);
        while let Some(mut connection) = self.take(server) {
            match connection.send(request()).await {
                // It was closed before the request was written: another will do.
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

    /// Keeps the connection of an answer that was read to its end.
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
        let kept = reply
            .keep_alive
            .map_or(KEPT_UNTOLD, |timeout| timeout.mul_f64(KEPT_SHARE));
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(server.incarnation()).or_default();
        if idle.len() < MAX_IDLE {
            let until = Instant::now() + kept;
            idle.push(Idle { connection, until });
        }
    }

    /// Whether a connection to a server can be used again.
    pub(crate) fn has_idle(&self, server: &Server, now: Instant) -> bool {
        let idle = self.idle.borrow();
        let mut kept = idle.get(&server.incarnation()).into_iter().flatten();
        kept.any(|kept| now < kept.until && kept.connection.is_ready())
    }

    /// Drops the connections to servers that are gone, and those idle for too long.
    pub(crate) fn remove_stale(&self, is_listed: impl Fn(&Incarnation) -> bool, now: Instant) {
        self.idle.borrow_mut().retain(|run, idle| {
            idle.retain(|idle| now < idle.until && !idle.connection.is_closed());
            is_listed(run) && !idle.is_empty()
        });
    }

    /// Drops the idle connections to a server, such as after one went silent.
    pub(crate) fn clear(&self, server: &Server) {
        self.idle.borrow_mut().remove(&server.incarnation());
    }

    fn take(&self, server: &Server) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&server.incarnation())?;
        let now = Instant::now();
        while let Some(kept) = idle.pop() {
            if now < kept.until && kept.connection.is_ready() {
                return Some(kept.connection);
            }
        }
        None
    }

    async fn open(&self, server: &Server) -> Result<Connection, SendError> {
        self.opened.inc();
        Connection::open_owned(server.address, CONNECT_TIMEOUT, UNACKED_LIMIT).await
    }
}

impl Exchange {
    fn new<P: Protocol>(
        server: &Rc<Server>,
        connection: Connection,
        response: Response<Incoming>,
        in_flight: InFlight,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self {
            reply: P::read_reply(&head),
            head,
            body,
            server: server.clone(),
            connection,
            _in_flight: in_flight,
        }
    }
}
