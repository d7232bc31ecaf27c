//! Sends one request to backend servers until one answers: retries, and a second server while the
//! first is silent.

use crate::client::SendError;
use crate::client_memory::ClientAccount;
use crate::gateway::attempt::Verdict;
use crate::gateway::call::{Call, Dispatch};
use crate::gateway::crash_check::{Break, CrashCheck};
use crate::gateway::exchange::Exchange;
use crate::gateway::failure::Failure;
use crate::gateway::fleet::Server;
use crate::gateway::forward_relay::forward_request;
use crate::gateway::forwarding::peer_address;
use crate::gateway::reachability::CONFIRMATION_TIME;
use crate::gateway::relay::Relay;
use crate::gateway::server_probe::DOUBT_PROBE_INTERVAL;
use crate::gateway::{Protocol, RouteKind, SendOptions};
use crate::inventory::Name;
use futures_util::future::{Either, select};
use hyper::StatusCode;
use std::cell::Cell;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How long the response head of an idempotent call may take before another server is asked as well:
/// far above the slowest calls of plain services, below what callers wait.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a stream, whose response head may arrive only with the first token.
const STREAM_HEAD_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The share of the time left for which a failure of the second server is held back while the silent
/// one may still answer.
const FAILURE_HOLD_SHARE: f64 = 0.5;
/// A queue of prompts that takes less time than this, in milliseconds, hardly delays the next
/// prompt.
const NEGLIGIBLE_QUEUE_MS: f64 = 2.0;
/// The number of refusals or failed connections after which a request fails.
const MAX_REFUSALS: u32 = 3;
/// How long a request that reached no server waits until it is known whether this VM reaches any,
/// and how often that is checked: until a probe after the time of confirmation has ended.
const MAX_REACHABILITY_WAIT: Duration = CONFIRMATION_TIME.saturating_add(DOUBT_PROBE_INTERVAL);
const REACHABILITY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What is needed to receive the answer of a silent server beside another one.
struct LateAnswer<'a> {
    request_id: Name,
    is_plain: bool,
    account: ClientAccount,
    deadline: Instant,
    /// The check to run if the answer breaks off.
    crash_check: CrashCheck,
    /// Set once the head of a plain answer has arrived.
    has_head: &'a Cell<bool>,
}

impl<P: Protocol> Relay<P> {
    /// Sends the request until a server answers; each further attempt uses a retry of the budget.
    pub(crate) async fn send_until_answered(
        &self,
        call: &mut Call,
        last_event: Option<u64>,
        weights_version: Option<u64>,
    ) -> Result<Exchange, Failure> {
        let mut refused = call.refused;
        loop {
            if call.refused > refused {
                refused = call.refused;
                self.settle_rejected(call).await?;
            }
            let server = self.upstream_for(call).await?;
            let is_retry = call.has_arrived() || (!server.is_vm && call.unreached > 0);
            if is_retry && !self.reserve_retry(call) {
                return Err(self.final_failure(call));
            }
            if is_retry {
                call.has_reserved_retry.set(false);
                self.state.metrics.retries.inc();
            }
            match self.send(call, &server, last_event, weights_version).await {
                Ok(exchange) => return Ok(exchange),
                Err(Some(failure)) => return Err(failure),
                Err(None) => {}
            }
        }
    }

    /// Reserves a retry from the budget for the next attempt, unless the call has one reserved.
    pub(super) fn reserve_retry(&self, call: &Call) -> bool {
        if call.has_reserved_retry.get() {
            return true;
        }
        let now = Instant::now();
        let vms = self.state.peers.peak_vms(now);
        let is_taken = self.budget.take(&call.service, vms, now);
        call.has_reserved_retry.set(is_taken);
        if !is_taken {
            self.state.metrics.retries_denied.inc();
            info!(request = %call.request.id, service = %call.service, ?vms, "retry budget spent");
        }
        is_taken
    }

    /// Whether to ask another server besides a silent one. A retry is reserved first.
    pub(crate) fn may_ask_another(&self, call: &Call, silent: &Server) -> bool {
        let has_better = if silent.is_vm {
            // The other VM leaves silent servers itself.
            !self.state.peers.is_heard(&peer_address(silent.address))
        } else if self.state.is_cut_off() {
            call.forwarded.is_none() && self.state.peers.has_forward_candidate()
        } else {
            self.has_better_server(call, silent)
        };
        has_better && self.reserve_retry(call)
    }

