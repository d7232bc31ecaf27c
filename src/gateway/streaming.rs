//! A stream of events to a caller, over as many servers as it takes.

use crate::gateway::Protocol;
use crate::gateway::call::Call;
use crate::gateway::events::{EventBuffer, StreamEvent};
use crate::gateway::exchange::Exchange;
use crate::gateway::failure::Failure;
use crate::gateway::relay::Relay;
use crate::http::{AnswerSender, Body};
use http_body_util::BodyExt;
use hyper::Response;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Events that wait for a caller that reads slowly; then the server is not read either.
const CHANNEL_EVENTS: usize = 8;
/// How long a server may be silent in mid-stream before the stream goes on elsewhere:
/// callers give up after two seconds.
const SILENCE: Duration = Duration::from_millis(1_200);

/// How a server's stream went on.
enum Next {
    Event(StreamEvent),
    End,
    Silent,
    Broken(&'static str),
}

/// A stream under way from one server.
struct Feed {
    exchange: Exchange,
    buffer: EventBuffer,
}

impl Feed {
    fn new(exchange: Exchange) -> Self {
        Self {
            exchange,
            buffer: EventBuffer::default(),
        }
    }

    async fn next(&mut self, silence: Duration) -> Next {
        loop {
            if let Some(event) = self.buffer.next() {
                return Next::Event(event);
            }
            let frame = compio::time::timeout(silence, self.exchange.body.frame()).await;
            match frame {
                Err(_elapsed) => return Next::Silent,
                Ok(None) if self.buffer.is_empty() => return Next::End,
                Ok(None) => return Next::Broken("ends in mid-event"),
                Ok(Some(Err(_cut))) => return Next::Broken("cut"),
                Ok(Some(Ok(frame))) => {
                    let data = frame.data_ref();
                    if data.is_some_and(|data| !self.buffer.push(data)) {
                        return Next::Broken("event too long");
                    }
                }
            }
        }
    }
}

/// How a stream has gone so far.
struct Progress {
    arrived: Instant,
    last_at: Option<Instant>,
    events: u32,
    first: Duration,
    longest_pause: Duration,
}

impl Progress {
    fn new(call: &Call) -> Self {
        Self {
            arrived: call.arrived,
            last_at: None,
            events: 0,
            first: Duration::ZERO,
            longest_pause: Duration::ZERO,
        }
    }

    fn note_event(&mut self, now: Instant) {
        match self.last_at {
            Some(last_at) => self.longest_pause = self.longest_pause.max(now - last_at),
            None => self.first = now - self.arrived,
        }
        self.last_at = Some(now);
        self.events += 1;
    }
}

impl<P: Protocol> Relay<P> {
    /// Answers a request by a stream; returns once the first event has come.
    pub(crate) async fn stream(self: Rc<Self>, mut call: Call) -> Result<Response<Body>, Failure> {
        loop {
            let exchange = self.reach(&mut call, None, None).await?;
            if !exchange.head.status.is_success() {
                return self.pass_failure(&mut call, exchange).await;
            }
            let mut feed = Feed::new(exchange);
            match self.next(&call, &mut feed).await {
                Next::Event(first) => {
                    self.learn_first_event(&call);
                    return Ok(self.begin(call, feed, first));
                }
                Next::End => return Ok(P::to_caller(&feed.exchange.head, Body::empty())),
                Next::Silent => self.note_break(&call, &feed, silence_of(&call)),
                Next::Broken(why) => self.note_break(&call, &feed, why),
            }
            if call.time_left().is_zero() {
                return Err(Failure::TimedOut);
            }
            if !call.may_run_again() {
                return Err(Failure::Unknown);
            }
        }
    }

    /// Learns how fast the model is read from a first event that nothing held up.
    fn learn_first_event(&self, call: &Call) {
        let configuration = self.state.configuration();
        let (Some(sending), Some(generation), Some(configuration)) =
            (call.sending, &call.ask.generation, configuration)
        else {
            return;
        };
        if !sending.is_alone || call.ask.last_event.is_some() {
            return;
        }
        if let Some((_, model)) = configuration.model(&generation.model) {
            let took = sending.at.elapsed();
            let speeds = &self.state.speeds;
            speeds.note_first_event(model, generation.prompt_tokens, took);
        }
    }

    /// Learns how long a model's streams last from one that came whole from one runner.
    fn learn_stream(&self, call: &Call, progress: &Progress) {
        let configuration = self.state.configuration();
        let (Some(generation), Some(configuration)) = (&call.ask.generation, configuration) else {
            return;
        };
        // Among many others it would last longer than the model takes.
        let is_alone = call.sending.is_some_and(|sending| sending.is_alone);
        if call.runs != 1 || call.ask.last_event.is_some() || !is_alone {
            return;
        }
        if let Some((_, model)) = configuration.model(&generation.model) {
            let took = call.arrived.elapsed().saturating_sub(progress.first);
            let speeds = &self.state.speeds;
            speeds.note_stream(model, generation.max_tokens, took);
        }
    }

    async fn pass_failure(
        &self,
        call: &mut Call,
        exchange: Exchange,
    ) -> Result<Response<Body>, Failure> {
        let body = exchange.body.collect().await;
        let body = body.map_err(|_cut| Failure::Unknown)?;
        info!(request = %call.ask.id, status = exchange.head.status.as_u16(), "stream refused by server");
        Ok(P::to_caller(&exchange.head, Body::full(body.to_bytes())))
    }

