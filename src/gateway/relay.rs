//! Handles a caller's request from its arrival to its answer: reads it, has it sent to backend
//! servers, and returns the response.

use crate::accept_queue::Overload;
use crate::client_memory::{BodyError, ClientAccount, read_request_body};
use crate::connection_end::ConnectionEnd;
use crate::gateway::attempt::UsedConnections;
use crate::gateway::budget::{Allowance, RetryBudget};
use crate::gateway::call::{Call, Cost, RequestResources, StreamVersion};
use crate::gateway::crash_check::{Break, CrashCheck};
use crate::gateway::exchange::{ConnectionPool, Exchange};
use crate::gateway::failure::Failure;
use crate::gateway::fleet::Server;
use crate::gateway::forward_targets::ForwardTargets;
use crate::gateway::forwarding::{DeclineReason, ForwardSlots, ForwardedCall};
use crate::gateway::grant::Grant;
use crate::gateway::server_speed::Work;
use crate::gateway::state::State;
use crate::gateway::waiting::start_hold;
use crate::gateway::{CallerRequest, Malformed, Protocol, Route, RouteKind};
use crate::http::{Body, closing, discard_body, head_bytes};
use crate::inventory::Name;
use crate::open_requests::{OpenRequest, RequestProgress};
use crate::request_end::RequestEnd;
use bytes::Bytes;
use futures_channel::oneshot;
use hyper::body::{Body as _, Incoming};
use hyper::http::{request, response};
use hyper::{Request, Response};
use std::cell::Cell;
use std::marker::PhantomData;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The assumed timeout of a caller that sends none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a request waits to learn whether the server that it was sent to crashed.
const CRASH_CHECK_WAIT: Duration = Duration::from_millis(100);
/// How long a request that may have crashed a server waits for what other VMs know of its prompt.
const PEER_EVIDENCE_WAIT: Duration = Duration::from_millis(300);
/// The weight of the duration of a plain call in the speed of its server, in long streams. Calls of
/// one route differ more from each other than streams of one model.
const CALL_WEIGHT: f64 = 0.3;
/// How often a request that waits for the start of this VM is checked.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A request whose body has not been read yet.
struct Reading {
    head_bytes: usize,
    body: Incoming,
    arrived: Instant,
    progress: Rc<RequestProgress>,
    account: ClientAccount,
}

/// Forwards callers' requests to backend servers.
pub(crate) struct Relay<P> {
    pub(crate) state: Rc<State>,
    pub(crate) pool: ConnectionPool,
    pub(crate) forward_targets: ForwardTargets,
    pub(super) forward_slots: ForwardSlots,
    pub(super) budget: RetryBudget,
    protocol: PhantomData<P>,
}

impl<P: Protocol> Relay<P> {
    /// Creates a relay over the VM's shared state.
    pub(crate) fn new(state: Rc<State>) -> Self {
        let bounds = &state.settings.bounds;
        let budget = RetryBudget::new(Allowance {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        });
        Self {
            pool: ConnectionPool::new(state.clone()),
            forward_targets: ForwardTargets::default(),
            forward_slots: ForwardSlots::default(),
            state,
            budget,
            protocol: PhantomData,
        }
    }

    /// Answers one request of a caller.
    pub(crate) async fn handle(self: Rc<Self>, incoming: Request<Incoming>) -> Response<Body> {
        self.handle_request(incoming, None).await
    }

