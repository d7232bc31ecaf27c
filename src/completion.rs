//! One chat completion, from its request to its last event.
//!
//! If a runner fails in mid-stream, the completion resumes on another runner from the next token.

use crate::answer_identity::is_answer_to;
use crate::batch_queue::Ticket;
use crate::client::{Connection, Pool, SendError};
use crate::control::SuspectStatus;
use crate::engine::build_request;
use crate::error::{Failure, Kind, Ran};
use crate::events::{Event, emit};
use crate::fleet::{InFlightGuard, Runner};
use crate::http::Body;
use crate::inventory::{Name, Priority};
use crate::quarantine::{EngineRun, Isolation, Quarantine};
use crate::response_body::ResponseBody;
use crate::retry::RetryBudget;
use crate::router::{Choice, Router, Target};
use crate::sse::{SseEvent, SseReader, StreamError};
use bytes::Bytes;
use hyper::{Method, Response, StatusCode};
use serde_json::{Map, Value};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The path of chat completions, both at this VM and at engines.
pub(crate) const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// The header by which engines are sent the id of a request, and name it in their answers.
const REQUEST_ID: &str = "x-request-id";
/// How long an engine may send nothing; while it has no token, it sends comments.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time limit for the response headers on a reused idle connection.
///
/// It is shorter than [`SILENCE_TIMEOUT`] because an idle connection may be dead without notice,
/// whereas opening a new one shows whether the runner can be reached.
const REUSED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of times a batch request gives up its slot to urgent requests.
const MAX_YIELDS: u32 = 3;
/// Maximum number of attempts in a row that yield no token.
const MAX_ATTEMPTS_WITHOUT_TOKEN: u32 = 5;
/// The pause between two attempts to choose a runner when none can take the request.
const NO_RUNNER_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time to find another runner after a stream broke, even past the request's deadline.
const RESUME_WAIT: Duration = Duration::from_millis(2_000);
/// How long requests wait for a crashed runner to restart.
const RESTART_WAIT: Duration = Duration::from_millis(5_000);
/// How long a suspect whose stream has begun may wait for an isolated runner.
const SUSPECT_WAIT: Duration = Duration::from_secs(20);
/// Tokens after which a suspect counts as past the point at which the runner crashed.
const PROBATION_TOKENS: u32 = 3;
/// The last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// A caller's request for a completion.
#[derive(Debug)]
pub(crate) struct CompletionRequest {
    /// The request id, which is passed on to engines.
    pub(crate) id: Name,
    /// The hash of the model and the messages; equal when the caller sends the request again.
    pub(crate) fingerprint: u64,
    /// The artifacts that the request needs.
    pub(crate) target: Target,
    /// The request body.
    pub(crate) body: Map<String, Value>,
    /// The priority.
    pub(crate) priority: Priority,
    /// The time by which the first token must have arrived.
    pub(crate) deadline: Instant,
    /// The caller's target time for the first token, if it has one.
    pub(crate) first_token_by: Option<Instant>,
}

impl CompletionRequest {
    /// Returns the request's `max_tokens`, if set.
    pub(crate) fn max_tokens(&self) -> Option<u64> {
        self.body.get("max_tokens").and_then(Value::as_u64)
    }
}

/// One part of an answer; raw events are passed on to the caller unchanged.
#[derive(Debug)]
pub(crate) enum AnswerPart {
    /// A token: the raw event and the token's text.
    Token(Bytes, String),
    /// The finish reason: the raw event and the reason.
    Finish(Bytes, String),
    /// An event without a token, such as one with usage figures.
    Other(Bytes),
    /// The engine is alive but has no token yet.
    KeepAlive,
    /// The last event of a complete answer.
    Done(Bytes),
}

/// A stream from one engine.
struct Attempt {
    reader: SseReader,
    connection: Connection,
    /// Whether the engine names the request in its answer.
    is_identified: bool,
    run: EngineRun,
    in_flight: InFlightGuard,
}

