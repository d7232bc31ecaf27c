//! What this role asks of the outside: callers, backend servers and the log, a small
//! trait for each side.

use crate::gateway::{CallerRequest, Configuration, Entry};
use crate::http::Body;
use crate::inventory::Name;
use hyper::http::{request, response};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Why a request cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Malformed(pub(crate) &'static str);

/// What one sending to a backend server adds to the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendOptions<'a> {
    /// The backend server that is meant; another one at its address refuses.
    pub(crate) server: &'a str,
    /// How long the backend server may work on it.
    pub(crate) time_left: Duration,
    /// The rank; 0 is the most urgent.
    pub(crate) priority: u32,
    /// The last event that need not be sent again.
    pub(crate) last_event: Option<u64>,
    /// The version of the weights that a stream began with.
    pub(crate) weights: Option<u64>,
    /// The caller's organisation.
    pub(crate) organisation: Option<&'a str>,
}

/// What the head of a backend server's answer says beyond HTTP.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reply {
    /// The request that it answers.
    pub(crate) request_id: Option<Name>,
    /// Whether it states that the request did not run.
    pub(crate) is_not_executed: bool,
    /// The backend server that answered, where it tells.
    pub(crate) server: Option<Name>,
    /// Whether the backend server signed it.
    pub(crate) is_signed: bool,
    /// The version of the weights that a stream began with.
    pub(crate) weights: Option<u64>,
    /// How long the connection may stay idle, where it tells.
    pub(crate) keep_alive: Option<Duration>,
}

/// A failure of our own, as the caller is told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    /// The status.
    pub(crate) status: StatusCode,
    /// When to come back.
    pub(crate) retry_after: Option<Duration>,
}

/// The protocol of requests, on the callers' side and on the backend servers'.
pub(crate) trait Protocol: 'static {
    /// Reads what a caller asks for; the body comes later.
    fn read_caller_request(head: &request::Parts) -> Result<CallerRequest, Malformed>;

    /// The request as a backend server gets it.
    fn to_server(ask: &CallerRequest, options: &SendOptions<'_>) -> Request<Body>;

    /// Reads the head of a backend server's answer.
    fn read_reply(head: &response::Parts) -> Reply;

    /// A backend server's answer as the caller gets it.
    fn to_caller(head: &response::Parts, body: Body) -> Response<Body>;

    /// A failure of our own as the caller gets it.
    fn refuse(refusal: Refusal) -> Response<Body>;
}

/// Why a call to the log gave nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreError {
    /// It answered that it did nothing, or was not reached.
    Refused,
    /// No answer came; a write may have taken effect or may yet.
    Unanswered,
    /// The records asked for are not kept any more.
    Compacted,
    /// The condition of the call does not hold; the topic ends here.
    Conflict(u64),
    /// The answer could not be read.
    Garbled,
}

/// Records read from a topic.
#[derive(Clone, Debug)]
pub(crate) struct Changes<T> {
    /// What was read, oldest first.
    pub(crate) items: Vec<T>,
    /// The offset to go on from.
    pub(crate) next: u64,
}

/// A change of the directory of backend servers.
#[derive(Clone, Debug)]
pub(crate) enum ServerChange {
    /// An entry is new or renewed.
    Upserted(Entry),
    /// The entry was taken away.
    Removed(Name),
}

/// Where the configuration comes from.
pub(crate) trait ConfigSource: 'static {
    /// The newest configuration.
    fn newest(&self) -> impl Future<Output = Result<Changes<Configuration>, StoreError>>;

    /// What changed from an offset on, waiting up to `wait` for a change.
    fn changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<Configuration>, StoreError>>;
}

/// Where backend servers enter themselves.
pub(crate) trait Directory: 'static {
    /// All entries.
    fn entries(&self) -> impl Future<Output = Result<Changes<ServerChange>, StoreError>>;

    /// What changed from an offset on.
    fn changes_since(
        &self,
        from: u64,
    ) -> impl Future<Output = Result<Changes<ServerChange>, StoreError>>;
}

/// This process's place in the group of VMs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Membership {
    /// Grows with each change of the group.
    pub(crate) generation: u64,
    /// Whether this member is the one that is to lead.
    pub(crate) is_first: bool,
}

/// Members of the group, as far as the log lists them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Members {
    /// Their names.
    pub(crate) names: Vec<Name>,
    /// Whether the list has room for more, so that these are all.
    pub(crate) is_complete: bool,
}

/// The group of all VMs.
pub(crate) trait Group: 'static {
    /// Joins, or stays a member for another `ttl`.
    fn join(
        &self,
        member: &str,
        ttl: Duration,
        generation: u64,
    ) -> impl Future<Output = Result<Membership, StoreError>>;

    /// Leaves the group.
    fn leave(&self, member: &str) -> impl Future<Output = Result<(), StoreError>>;

    /// Members; not all of a large group.
    fn members(&self) -> impl Future<Output = Result<Members, StoreError>>;
}

/// The order of claims on giving orders; a claim's place is its fence.
pub(crate) trait Claims: 'static {
    /// Whether a claim came after the one with this fence.
    fn has_later_claim(&self, fence: u64) -> impl Future<Output = Result<bool, StoreError>>;

    /// Claims, if `place` is the next; returns the fence, or [`StoreError::Conflict`] with
    /// the next place.
    fn claim(&self, holder: &str, place: u64) -> impl Future<Output = Result<u64, StoreError>>;
}

/// What is loaded or dropped.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Weights {
    /// The model.
    pub(crate) model: Name,
    /// The adapter over it; the model itself without one.
    pub(crate) adapter: Option<Name>,
}

/// An order to a model runner.
#[derive(Clone, Debug)]
pub(crate) struct Order<'a> {
    /// The runner that is meant.
    pub(crate) server: &'a str,
    /// Whether to load; else to drop.
    pub(crate) is_load: bool,
    /// What it is about.
    pub(crate) weights: &'a Weights,
    /// The orders that the runner has accepted before, as the sender believes.
    pub(crate) expected_orders: Option<u64>,
    /// Who gives it.
    pub(crate) holder: &'a str,
    /// The holder's fence.
    pub(crate) fence: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Held,
    /// Another order is being carried out, or the runner's count differs.
    Busy,
    /// A later holder has given orders.
    Fenced,
    /// The runner does not know what it is about, or is another one.
    Invalid,
    /// Nothing was sent.
    NotSent,
    /// No answer came; it may be carried out yet.
    Unanswered,
}

impl OrderOutcome {
    /// The name in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Held => "held",
            Self::Busy => "busy",
            Self::Fenced => "fenced",
            Self::Invalid => "invalid",
            Self::NotSent => "not_sent",
            Self::Unanswered => "unanswered",
        }
    }
}

/// A model runner's own account.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerReport {
    /// The models that it holds, each with its adapters.
    pub(crate) holdings: Vec<crate::gateway::Holding>,
    /// Whether an order is being carried out.
    pub(crate) is_busy: bool,
    /// Orders accepted since its start.
    pub(crate) orders: u64,
    /// When the server's process started, in Unix milliseconds.
    pub(crate) started_ms: u64,
    /// Adapters that are on their way to it.
    pub(crate) coming: Vec<Weights>,
}

/// The control side of model runners.
pub(crate) trait RunnerControl: 'static {
    /// Asks the runner `server` for its account; another one at the address gives none.
    fn report(
        &self,
        address: SocketAddr,
        server: &str,
    ) -> impl Future<Output = Option<RunnerReport>>;

    /// Gives an order.
    fn order(&self, address: SocketAddr, order: &Order<'_>) -> impl Future<Output = OrderOutcome>;
}