    /// Answers a request of a caller, or one that another VM forwarded for it.
    pub(super) async fn handle_request(
        self: Rc<Self>,
        incoming: Request<Incoming>,
        forwarded: Option<ForwardedCall>,
    ) -> Response<Body> {
        let is_forwarded = forwarded.is_some();
        let arrived = Instant::now();
        let (head, body) = incoming.into_parts();
        let (request, open) = match self.begin_request(&head, arrived, is_forwarded) {
            Ok(begun) => begun,
            Err(refusal) => {
                let account = head.extensions.get::<ClientAccount>();
                discard_body(body, DEFAULT_CALLER_TIMEOUT, account);
                return *refusal;
            }
        };
        let id = request.id.clone();
        let caller_timeout = request.time_limit.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let model = request.generation.as_ref().map(|it| it.model.clone());
        let model = model.unwrap_or_default();
        let account = head.extensions.get::<ClientAccount>().cloned();
        let mut reading = Reading {
            head_bytes: head_bytes(&head),
            body,
            arrived,
            progress: open.progress(),
            account: account.unwrap_or_else(|| self.state.client_memory.account()),
        };
        if let Some(forwarded) = &forwarded {
            reading.progress.runs.set(forwarded.state.runs);
        }
        let progress = open.progress();
        let runs_before = progress.runs.get();
        let answer = {
            // Pinned here, since what is passed on by value takes its memory twice.
            let answering = pin!(self.clone().answer(request, &mut reading, forwarded));
            progress.unless_given_up(answering).await
        };
        let answer = answer.unwrap_or(Err(Failure::Leaving));
        if answer.is_err() {
            let time_left = caller_timeout.saturating_sub(arrived.elapsed());
            discard_body(reading.body, time_left, Some(&reading.account));
        }
        open.expect(match answer {
            Ok(_) => RequestEnd::Answered,
            Err(_) => RequestEnd::Refused,
        });
        let response = match answer {
            Ok(response) => response,
            Err(Failure::CutOff) if is_forwarded => DeclineReason::CutOff.response(),
            Err(Failure::NoBodyRoom | Failure::NoMemory) if is_forwarded => {
                DeclineReason::NoMemory.response()
            }
            Err(Failure::Overloaded(_)) if is_forwarded => DeclineReason::Full.response(),
            Err(Failure::Leaving) if is_forwarded && progress.runs.get() == runs_before => {
                DeclineReason::Unready.response()
            }
            Err(failure) => {
                let failure = failure.after_runs(reading.progress.runs.get());
                self.refuse(&id, &model, failure, caller_timeout, arrived.elapsed())
            }
        };
        response.map(|body| body.tracked(open))
    }

    /// Refuses a request of a caller whose connection this VM is too busy to serve. Nothing else is
    /// done with it: it takes nothing of a quota, and no server is asked.
    pub(crate) fn refuse_unserved(
        &self,
        head: &request::Parts,
        overload: Overload,
    ) -> Response<Body> {
        let (request, open) = match self.begin_request(head, Instant::now(), false) {
            Ok(begun) => begun,
            Err(refusal) => return *refusal,
        };
        open.expect(RequestEnd::Refused);
        let model = request.generation.map(|it| it.model).unwrap_or_default();
        let time_left = request.time_limit.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let failure = Failure::Overloaded(overload);
        let response = self.refuse(&request.id, &model, failure, time_left, Duration::ZERO);
        response.map(|body| body.tracked(open))
    }

    /// Parses the head of a request and records the request as open, or returns the refusal of one
    /// that is malformed.
    fn begin_request(
        &self,
        head: &request::Parts,
        arrived: Instant,
        is_forwarded: bool,
    ) -> Result<(CallerRequest, OpenRequest), Box<Response<Body>>> {
        let open_requests = &self.state.open_requests;
        let connection = head.extensions.get::<ConnectionEnd>().cloned();
        let connection = connection.unwrap_or_default();
        match P::read_caller_request(head) {
            Ok(request) => {
                let id = request.id.clone();
                let open = open_requests.begin(id, arrived, connection, is_forwarded);
                Ok((request, open))
            }
            Err(Malformed(why)) => {
                warn!(why, "request malformed");
                let open = open_requests.begin(Name::default(), arrived, connection, is_forwarded);
                open.expect(RequestEnd::Refused);
                let refusal = Failure::Malformed(why).refusal(DEFAULT_CALLER_TIMEOUT);
                let response = P::refuse(refusal).map(|body| body.tracked(open));
                Err(Box::new(response))
            }
        }
    }

    /// Logs and counts a refusal, and returns the response for it.
    fn refuse(
        &self,
        id: &Name,
        model: &Name,
        failure: Failure,
        caller_timeout: Duration,
        age: Duration,
    ) -> Response<Body> {
        let refusal = failure.refusal(caller_timeout.saturating_sub(age));
        self.state.metrics.note_request("none", failure.name());
        info!(
            request = %id,
            %model,
            failure = failure.label(),
            status = refusal.status.as_u16(),
            retry_after_ms = refusal.retry_after.map(|it| it.as_millis() as u64),
            age_ms = age.as_millis() as u64,
            "request refused"
        );
        let response = P::refuse(refusal);
        match failure.closes_connection() {
            true => closing(response),
            false => response,
        }
    }

