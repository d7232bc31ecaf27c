//! Forwards a stream of events to a caller and resumes it on another server if one fails.

use crate::gateway::Protocol;
use crate::gateway::answer_memory::{AnswerError, read_answer};
use crate::gateway::call::Call;
use crate::gateway::crash_check::{BEGUN_EVENTS, Break};
use crate::gateway::events::{EventBuffer, StreamEvent};
use crate::gateway::exchange::Exchange;
use crate::gateway::failure::Failure;
use crate::gateway::relay::Relay;
use crate::gateway::server_speed::Work;
use crate::http::{AnswerSender, Body};
use http_body_util::BodyExt;
use hyper::Response;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The number of events buffered for a slow caller; while the buffer is full, the server's stream
/// is not read.
const MAX_BUFFERED_EVENTS: usize = 8;
/// How long a server may send nothing in the middle of a stream before the stream is resumed on
/// another server: callers give up after two seconds.
const MAX_SILENCE: Duration = Duration::from_millis(1_200);

/// The fewest events of a stream from which the speed of its runner is estimated.
const MIN_TIMED_EVENTS: u32 = 4;
/// The number of events from which a stream tells as much about the speed of its runner as any. The
/// prompts of other requests delay a few events of each stream.
const LONG_STREAM_EVENTS: f64 = 24.0;

/// The result of reading from a server's stream.
enum ReadOutcome {
    Event(StreamEvent),
    End,
    Silent,
    Broken(&'static str),
}

/// A stream in flight from one server.
struct ServerStream {
    exchange: Exchange,
    buffer: EventBuffer,
    /// The number of events that the server has sent.
    events: u32,
}

impl ServerStream {
    fn new(exchange: Exchange) -> Self {
        Self {
            exchange,
            buffer: EventBuffer::default(),
            events: 0,
        }
    }

    /// Reads the next event; silence is that no whole event arrives, whatever else does.
    async fn next(&mut self, silence: Duration) -> ReadOutcome {
        let silent_at = Instant::now() + silence;
        loop {
            if let Some(event) = self.buffer.next() {
                self.events += 1;
                return ReadOutcome::Event(event);
            }
            let frame = self.exchange.body.frame();
            let frame = compio::time::timeout_at(silent_at, frame).await;
            match frame {
                Err(_elapsed) => return ReadOutcome::Silent,
                Ok(None) if self.buffer.is_empty() => return ReadOutcome::End,
                Ok(None) => return ReadOutcome::Broken("ended in the middle of an event"),
                Ok(Some(Err(_cut))) => return ReadOutcome::Broken("cut"),
                Ok(Some(Ok(frame))) => {
                    let data = frame.data_ref();
                    if data.is_some_and(|data| !self.buffer.push(data)) {
                        return ReadOutcome::Broken("event too long");
                    }
                }
            }
        }
    }
}

/// Timing of the events that a caller's stream has delivered so far.
struct StreamProgress {
    arrived: Instant,
    last_at: Option<Instant>,
    events: u32,
    first_event_after: Duration,
    longest_pause: Duration,
}

impl StreamProgress {
    fn new(call: &Call) -> Self {
        Self {
            arrived: call.arrived,
            last_at: None,
            events: 0,
            first_event_after: Duration::ZERO,
            longest_pause: Duration::ZERO,
        }
    }

    fn note_event(&mut self, now: Instant) {
        match self.last_at {
            Some(last_at) => self.longest_pause = self.longest_pause.max(now - last_at),
            None => self.first_event_after = now - self.arrived,
        }
        self.last_at = Some(now);
        self.events += 1;
    }