/// The services that all completions of a VM share.
pub(crate) struct CompletionServices {
    /// Chooses runners.
    pub(crate) router: Rc<Router>,
    /// Idle connections to engines.
    pub(crate) pool: Rc<Pool>,
    /// Limits retries, that is, attempts after the first.
    pub(crate) budget: RetryBudget,
    /// Isolates suspect requests after a runner crashed.
    pub(crate) quarantine: Rc<Quarantine>,
}

/// One completion in progress.
pub(crate) struct Completion {
    services: Rc<CompletionServices>,
    request: CompletionRequest,
    attempt: Option<Attempt>,
    attempts: u32,
    /// Attempts since the last token.
    attempts_without_token: u32,
    tokens: u32,
    /// Whether the finish reason has arrived.
    finished: bool,
    /// The event that preceded the first token, held back until the token arrives.
    preamble: Bytes,
    excluded_runners: Vec<Name>,
    ticket: Option<Ticket>,
    yields: u32,
    may_have_run: bool,
    resumes: u32,
    give_up_at: Instant,
    /// Until then, a crashed runner is expected to restart.
    restart_expected_until: Instant,
    /// Whether a runner crashed while it ran this request.
    saw_crash: bool,
    isolation: Option<Isolation>,
    /// The token count at which the isolation ends.
    probation_end_token: u32,
}