    /// Passes the stream on in a task that ends with the caller's connection.
    fn begin(self: Rc<Self>, call: Call, feed: Feed, first: StreamEvent) -> Response<Body> {
        let head = feed.exchange.head.clone();
        let body = Body::answer_by(CHANNEL_EVENTS, |sender| {
            compio::runtime::spawn(self.pump(call, feed, first, sender))
        });
        P::to_caller(&head, body)
    }

    async fn pump(
        self: Rc<Self>,
        mut call: Call,
        mut feed: Feed,
        first: StreamEvent,
        mut sender: AnswerSender,
    ) {
        let weights = feed.exchange.reply.weights;
        let mut last = call.ask.last_event;
        let mut event = first;
        let mut progress = Progress::new(&call);
        loop {
            if is_next(last, event.id) {
                last = event.id.or(last);
                progress.note_event(Instant::now());
                if !sender.send(event.bytes).await {
                    return;
                }
            }
            event = loop {
                match self.next(&call, &mut feed).await {
                    Next::Event(event) if is_gap(last, event.id) => {
                        self.note_break(&call, &feed, "event missing");
                    }
                    Next::Event(event) => break event,
                    Next::End => {
                        self.end_whole(&call, feed, &progress);
                        sender.end_whole();
                        return;
                    }
                    Next::Silent => self.note_break(&call, &feed, silence_of(&call)),
                    Next::Broken(why) => self.note_break(&call, &feed, why),
                }
                let Some(next) = self.resume(&mut call, last, weights).await else {
                    return;
                };
                feed = next;
            };
        }
    }

    fn end_whole(&self, call: &Call, feed: Feed, progress: &Progress) {
        feed.exchange.server.note_success();
        self.state.suspects.clear(call.fingerprint);
        self.learn_stream(call, progress);
        let metrics = &self.state.metrics;
        metrics.note_request(call.route.kind.name(), "answered");
        metrics.first_event.observe(progress.first.as_secs_f64());
        metrics
            .longest_pause
            .observe(progress.longest_pause.as_secs_f64());
        info!(
            request = %call.ask.id,
            route = %call.route.name,
            server = %feed.exchange.server.id,
            events = progress.events,
            first_ms = progress.first.as_millis() as u64,
            longest_pause_ms = progress.longest_pause.as_millis() as u64,
            runs = call.runs,
            age_ms = call.arrived.elapsed().as_millis() as u64,
            "stream complete"
        );
        self.pool.keep(feed.exchange);
    }

    /// Goes on with a broken stream at another server; `None` if that cannot be.
    async fn resume(
        &self,
        call: &mut Call,
        last: Option<u64>,
        weights: Option<u64>,
    ) -> Option<Feed> {
        if last.is_none() || !call.may_run_again() || call.time_left().is_zero() {
            let metrics = &self.state.metrics;
            metrics.note_request(call.route.kind.name(), "broken_off");
            let age_ms = call.arrived.elapsed().as_millis() as u64;
            let timeout_ms = call.route.timeout_ms;
            let patience_ms = call
                .ask
                .patience
                .map(|patience| patience.as_millis() as u64);
            info!(request = %call.ask.id, runs = call.runs, age_ms, timeout_ms, patience_ms, "stream broken off");
            return None;
        }
        match self.reach(call, last, weights).await {
            Ok(exchange) if exchange.head.status.is_success() => {
                self.state.metrics.streams_resumed.inc();
                info!(request = %call.ask.id, server = %exchange.server.id, ?last, "stream resumed");
                Some(Feed::new(exchange))
            }
            Ok(exchange) => {
                warn!(request = %call.ask.id, status = exchange.head.status.as_u16(), "stream not resumed");
                None
            }
            Err(failure) => {
                warn!(request = %call.ask.id, ?failure, "stream not resumed");
                None
            }
        }
    }

    fn note_break(&self, call: &Call, feed: &Feed, why: &'static str) {
        let server = &feed.exchange.server;
        warn!(request = %call.ask.id, server = %server.id, why, "stream broken");
        if call.time_left().is_zero() {
            return;
        }
        self.note_broken(call, server);
    }

    /// What comes next; silence only where another server is better or the time is up.
    async fn next(&self, call: &Call, feed: &mut Feed) -> Next {
        loop {
            let left = call.time_left();
            let next = feed.next(left.min(SILENCE)).await;
            let is_silent = matches!(next, Next::Silent);
            if !is_silent || call.time_left().is_zero() {
                return next;
            }
            if call.may_run_again() && self.may_leave(call, &feed.exchange.server) {
                return next;
            }
        }
    }
}

/// Why a stream that is silent is left.
fn silence_of(call: &Call) -> &'static str {
    if call.time_left().is_zero() {
        "time is up"
    } else {
        "silent"
    }
}

/// Whether an event is new to the caller; events of a resumed run may come again.
fn is_next(last: Option<u64>, id: Option<u64>) -> bool {
    match (last, id) {
        (Some(last), Some(id)) => id > last,
        _ => true,
    }
}

/// Whether events are missing before this one.
fn is_gap(last: Option<u64>, id: Option<u64>) -> bool {
    match (last, id) {
        (Some(last), Some(id)) => id > last + 1,
        _ => false,
    }
}
