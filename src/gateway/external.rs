//! Interfaces between the gateway and the outside: the request protocol, the log and the runners,
//! with one small trait for each.

use crate::gateway::crash_report::CrashCause;
use crate::gateway::removal::Removal;
use crate::gateway::{CallerRequest, Configuration, Entry, StatedLoad};
use crate::http::Body;
use crate::inventory::Name;
use hyper::http::{request, response};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// Why a caller's request cannot be parsed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Malformed(pub(crate) &'static str);

/// Options that are set each time a request is sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendOptions<'a> {
    /// The intended backend server; a different one at the same address refuses the request.
    pub(crate) server: &'a str,
    /// How long the backend server may work on the request.
    pub(crate) time_left: Duration,
    /// The priority; 0 is the most urgent.
    pub(crate) priority: u32,
    /// The last event that the caller has; the server resumes the stream after it.
    pub(crate) last_event: Option<u64>,
    /// The version of the weights that the stream started with; a resumed stream must use the
    /// same one.
    pub(crate) weights_version: Option<u64>,
    /// The name of the caller's organisation.
    pub(crate) organisation: Option<&'a str>,
}

/// Fields that a backend server's response head carries in addition to plain HTTP.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reply {
    /// The id of the request that the server answers.
    pub(crate) request_id: Option<Name>,
    /// Whether the head names several requests or runs into that of another response, so that it
    /// belongs to no request.
    pub(crate) is_ambiguous: bool,
    /// Whether the server states that it did not execute the request.
    pub(crate) is_not_executed: bool,
    /// The backend server that answered, if the response names it.
    pub(crate) server: Option<Name>,
    /// Whether the backend server signed the response.
    pub(crate) is_signed: bool,
    /// The version of the weights that the server used.
    pub(crate) weights_version: Option<u64>,
    /// The server's idle timeout for the connection, if the response gives one.
    pub(crate) keep_alive: Option<Duration>,
    /// The requests per second that the server accepts from all VMs together, if it limits them.
    pub(crate) rate_limit_per_s: Option<f64>,
    /// Whether the server is about to leave and accepts no new requests.
    pub(crate) is_leaving: bool,
    /// How long the server wants no requests from this VM, if it turned the request away and asks
    /// for a pause.
    pub(crate) pause: Option<Duration>,
    /// What the server states of its load.
    pub(crate) stated_load: Option<StatedLoad>,
}

/// An error response that the gateway itself sends to a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The time after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
}

/// The request protocol, towards callers and towards backend servers.
pub(crate) trait Protocol: 'static {
    /// Parses the head of a caller's request; the body is read later.
    fn read_caller_request(head: &request::Parts) -> Result<CallerRequest, Malformed>;

    /// Builds the request that is sent to a backend server.
    fn to_server(caller_request: &CallerRequest, options: &SendOptions<'_>) -> Request<Body>;

    /// Builds the request that is forwarded to another VM, which parses it as a caller's request.
    fn to_vm(
        caller_request: &CallerRequest,
        time_left: Duration,
        last_event: Option<u64>,
    ) -> Request<Body>;

    /// Parses the head of a backend server's response.
    fn read_reply(head: &response::Parts) -> Reply;

    /// Builds the caller's response from a backend server's response.
    fn to_caller(head: &response::Parts, body: Body) -> Response<Body>;

    /// Builds the caller's response for a request that no server answered.
    fn refuse(refusal: Refusal) -> Response<Body>;
}

/// Why a call to the log failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreError {
    /// The log rejected the call without effect, or could not be reached.
    Refused,
    /// No response arrived; a write may have taken effect or may still do so.
    Unanswered,
    /// The requested records have been compacted away.
    Compacted,
    /// The log was restored from an older copy since the position to read from was obtained.
    Rewound,
    /// The call's precondition failed; holds the topic's end.
    Conflict(u64),
    /// The response could not be parsed.
    Garbled,
}

/// Records read from a topic.
#[derive(Clone, Debug)]
pub(crate) struct Changes<T> {
    /// The records, oldest first.
    pub(crate) items: Vec<T>,
    /// The position at which to continue reading ([`Position`](crate::gateway::Position)).
    pub(crate) next_offset: u64,
}

/// A change to the directory of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ServerChange {
    /// An entry was added or renewed.
    Upserted(Entry),
    /// The entry of the named backend server was removed.
    Removed(Name),
    /// The entry of the named backend server was removed, as another VM knows it.
    RemovedRun(Name, Removal),
    /// The entry of a removed server that another VM knows to have written it after its removal.
    Revived(Entry),
    /// The entry is listed, but may be older than the last restore of the log from a copy.
    Restored(Entry),
    /// The log lost the entry of the named backend server when it was restored.
    Lost(Name),
    /// The entry of the named backend server cannot be read. What is known of the server still holds.
    Unreadable(Name),
}

/// The source of the configuration.
pub(crate) trait ConfigSource: 'static {
    /// Reads the latest configuration.
    fn newest(&self) -> impl Future<Output = Result<Changes<Configuration>, StoreError>>;

    /// Decodes a configuration that another VM read.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Garbled`] if it is not a valid configuration.
    fn decode(&self, document: &[u8]) -> Result<Configuration, StoreError>;

    /// Reads configurations from an offset on; waits up to `wait` for one to be written.
    fn changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<Configuration>, StoreError>>;
}