/// The reason an attempt did not yield a stream.
enum AttemptError {
    /// The engine no longer holds the artifacts.
    NotLoaded,
    /// The view by which the runner was chosen is out of date; nothing was sent.
    StaleView,
    /// The engine did not run the request; another engine may.
    NotRun(&'static str),
    /// The engine may have run the request.
    MaybeRun(&'static str),
    /// The request was sent on a pooled connection that turned out to be closed or unresponsive.
    StaleConnection,
    /// Every engine would reject the request.
    Final(Failure),
}

impl Completion {
    /// Creates a completion; nothing is sent before the first call of [`next`](Self::next).
    pub(crate) fn new(services: Rc<CompletionServices>, request: CompletionRequest) -> Self {
        services.budget.note_request();
        Self {
            services,
            attempt: None,
            attempts: 0,
            attempts_without_token: 0,
            tokens: 0,
            finished: false,
            preamble: Bytes::new(),
            excluded_runners: Vec::new(),
            ticket: None,
            yields: 0,
            may_have_run: false,
            resumes: 0,
            give_up_at: request.deadline,
            restart_expected_until: Instant::now(),
            saw_crash: false,
            isolation: None,
            probation_end_token: 0,
            request,
        }
    }

    /// Returns the number of tokens passed on so far.
    pub(crate) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns how many times the stream broke, and how many attempts were made.
    pub(crate) fn attempt_counts(&self) -> (u32, u32) {
        (self.resumes, self.attempts)
    }

    /// Waits for the next part of the answer, and resumes on another runner if the stream breaks.
    ///
    /// # Errors
    ///
    /// Fails if no runner can continue, or if the deadline passes before the first token.
    pub(crate) async fn next(&mut self) -> Result<AnswerPart, Failure> {
        loop {
            self.yield_to_urgent();
            if self.attempt.is_none() {
                self.attempt = Some(self.open_stream().await?);
            }
            let event_timeout = self.event_timeout()?;
            let attempt = self.attempt.as_mut().expect("an attempt was just opened");
            let event = attempt.reader.next(event_timeout).await;
            match self.handle_event(event) {
                Ok(Some(part)) => return Ok(part),
                Ok(None) => {}
                Err(error) => self.handle_stream_error(error).await?,
            }
        }
    }

    /// Gives up the slot if urgent requests need it; the answer resumes later.
    fn yield_to_urgent(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let is_streaming = self.tokens > 0 && !self.finished;
        let may_yield = is_streaming && self.yields < MAX_YIELDS && self.defers_to_urgent();
        if !may_yield || !attempt.in_flight.runner().take_yield() {
            return;
        }
        emit(
            Event::Yielded,
            format_args!(
                "request={} runner={} token={}",
                self.request.id, attempt.run.runner.name, self.tokens
            ),
        );
        self.yields += 1;
        self.attempts -= 1;
        self.attempt = None;
        self.ticket = Some(self.services.router.queue(&self.request));
    }

    /// Whether the request leaves slots to urgent ones: a batch request does, as long as its
    /// deadline allows it.
    fn defers_to_urgent(&self) -> bool {
        if self.request.priority != Priority::Batch {
            return false;
        }
        let has_begun = self.tokens > 0;
        if has_begun && self.yields == 0 && self.attempt.is_none() {
            // A failure interrupted the stream, and the caller is waiting for the rest of it.
            return false;
        }
        let left = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        !has_begun || left > self.services.router.service_time(&self.request) * 2
    }

    /// Handles an event; returns the part to pass on to the caller, if any.
    fn handle_event(
        &mut self,
        event: Result<SseEvent, StreamError>,
    ) -> Result<Option<AnswerPart>, StreamError> {
        match event {
            Ok(SseEvent::Comment) => Ok((self.tokens > 0).then_some(AnswerPart::KeepAlive)),
            Ok(SseEvent::Other(event)) if self.tokens == 0 && !self.finished => {
                self.preamble = event;
                Ok(None)
            }
            Ok(SseEvent::Other(event)) => {
                // Every attempt sends the events before its first token again.
                let is_new = self.attempts_without_token == 0 || self.finished;
                Ok(is_new.then_some(AnswerPart::Other(event)))
            }
            Ok(SseEvent::Token(event, text)) if !self.finished => {
                self.tokens += 1;
                self.attempts_without_token = 0;
                if self.tokens >= self.probation_end_token {
                    self.end_isolation(self.saw_crash);
                }
                Ok(Some(AnswerPart::Token(self.with_preamble(event), text)))
            }
            Ok(SseEvent::Finish(event, reason)) if !self.finished => {
                self.finished = true;
                Ok(Some(AnswerPart::Finish(event, reason)))
            }
            Ok(SseEvent::Done(event)) if self.finished => {
                self.return_connection();
                self.end_isolation(true);
                Ok(Some(AnswerPart::Done(event)))
            }
            // All tokens and the finish reason have arrived, so the answer is complete.
            Ok(_) | Err(_) if self.finished => {
                self.attempt = None;
                self.end_isolation(true);
                Ok(Some(AnswerPart::Done(Bytes::from_static(DONE_EVENT))))
            }
            Ok(_) => Err(StreamError::Malformed),
            Err(error) => Err(error),
        }
    }

    /// Prepends the event that preceded the first token.
    ///
    /// It is held back until then, so that a request that yields no token can still be answered
    /// with an error status.
    fn with_preamble(&mut self, event: Bytes) -> Bytes {
        let preamble = std::mem::take(&mut self.preamble);
        if preamble.is_empty() {
            return event;
        }
        [preamble, event].concat().into()
    }

    /// Returns how long to wait for the next event; before the first token, the wait ends at the
    /// deadline at the latest.
    fn event_timeout(&self) -> Result<Duration, Failure> {
        if self.tokens > 0 {
            return Ok(SILENCE_TIMEOUT);
        }
        let left = self.time_left();
        if left.is_zero() {
            return Err(self.deadline_failure());
        }
        Ok(left.min(SILENCE_TIMEOUT))
    }

    fn time_left(&self) -> Duration {
        self.request
            .deadline
            .saturating_duration_since(Instant::now())
    }

    fn deadline_failure(&self) -> Failure {
        self.with_run_state(Failure::new(
            Kind::Deadline,
            "no runner sent the first token before the deadline",
        ))
    }

    /// Marks a failure as [`Ran::Yes`] if an engine may have run the request.
    fn with_run_state(&self, failure: Failure) -> Failure {
        if self.may_have_run {
            failure.ran(Ran::Yes)
        } else {
            failure
        }
    }

    /// Ends the isolation, if any; with `cleared`, a suspect may share runners again.
    fn end_isolation(&mut self, cleared: bool) {
        let quarantine = &self.services.quarantine;
        let fingerprint = self.request.fingerprint;
        if cleared && quarantine.status(fingerprint) == SuspectStatus::Suspect {
            quarantine.clear(fingerprint);
        }
        self.isolation = None;
    }

    async fn handle_stream_error(&mut self, error: StreamError) -> Result<(), Failure> {
        let attempt = self
            .attempt
            .take()
            .expect("a stream error comes from an open attempt");
        let run = attempt.run.clone();
        if self.tokens == 0 && self.time_left().is_zero() {
            return Err(self.deadline_failure());
        }
        if error == StreamError::TimedOut {
            self.services.pool.clear(attempt.connection.address());
        }
        // Closes the connection first, so that the engine cancels the request.
        drop(attempt);
        self.resumes += 1;
        self.give_up_at = self.give_up_at.max(Instant::now() + RESUME_WAIT);
        let cause = match error {
            StreamError::Disconnected => "cut",
            StreamError::Malformed => "garbled",
            StreamError::TimedOut => "silent",
        };
        self.exclude_runner(&run.runner.name, cause);
        if error == StreamError::Disconnected {
            self.check_for_crash(&run).await;
        }
        self.isolation = None;
        Ok(())
    }

    /// Checks whether the runner crashed; if so, the request becomes a suspect.
    async fn check_for_crash(&mut self, run: &EngineRun) {
        let quarantine = &self.services.quarantine;
        let crashed = quarantine
            .record_if_crashed(&self.request.id, self.request.fingerprint, run)
            .await;
        if crashed {
            let now = Instant::now();
            self.saw_crash = true;
            self.restart_expected_until = now + RESTART_WAIT;
            self.give_up_at = self.give_up_at.max(now + SUSPECT_WAIT);
        }
    }

    fn refuse_poison(&self) -> Result<(), Failure> {
        if self.services.quarantine.status(self.request.fingerprint) != SuspectStatus::Poison {
            return Ok(());
        }
        let message = "runners crashed each time this request was in flight";
        let ran = if self.may_have_run { Ran::Yes } else { Ran::No };
        Err(Failure::new(Kind::Poison, message).ran(ran))
    }

    /// Returns the engine run to send to; for a suspect, isolates the runner first.
    ///
    /// Returns `None` if the runner is not available now.
    async fn engine_run(&mut self, runner: &Rc<Runner>) -> Option<EngineRun> {
        let quarantine = &self.services.quarantine;
        if quarantine.status(self.request.fingerprint) == SuspectStatus::Clear {
            let boot = runner.report(|report| report.boot)?;
            let runner = runner.clone();
            return Some(EngineRun { runner, boot });
        }
        let isolation = quarantine.isolate(runner).await?;
        let run = isolation.run.clone();
        self.isolation = Some(isolation);
        self.probation_end_token = self.tokens + PROBATION_TOKENS;
        Some(run)
    }

    /// Returns the connection to the pool once its response has been read to the end.
    fn return_connection(&mut self) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if !attempt.is_identified {
            // A late copy of the answer could not be told from the next answer.
            return;
        }
        let pool = self.services.pool.clone();
        compio::runtime::spawn(async move {
            if attempt.reader.read_to_end(SILENCE_TIMEOUT).await {
                pool.put(attempt.connection);
            }
        })
        .detach();
    }

    /// Finds a runner and opens a stream for the request, or for the rest of its answer.
    async fn open_stream(&mut self) -> Result<Attempt, Failure> {
        loop {
            if self.tokens == 0 && self.time_left().is_zero() {
                return Err(self.deadline_failure());
            }
            if self.attempts_without_token >= MAX_ATTEMPTS_WITHOUT_TOKEN {
                return Err(self.unserved_failure("too many attempts in a row failed"));
            }
            if !self.services.router.wait_until_current().await {
                return Err(self.unserved_failure("this VM's view of the fleet is out of date"));
            }
            self.refuse_poison()?;
            let pinned = self.tokens > 0;
            let is_next_in_queue =
                !self.defers_to_urgent() || self.ticket.as_ref().is_none_or(Ticket::is_first);
            let choice = is_next_in_queue
                .then(|| {
                    let defers_to_urgent = self.defers_to_urgent();
                    self.services.router.choose(
                        &self.request,
                        pinned,
                        defers_to_urgent,
                        &self.excluded_runners,
                    )
                })
                .flatten();
            let Some(choice) = choice else {
                self.wait_for_runner().await?;
                continue;
            };
            let Some(run) = self.engine_run(&choice.runner).await else {
                self.wait_for_runner().await?;
                continue;
            };
            // A duplicate of this request may have crashed a runner in the meantime.
            self.refuse_poison()?;
            self.ticket = None;
            if self.attempts > 0 && !self.services.budget.take(self.tokens > 0) {
                return Err(self.unserved_failure("too many requests are being retried now"));
            }
            self.attempts += 1;
            self.attempts_without_token += 1;
            let runner = choice.runner.clone();
            let outcome = self.start_attempt(choice, run.clone()).await;
            if outcome.is_err() {
                self.isolation = None;
            }
            match outcome {
                Ok(attempt) => return Ok(attempt),
                Err(AttemptError::Final(failure)) => return Err(self.with_run_state(failure)),
                Err(AttemptError::NotLoaded) => self.exclude_runner(&runner.name, "not_loaded"),
                Err(AttemptError::StaleView) => {
                    // Nothing was sent, so the next attempt does not count as a retry.
                    self.attempts -= 1;
                    self.exclude_runner(&runner.name, "outdated");
                }
                Err(AttemptError::NotRun(cause)) => {
                    runner.record_connection_failure();
                    self.exclude_runner(&runner.name, cause);
                }
                Err(AttemptError::MaybeRun(cause)) => {
                    self.may_have_run = true;
                    runner.record_connection_failure();
                    self.exclude_runner(&runner.name, cause);
                    self.check_for_crash(&run).await;
                }
                Err(AttemptError::StaleConnection) => {
                    // Sending again on a new connection does not count as a retry.
                    self.may_have_run = true;
                    self.check_for_crash(&run).await;
                    self.services.pool.clear(runner.address);
                    self.attempts -= 1;
                    self.attempts_without_token -= 1;
                }
            }
        }
    }

    fn exclude_runner(&mut self, runner: &Name, cause: &'static str) {
        emit(
            Event::Resumed,
            format_args!(
                "request={} runner={runner} token={} cause={cause}",
                self.request.id, self.tokens
            ),
        );
        self.excluded_runners.push(runner.clone());
    }

    /// Waits briefly if a runner may become available, such as one that is loading a copy or
    /// restarting.
    ///
    /// # Errors
    ///
    /// Fails at once if no runner is expected to become available, or if time has run out.
    async fn wait_for_runner(&mut self) -> Result<(), Failure> {
        let (router, target) = (&self.services.router, &self.request.target);
        let pinned = self.tokens > 0;
        let now = Instant::now();
        let may_become_available = now < self.restart_expected_until
            || router.is_expected(target, pinned)
            || router.has_ready_runner(target);
        if now >= self.give_up_at || !may_become_available {
            return Err(self.unserved_failure("no runner can take the request now"));
        }
        if self.ticket.is_none() && self.request.priority == Priority::Batch {
            self.ticket = Some(self.services.router.queue(&self.request));
        }
        self.excluded_runners.clear();
        compio::time::sleep(NO_RUNNER_RETRY_INTERVAL).await;
        Ok(())
    }

    fn unserved_failure(&self, cause: &str) -> Failure {
        if self.tokens > 0 {
            let message = format!("the stream broke and could not be resumed: {cause}");
            return Failure::new(Kind::Interrupted, message);
        }
        self.with_run_state(Failure::new(Kind::Unavailable, cause))
    }

    async fn start_attempt(
        &mut self,
        choice: Choice,
        run: EngineRun,
    ) -> Result<Attempt, AttemptError> {
        emit(
            Event::Routed,
            format_args!(
                "request={} model={} runner={} score={:.2} others={}",
                self.request.id,
                choice.target.base,
                choice.runner.name,
                choice.score,
                choice.others
            ),
        );
        let in_flight = choice.runner.track_request(self.request.priority);
        if self.request.priority == Priority::Urgent {
            self.services.router.request_batch_yields(&choice.runner);
        }
        let body = self.engine_body(&choice.target);
        let (connection, response, is_first_use) = self.send(&choice, body).await?;
        let named = response.headers().get(REQUEST_ID);
        let named = named.and_then(|named| named.to_str().ok());
        if !is_answer_to(&self.request.id, named, is_first_use) {
            return Err(match is_first_use {
                true => AttemptError::MaybeRun("answer_of_other_request"),
                false => AttemptError::StaleConnection,
            });
        }
        let is_identified = named.is_some();
        match response.status() {
            StatusCode::OK => {}
            StatusCode::BAD_REQUEST => {
                let failure = Failure::new(
                    Kind::Malformed,
                    "the engine rejected the request as malformed",
                );
                return Err(AttemptError::Final(failure));
            }
            StatusCode::NOT_FOUND => {
                // The artifact was unloaded after the report by which the runner was chosen.
                choice.runner.note_not_loaded(&choice.target.artifacts());
                return Err(AttemptError::NotLoaded);
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                return Err(AttemptError::NotRun("refused_by_engine"));
            }
            _ => return Err(AttemptError::MaybeRun("failed_in_engine")),
        }
        self.may_have_run = true;
        // The rest of the answer must come from the same version.
        self.request.target = choice.target;
        Ok(Attempt {
            reader: SseReader::new(response.into_body()),
            connection,
            is_identified,
            run,
            in_flight,
        })
    }

    /// Sends the request; returns the connection, the response and whether the connection has carried
    /// nothing else.
    async fn send(
        &mut self,
        choice: &Choice,
        body: Bytes,
    ) -> Result<(Connection, Response<ResponseBody>, bool), AttemptError> {
        let address = choice.runner.address;
        let id = hyper::header::HeaderValue::from_str(&self.request.id)
            .expect("request ids are valid header values");
        let build_post = || {
            let mut request = build_request(
                Method::POST,
                address,
                COMPLETIONS_PATH,
                Body::full(body.clone()),
            );
            request.headers_mut().insert(REQUEST_ID, id.clone());
            request
        };
        if !self.services.router.may_send(choice) {
            return Err(AttemptError::StaleView);
        }
        if let Some(mut idle) = self.services.pool.take(address) {
            let sent = compio::time::timeout(
                self.capped_timeout(REUSED_CONNECTION_TIMEOUT),
                idle.send(build_post()),
            )
            .await;
            match sent {
                Ok(Ok(response)) => return Ok((idle, response, false)),
                Ok(Err(SendError::NotSent)) => {}
                Ok(Err(SendError::MaybeSent)) | Err(_) => {
                    return Err(AttemptError::StaleConnection);
                }
            }
        }
        let connected = Connection::open(address, self.capped_timeout(CONNECT_TIMEOUT)).await;
        let mut connection =
            connected.map_err(|_not_sent| AttemptError::NotRun("no_connection"))?;
        if !self.services.router.may_send(choice) {
            return Err(AttemptError::StaleView);
        }
        match compio::time::timeout(
            self.capped_timeout(SILENCE_TIMEOUT),
            connection.send(build_post()),
        )
        .await
        {
            Ok(Ok(response)) => Ok((connection, response, true)),
            Ok(Err(SendError::NotSent)) => Err(AttemptError::NotRun("not_sent")),
            Ok(Err(SendError::MaybeSent)) => Err(AttemptError::MaybeRun("cut")),
            Err(_elapsed) => Err(AttemptError::MaybeRun("silent")),
        }
    }

    /// Caps a timeout at the deadline, as long as the first token has not arrived.
    fn capped_timeout(&self, timeout: Duration) -> Duration {
        if self.tokens > 0 {
            timeout
        } else {
            timeout.min(self.time_left())
        }
    }

    /// Builds the request body for an engine; a resumed request starts at the next token.
    fn engine_body(&self, target: &Target) -> Bytes {
        let mut body = self.request.body.clone();
        body.insert("stream".into(), true.into());
        body.insert("priority".into(), self.request.priority.rank().into());
        body.insert("version".into(), target.base.version.as_str().into());
        if let Some(adapter) = &target.adapter {
            body.insert("adapter_version".into(), adapter.version.as_str().into());
        }
        if self.tokens > 0 {
            body.insert("resume_from_token".into(), self.tokens.into());
        }
        serde_json::to_vec(&body)
            .expect("a JSON map serializes")
            .into()
    }
}
