//! A caller's request, from its arrival to its answer.

use crate::client::{SendError, is_refused};
use crate::gateway::budget::{Allowance, RetryBudget};
use crate::gateway::call::{Call, Sending};
use crate::gateway::exchange::{Exchange, Links};
use crate::gateway::failure::Failure;
use crate::gateway::fleet::Server;
use crate::gateway::grant::Grant;
use crate::gateway::state::State;
use crate::gateway::wait_queue::WaitQueues;
use crate::gateway::{CallerRequest, Malformed, Protocol, RouteKind, SendOptions};
use crate::http::{Body, ReadError, read_body};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::marker::PhantomData;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How long the head of an answer to an idempotent call may take before another server is
/// asked: far above a plain service's slowest calls, below what callers wait.
const HEAD_PATIENCE: Duration = Duration::from_millis(500);
/// The same for a stream, whose head may wait for its first token.
const STREAM_HEAD_PATIENCE: Duration = Duration::from_millis(1_300);
/// Prompts that wait for less time than this, in milliseconds, hardly hold up the next one.
const ALONE_WAIT_MS: f64 = 2.0;
/// How long a caller is taken to wait that does not tell.
const UNTOLD_PATIENCE: Duration = Duration::from_secs(6);
/// Servers that refuse one request before it is given back.
const MAX_REFUSED: u32 = 3;

/// Passes requests on.
pub(crate) struct Relay<P> {
    pub(crate) state: Rc<State>,
    pub(crate) pool: Links,
    pub(crate) turns: Rc<WaitQueues>,
    budget: RetryBudget,
    protocol: PhantomData<P>,
}

impl<P: Protocol> Relay<P> {
    /// A relay over what the VM believes.
    pub(crate) fn new(state: Rc<State>) -> Self {
        let bounds = &state.settings.bounds;
        let budget = RetryBudget::new(Allowance {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        });
        Self {
            pool: Links::new(state.metrics.connections_opened.clone()),
            turns: Rc::default(),
            state,
            budget,
            protocol: PhantomData,
        }
    }