    /// The mean time between two events; `None` if there are too few.
    fn event_time(&self) -> Option<Duration> {
        let last_at = self.last_at.filter(|_| self.events >= MIN_TIMED_EVENTS)?;
        let first_at = self.arrived + self.first_event_after;
        Some((last_at - first_at) / (self.events - 1))
    }
}

impl<P: Protocol> Relay<P> {
    /// Answers a request with a stream; returns once the first event has arrived.
    pub(crate) async fn answer_stream(
        self: Rc<Self>,
        mut call: Call,
    ) -> Result<Response<Body>, Failure> {
        if let Some(last_event) = call.request.last_event {
            let resumes = call.request.resumes.as_deref();
            info!(request = %call.request.id, resumes, last_event, "stream taken up");
        }
        loop {
            let weights_version = call.pinned_weights_version();
            let exchange = self
                .send_until_answered(&mut call, None, weights_version)
                .await?;
            let mut stream = ServerStream::new(exchange);
            if !stream.exchange.head.status.is_success() {
                if let Some(failure) = self.forward_failure(&call, stream).await {
                    return Ok(failure);
                }
            } else {
                match self.next_read(&call, &mut stream).await {
                    ReadOutcome::Event(first) => {
                        self.note_stream_version(&mut call, &stream.exchange.server);
                        self.learn_prefill_time(&call);
                        return Ok(self.start_forwarding(call, stream, first));
                    }
                    ReadOutcome::End => {
                        return Ok(P::to_caller(&stream.exchange.head, Body::empty()));
                    }
                    ReadOutcome::Silent => self.note_silence(&call, &stream).await,
                    ReadOutcome::Broken(why) => self.note_cut(&call, &stream, why).await,
                }
            }
            if call.time_left().is_zero() {
                return Err(Failure::TimedOut);
            }
            if !call.may_run_again() {
                return Err(Failure::Unknown);
            }
        }
    }

    /// Updates the estimate of the model's prefill time from a first event that was not delayed
    /// by other requests.
    fn learn_prefill_time(&self, call: &Call) {
        let configuration = self.state.configuration();
        let (Some(dispatch), Some(generation), Some(configuration)) =
            (call.last_dispatch, &call.request.generation, configuration)
        else {
            return;
        };
        if !dispatch.is_uncontended || call.request.last_event.is_some() {
            return;
        }
        if let Some((_, model)) = configuration.model(&generation.model) {
            let took = dispatch.at.elapsed();
            let speeds = &self.state.speeds;
            speeds.note_first_event(model, generation.prompt_tokens, took);
        }
    }

    /// Updates the estimate of the model's stream duration from a stream that one runner
    /// delivered completely.
    fn learn_stream_duration(&self, call: &Call, progress: &StreamProgress) {
        let configuration = self.state.configuration();
        let (Some(generation), Some(configuration)) = (&call.request.generation, configuration)
        else {
            return;
        };
        // Concurrent streams would make this one longer than the model alone takes.
        let is_uncontended = call
            .last_dispatch
            .is_some_and(|dispatch| dispatch.is_uncontended);
        if call.runs != 1 || call.request.last_event.is_some() || !is_uncontended {
            return;
        }
        if let Some((_, model)) = configuration.model(&generation.model) {
            let took = call
                .arrived
                .elapsed()
                .saturating_sub(progress.first_event_after);
            let speeds = &self.state.speeds;
            speeds.note_stream(model, generation.max_tokens, took);
        }
    }

    /// Updates the estimate of the runner's speed from a stream that it delivered completely.
    fn learn_event_time(&self, call: &Call, exchange: &Exchange, progress: &StreamProgress) {
        let server = &exchange.server;
        let is_whole = call.runs == 1 && call.request.last_event.is_none() && !server.is_vm;
        if let Some(event_time) = progress.event_time().filter(|_| is_whole) {
            let weight = f64::from(progress.events) / LONG_STREAM_EVENTS;
            let work = Work::Event(call.model());
            let speeds = &self.state.server_speeds;
            let now = Instant::now();
            let run = server.incarnation();
            speeds.note(&run, &work, event_time, weight, now);
            if let Some(load) = exchange.reply.stated_load {
                speeds.note_stated_time(&run, load, &work, event_time);
            }
        }
    }

