//! The state of one request in flight.

use crate::callers::Organisation;
use crate::client_memory::{ClientAccount, REQUEST_BYTES, Reservation, SERVER_BYTES};
use crate::gateway::attempt::UsedConnections;
use crate::gateway::failure::Failure;
use crate::gateway::forwarding::ForwardedCall;
use crate::gateway::grant::Grant;
use crate::gateway::stream_versions::StreamKey;
use crate::gateway::waiting::RequestTiming;
use crate::gateway::{CallerRequest, Route, Weights};
use crate::inventory::Name;
use crate::open_requests::RequestProgress;
use crate::server_sockets::ServerSocket;
use bytes::Bytes;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The estimated cost of a request to a runner.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cost {
    /// The prefill time of the prompt, during which the runner does nothing else, in
    /// milliseconds.
    pub(crate) prefill_ms: f64,
    /// The prefill time plus the request's share of the time that the runner spends on decoding
    /// all its streams, in milliseconds.
    pub(crate) busy_ms: f64,
    /// The duration of the stream from its first event to its end, in milliseconds.
    pub(crate) stream_duration_ms: f64,
}

impl Cost {
    /// How long the request takes at a server that does nothing else.
    pub(crate) fn duration(self) -> Duration {
        Duration::from_secs_f64((self.prefill_ms + self.stream_duration_ms) / 1_000.0)
    }
}

/// When and under which load a request was sent to a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Dispatch {
    pub(crate) at: Instant,
    /// Whether the server, as far as this VM knew, had hardly any queued prompts and was not busy.
    pub(crate) is_uncontended: bool,
}

/// The software version at which a stream may go on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StreamVersion {
    /// Any: no event of the stream has been delivered.
    Any,
    /// The one that began the stream, which is not known yet.
    Unresolved,
    /// This one.
    Bound(Name),
}

/// What a request in work takes of the VM, whatever its length, until dropped.
#[derive(Debug)]
pub(crate) struct RequestResources {
    memory: Reservation,
    _socket: ServerSocket,
}

impl RequestResources {
    /// Takes what every request takes; `None` if there is no memory.
    pub(crate) async fn take(account: &ClientAccount, socket: ServerSocket) -> Option<Self> {
        let mut memory = account.reservation();
        memory.grow_to_or_fail(REQUEST_BYTES).await.then_some(Self {
            memory,
            _socket: socket,
        })
    }

    /// Takes the memory for a connection to a server as well; returns whether there is some.
    pub(crate) async fn take_connection(&mut self) -> bool {
        self.memory
            .grow_to_or_fail(REQUEST_BYTES + SERVER_BYTES)
            .await
    }
}

/// One request in flight, from its arrival to the end of its answer.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: Rc<CallerRequest>,
    /// What is held for the caller's connection.
    pub(crate) account: ClientAccount,
    pub(crate) resources: RequestResources,
    pub(crate) cost: Cost,
    /// When the request was last sent to a server, and under which load.
    pub(crate) last_dispatch: Option<Dispatch>,
    pub(crate) route: Rc<Route>,
    /// The caller's organisation, if the configuration defines organisations.
    pub(crate) organisation: Option<Rc<Organisation>>,
    /// The request's share of the organisation's quota, if the organisation has one.
    pub(crate) grant: Option<Grant>,
    pub(crate) service: Name,
    /// The software version at which the stream may go on.
    pub(crate) stream_version: StreamVersion,
    pub(crate) arrived: Instant,
    /// How far the request has come, for the record of its end.
    pub(crate) progress: Rc<RequestProgress>,
    /// The deadline: the earlier of the caller's and the route's.
    pub(crate) deadline: Instant,
    pub(crate) fingerprint: u64,
    /// The number of servers that may have started to execute the request.
    pub(crate) runs: u32,
    /// Whether the request is being sent to a server whose answer is not known yet.
    pub(crate) is_attempt_open: bool,
    /// Whether a retry is reserved from the budget and not used yet.
    pub(crate) has_reserved_retry: Cell<bool>,
    /// The number of servers that refused the request, so that none of them executed it.
    pub(crate) refused: u32,
    /// The number of servers that could not be reached.
    pub(crate) unreached: u32,
    /// The VMs to which this VM tried to forward the request.
    pub(crate) forwarded_to: Vec<SocketAddr>,
    /// What another VM states that forwarded the request to this one.
    pub(crate) forwarded: Option<ForwardedCall>,
    /// The connections that it was sent on.
    pub(crate) used_connections: UsedConnections,
    /// The ids of the servers that the request was sent to.
    pub(crate) tried: Vec<Name>,
    /// The ids of the servers that are silent and may still answer.
    pub(crate) silent_servers: Vec<Name>,
    /// Whether the request may have crashed a server.
    pub(crate) is_crash_suspect: Cell<bool>,
}

