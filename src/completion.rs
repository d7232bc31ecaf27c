//! A chat completion from its request to its last event, over as many runners as it takes.

use crate::batch_queue::Ticket;
use crate::client::{Connection, Pool, SendError};
use crate::engine::request;
use crate::error::{Failure, Kind, Ran};
use crate::events::{Event, emit};
use crate::fleet::InFlight;
use crate::http::Body;
use crate::inventory::{Name, Priority};
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
/// How long a connection to an engine may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts at one request at most.
const MAX_ATTEMPTS: u32 = 5;
/// How often one batch request gives up its slot at most.
const MAX_YIELDS: u32 = 3;
/// The pause before looking again when no runner can take the request.
const NO_RUNNER_PAUSE: Duration = Duration::from_millis(50);

/// What a caller asked for.
#[derive(Debug)]
pub(crate) struct Ask {
    /// Names the request through every process.
    pub(crate) id: Name,
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
    /// The answer is complete.
    Done(Bytes),
}

struct Attempt {
    reader: SseReader,
    connection: Connection,
    runner: Name,
    in_flight: InFlight,
}

/// One completion under way.
pub(crate) struct Completion {
    router: Rc<Router>,
    pool: Rc<Pool>,
    ask: Ask,
    attempt: Option<Attempt>,
    attempts: u32,
    tokens: u32,
    avoid: Vec<Name>,
    ticket: Option<Ticket>,
    yields: u32,
    ran: bool,
    resumes: u32,
}