    /// Forwards a server's failure; `None` if its body does not arrive whole.
    async fn forward_failure(
        &self,
        call: &Call,
        mut stream: ServerStream,
    ) -> Option<Response<Body>> {
        let read = {
            let mut body = pin!(read_answer(&mut stream.exchange.body, &self.answer_memory));
            loop {
                let limit = call.time_left().min(MAX_SILENCE);
                if let Ok(read) = compio::time::timeout(limit, body.as_mut()).await {
                    break Some(read);
                }
                let server = &stream.exchange.server;
                let may_leave = call.may_run_again() && self.may_abandon(call, server);
                if call.time_left().is_zero() || may_leave {
                    break None;
                }
            }
        };
        match read {
            Some(Ok(body)) => {
                info!(
                    request = %call.request.id,
                    status = stream.exchange.head.status.as_u16(),
                    "stream refused by server"
                );
                return Some(P::to_caller(&stream.exchange.head, Body::full(body)));
            }
            Some(Err(AnswerError::Broken)) => self.note_cut(call, &stream, "cut").await,
            Some(Err(AnswerError::TooLong)) => self.note_cut(call, &stream, "too long").await,
            None => self.note_silence(call, &stream).await,
        }
        None
    }

    /// Forwards the stream in a task that ends with the caller's connection.
    fn start_forwarding(
        self: Rc<Self>,
        call: Call,
        stream: ServerStream,
        first: StreamEvent,
    ) -> Response<Body> {
        let head = stream.exchange.head.clone();
        let body = Body::answer_from_task(MAX_BUFFERED_EVENTS, |sender| {
            compio::runtime::spawn(self.forward_events(call, stream, first, sender))
        });
        P::to_caller(&head, body)
    }

    async fn forward_events(
        self: Rc<Self>,
        mut call: Call,
        mut stream: ServerStream,
        first: StreamEvent,
        mut sender: AnswerSender,
    ) {
        let weights_version = stream.exchange.reply.weights_version;
        let mut last_event = call.request.last_event;
        let mut event = first;
        let mut progress = StreamProgress::new(&call);
        loop {
            if is_new_event(last_event, event.id) {
                last_event = event.id.or(last_event);
                progress.note_event(Instant::now());
                if !sender.send(event.bytes).await {
                    return;
                }
            }
            event = loop {
                match self.next_read(&call, &mut stream).await {
                    ReadOutcome::Event(event) if has_gap_before(last_event, event.id) => {
                        self.note_cut(&call, &stream, "event missing").await;
                    }
                    ReadOutcome::Event(event) => break event,
                    ReadOutcome::End => {
                        self.finish(&call, stream, &progress);
                        sender.mark_complete();
                        return;
                    }
                    ReadOutcome::Silent => self.note_silence(&call, &stream).await,
                    ReadOutcome::Broken(why) => self.note_cut(&call, &stream, why).await,
                }
                let Some(next) = self.resume(&mut call, last_event, weights_version).await else {
                    return;
                };
                stream = next;
            };
        }
    }

    fn finish(&self, call: &Call, stream: ServerStream, progress: &StreamProgress) {
        let server = &stream.exchange.server;
        server.note_success();
        if stream.events < BEGUN_EVENTS {
            self.note_begun_answer(call, server);
        }
        self.learn_stream_duration(call, progress);
        self.learn_event_time(call, &stream.exchange, progress);
        let metrics = &self.state.metrics;
        metrics.note_request(call.route.kind.name(), "answered");
        metrics
            .first_event
            .observe(progress.first_event_after.as_secs_f64());
        metrics
            .longest_pause
            .observe(progress.longest_pause.as_secs_f64());
        info!(
            request = %call.request.id,
            route = %call.route.name,
            server = %stream.exchange.server.id,
            events = progress.events,
            first_ms = progress.first_event_after.as_millis() as u64,
            longest_pause_ms = progress.longest_pause.as_millis() as u64,
            event_us = progress.event_time().map(|it| it.as_micros() as u64),
            stated = ?stream.exchange.reply.stated_load,
            runs = call.runs,
            age_ms = call.arrived.elapsed().as_millis() as u64,
            "stream complete"
        );
        self.pool.keep(stream.exchange);
    }