    /// Sends the request once; fails with `Err(None)` if another server may be tried.
    async fn send(
        &self,
        call: &mut Call,
        server: &Rc<Server>,
        last_event: Option<u64>,
        weights_version: Option<u64>,
    ) -> Result<Exchange, Option<Failure>> {
        if !call.resources.take_connection().await {
            return Err(Some(Failure::NoMemory));
        }
        let time_left = call.time_left();
        if time_left.is_zero() {
            return Err(Some(call.timeout_failure()));
        }
        let organisation = call.organisation.clone();
        let options = SendOptions {
            server: &server.id,
            time_left,
            priority: call.priority(),
            last_event: last_event.or(call.request.last_event),
            weights_version,
            organisation: organisation.as_ref().map(|it| it.name.as_str()),
        };
        call.tried.push(server.id.clone());
        self.record_dispatch(call, server);
        let request = call.request.clone();
        let forward_state = server.is_vm.then(|| self.forward_state(call, &options));
        let request = || match &forward_state {
            Some(state) => forward_request::<P>(&request, state, &options),
            None => P::to_server(&request, &options),
        };
        let sent_at = Instant::now();
        let used = call.used_connections.clone();
        let sending = self
            .pool
            .exchange::<P>(server, call.model(), &used, request);
        let mut head = pin!(sending);
        call.is_attempt_open = true;
        let sent = self.await_head(call, server, head.as_mut()).await;
        call.is_attempt_open = false;
        let now = Instant::now();
        match sent {
            Some(Ok(exchange)) => self.check_head(call, exchange, now),
            Some(Err(SendError::NotSent)) => {
                server.note_failure(now);
                self.state.metrics.note_attempt("not_reached");
                warn!(request = %call.request.id, server = %server.id, "server not reached");
                call.note_running(false);
                call.unreached += 1;
                let has_failed = call.refused + call.unreached >= MAX_REFUSALS;
                if has_failed && !self.is_found_cut_off(call).await {
                    return Err(Some(self.final_failure(call)));
                }
                Err(None)
            }
            Some(Err(SendError::MaybeSent)) => {
                self.note_unanswered(call, server, sent_at);
                self.note_broken_connection(call, server, Break::Cut, 0)
                    .await;
                if call.time_left().is_zero() {
                    return Err(Some(Failure::TimedOut));
                }
                if call.may_run_again() {
                    return Err(None);
                }
                Err(Some(Failure::Unknown))
            }
            None if call.time_left().is_zero() => {
                self.note_unanswered(call, server, sent_at);
                Err(Some(Failure::TimedOut))
            }
            None => {
                self.note_unanswered(call, server, sent_at);
                self.send_beside(call, server, head, last_event, weights_version)
                    .await
            }
        }
    }

    /// Records that a server has sent no head.
    fn note_unanswered(&self, call: &mut Call, server: &Server, sent_at: Instant) {
        call.runs += 1;
        self.state.metrics.note_attempt("no_answer");
        warn!(
            request = %call.request.id,
            server = %server.id,
            waited_ms = sent_at.elapsed().as_millis() as u64,
            "no answer from server"
        );
    }

    /// Sends the request to another server while a silent one may still answer, and returns the first
    /// answer: that of a plain call once it is whole. `silent_head` is what the silent server may
    /// still send; its run is counted.
    async fn send_beside(
        &self,
        call: &mut Call,
        silent: &Rc<Server>,
        silent_head: Pin<&mut impl Future<Output = Result<Exchange, SendError>>>,
        last_event: Option<u64>,
        weights_version: Option<u64>,
    ) -> Result<Exchange, Option<Failure>> {
        let deadline = call.deadline;
        let dispatch = call.last_dispatch;
        let silent_before = call.silent_servers.len();
        call.silent_servers.push(silent.id.clone());
        let has_silent_head = Cell::new(false);
        let late_answer = LateAnswer {
            request_id: call.request.id.clone(),
            is_plain: call.route.kind != RouteKind::Streaming,
            account: call.account.clone(),
            deadline,
            crash_check: CrashCheck::new(self.state.clone(), call, silent, Break::Cut, 0),
            has_head: &has_silent_head,
        };
        let mut silent_answer = pin!(self.receive_late(late_answer, silent_head));
        // The future is recursive, since the other server may be silent too.
        let mut other = Box::pin(self.send_until_received(call, last_event, weights_version));
        let other_failed = match select(other.as_mut(), silent_answer.as_mut()).await {
            Either::Left((Ok(exchange), _)) if !exchange.head.status.is_server_error() => {
                drop(other);
                call.silent_servers.truncate(silent_before);
                return Ok(exchange);
            }
            // The silent server may still succeed.
            Either::Left((failed, _)) => failed,
            Either::Right((Some(exchange), _)) if !exchange.head.status.is_server_error() => {
                drop(other);
                call.silent_servers.truncate(silent_before);
                call.settle_cancelled_attempt();
                call.last_dispatch = dispatch;
                return self.accept_late(call, exchange);
            }
            Either::Right(_) => {
                let answer = other.await.map_err(Some);
                call.silent_servers.truncate(silent_before);
                return answer;
            }
        };
        drop(other);
        call.silent_servers.truncate(silent_before);
        let left = deadline.saturating_duration_since(Instant::now());
        // The caller gets the other server's failure while it still waits.
        let wait = match other_failed {
            Ok(_) => left.mul_f64(FAILURE_HOLD_SHARE),
            Err(_) => left,
        };
        let received = match compio::time::timeout(wait, silent_answer.as_mut()).await {
            Err(_elapsed) if has_silent_head.get() => silent_answer.await,
            received => received.ok().flatten(),
        };
        match received {
            Some(exchange) => {
                call.last_dispatch = dispatch;
                self.accept_late(call, exchange)
            }
            None => other_failed.map_err(Some),
        }
    }