/// The directory in which backend servers register themselves.
pub(crate) trait Directory: 'static {
    /// Reads all entries.
    fn entries(&self) -> impl Future<Output = Result<Changes<ServerChange>, StoreError>>;

    /// Reads the last `count` changes before an offset, or all if there are fewer.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Compacted`] if the log no longer has them.
    fn changes_before(
        &self,
        end: u64,
        count: u64,
    ) -> impl Future<Output = Result<Vec<ServerChange>, StoreError>>;

    /// Reads the changes from an offset on.
    fn changes_since(
        &self,
        from: u64,
    ) -> impl Future<Output = Result<Changes<ServerChange>, StoreError>>;
}

/// This process's membership in the group of VMs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Membership {
    /// The generation of the group; grows with each change of its members.
    pub(crate) generation: u64,
    /// Whether this member is the one that may claim leadership.
    pub(crate) is_first: bool,
    /// Whether this member owns a partition, so that the list of members names it.
    pub(crate) is_owner: bool,
}

/// The members of the group that the log lists.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Members {
    /// The names of the members.
    pub(crate) names: Vec<Name>,
    /// The number of members that the log can list: one for each partition.
    pub(crate) partitions: usize,
}

impl Members {
    /// Whether all members are listed: the list still had free entries.
    pub(crate) fn is_complete(&self) -> bool {
        self.names.len() < self.partitions
    }
}

/// The group of all VMs.
pub(crate) trait Group: 'static {
    /// Joins the group, or renews the membership for another `ttl`.
    fn join(
        &self,
        member: &str,
        ttl: Duration,
        generation: u64,
    ) -> impl Future<Output = Result<Membership, StoreError>>;

    /// Leaves the group.
    fn leave(&self, member: &str) -> impl Future<Output = Result<(), StoreError>>;

    /// Lists members; for a large group the list may be incomplete.
    fn members(&self) -> impl Future<Output = Result<Members, StoreError>>;
}

/// The log of leadership claims; the offset of a claim determines its fencing token (fence).
pub(crate) trait LeadershipClaims: 'static {
    /// Checks whether a later claim follows the one with this fence.
    fn has_later_claim(&self, fence: u64) -> impl Future<Output = Result<bool, StoreError>>;

    /// Appends a leadership claim if `offset` is the end of the log; returns its fence.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Conflict`], which holds the end offset, if another record was
    /// appended before.
    fn claim(&self, leader: &str, offset: u64) -> impl Future<Output = Result<u64, StoreError>>;
}

/// A contained cause of crashes as kept in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StoredCause {
    /// What crashes servers.
    pub(crate) cause: CrashCause,
    /// When a request was last refused for it, in Unix milliseconds.
    pub(crate) refused_unix_ms: u64,
}

/// The causes of crashes that VMs contain.
pub(crate) trait ContainmentLog: 'static {
    /// Reads all contained causes.
    fn contained(&self) -> impl Future<Output = Result<Vec<StoredCause>, StoreError>>;

    /// Writes a contained cause in place of what was written of it before.
    fn write_contained(&self, stored: &StoredCause)
    -> impl Future<Output = Result<(), StoreError>>;
}

/// Identifies the weights that are loaded or unloaded: a model, or an adapter of it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Weights {
    /// The model.
    pub(crate) model: Name,
    /// The adapter; `None` means the model itself.
    pub(crate) adapter: Option<Name>,
}

/// An order to a model runner to load or unload weights.
#[derive(Clone, Debug)]
pub(crate) struct Order<'a> {
    /// The intended runner.
    pub(crate) server: &'a str,
    /// Whether the order is to load the weights; otherwise it is to unload them.
    pub(crate) is_load: bool,
    /// The weights to load or unload.
    pub(crate) weights: &'a Weights,
    /// The number of orders that the sender expects the runner to have accepted before; the
    /// runner rejects the order if its own count differs.
    pub(crate) expected_orders: Option<u64>,
    /// The name of the leader, which sends the order.
    pub(crate) leader: &'a str,
    /// The leader's fence.
    pub(crate) fence: u64,
}

/// The result of sending an order to a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderOutcome {
    /// The runner accepted the order and is executing it.
    Accepted,
    /// The runner's holdings already match the order.
    Held,
    /// The runner is executing another order, or its order count differs from the expected one.
    Busy,
    /// The runner has received orders from a later leader.
    Fenced,
    /// The runner does not know the weights, or is not the intended runner.
    Invalid,
    /// The order was not sent.
    NotSent,
    /// No response arrived; the runner may still execute the order.
    Unanswered,
}

impl OrderOutcome {
    /// The outcome's label value in metrics.
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

/// A model runner's report on itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerReport {
    /// The models loaded on the runner, each with its adapters.
    pub(crate) holdings: Vec<crate::gateway::Holding>,
    /// Whether the runner is executing an order.
    pub(crate) is_busy: bool,
    /// The number of orders accepted since the runner started.
    pub(crate) orders: u64,
    /// When the runner's process started, in Unix milliseconds.
    pub(crate) started_ms: u64,
    /// Adapters that are on their way to the runner and not loaded yet.
    pub(crate) loading_adapters: Vec<Weights>,
    /// Whether the runner is about to leave and accepts no new requests.
    pub(crate) is_leaving: bool,
}

/// The control interface of model runners.
pub(crate) trait RunnerControl: 'static {
    /// Requests the report of the runner `server`; `None` if it cannot be read or a different
    /// runner is at the address.
    fn report(
        &self,
        address: SocketAddr,
        server: &str,
    ) -> impl Future<Output = Option<RunnerReport>>;

    /// Sends an order to the runner at `address`.
    fn order(&self, address: SocketAddr, order: &Order<'_>) -> impl Future<Output = OrderOutcome>;
}
