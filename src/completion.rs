//! A chat completion from its request to its last event, over as many runners as it takes.

use crate::batch_queue::Ticket;
use crate::client::{Connection, Pool, SendError};
use crate::control::SuspectStatus;
use crate::engine::request;
use crate::error::{Failure, Kind, Ran};
use crate::events::{Event, emit};
use crate::fleet::{InFlight, Runner};
use crate::http::Body;
use crate::inventory::{Name, Priority};
use crate::quarantine::{EngineRun, Isolation, Quarantine};
use crate::retry::RetryBudget;
use crate::router::{Choice, Router, Target};
use crate::sse::{Broken, SseEvent, SseReader};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde_json::{Map, Value};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The route of completions, here and at engines.
pub(crate) const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// How long an engine may be silent; it sends comments while it has no token.
const SILENCE: Duration = Duration::from_millis(2_000);
/// How long the answer's head may take on a connection that was idle before.
///
/// Shorter, since such a connection may have gone silent; a new one tells.
const IDLE_SILENCE: Duration = Duration::from_millis(700);
/// How long a connection to an engine may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How often one batch request gives up its slot at most.
const MAX_YIELDS: u32 = 3;
/// Attempts in a row that bring no token, at most.
const MAX_FRUITLESS: u32 = 5;
/// The pause before looking again when no runner can take the request.
const NO_RUNNER_PAUSE: Duration = Duration::from_millis(50);
/// How long a broken stream may look for a runner when its deadline is near or past.
const RESUME_WAIT: Duration = Duration::from_millis(2_000);
/// How long a crashed runner may take to start again before its requests give up.
const RESTART_WAIT: Duration = Duration::from_millis(5_000);
/// How long a suspect whose stream has begun may wait for a runner to itself.
const SUSPECT_WAIT: Duration = Duration::from_secs(20);
/// Tokens after which a suspect has got past the point of the crash.
const PROBATION_TOKENS: u32 = 3;
/// The last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// What a caller asked for.
#[derive(Debug)]
pub(crate) struct Ask {
    /// Names the request through every process.
    pub(crate) id: Name,
    /// The same for each sending of the request, through whichever VM.
    pub(crate) fingerprint: u64,
    /// The artifacts to run it on.
    pub(crate) target: Target,
    /// The request's body.
    pub(crate) body: Map<String, Value>,
    /// How urgent it is.
    pub(crate) priority: Priority,
    /// When the first token must have come.
    pub(crate) deadline: Instant,
    /// When the first token should have come, if the caller says so.
    pub(crate) first_token_by: Option<Instant>,
}

impl Ask {
    /// The tokens that the request asks for at most, if it says so.
    pub(crate) fn max_tokens(&self) -> Option<u64> {
        self.body.get("max_tokens").and_then(Value::as_u64)
    }
}

/// What comes next in an answer.
#[derive(Debug)]
pub(crate) enum Step {
    /// A token, with its event.
    Token(Bytes, String),
    /// The finish reason, with its event.
    Finish(Bytes, String),
    /// An event without a token, to be passed on.
    Other(Bytes),
    /// The engine lives and has no token yet.
    Waiting,
    /// The answer is complete.
    Done(Bytes),
}

struct Attempt {
    reader: SseReader,
    connection: Connection,
    run: EngineRun,
    in_flight: InFlight,
}

/// What all completions of a VM share.
pub(crate) struct Shared {
    /// Chooses runners.
    pub(crate) router: Rc<Router>,
    /// Idle connections to engines.
    pub(crate) pool: Rc<Pool>,
    /// Bounds the attempts after the first.
    pub(crate) budget: RetryBudget,
    /// Keeps suspects apart once a runner crashed.
    pub(crate) quarantine: Rc<Quarantine>,
}

/// One completion under way.
pub(crate) struct Completion {
    shared: Rc<Shared>,
    ask: Ask,
    attempt: Option<Attempt>,
    attempts: u32,
    fruitless: u32,
    tokens: u32,
    finished: bool,
    preamble: Bytes,
    avoid: Vec<Name>,
    ticket: Option<Ticket>,
    yields: u32,
    ran: bool,
    resumes: u32,
    give_up_at: Instant,
    hopeful_until: Instant,
    crashed_here: bool,
    isolation: Option<Isolation>,
    probation_ends: u32,
}

