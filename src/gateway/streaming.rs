//! Forwards a stream of events to a caller and resumes it on another server if one fails.

use crate::client_memory::{AnswerError, ClientAccount, Reservation};
use crate::gateway::Protocol;
use crate::gateway::call::Call;
use crate::gateway::crash_check::{BEGUN_EVENTS, Break};
use crate::gateway::events::{EventBuffer, MAX_BUFFER_BYTES, StreamEvent};
use crate::gateway::exchange::Exchange;
use crate::gateway::failure::Failure;
use crate::gateway::fleet::Server;
use crate::gateway::relay::Relay;
use crate::gateway::server_speed::Work;
use crate::http::{AnswerSender, Body};
use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::Response;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The number of events buffered for a slow caller; while the buffer is full, the server's stream
/// is not read.
const MAX_BUFFERED_EVENTS: usize = 8;
/// The length up to which the memory of a request covers an event that is passed on, in bytes.
const COVERED_EVENT_BYTES: usize = 512;
/// The same for the part of an event that has been received.
const COVERED_PART_BYTES: usize = 8 * 1024;
/// How long a server may send nothing in the middle of a stream before another server is asked to go
/// on with it: callers give up after two seconds.
const MAX_SILENCE: Duration = Duration::from_millis(1_200);

/// How long after its head the first event of a server that goes on with a stream is waited for
/// before one of the server that was silent is used.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(300);

/// The fewest events of a stream from which the speed of its runner is estimated.
const MIN_TIMED_EVENTS: u32 = 4;
/// The number of events from which a stream tells as much about the speed of its runner as any. The
/// prompts of other requests delay a few events of each stream.
const LONG_STREAM_EVENTS: f64 = 24.0;

/// The result of reading from a server's stream.
enum ReadOutcome {
    Event(StreamEvent),
    End,
    /// There is no memory for the rest of a long event.
    NoRoom,
    /// The deadline has passed.
    TimeUp,
    Broken(&'static str),
}

/// Where a stream goes on at another server.
#[derive(Clone, Copy)]
struct StreamPosition {
    /// The last event that the caller has; `None` if the stream begins anew.
    last_event: Option<u64>,
    /// The version of the weights that the stream started with.
    weights_version: Option<u64>,
}

/// A stream in flight from one server.
struct ServerStream {
    exchange: Exchange,
    buffer: EventBuffer,
    /// The number of events that the server has sent.
    events: u32,
    /// What is reserved for a long event that is being received.
    room: Reservation,
}

impl ServerStream {
    fn new(exchange: Exchange, account: &ClientAccount) -> Self {
        Self {
            exchange,
            buffer: EventBuffer::default(),
            events: 0,
            room: account.reservation(),
        }
    }

    /// Like [`Self::next`], and waits for memory where there is none.
    async fn next_with_room(&mut self) -> ReadOutcome {
        loop {
            match self.next().await {
                ReadOutcome::NoRoom => self.room.grow_to(MAX_BUFFER_BYTES).await,
                read => return read,
            }
        }
    }