    /// Answers one request.
    pub(crate) async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let arrived = Instant::now();
        let (head, body) = request.into_parts();
        let ask = match P::read_caller_request(&head) {
            Ok(ask) => ask,
            Err(Malformed(why)) => {
                warn!(why, "request malformed");
                return P::refuse(Failure::Malformed(why).refusal(UNTOLD_PATIENCE));
            }
        };
        let id = ask.id.clone();
        let patience = ask.patience.unwrap_or(UNTOLD_PATIENCE);
        let model = ask.generation.as_ref().map(|it| it.model.clone());
        let model = model.unwrap_or_default();
        match self.clone().answer(ask, body, arrived).await {
            Ok(response) => response,
            Err(failure) => {
                let age = arrived.elapsed();
                let age_ms = age.as_millis() as u64;
                let refusal = failure.refusal(patience.saturating_sub(age));
                self.state.metrics.note_request("none", failure.name());
                info!(request = %id, %model, ?failure, status = refusal.status.as_u16(), age_ms, "request refused");
                P::refuse(refusal)
            }
        }
    }

    async fn answer(
        self: Rc<Self>,
        ask: CallerRequest,
        body: Incoming,
        arrived: Instant,
    ) -> Result<Response<Body>, Failure> {
        let mut call = self.open_call(ask, body, arrived).await?;
        if self.state.suspects.is_poison(call.fingerprint, arrived) {
            return Err(Failure::Poison);
        }
        match call.route.kind {
            RouteKind::Streaming => self.stream(call).await,
            RouteKind::Safe | RouteKind::Unsafe => self.plain(&mut call).await,
        }
    }

    /// Finds the route and reads the body.
    async fn open_call(
        &self,
        mut ask: CallerRequest,
        body: Incoming,
        arrived: Instant,
    ) -> Result<Call, Failure> {
        let configuration = self.state.configuration().ok_or(Failure::Unready)?;
        if !self.state.is_directory_known.get() {
            return Err(Failure::Unready);
        }
        let route = configuration
            .route(&ask.host, ask.path.path())
            .ok_or(Failure::NoRoute)?;
        let organisation = configuration.organisation(route, ask.key.as_ref())?;
        let grant = Grant::take(&self.state, &ask, organisation.as_deref(), arrived)?;
        let service = route
            .pick_target(rand::random())
            .ok_or(Failure::NoRoute)?
            .clone();
        let timeout = route.timeout();
        let deadline = arrived
            + ask
                .patience
                .map_or(timeout, |patience| patience.min(timeout));
        let limit_bytes = configuration.limits.max_body_bytes;
        let reading = read_body(body, limit_bytes);
        let body = compio::time::timeout(deadline - arrived, reading).await;
        ask.body = match body {
            Ok(Ok(body)) => body,
            Ok(Err(ReadError::TooLarge)) => return Err(Failure::TooLarge),
            Ok(Err(ReadError::Cut)) | Err(_) => return Err(Failure::BodyCut),
        };
        let cost = ask.generation.as_ref().map(|it| self.state.cost(it));
        let call = Call {
            cost: cost.unwrap_or_default(),
            sending: None,
            fingerprint: ask.fingerprint(),
            ask,
            route: route.clone(),
            organisation,
            grant,
            service,
            arrived,
            deadline,
            runs: 0,
            has_retry: Cell::new(false),
            refused: 0,
            tried: Vec::new(),
        };
        self.budget.note_request(&call.service, arrived);
        if let Some(weights) = call.weights() {
            self.state.demand.note(&weights, call.cost.busy_ms, arrived);
        }
        Ok(call)
    }

    /// Answers a call whose answer is held whole before it is passed on, so that one that
    /// breaks off can still be had elsewhere.
    async fn plain(&self, call: &mut Call) -> Result<Response<Body>, Failure> {
        let mut kept: Option<(response::Parts, Bytes)> = None;
        loop {
            let exchange = match self.reach(call, None, None).await {
                Ok(exchange) => exchange,
                Err(failure) => match kept {
                    Some((head, body)) => return Ok(P::to_caller(&head, Body::full(body))),
                    None => return Err(failure),
                },
            };
            let Some((head, body)) = self.read_whole(call, exchange).await else {
                if call.may_run_again() && !call.time_left().is_zero() {
                    continue;
                }
                return Err(Failure::Unknown);
            };
            let has_failed = head.status.is_server_error();
            if has_failed && call.may_run_again() {
                kept = Some((head, body));
                continue;
            }
            self.state.suspects.clear(call.fingerprint);
            let metrics = &self.state.metrics;
            metrics.note_request(call.route.kind.name(), "answered");
            metrics.answer.observe(call.arrived.elapsed().as_secs_f64());
            info!(
                request = %call.ask.id,
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

    /// Reads an answer to its end; `None` if it breaks off.
    async fn read_whole(
        &self,
        call: &Call,
        mut exchange: Exchange,
    ) -> Option<(response::Parts, Bytes)> {
        let server = exchange.server.clone();
        let collected = (&mut exchange.body).collect();
        match compio::time::timeout(call.time_left(), collected).await {
            Ok(Ok(body)) => {
                server.note_success();
                let head = exchange.head.clone();
                self.pool.keep(exchange);
                Some((head, body.to_bytes()))
            }
            Ok(Err(error)) => {
                warn!(request = %call.ask.id, server = %server.id, %error, "answer broken off");
                self.note_broken(call, &server);
                None
            }
            Err(_elapsed) => None,
        }
    }

    /// Notes a connection that broke with the request aboard.
    pub(crate) fn note_broken(&self, call: &Call, server: &Rc<Server>) {
        let now = Instant::now();
        server.note_failure(now);
        self.pool.clear(server);
        let state = self.state.clone();
        let server = server.clone();
        let fingerprint = call.fingerprint;
        let id = call.ask.id.clone();
        compio::runtime::spawn(async move {
            if is_refused(server.address).await {
                let crashes = state.suspects.record_crash(fingerprint, now);
                warn!(request = %id, server = %server.id, fingerprint, crashes, "server crashed");
                state.peers.report_crash(fingerprint, crashes, now);
            }
        })
        .detach();
    }

    /// Sends the request until a server answers it.
    pub(crate) async fn reach(
        &self,
        call: &mut Call,
        last_event: Option<u64>,
        weights: Option<u64>,
    ) -> Result<Exchange, Failure> {
        loop {
            let server = self.server_for(call).await?;
            let is_retry = call.runs + call.refused > 0;
            if is_retry && !self.take_retry(call) {
                return Err(self.give_up(call));
            }
            if is_retry {
                call.has_retry.set(false);
                self.state.metrics.retries.inc();
            }
            match self.send(call, &server, last_event, weights).await {
                Ok(exchange) => return Ok(exchange),
                Err(Some(failure)) => return Err(failure),
                Err(None) => {}
            }
        }
    }

    /// Takes a retry from the budget for the call's next sending, unless it has one already.
    fn take_retry(&self, call: &Call) -> bool {
        if call.has_retry.get() {
            return true;
        }
        let now = Instant::now();
        let vms = self.state.peers.peak_vms(now);
        let is_taken = self.budget.take(&call.service, vms, now);
        call.has_retry.set(is_taken);
        if !is_taken {
            self.state.metrics.retries_denied.inc();
            info!(request = %call.ask.id, service = %call.service, ?vms, "retry budget spent");
        }
        is_taken
    }

    /// Whether a server that is silent is left for another one. A retry is taken before, since
    /// without it the request could not go on there, and the silent server may yet answer.
    pub(crate) fn may_leave(&self, call: &Call, silent: &Server) -> bool {
        self.has_better(call, silent) && self.take_retry(call)
    }

    /// Sends the request once; `Err(None)` if another server may be asked.
    async fn send(
        &self,
        call: &mut Call,
        server: &Rc<Server>,
        last_event: Option<u64>,
        weights: Option<u64>,
    ) -> Result<Exchange, Option<Failure>> {
        let time_left = call.time_left();
        if time_left.is_zero() {
            return Err(Some(call.late()));
        }
        let organisation = call.organisation.clone();
        let options = SendOptions {
            server: &server.id,
            time_left,
            priority: call.priority(),
            last_event: last_event.or(call.ask.last_event),
            weights,
            organisation: organisation.as_ref().map(|it| it.name.as_str()),
        };
        call.tried.push(server.id.clone());
        self.note_sending(call, server);
        let request = || P::to_server(&call.ask, &options);
        let sent_at = Instant::now();
        let sent = self.pool.exchange::<P>(server, call.model(), request);
        let sent = self.await_head(call, server, sent).await;
        let now = Instant::now();
        match sent {
            Some(Ok(exchange)) => self.judge(call, exchange, now),
            Some(Err(SendError::NotSent)) => {
                server.note_failure(now);
                self.state.metrics.note_attempt("not_reached");
                warn!(request = %call.ask.id, server = %server.id, "server not reached");
                call.note_running(false);
                call.refused += 1;
                if call.refused >= MAX_REFUSED {
                    return Err(Some(self.give_up(call)));
                }
                Err(None)
            }
            silent_or_broken => {
                call.runs += 1;
                self.state.metrics.note_attempt("no_answer");
                let waited = sent_at.elapsed();
                let waited_ms = waited.as_millis() as u64;
                warn!(request = %call.ask.id, server = %server.id, waited_ms, "no answer from server");
                if silent_or_broken.is_some() {
                    self.note_broken(call, server);
                } else if !self.is_loaded(server) {
                    // A server that is busy may well be slow; one that is not is ill.
                    server.note_failure(now);
                }
                if call.time_left().is_zero() {
                    return Err(Some(Failure::TimedOut));
                }
                if call.may_run_again() {
                    return Err(None);
                }
                Err(Some(Failure::Unknown))
            }
        }
    }

    /// Counts the prompt at its runner, here and at peers.
    fn note_sending(&self, call: &mut Call, server: &Server) {
        let now = Instant::now();
        call.note_running(true);
        call.sending = Some(Sending {
            at: now,
            is_alone: server.backlog.wait_ms(now) < ALONE_WAIT_MS && !self.is_loaded(server),
        });
        if call.ask.generation.is_some() {
            server.backlog.note(call.cost.read_ms, now);
            let peers = &self.state.peers;
            peers.report_prompt(&server.id, call.cost.read_ms, now);
        }
    }

    /// What the head of an answer means for the request.
    fn judge(
        &self,
        call: &mut Call,
        exchange: Exchange,
        now: Instant,
    ) -> Result<Exchange, Option<Failure>> {
        let status = exchange.head.status;
        let server = exchange.server.clone();
        let is_other = exchange
            .reply
            .request_id
            .as_ref()
            .is_some_and(|id| *id != call.ask.id);
        let is_refused =
            exchange.reply.is_not_executed || status == StatusCode::MISDIRECTED_REQUEST;
        if is_refused && !is_other {
            self.state.metrics.note_attempt("refused");
            self.note_refused(call, &exchange, now);
            self.pool.keep(exchange);
            if call.refused >= MAX_REFUSED {
                return Err(Some(self.give_up(call)));
            }
            return Err(None);
        }
        call.runs += 1;
        if is_other || (status.is_success() && !exchange.reply.is_signed) {
            warn!(request = %call.ask.id, server = %server.id, is_other, "answer is not the request's");
            self.state.metrics.note_attempt("not_its_answer");
            server.note_failure(now);
            self.pool.clear(&server);
            if call.may_run_again() {
                return Err(None);
            }
            return Err(Some(Failure::Unknown));
        }
        self.state.metrics.note_attempt("answered");
        Ok(exchange)
    }

    fn note_refused(&self, call: &mut Call, exchange: &Exchange, now: Instant) {
        let server = &exchange.server;
        let status = exchange.head.status;
        info!(request = %call.ask.id, server = %server.id, status = status.as_u16(), "server refused");
        call.note_running(false);
        call.refused += 1;
        if status != StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let answered = exchange.reply.server.as_ref();
        if answered.is_some_and(|id| *id != server.id) {
            self.state.fleet.lapse(&server.id, now);
        } else if let Some(weights) = call.weights() {
            server.note_missing(weights, now);
        }
    }

    /// The failure of a request that is not sent any more.
    fn give_up(&self, call: &Call) -> Failure {
        if call.runs > 0 {
            Failure::Unknown
        } else {
            Failure::Full
        }
    }

    /// Waits for the head of an answer; `None` once another server is to be asked instead,
    /// or the time is up.
    async fn await_head(
        &self,
        call: &Call,
        server: &Server,
        head: impl Future<Output = Result<Exchange, SendError>>,
    ) -> Option<Result<Exchange, SendError>> {
        let mut head = pin!(head);
        let patience = match call.route.kind {
            RouteKind::Streaming => STREAM_HEAD_PATIENCE,
            RouteKind::Safe | RouteKind::Unsafe => HEAD_PATIENCE,
        };
        loop {
            let limit = call.time_left().min(patience);
            if let Ok(head) = compio::time::timeout(limit, head.as_mut()).await {
                return Some(head);
            }
            let is_last = call.runs + 1 >= call.route.max_attempts;
            let may_ask = !is_last && call.route.is_repeatable();
            if call.time_left().is_zero() || (may_ask && self.may_leave(call, server)) {
                return None;
            }
        }
    }
}