    /// Sends the request until a server answers, and reads the answer to a plain call to its end
    /// unless the server failed.
    async fn send_until_received(
        &self,
        call: &mut Call,
        last_event: Option<u64>,
        weights_version: Option<u64>,
    ) -> Result<Exchange, Failure> {
        loop {
            let mut exchange = self
                .send_until_answered(call, last_event, weights_version)
                .await?;
            let is_plain = call.route.kind != RouteKind::Streaming;
            let is_read = exchange.whole_body.is_some() || exchange.head.status.is_server_error();
            if !is_plain || is_read {
                return Ok(exchange);
            }
            exchange.whole_body = self.read_body(call, &mut exchange).await;
            if exchange.whole_body.is_some() {
                return Ok(exchange);
            }
            if !call.may_run_again() || call.time_left().is_zero() {
                return Err(Failure::Unknown);
            }
        }
    }

    /// Receives the answer of a silent server: the head, and the whole body of a plain answer unless
    /// the server failed. Returns `None` if the server does not answer.
    async fn receive_late(
        &self,
        late: LateAnswer<'_>,
        head: Pin<&mut impl Future<Output = Result<Exchange, SendError>>>,
    ) -> Option<Exchange> {
        let answered = head.await.ok();
        let mut exchange = answered.filter(|it| it.is_answer_to(&late.request_id))?;
        if !late.is_plain || exchange.head.status.is_server_error() {
            return Some(exchange);
        }
        late.has_head.set(true);
        let left = late.deadline.saturating_duration_since(Instant::now());
        let read = exchange.read_to_end(&late.account);
        match compio::time::timeout(left, read).await {
            Ok(Ok(body)) => {
                exchange.whole_body = Some(body);
                Some(exchange)
            }
            Ok(Err(error)) => {
                let server = &exchange.server;
                warn!(request = %late.request_id, server = %server.id, %error, "answer broken off");
                self.note_failed_connection(server);
                if !server.is_vm {
                    compio::runtime::spawn(late.crash_check.run(Instant::now())).detach();
                }
                None
            }
            Err(_elapsed) => None,
        }
    }

    /// Accepts the answer of a server that was silent for a while and whose run is counted already.
    fn accept_late(
        &self,
        call: &mut Call,
        exchange: Exchange,
    ) -> Result<Exchange, Option<Failure>> {
        info!(request = %call.request.id, server = %exchange.server.id, "silent server answered");
        call.runs -= 1;
        self.check_head(call, exchange, Instant::now())
    }

    /// Whether this VM reaches no server, so that another VM may take the request; waits while that
    /// is being found out.
    async fn is_found_cut_off(&self, call: &Call) -> bool {
        let wait = call.time_left().min(MAX_REACHABILITY_WAIT);
        let end = Instant::now() + wait;
        while !self.state.is_cut_off()
            && self.state.is_reachability_doubted()
            && Instant::now() < end
        {
            compio::time::sleep(REACHABILITY_CHECK_INTERVAL).await;
        }
        self.state.is_cut_off()
    }

    /// Records the dispatch, and adds the prompt to the runner's queue here and at peers.
    fn record_dispatch(&self, call: &mut Call, server: &Server) {
        let now = Instant::now();
        call.note_running(true);
        if server.is_vm {
            call.last_dispatch = None;
            return;
        }
        call.last_dispatch = Some(Dispatch {
            at: now,
            is_uncontended: server.backlog.wait_ms(now) < NEGLIGIBLE_QUEUE_MS
                && !self.is_busy(server),
        });
        if call.request.generation.is_some() {
            server.backlog.note(call.cost.prefill_ms, now);
            let peers = &self.state.peers;
            peers
                .outbox
                .report_prompt(&server.id, call.cost.prefill_ms, now);
        }
    }