/// Why an attempt brought no stream.
enum AttemptError {
    /// The engine does not hold the artifacts any more.
    NotLoaded,
    /// The runner was chosen on a view that is too old by now; nothing was sent.
    Outdated,
    /// The engine did not run it; another may.
    NotRun(&'static str),
    /// It may have run.
    MaybeRun(&'static str),
    /// The idle connection it was sent on was closed or silent.
    StaleConnection,
    /// No engine will take it.
    Final(Failure),
}

impl Completion {
    /// A completion that has not been sent anywhere yet.
    pub(crate) fn new(shared: Rc<Shared>, ask: Ask) -> Self {
        shared.budget.note_request();
        Self {
            shared,
            attempt: None,
            attempts: 0,
            fruitless: 0,
            tokens: 0,
            finished: false,
            preamble: Bytes::new(),
            avoid: Vec::new(),
            ticket: None,
            yields: 0,
            ran: false,
            resumes: 0,
            give_up_at: ask.deadline,
            hopeful_until: Instant::now(),
            crashed_here: false,
            isolation: None,
            probation_ends: 0,
            ask,
        }
    }

    /// Tokens passed on so far.
    pub(crate) fn tokens(&self) -> u32 {
        self.tokens
    }

    /// How often the stream went on elsewhere, and how many attempts were made.
    pub(crate) fn tries(&self) -> (u32, u32) {
        (self.resumes, self.attempts)
    }

    /// Waits for the next step, on another runner if need be.
    ///
    /// # Errors
    ///
    /// Fails once no runner can go on, or the deadline passed before any token.
    pub(crate) async fn next(&mut self) -> Result<Step, Failure> {
        loop {
            self.give_way();
            if self.attempt.is_none() {
                self.attempt = Some(self.open().await?);
            }
            let silence = self.silence()?;
            let attempt = self.attempt.as_mut().expect("an attempt was just opened");
            let event = attempt.reader.next(silence).await;
            match self.take_event(event) {
                Ok(Some(step)) => return Ok(step),
                Ok(None) => {}
                Err(broken) => self.note_broken(broken).await?,
            }
        }
    }

    /// Gives up the slot if urgent requests want it; the answer goes on later.
    fn give_way(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let is_streaming = self.tokens > 0 && !self.finished;
        let may_yield = is_streaming && self.yields < MAX_YIELDS && self.holds_back();
        if !may_yield || !attempt.in_flight.runner().take_yield() {
            return;
        }
        emit(
            Event::Yielded,
            format_args!(
                "request={} runner={} token={}",
                self.ask.id, attempt.run.runner.name, self.tokens
            ),
        );
        self.yields += 1;
        self.attempts -= 1;
        self.attempt = None;
        self.ticket = Some(self.shared.router.queue(&self.ask));
    }

    /// Whether the request leaves room to urgent ones: batch, while its deadline allows it.
    fn holds_back(&self) -> bool {
        if self.ask.priority != Priority::Batch {
            return false;
        }
        let has_begun = self.tokens > 0;
        if has_begun && self.yields == 0 && self.attempt.is_none() {
            // Broken off by a failure: the caller waits in the middle of an answer.
            return false;
        }
        let left = self.ask.deadline.saturating_duration_since(Instant::now());
        !has_begun || left > self.shared.router.service_time(&self.ask) * 2
    }

    /// What an event means for the caller; `None` for nothing.
    fn take_event(&mut self, event: Result<SseEvent, Broken>) -> Result<Option<Step>, Broken> {
        match event {
            Ok(SseEvent::Comment) => Ok((self.tokens > 0).then_some(Step::Waiting)),
            Ok(SseEvent::Other(event)) if self.tokens == 0 && !self.finished => {
                self.preamble = event;
                Ok(None)
            }
            Ok(SseEvent::Other(event)) => {
                // Another attempt repeats the events before its first token.
                let is_new = self.fruitless == 0 || self.finished;
                Ok(is_new.then_some(Step::Other(event)))
            }
            Ok(SseEvent::Token(event, text)) if !self.finished => {
                self.tokens += 1;
                self.fruitless = 0;
                if self.tokens >= self.probation_ends {
                    self.end_isolation(self.crashed_here);
                }
                Ok(Some(Step::Token(self.with_preamble(event), text)))
            }
            Ok(SseEvent::Finish(event, reason)) if !self.finished => {
                self.finished = true;
                Ok(Some(Step::Finish(event, reason)))
            }
            Ok(SseEvent::Done(event)) if self.finished => {
                self.give_back();
                self.end_isolation(true);
                Ok(Some(Step::Done(event)))
            }
            // Every token and the finish reason have come: nothing is missing.
            Ok(_) | Err(_) if self.finished => {
                self.attempt = None;
                self.end_isolation(true);
                Ok(Some(Step::Done(Bytes::from_static(DONE_EVENT))))
            }
            Ok(_) => Err(Broken::Garbled),
            Err(broken) => Err(broken),
        }
    }

    /// Puts before the first token what came before it; nothing is sent earlier,
    /// so that a request without a token can still be answered by an error status.
    fn with_preamble(&mut self, event: Bytes) -> Bytes {
        let preamble = std::mem::take(&mut self.preamble);
        if preamble.is_empty() {
            return event;
        }
        [preamble, event].concat().into()
    }

    /// How long to wait for the next event: no longer than the deadline before the first token.
    fn silence(&self) -> Result<Duration, Failure> {
        if self.tokens > 0 {
            return Ok(SILENCE);
        }
        let left = self.time_left();
        if left.is_zero() {
            return Err(self.late());
        }
        Ok(left.min(SILENCE))
    }

    fn time_left(&self) -> Duration {
        self.ask.deadline.saturating_duration_since(Instant::now())
    }

    fn late(&self) -> Failure {
        self.with_ran(Failure::new(
            Kind::Deadline,
            "no runner began the answer in time",
        ))
    }

    /// States that the request ran, if it may have.
    fn with_ran(&self, failure: Failure) -> Failure {
        if self.ran {
            failure.ran(Ran::Yes)
        } else {
            failure
        }
    }

    /// Ends the isolation, if there is one; a suspect that is `cleared` may share runners again.
    fn end_isolation(&mut self, cleared: bool) {
        let quarantine = &self.shared.quarantine;
        let fingerprint = self.ask.fingerprint;
        if cleared && quarantine.standing(fingerprint) == SuspectStatus::Suspect {
            quarantine.clear(fingerprint);
        }
        self.isolation = None;
    }

    async fn note_broken(&mut self, broken: Broken) -> Result<(), Failure> {
        let attempt = self.attempt.take().expect("only an open attempt breaks");
        let run = attempt.run.clone();
        if self.tokens == 0 && self.time_left().is_zero() {
            return Err(self.late());
        }
        if broken == Broken::Silent {
            self.shared.pool.clear(attempt.connection.address());
        }
        // Dropped before anything else, so that the engine cancels its copy.
        drop(attempt);
        self.resumes += 1;
        self.give_up_at = self.give_up_at.max(Instant::now() + RESUME_WAIT);
        let cause = match broken {
            Broken::Cut => "cut",
            Broken::Garbled => "garbled",
            Broken::Silent => "silent",
        };
        self.pass_over(&run.runner.name, cause);
        if broken == Broken::Cut {
            self.note_cut(&run).await;
        }
        self.isolation = None;
        Ok(())
    }

    /// Finds out whether the runner crashed; if so, the request is a suspect from now on.
    async fn note_cut(&mut self, run: &EngineRun) {
        let quarantine = &self.shared.quarantine;
        let crashed = quarantine
            .note_cut(&self.ask.id, self.ask.fingerprint, run)
            .await;
        if crashed {
            let now = Instant::now();
            self.crashed_here = true;
            self.hopeful_until = now + RESTART_WAIT;
            self.give_up_at = self.give_up_at.max(now + SUSPECT_WAIT);
        }
    }

    fn refuse_suspect(&self) -> Result<(), Failure> {
        if self.shared.quarantine.standing(self.ask.fingerprint) != SuspectStatus::Poison {
            return Ok(());
        }
        let message = "runners crashed each time this request was aboard";
        let ran = if self.ran { Ran::Yes } else { Ran::No };
        Err(Failure::new(Kind::Poison, message).ran(ran))
    }

    /// The engine run to send to; a suspect waits for one to itself.
    ///
    /// Returns `None` when the runner cannot be had now.
    async fn engine_run(&mut self, runner: &Rc<Runner>) -> Option<EngineRun> {
        let quarantine = &self.shared.quarantine;
        if quarantine.standing(self.ask.fingerprint) == SuspectStatus::Clear {
            let boot = runner.report(|report| report.boot)?;
            let runner = runner.clone();
            return Some(EngineRun { runner, boot });
        }
        let isolation = quarantine.isolate(runner).await?;
        let run = isolation.run.clone();
        self.isolation = Some(isolation);
        self.probation_ends = self.tokens + PROBATION_TOKENS;
        Some(run)
    }

    /// Gives the connection back once its answer has been read to its end.
    fn give_back(&mut self) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let pool = self.shared.pool.clone();
        compio::runtime::spawn(async move {
            if attempt.reader.finish(SILENCE).await {
                pool.put(attempt.connection);
            }
        })
        .detach();
    }

    /// Finds a runner that takes the request, or what is left of it.
    async fn open(&mut self) -> Result<Attempt, Failure> {
        loop {
            if self.tokens == 0 && self.time_left().is_zero() {
                return Err(self.late());
            }
            if self.fruitless >= MAX_FRUITLESS {
                return Err(self.exhausted("every attempt failed"));
            }
            if !self.shared.router.refreshed().await {
                return Err(self.exhausted("this VM's view of the fleet is too old"));
            }
            self.refuse_suspect()?;
            let pinned = self.tokens > 0;
            let in_line = !self.holds_back() || self.ticket.as_ref().is_none_or(Ticket::is_first);
            let choice = in_line
                .then(|| {
                    let holds_back = self.holds_back();
                    self.shared
                        .router
                        .choose(&self.ask, pinned, holds_back, &self.avoid)
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
            // Another sending of it may have crashed a runner while this one waited.
            self.refuse_suspect()?;
            self.ticket = None;
            if self.attempts > 0 && !self.shared.budget.take(self.tokens > 0) {
                return Err(self.exhausted("too many requests are being retried now"));
            }
            self.attempts += 1;
            self.fruitless += 1;
            let runner = choice.runner.clone();
            let outcome = self.try_on(choice, run.clone()).await;
            if outcome.is_err() {
                self.isolation = None;
            }
            match outcome {
                Ok(attempt) => return Ok(attempt),
                Err(AttemptError::Final(failure)) => return Err(self.with_ran(failure)),
                Err(AttemptError::NotLoaded) => self.pass_over(&runner.name, "not_loaded"),
                Err(AttemptError::Outdated) => {
                    // Nothing was sent: the next attempt is no retry.
                    self.attempts -= 1;
                    self.pass_over(&runner.name, "outdated");
                }
                Err(AttemptError::NotRun(cause)) => {
                    runner.note_broken();
                    self.pass_over(&runner.name, cause);
                }
                Err(AttemptError::MaybeRun(cause)) => {
                    self.ran = true;
                    runner.note_broken();
                    self.pass_over(&runner.name, cause);
                    self.note_cut(&run).await;
                }
                Err(AttemptError::StaleConnection) => {
                    // A new connection to the same runner is no retry.
                    self.ran = true;
                    self.note_cut(&run).await;
                    self.shared.pool.clear(runner.address);
                    self.attempts -= 1;
                    self.fruitless -= 1;
                }
            }
        }
    }

    fn pass_over(&mut self, runner: &Name, cause: &'static str) {
        emit(
            Event::Resumed,
            format_args!(
                "request={} runner={runner} token={} cause={cause}",
                self.ask.id, self.tokens
            ),
        );
        self.avoid.push(runner.clone());
    }

    /// Waits a moment for a copy that is being loaded; without one in sight, gives up at once.
    async fn wait_for_runner(&mut self) -> Result<(), Failure> {
        let (router, target) = (&self.shared.router, &self.ask.target);
        let pinned = self.tokens > 0;
        let now = Instant::now();
        let is_hopeful = now < self.hopeful_until
            || router.is_coming(target, pinned)
            || router.has_ready_runner(target);
        if now >= self.give_up_at || !is_hopeful {
            return Err(self.exhausted("no runner can take the request now"));
        }
        if self.ticket.is_none() && self.ask.priority == Priority::Batch {
            self.ticket = Some(self.shared.router.queue(&self.ask));
        }
        self.avoid.clear();
        compio::time::sleep(NO_RUNNER_PAUSE).await;
        Ok(())
    }

    fn exhausted(&self, cause: &str) -> Failure {
        if self.tokens > 0 {
            let message = format!("the stream broke and could not go on: {cause}");
            return Failure::new(Kind::Interrupted, message);
        }
        self.with_ran(Failure::new(Kind::Unavailable, cause))
    }

    async fn try_on(&mut self, choice: Choice, run: EngineRun) -> Result<Attempt, AttemptError> {
        emit(
            Event::Routed,
            format_args!(
                "request={} model={} runner={} score={:.2} others={}",
                self.ask.id, choice.target.base, choice.runner.name, choice.score, choice.others
            ),
        );
        let in_flight = choice.runner.enter(self.ask.priority);
        if self.ask.priority == Priority::Urgent {
            self.shared.router.request_batch_yields(&choice.runner);
        }
        let body = self.body_for(&choice.target);
        let (connection, response) = self.send(&choice, body).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::BAD_REQUEST => {
                let failure = Failure::new(Kind::Malformed, "the engine cannot read the request");
                return Err(AttemptError::Final(failure));
            }
            StatusCode::NOT_FOUND => {
                // The report that led here is older than an unload.
                choice.runner.note_not_loaded(&choice.target.artifacts());
                return Err(AttemptError::NotLoaded);
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                return Err(AttemptError::NotRun("refused_by_engine"));
            }
            _ => return Err(AttemptError::MaybeRun("failed_in_engine")),
        }
        self.ran = true;
        // What follows must come from the version that began.
        self.ask.target = choice.target;
        Ok(Attempt {
            reader: SseReader::new(response.into_body()),
            connection,
            run,
            in_flight,
        })
    }

    async fn send(
        &mut self,
        choice: &Choice,
        body: Bytes,
    ) -> Result<(Connection, hyper::Response<hyper::body::Incoming>), AttemptError> {
        let address = choice.runner.address;
        let id = hyper::header::HeaderValue::from_str(&self.ask.id)
            .expect("request ids are checked or made here");
        let build = || {
            let mut request = request(
                Method::POST,
                address,
                COMPLETIONS_PATH,
                Body::full(body.clone()),
            );
            request.headers_mut().insert("x-request-id", id.clone());
            request
        };
        if !self.shared.router.may_send(choice) {
            return Err(AttemptError::Outdated);
        }
        if let Some(mut idle) = self.shared.pool.take(address) {
            let sent = compio::time::timeout(self.limit(IDLE_SILENCE), idle.send(build())).await;
            match sent {
                Ok(Ok(response)) => return Ok((idle, response)),
                Ok(Err(SendError::NotSent)) => {}
                Ok(Err(SendError::MaybeSent)) | Err(_) => {
                    return Err(AttemptError::StaleConnection);
                }
            }
        }
        let connected = Connection::open(address, self.limit(CONNECT_TIMEOUT)).await;
        let mut connection =
            connected.map_err(|_not_sent| AttemptError::NotRun("no_connection"))?;
        if !self.shared.router.may_send(choice) {
            return Err(AttemptError::Outdated);
        }
        match compio::time::timeout(self.limit(SILENCE), connection.send(build())).await {
            Ok(Ok(response)) => Ok((connection, response)),
            Ok(Err(SendError::NotSent)) => Err(AttemptError::NotRun("not_sent")),
            Ok(Err(SendError::MaybeSent)) => Err(AttemptError::MaybeRun("cut")),
            Err(_elapsed) => Err(AttemptError::MaybeRun("silent")),
        }
    }

    /// A timeout that does not reach beyond the deadline of the first token.
    fn limit(&self, timeout: Duration) -> Duration {
        if self.tokens > 0 {
            timeout
        } else {
            timeout.min(self.time_left())
        }
    }

    /// The request as an engine takes it, from the next token on.
    fn body_for(&self, target: &Target) -> Bytes {
        let mut body = self.ask.body.clone();
        body.insert("stream".into(), true.into());
        body.insert("priority".into(), self.ask.priority.rank().into());
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