/// Why an attempt brought no stream.
enum AttemptError {
    /// The engine did not run it; another may.
    NotRun(&'static str),
    /// It may have run.
    MaybeRun(&'static str),
    /// No engine will take it.
    Final(Failure),
}

impl Completion {
    /// A completion that has not been sent anywhere yet.
    pub(crate) fn new(router: Rc<Router>, pool: Rc<Pool>, ask: Ask) -> Self {
        Self {
            router,
            pool,
            ask,
            attempt: None,
            attempts: 0,
            tokens: 0,
            avoid: Vec::new(),
            ticket: None,
            yields: 0,
            ran: false,
            resumes: 0,
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
            match attempt.reader.next(silence).await {
                Ok(SseEvent::Comment) => {}
                Ok(SseEvent::Token(event, text)) => {
                    self.tokens += 1;
                    return Ok(Step::Token(event, text));
                }
                Ok(SseEvent::Finish(event, reason)) => return Ok(Step::Finish(event, reason)),
                Ok(SseEvent::Done(event)) => {
                    self.give_back().await;
                    return Ok(Step::Done(event));
                }
                Err(broken) => self.note_broken(broken)?,
            }
        }
    }

    /// Gives up the slot if urgent requests want it; the answer goes on later.
    fn give_way(&mut self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let may_yield = self.tokens > 0 && self.yields < MAX_YIELDS && self.holds_back();
        if !may_yield || !attempt.in_flight.runner().take_yield() {
            return;
        }
        emit(
            Event::Yielded,
            format_args!(
                "request={} runner={} token={}",
                self.ask.id, attempt.runner, self.tokens
            ),
        );
        self.yields += 1;
        self.attempts -= 1;
        self.attempt = None;
        self.ticket = Some(self.router.queue(&self.ask));
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
        !has_begun || left > self.router.service_time(&self.ask) * 2
    }

    /// How long to wait for the next event: no longer than the deadline before the first token.
    fn silence(&self) -> Result<Duration, Failure> {
        if self.tokens > 0 {
            return Ok(SILENCE);
        }
        let left = self.ask.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(self.late());
        }
        Ok(left.min(SILENCE))
    }

    fn late(&self) -> Failure {
        let failure = Failure::new(Kind::Deadline, "no runner began the answer in time");
        if self.ran {
            failure.ran(Ran::Yes)
        } else {
            failure
        }
    }

    fn note_broken(&mut self, broken: Broken) -> Result<(), Failure> {
        let attempt = self.attempt.take().expect("only an open attempt breaks");
        if self.tokens == 0 && Instant::now() >= self.ask.deadline {
            return Err(self.late());
        }
        if broken == Broken::Silent {
            self.pool.clear(attempt.connection.address());
        }
        emit(
            Event::Resumed,
            format_args!(
                "request={} runner={} token={} cause={broken:?}",
                self.ask.id, attempt.runner, self.tokens
            ),
        );
        self.resumes += 1;
        self.avoid.push(attempt.runner);
        Ok(())
    }

    async fn give_back(&mut self) {
        if let Some(attempt) = self.attempt.take()
            && attempt.reader.finish(SILENCE).await
        {
            self.pool.put(attempt.connection);
        }
    }

    /// Finds a runner that takes the request, or what is left of it.
    async fn open(&mut self) -> Result<Attempt, Failure> {
        loop {
            if self.attempts >= MAX_ATTEMPTS {
                return Err(self.exhausted());
            }
            if self.tokens == 0 && Instant::now() >= self.ask.deadline {
                return Err(self.late());
            }
            if !self.router.refreshed().await {
                return Err(self.exhausted());
            }
            let pinned = self.tokens > 0;
            let in_line = !self.holds_back() || self.ticket.as_ref().is_none_or(Ticket::is_first);
            let choice = in_line
                .then(|| {
                    let holds_back = self.holds_back();
                    self.router
                        .choose(&self.ask, pinned, holds_back, &self.avoid)
                })
                .flatten();
            let Some(choice) = choice else {
                self.wait_for_runner().await?;
                continue;
            };
            self.ticket = None;
            self.attempts += 1;
            let runner = choice.runner.clone();
            match self.try_on(choice).await {
                Ok(attempt) => return Ok(attempt),
                Err(AttemptError::Final(failure)) => return Err(failure),
                Err(AttemptError::NotRun(cause)) => self.pass_over(&runner.name, cause),
                Err(AttemptError::MaybeRun(cause)) => {
                    self.ran = true;
                    runner.note_broken();
                    self.pass_over(&runner.name, cause);
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
        let target = &self.ask.target;
        let worth_waiting = self.router.is_coming(target) || self.router.is_served(target);
        if Instant::now() >= self.ask.deadline || !worth_waiting {
            return Err(self.exhausted());
        }
        if self.ticket.is_none() && self.ask.priority == Priority::Batch {
            self.ticket = Some(self.router.queue(&self.ask));
        }
        self.avoid.clear();
        compio::time::sleep(NO_RUNNER_PAUSE).await;
        Ok(())
    }

    fn exhausted(&self) -> Failure {
        if self.tokens > 0 {
            return Failure::new(Kind::Interrupted, "the stream broke and could not go on");
        }
        let failure = Failure::new(Kind::Unavailable, "no runner can take the request now");
        if self.ran {
            failure.ran(Ran::Yes)
        } else {
            failure
        }
    }

    async fn try_on(&mut self, choice: Choice) -> Result<Attempt, AttemptError> {
        emit(
            Event::Routed,
            format_args!(
                "request={} model={} runner={} score={:.2} others={}",
                self.ask.id, choice.target.base, choice.runner.name, choice.score, choice.others
            ),
        );
        let in_flight = choice.runner.enter(self.ask.priority);
        if self.ask.priority == Priority::Urgent {
            self.router.make_room_on(&choice.runner);
        }
        let body = self.body_for(&choice.target);
        let (connection, response) = self.send(&choice, body).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::BAD_REQUEST => {
                let failure = Failure::new(Kind::Malformed, "the engine cannot read the request");
                return Err(AttemptError::Final(failure));
            }
            StatusCode::NOT_FOUND => return Err(AttemptError::NotRun("not_loaded")),
            _ => return Err(AttemptError::NotRun("refused_by_engine")),
        }
        self.ran = true;
        // What follows must come from the version that began.
        self.ask.target = choice.target;
        Ok(Attempt {
            reader: SseReader::new(response.into_body()),
            connection,
            runner: choice.runner.name.clone(),
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
        if !self.router.may_send(choice) {
            return Err(AttemptError::NotRun("outdated"));
        }
        if let Some(mut pooled) = self.pool.take(address) {
            let sent = compio::time::timeout(SILENCE, pooled.send(build())).await;
            match sent {
                Ok(Ok(response)) => return Ok((pooled, response)),
                Ok(Err(SendError::NotSent)) => {}
                // The idle connection was closed or went silent: a new one tells.
                Ok(Err(SendError::MaybeSent)) | Err(_) => {
                    self.ran = true;
                    self.pool.clear(address);
                }
            }
        }
        let mut connection =
            Connection::open(address, CONNECT_TIMEOUT)
                .await
                .map_err(|_refused| {
                    choice.runner.note_broken();
                    AttemptError::NotRun("no_connection")
                })?;
        if !self.router.may_send(choice) {
            return Err(AttemptError::NotRun("outdated"));
        }
        match compio::time::timeout(SILENCE, connection.send(build())).await {
            Ok(Ok(response)) => Ok((connection, response)),
            Ok(Err(SendError::NotSent)) => Err(AttemptError::NotRun("not_sent")),
            Ok(Err(SendError::MaybeSent)) => Err(AttemptError::MaybeRun("cut")),
            Err(_elapsed) => Err(AttemptError::MaybeRun("silent")),
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