    /// Resumes a broken stream on another server; `None` if that is not possible.
    async fn resume(
        &self,
        call: &mut Call,
        last_event: Option<u64>,
        weights_version: Option<u64>,
    ) -> Option<ServerStream> {
        if last_event.is_none() || !call.may_run_again() || call.time_left().is_zero() {
            let metrics = &self.state.metrics;
            metrics.note_request(call.route.kind.name(), "broken_off");
            let age_ms = call.arrived.elapsed().as_millis() as u64;
            let timeout_ms = call.route.timeout_ms;
            let patience_ms = call
                .request
                .time_limit
                .map(|time_limit| time_limit.as_millis() as u64);
            info!(
                request = %call.request.id,
                runs = call.runs,
                age_ms,
                timeout_ms,
                patience_ms,
                "stream broken off"
            );
            return None;
        }
        match self
            .send_until_answered(call, last_event, weights_version)
            .await
        {
            Ok(exchange) if exchange.head.status.is_success() => {
                self.state.metrics.streams_resumed.inc();
                info!(
                    request = %call.request.id,
                    server = %exchange.server.id,
                    software = %exchange.server.software_version(),
                    last = ?last_event,
                    "stream resumed"
                );
                Some(ServerStream::new(exchange))
            }
            Ok(exchange) => {
                warn!(
                    request = %call.request.id,
                    status = exchange.head.status.as_u16(),
                    "stream not resumed"
                );
                None
            }
            Err(failure) => {
                warn!(request = %call.request.id, ?failure, "stream not resumed");
                None
            }
        }
    }

    /// Records that a server's stream fell silent and is given up.
    async fn note_silence(&self, call: &Call, stream: &ServerStream) {
        self.note_break(call, stream, Break::Silence, silence_cause(call))
            .await;
    }

    /// Records that a server's stream was cut off or cannot be continued.
    async fn note_cut(&self, call: &Call, stream: &ServerStream, why: &'static str) {
        self.note_break(call, stream, Break::Cut, why).await;
    }

    async fn note_break(
        &self,
        call: &Call,
        stream: &ServerStream,
        broken: Break,
        why: &'static str,
    ) {
        let server = &stream.exchange.server;
        warn!(
            request = %call.request.id,
            server = %server.id,
            software = %server.software_version(),
            why,
            "stream broken"
        );
        if call.time_left().is_zero() {
            return;
        }
        self.note_broken_connection(call, server, broken, stream.events)
            .await;
    }

    /// Reads the next event. Reports silence only if the stream should be resumed on another server
    /// or the deadline has passed.
    async fn next_read(&self, call: &Call, stream: &mut ServerStream) -> ReadOutcome {
        loop {
            let left = call.time_left();
            let next = stream.next(left.min(MAX_SILENCE)).await;
            let is_event = matches!(next, ReadOutcome::Event(_));
            if is_event && stream.events == BEGUN_EVENTS {
                self.note_begun_answer(call, &stream.exchange.server);
            }
            let is_silent = matches!(next, ReadOutcome::Silent);
            if !is_silent || call.time_left().is_zero() {
                return next;
            }
            if call.may_run_again() && self.may_abandon(call, &stream.exchange.server) {
                return next;
            }
        }
    }
}

/// The logged cause for abandoning a silent stream.
fn silence_cause(call: &Call) -> &'static str {
    if call.time_left().is_zero() {
        "time is up"
    } else {
        "silent"
    }
}

/// Whether an event is new to the caller; a resumed stream may repeat events.
fn is_new_event(last_event: Option<u64>, id: Option<u64>) -> bool {
    match (last_event, id) {
        (Some(last_event), Some(id)) => id > last_event,
        _ => true,
    }
}

/// Whether events are missing between the last event and this one.
fn has_gap_before(last_event: Option<u64>, id: Option<u64>) -> bool {
    match (last_event, id) {
        (Some(last_event), Some(id)) => id > last_event + 1,
        _ => false,
    }
}