impl Call {
    /// The time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether one more server may execute the request.
    pub(crate) fn may_run_again(&self) -> bool {
        self.route.is_retryable()
            && self.runs < self.route.max_attempts
            && !self.is_crash_suspect.get()
    }

    /// Gives up the body of a request that is not sent again.
    pub(crate) fn release_body(&mut self) {
        Rc::make_mut(&mut self.request).body = Bytes::new();
    }

    /// Records that the request may have run where it was sent last, if that attempt was cancelled
    /// before its outcome was known.
    pub(crate) fn settle_cancelled_attempt(&mut self) {
        if std::mem::take(&mut self.is_attempt_open) {
            self.runs += 1;
        }
    }

    /// Identifies the stream that the request begins or takes up.
    pub(crate) fn stream_key(&self) -> StreamKey {
        let resumes = self.request.resumes.as_ref();
        StreamKey::of(resumes.unwrap_or(&self.request.id))
    }

    /// The weights that the request needs; `None` for requests to plain services.
    pub(crate) fn weights(&self) -> Option<Weights> {
        let generation = self.request.generation.as_ref()?;
        Some(Weights {
            model: generation.model.clone(),
            adapter: generation.adapter.clone(),
        })
    }

    /// The model that the request names; empty for requests to plain services.
    pub(crate) fn model(&self) -> Name {
        let generation = self.request.generation.as_ref();
        generation.map_or_else(Name::default, |generation| generation.model.clone())
    }

    /// Records whether a server may execute the request now or has executed it before; only then
    /// does the request consume its quota.
    pub(crate) fn note_running(&mut self, may_run: bool) {
        let may_have_run = may_run || self.runs > 0;
        self.progress.runs.set(self.runs + u32::from(may_run));
        if let Some(grant) = &mut self.grant {
            grant.may_have_run = may_have_run;
        }
    }

    /// The name of the caller's organisation; empty if there is none.
    pub(crate) fn organisation_name(&self) -> &str {
        let organisation = self.organisation.as_ref();
        organisation.map_or("", |organisation| organisation.name.as_str())
    }

    /// The priority of the request; 0 is the most urgent.
    pub(crate) fn priority(&self) -> u32 {
        let organisation = self.organisation.as_ref();
        let own = organisation.and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority)
    }

    /// The times that limit when the request must be sent.
    pub(crate) fn timing(&self) -> RequestTiming {
        RequestTiming {
            arrived: self.arrived,
            target: Duration::from_millis(self.route.target_latency_ms),
            max_pause: Duration::from_millis(self.route.max_pause_ms),
            deadline: self.deadline,
        }
    }

    /// The estimated prefill time of the prompt.
    pub(crate) fn prefill_time(&self) -> Duration {
        Duration::from_secs_f64(self.cost.prefill_ms / 1_000.0)
    }

    /// Until when the request may be held: early enough that the caller still waits and that the
    /// answer is complete before the deadline.
    pub(crate) fn hold_until(&self) -> Instant {
        let answer =
            Duration::from_secs_f64(self.cost.stream_duration_ms / 1_000.0) + self.prefill_time();
        let latest = self.deadline.checked_sub(answer).unwrap_or(self.arrived);
        self.timing().hold_limit().min(latest).max(self.arrived)
    }

    /// How long the request may be held, from its arrival.
    pub(crate) fn hold_time(&self) -> Duration {
        self.hold_until() - self.arrived
    }

    /// The version of the weights that the stream started with at the VM that forwarded it.
    pub(crate) fn pinned_weights_version(&self) -> Option<u64> {
        self.forwarded.as_ref()?.state.weights_version
    }

    /// Whether a server has received the request, so that sending it again counts as a retry.
    pub(crate) fn has_arrived(&self) -> bool {
        self.runs + self.refused > 0
    }

    /// Whether no server has started to execute the request and the caller has received no part
    /// of an answer.
    pub(crate) fn is_unstarted(&self) -> bool {
        self.runs == 0 && self.request.last_event.is_none()
    }

    /// The failure to report when the deadline has passed.
    pub(crate) fn timeout_failure(&self) -> Failure {
        if self.runs > 0 {
            Failure::TimedOut
        } else {
            Failure::Late
        }
    }
}