    async fn answer(
        self: Rc<Self>,
        request: CallerRequest,
        reading: &mut Reading,
        forwarded: Option<ForwardedCall>,
    ) -> Result<Response<Body>, Failure> {
        if request.has_unreadable_parts {
            self.state.metrics.unreadable_prompts.inc();
        }
        let resources = self.take_resources(&reading.account).await?;
        let mut call = self
            .prepare_call(request, reading, resources, forwarded)
            .await?;
        if self.state.is_contained(&call) {
            return Err(Failure::Poison);
        }
        match call.route.kind {
            RouteKind::Streaming => self.answer_stream(call).await,
            RouteKind::Safe | RouteKind::Unsafe => self.answer_plain(&mut call).await,
        }
    }

    /// Takes what every request takes, or refuses the request at once.
    async fn take_resources(&self, account: &ClientAccount) -> Result<RequestResources, Failure> {
        let open_connections = self.state.client_memory.connections();
        let sockets = &self.state.server_sockets;
        let socket = sockets.take(open_connections + self.pool.idle_count());
        let socket = socket.or_else(|| {
            self.pool.clear_all();
            sockets.take(open_connections)
        });
        let socket = socket.ok_or(Failure::Overloaded(Overload::ManyOpen))?;
        let resources = RequestResources::take(account, socket).await;
        resources.ok_or(Failure::NoMemory)
    }