    /// Acts on what a response head shows: returns the response if it is the answer, else fails with
    /// `Err(None)` if another server may be tried.
    fn check_head(
        &self,
        call: &mut Call,
        exchange: Exchange,
        now: Instant,
    ) -> Result<Exchange, Option<Failure>> {
        let server = exchange.server.clone();
        let verdict = exchange.verdict(&call.request.id, call.runs);
        if server.is_vm && verdict == Verdict::NotExecuted {
            info!(request = %call.request.id, vm = %server.address, "request declined by other VM");
            call.note_running(false);
            call.unreached += 1;
            self.pool.keep(exchange);
            return Err(None);
        }
        if !server.is_vm {
            self.state.record_server_answer(now);
        }
        let is_stated = verdict != Verdict::Unrelated && !server.is_vm;
        if is_stated && !exchange.is_from_other_server() {
            self.state
                .note_server_statements(&exchange.reply, &server, now);
            self.note_plain_load(call, &exchange, now);
        }
        if verdict == Verdict::NotExecuted {
            self.state.metrics.note_attempt("refused");
            self.note_refused(call, &exchange, now);
            self.pool.keep(exchange);
            if call.refused >= MAX_REFUSALS {
                return Err(Some(self.final_failure(call)));
            }
            return Err(None);
        }
        call.runs += 1;
        match verdict {
            Verdict::Unrelated => {
                self.state.metrics.note_attempt("not_its_answer");
                server.note_failure(now);
                self.pool.clear(&server);
            }
            Verdict::Unproven => {
                self.state.metrics.note_attempt("unproven_refusal");
                self.pool.keep(exchange);
            }
            Verdict::Answered | Verdict::NotExecuted => {
                self.state.metrics.note_attempt("answered");
                return Ok(exchange);
            }
        }
        warn!(
            request = %call.request.id,
            server = %server.id,
            ?verdict,
            "answer proves nothing about the request"
        );
        match call.may_run_again() {
            true => Err(None),
            false => Err(Some(Failure::Unknown)),
        }
    }

    fn note_refused(&self, call: &mut Call, exchange: &Exchange, now: Instant) {
        let server = &exchange.server;
        let status = exchange.head.status;
        info!(
            request = %call.request.id,
            server = %server.id,
            status = status.as_u16(),
            pause_ms = exchange.reply.pause.map(|pause| pause.as_millis() as u64),
            "server refused"
        );
        call.note_running(false);
        call.refused += 1;
        if status != StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        if exchange.is_from_other_server() {
            self.state.fleet.mark_removed(&server.id, now);
        } else if let Some(weights) = call.weights() {
            server.note_missing(weights, now);
        }
    }

    /// The failure of a request that is not sent again.
    pub(super) fn final_failure(&self, call: &Call) -> Failure {
        if call.runs > 0 {
            Failure::Unknown
        } else {
            Failure::Full(self.plain_return_after(call))
        }
    }

    /// Waits for the response head. Returns `None` when another server should be asked as well, or when
    /// the deadline has passed.
    async fn await_head(
        &self,
        call: &Call,
        server: &Server,
        mut head: Pin<&mut impl Future<Output = Result<Exchange, SendError>>>,
    ) -> Option<Result<Exchange, SendError>> {
        let head_timeout = match call.route.kind {
            RouteKind::Streaming => STREAM_HEAD_TIMEOUT,
            RouteKind::Safe | RouteKind::Unsafe => HEAD_TIMEOUT,
        };
        loop {
            let limit = call.time_left().min(head_timeout);
            if let Ok(head) = compio::time::timeout(limit, head.as_mut()).await {
                return Some(head);
            }
            let now = Instant::now();
            if !server.is_vm {
                self.state.record_server_silence(now);
            }
            let is_last = call.runs + 1 >= call.route.max_attempts;
            let may_resend = !is_last && call.route.is_retryable();
            let is_time_up = call.time_left().is_zero();
            let asks_another = !is_time_up && may_resend && self.may_ask_another(call, server);
            if is_time_up || asks_another {
                // Load may explain a busy server's silence; any other silent server is faulty.
                if !self.is_busy(server) {
                    server.note_failure(now);
                }
                return None;
            }
        }
    }
}