    /// Reads the next event. Nothing is lost if the returned future is dropped.
    async fn next(&mut self) -> ReadOutcome {
        loop {
            if let Some(event) = self.buffer.next() {
                self.events += 1;
                return ReadOutcome::Event(event);
            }
            if self.buffer.len() > COVERED_PART_BYTES {
                if !self.room.try_grow_to(MAX_BUFFER_BYTES) {
                    return ReadOutcome::NoRoom;
                }
                self.buffer.make_room();
            }
            match self.exchange.body.frame().await {
                None if !self.buffer.is_empty() => {
                    return ReadOutcome::Broken("ended in the middle of an event");
                }
                // A connection that closed behind the head shows no end of the stream.
                None if self.events == 0 && !self.exchange.body.is_framed() => {
                    return ReadOutcome::Broken("no event");
                }
                None => return ReadOutcome::End,
                Some(Err(fault)) => return ReadOutcome::Broken(fault.name()),
                Some(Ok(frame)) => {
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
            let mut stream = ServerStream::new(exchange, &call.account);
            let position = StreamPosition {
                last_event: None,
                weights_version,
            };
            if !stream.exchange.head.status.is_success() {
                if let Some(failure) = self.forward_failure(&call, stream).await {
                    return Ok(failure);
                }
            } else {
                let taken_up_after = call.request.last_event;
                match self.next_read(&mut call, &mut stream, position).await {
                    ReadOutcome::Event(first) if has_gap_before(taken_up_after, first.id) => {
                        self.note_cut(&call, &stream, "event missing").await;
                    }
                    ReadOutcome::End if taken_up_after.is_none() => {
                        self.note_cut(&call, &stream, "no event").await;
                    }
                    ReadOutcome::Event(first) => {
                        self.note_stream_version(&mut call, &stream.exchange.server);
                        self.learn_prefill_time(&call);
                        return Ok(self.start_forwarding(call, stream, first));
                    }
                    ReadOutcome::End => {
                        return Ok(P::to_caller(&stream.exchange.head, Body::empty()));
                    }
                    ReadOutcome::TimeUp | ReadOutcome::NoRoom => self.note_time_up(&call, &stream),
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
        let server = stream.exchange.server.clone();
        let read = {
            let mut body = pin!(stream.exchange.read_to_end(&call.account));
            loop {
                let limit = call.time_left().min(MAX_SILENCE);
                if let Ok(read) = compio::time::timeout(limit, body.as_mut()).await {
                    break Some(read);
                }
                let may_leave = call.may_run_again() && self.may_ask_another(call, &server);
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
            None => self.note_silence(call, &server, stream.events).await,
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
        let mut position = StreamPosition {
            last_event: call.request.last_event,
            weights_version: stream.exchange.reply.weights_version,
        };
        let mut event = first;
        let mut progress = StreamProgress::new(&call);
        loop {
            if is_new_event(position.last_event, event.id) {
                position.last_event = event.id.or(position.last_event);
                progress.note_event(Instant::now());
                let Some(bytes) = hold_event(&call, &mut stream, event.bytes).await else {
                    self.note_broken_off(&call);
                    return;
                };
                if !sender.send(bytes).await {
                    return;
                }
            }
            event = loop {
                match self.next_read(&mut call, &mut stream, position).await {
                    ReadOutcome::Event(event) if has_gap_before(position.last_event, event.id) => {
                        self.note_cut(&call, &stream, "event missing").await;
                    }
                    ReadOutcome::Event(event) => break event,
                    ReadOutcome::End => {
                        self.finish(&call, stream, &progress);
                        sender.mark_complete();
                        return;
                    }
                    ReadOutcome::TimeUp | ReadOutcome::NoRoom => self.note_time_up(&call, &stream),
                    ReadOutcome::Broken(why) => self.note_cut(&call, &stream, why).await,
                }
                if !may_go_on(&call, position) {
                    self.note_broken_off(&call);
                    return;
                }
                let Some(next) = self.resume(&mut call, position).await else {
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

    /// Records that the caller's stream ends early.
    fn note_broken_off(&self, call: &Call) {
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
    }

    /// Resumes a stream on another server; `None` if none takes it.
    async fn resume(&self, call: &mut Call, position: StreamPosition) -> Option<ServerStream> {
        let StreamPosition {
            last_event,
            weights_version,
        } = position;
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
                Some(ServerStream::new(exchange, &call.account))
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

    /// Records that a server's stream was cut off or cannot be continued.
    async fn note_cut(&self, call: &Call, stream: &ServerStream, why: &'static str) {
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
        self.note_broken_connection(call, server, Break::Cut, stream.events)
            .await;
    }

    /// Records that the deadline passed before a server's stream ended.
    fn note_time_up(&self, call: &Call, stream: &ServerStream) {
        let server = &stream.exchange.server;
        warn!(
            request = %call.request.id,
            server = %server.id,
            software = %server.software_version(),
            why = "time is up",
            "stream broken"
        );
    }

    /// Reads the next event, from another server if it goes on with the stream while this one is
    /// silent. The silent one is kept until then.
    async fn next_read(
        &self,
        call: &mut Call,
        stream: &mut ServerStream,
        position: StreamPosition,
    ) -> ReadOutcome {
        loop {
            let left = call.time_left();
            let read = compio::time::timeout(left.min(MAX_SILENCE), stream.next()).await;
            if let Ok(ReadOutcome::NoRoom) = read {
                // The server is not silent meanwhile.
                let growing = stream.room.grow_to(MAX_BUFFER_BYTES);
                let _ = compio::time::timeout(call.time_left(), growing).await;
            } else if let Ok(read) = read {
                self.note_read(call, stream, &read);
                return read;
            }
            if call.time_left().is_zero() {
                return ReadOutcome::TimeUp;
            }
            let may_begin_anew = position.last_event.is_none() && stream.events == 0;
            let may_run = may_begin_anew && call.may_run_again() || may_go_on(call, position);
            if !may_run || !self.may_ask_another(call, &stream.exchange.server) {
                continue;
            }
            if let Some(read) = self.read_or_replace(call, stream, position).await {
                self.note_read(call, stream, &read);
                return read;
            }
        }
    }

    /// Asks another server to go on with a stream while its own one is silent; the first that sends
    /// an event goes on. Once the other one has sent a head, its first event is waited for: it runs
    /// the request already. Returns `None` if neither goes on and the silent one may still.
    async fn read_or_replace(
        &self,
        call: &mut Call,
        stream: &mut ServerStream,
        position: StreamPosition,
    ) -> Option<ReadOutcome> {
        let silent = stream.exchange.server.clone();
        let events = stream.events;
        let left = call.time_left();
        let dispatch = call.last_dispatch;
        let request_id = call.request.id.clone();
        let silent_before = call.silent_servers.len();
        call.silent_servers.push(silent.id.clone());
        let other_head_at = Cell::new(None);
        let mut replacement = Box::pin(async {
            self.note_silence(call, &silent, events).await;
            match call.may_run_again() {
                true => self.resume_to_event(call, position, &other_head_at).await,
                false => None,
            }
        });
        // What was read is kept where the replacement ends during the wait for its first event.
        let silent_read = Cell::new(None);
        let mut next = Box::pin(async {
            let read = compio::time::timeout(left, stream.next_with_room()).await;
            silent_read.set(Some(read.unwrap_or(ReadOutcome::TimeUp)));
            if let Some(head_at) = other_head_at.get() {
                compio::time::sleep_until(head_at + FIRST_EVENT_TIME).await;
            }
        });
        let (other, read) = match select(replacement.as_mut(), next.as_mut()).await {
            Either::Left((other, _)) => (other, silent_read.take()),
            Either::Right(((), _)) => {
                let read = silent_read.take();
                let other = match read {
                    Some(ReadOutcome::Broken(_)) => replacement.as_mut().await,
                    _ => None,
                };
                (other, read)
            }
        };
        if other.is_none() && matches!(read, Some(ReadOutcome::Event(_) | ReadOutcome::End)) {
            info!(request = %request_id, server = %silent.id, "silent server went on");
        }
        drop((replacement, next));
        call.silent_servers.truncate(silent_before);
        if let Some((other, read)) = other {
            *stream = other;
            return Some(read);
        }
        call.settle_cancelled_attempt();
        call.last_dispatch = dispatch;
        read
    }

    /// Resumes a stream on another server and reads its first event, or the end if it has no event
    /// left; `None` if none sends that. `head_at` is set to when the head arrives.
    async fn resume_to_event(
        &self,
        call: &mut Call,
        position: StreamPosition,
        head_at: &Cell<Option<Instant>>,
    ) -> Option<(ServerStream, ReadOutcome)> {
        let mut other = self.resume(call, position).await?;
        head_at.set(Some(Instant::now()));
        match compio::time::timeout(call.time_left(), other.next_with_room()).await {
            Ok(read @ (ReadOutcome::Event(_) | ReadOutcome::End)) => Some((other, read)),
            Ok(ReadOutcome::Broken(why)) => {
                self.note_cut(call, &other, why).await;
                None
            }
            Ok(ReadOutcome::TimeUp | ReadOutcome::NoRoom) | Err(_) => None,
        }
    }

    /// Records that a server's stream is silent and that another server is asked.
    async fn note_silence(&self, call: &Call, silent: &Rc<Server>, events: u32) {
        warn!(
            request = %call.request.id,
            server = %silent.id,
            software = %silent.software_version(),
            events,
            "server silent"
        );
        self.note_broken_connection(call, silent, Break::Silence, events)
            .await;
    }

    /// Learns from what was read that the server has begun its answer.
    fn note_read(&self, call: &Call, stream: &ServerStream, read: &ReadOutcome) {
        if matches!(read, ReadOutcome::Event(_)) && stream.events == BEGUN_EVENTS {
            self.note_begun_answer(call, &stream.exchange.server);
        }
    }
}

/// Reserves the memory for an event that waits for its caller; `None` if there is none before the
/// deadline.
async fn hold_event(call: &Call, stream: &mut ServerStream, event: Bytes) -> Option<Bytes> {
    if event.len() <= COVERED_EVENT_BYTES {
        return Some(event);
    }
    let unused = call.account.reservation();
    let mut room = std::mem::replace(&mut stream.room, unused);
    let held_bytes = EventBuffer::held_bytes(event.len());
    room.shrink_to(held_bytes);
    let growing = room.grow_to(held_bytes);
    let grown = compio::time::timeout(call.time_left(), growing).await;
    grown.ok().map(|()| room.hold(event))
}

/// Whether another server may go on with a stream that has begun.
fn may_go_on(call: &Call, position: StreamPosition) -> bool {
    position.last_event.is_some() && call.may_run_again() && !call.time_left().is_zero()
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