    /// Finds the route, takes the request's share of the quota and reads the body.
    async fn prepare_call(
        &self,
        mut request: CallerRequest,
        reading: &mut Reading,
        resources: RequestResources,
        forwarded: Option<ForwardedCall>,
    ) -> Result<Call, Failure> {
        let arrived = reading.arrived;
        self.wait_for_start(&request, arrived).await;
        let configuration = self.state.configuration().ok_or(Failure::Unready)?;
        if !self.state.can_route(Instant::now()) {
            return Err(Failure::Unready);
        }
        // A VM that forwards a request adds to its head.
        if reading.head_bytes > configuration.limits.max_header_bytes && forwarded.is_none() {
            return Err(Failure::HeadTooLarge);
        }
        let route = configuration
            .route(&request.host, request.path.path())
            .ok_or(Failure::NoRoute)?;
        let organisation = configuration.organisation(route, request.key.as_ref())?;
        let forward_state = forwarded.as_ref().map(|it| it.state);
        // The VM that forwards a request keeps its grant once a server may have run the request.
        let has_grant = forward_state.is_some_and(|it| it.runs > 0);
        let grant = match has_grant {
            true => None,
            false => Grant::take(
                &self.state,
                &request,
                organisation.as_deref(),
                route,
                arrived,
            )?,
        };
        let service = route
            .pick_target(rand::random())
            .ok_or(Failure::NoRoute)?
            .clone();
        let timeout = route.timeout();
        let time_limit = request
            .time_limit
            .map_or(timeout, |caller_timeout| caller_timeout.min(timeout));
        let deadline = arrived + time_limit;
        let limit_bytes = configuration.limits.max_body_bytes;
        let stated_bytes = reading.body.size_hint().exact();
        let reading_body = read_request_body(&mut reading.body, limit_bytes, &reading.account);
        let body = compio::time::timeout(deadline - arrived, reading_body).await;
        request.body = match body {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLong)) => return Err(Failure::TooLarge),
            Ok(Err(BodyError::NoRoom)) => {
                let held_bytes = self.state.client_memory.reserved_bytes();
                warn!(request = %request.id, stated_bytes, held_bytes, "no room for request body");
                return Err(Failure::NoBodyRoom);
            }
            Ok(Err(BodyError::Broken)) | Err(_) => return Err(Failure::BodyCut),
        };
        // A stream that has begun goes on for as long as the process does.
        let is_stream = route.kind == RouteKind::Streaming;
        let last_answer_at = self.state.shutdown.last_answer_at();
        let last_answer_at = last_answer_at.filter(|_| !is_stream);
        let deadline = last_answer_at.map_or(deadline, |last| deadline.min(last));
        reading.progress.deadline.set(Some(deadline));
        let cost = request.generation.as_ref().map(|it| self.state.cost(it));
        if self.outlasts_grace(route, cost, Instant::now()) {
            return Err(Failure::Leaving);
        }
        let has_begun = route.kind == RouteKind::Streaming && request.last_event.is_some();
        let stream_version = match has_begun {
            true => StreamVersion::Unresolved,
            false => StreamVersion::Any,
        };
        let call = Call {
            cost: cost.unwrap_or_default(),
            last_dispatch: None,
            fingerprint: request.fingerprint(),
            account: reading.account.clone(),
            resources,
            request: Rc::new(request),
            route: route.clone(),
            organisation,
            grant,
            service,
            stream_version,
            arrived,
            progress: reading.progress.clone(),
            deadline,
            runs: forward_state.map_or(0, |it| it.runs),
            is_attempt_open: false,
            silent_servers: Vec::new(),
            has_reserved_retry: Cell::new(forward_state.is_some_and(|it| it.is_retry)),
            refused: 0,
            unreached: 0,
            forwarded_to: Vec::new(),
            forwarded,
            used_connections: UsedConnections::default(),
            tried: Vec::new(),
            is_crash_suspect: Cell::new(false),
        };
        let is_counted = forward_state.is_none_or(|it| !it.is_retry);
        if is_counted {
            self.budget.note_request(&call.service, arrived);
        }
        if let Some(weights) = call.weights() {
            // Names that callers make up are not kept.
            if configuration.lists(&weights) {
                self.state.demand.note(&weights, call.cost.busy_ms, arrived);
            }
            let target = call.timing().target;
            let traffic = &self.state.traffic;
            traffic.note_arrival(&call.service, call.priority(), target, arrived);
        }
        Ok(call)
    }

    /// Whether this VM shuts down before a request that is sent now would usually be answered.
    fn outlasts_grace(&self, route: &Route, cost: Option<Cost>, now: Instant) -> bool {
        let Some(last_answer_at) = self.state.shutdown.last_answer_at() else {
            return false;
        };
        let work = Work::Call(route.name.clone());
        let usual_time = match cost {
            Some(cost) => Some(cost.duration()),
            None => self.state.server_speeds.usual_time(&work),
        };
        usual_time.is_some_and(|usual_time| now + usual_time > last_answer_at)
    }

    /// Waits while this VM has just started and does not know its state yet.
    async fn wait_for_start(&self, request: &CallerRequest, arrived: Instant) {
        let hold = start_hold(self.state.age(arrived), request.time_limit);
        while !self.state.can_route(Instant::now())
            && !self.state.shutdown.is_leaving()
            && arrived.elapsed() < hold
        {
            compio::time::sleep(START_CHECK_INTERVAL).await;
        }
    }

    /// Answers a call whose response is buffered completely before it is forwarded, so that the
    /// call can be retried on another server if the response is cut off.
    async fn answer_plain(&self, call: &mut Call) -> Result<Response<Body>, Failure> {
        self.admit_plain(call)?;
        let mut failed_answer: Option<(response::Parts, Bytes)> = None;
        loop {
            let exchange = match self.send_until_answered(call, None, None).await {
                Ok(exchange) => exchange,
                Err(failure) => match failed_answer {
                    Some((head, body)) => return Ok(P::to_caller(&head, Body::full(body))),
                    None => return Err(failure),
                },
            };
            if !call.may_run_again() {
                call.release_body();
            }
            // Another VM has made all attempts that the request allows.
            let is_from_vm = exchange.server.is_vm;
            let Some((head, body)) = self.read_whole(call, exchange).await else {
                if call.may_run_again() && !call.time_left().is_zero() {
                    continue;
                }
                return Err(Failure::Unknown);
            };
            let has_failed = head.status.is_server_error();
            if has_failed && !is_from_vm && call.may_run_again() {
                failed_answer = Some((head, body));
                continue;
            }
            let metrics = &self.state.metrics;
            metrics.note_request(call.route.kind.name(), "answered");
            metrics.answer.observe(call.arrived.elapsed().as_secs_f64());
            info!(
                request = %call.request.id,
                route = %call.route.name,
                status = head.status.as_u16(),
                runs = call.runs,
                refused = call.refused,
                age_ms = call.arrived.elapsed().as_millis() as u64,
                "request answered"
            );
            return Ok(P::to_caller(&head, Body::full(body)));
        }
    }

    /// Reads a response to its end; `None` if the connection breaks, the response is too long or the
    /// deadline passes.
    async fn read_whole(
        &self,
        call: &Call,
        mut exchange: Exchange,
    ) -> Option<(response::Parts, Bytes)> {
        let body = match exchange.whole_body.take() {
            Some(body) => body,
            None => self.read_body(call, &mut exchange).await?,
        };
        exchange.server.note_success();
        self.learn_call_time(call, &exchange);
        self.note_begun_answer(call, &exchange.server);
        let head = exchange.head.clone();
        self.pool.keep(exchange);
        Some((head, body))
    }

    /// Reads the body of a response to its end; `None` as for [`Self::read_whole`].
    pub(super) async fn read_body(&self, call: &Call, exchange: &mut Exchange) -> Option<Bytes> {
        let server = exchange.server.clone();
        let read = exchange.read_to_end(&call.account);
        match compio::time::timeout(call.time_left(), read).await {
            Ok(Ok(body)) => Some(body),
            Ok(Err(error)) => {
                warn!(request = %call.request.id, server = %server.id, %error, "answer broken off");
                self.note_broken_connection(call, &server, Break::Cut, 0)
                    .await;
                None
            }
            Err(_elapsed) => None,
        }
    }

    /// Updates the estimate of a plain server's speed from a call that did not wait there.
    fn learn_call_time(&self, call: &Call, exchange: &Exchange) {
        let server = &exchange.server;
        let dispatch = call.last_dispatch.filter(|it| it.is_uncontended);
        let has_served = exchange.head.status.is_success() && !server.is_vm;
        if let Some(dispatch) = dispatch.filter(|_| has_served) {
            let now = Instant::now();
            let work = Work::Call(call.route.name.clone());
            let speeds = &self.state.server_speeds;
            let took = now - dispatch.at;
            let run = server.incarnation();
            speeds.note(&run, &work, took, CALL_WEIGHT, now);
            if let Some(load) = exchange.reply.stated_load {
                speeds.note_stated_time(&run, load, &work, took);
            }
        }
    }

    /// Records that a server has begun to answer a request.
    pub(crate) fn note_begun_answer(&self, call: &Call, server: &Server) {
        let dispatch = call.last_dispatch.filter(|_| !server.is_vm);
        if let Some(dispatch) = dispatch {
            self.state.record_begun_answer(call, dispatch.at);
        }
    }

    /// Records that a connection broke, or was given up, with the request in flight after the server
    /// had sent a number of events. If the server had not begun its answer, this waits until it is
    /// known whether the server crashed and whether the request may be the cause; it is then not
    /// sent again.
    pub(crate) async fn note_broken_connection(
        &self,
        call: &Call,
        server: &Rc<Server>,
        broken: Break,
        events: u32,
    ) {
        self.note_failed_connection(server);
        if server.is_vm {
            return;
        }
        let check = CrashCheck::new(self.state.clone(), call, server, broken, events);
        let has_begun = check.has_begun();
        let (checked, done) = oneshot::channel();
        let broken_at = Instant::now();
        // The evidence counts even if the caller leaves meanwhile.
        compio::runtime::spawn(async move {
            check.run(broken_at).await;
            // Sending fails if nobody waits any more.
            let _ = checked.send(());
        })
        .detach();
        if has_begun || !call.may_run_again() || !self.state.may_be_crash_suspect(call) {
            return;
        }
        let wait = call.time_left().min(CRASH_CHECK_WAIT);
        let is_known = compio::time::timeout(wait, done).await.is_ok();
        if is_known && self.state.is_crash_suspect(call) {
            // Other VMs may know that answers with the same parts have begun.
            compio::time::sleep(call.time_left().min(PEER_EVIDENCE_WAIT)).await;
            call.is_crash_suspect.set(self.state.is_crash_suspect(call));
        }
    }

    /// Records that a connection to a server cannot be used any more.
    pub(super) fn note_failed_connection(&self, server: &Server) {
        let now = Instant::now();
        server.note_failure(now);
        self.pool.clear(server);
        if !server.is_vm {
            self.state.record_server_silence(now);
        }
    }
}
