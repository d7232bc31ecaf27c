//! The requests that this process has begun to read and not yet answered completely.

use crate::connection_end::ConnectionEnd;
use crate::inventory::Name;
use crate::request_end::{EndLabels, RequestEnd};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Instant;
use tracing::{info, warn};

/// How far a request has come.
#[derive(Debug)]
pub(crate) struct RequestProgress {
    id: Name,
    arrived: Instant,
    /// Whether another VM forwarded it.
    is_forwarded: bool,
    /// The connection on which it arrived.
    connection: ConnectionEnd,
    /// The deadline, once the request has been read.
    pub(crate) deadline: Cell<Option<Instant>>,
    /// The number of servers that may have begun to run it.
    pub(crate) runs: Cell<u32>,
    /// How it ends if the response that was made reaches the caller.
    expected: Cell<Option<RequestEnd>>,
    /// The number of chunks of the response that were passed on.
    sent_chunks: Cell<u32>,
    /// Whether the request is to be answered now, whatever is known of its outcome.
    is_given_up: Cell<bool>,
    /// The task that makes the answer.
    waker: RefCell<Option<Waker>>,
}

impl RequestProgress {
    /// Waits for an answer; `None` once the request is given up.
    pub(crate) async fn unless_given_up<F: Future>(
        &self,
        mut answer: Pin<&mut F>,
    ) -> Option<F::Output> {
        let answered = poll_fn(|cx| {
            if self.is_given_up.get() {
                return Poll::Ready(None);
            }
            let mut waker = self.waker.borrow_mut();
            if !waker.as_ref().is_some_and(|it| it.will_wake(cx.waker())) {
                *waker = Some(cx.waker().clone());
            }
            drop(waker);
            answer.as_mut().poll(cx).map(Some)
        });
        let answered = answered.await;
        self.waker.take();
        answered
    }

    /// Has the request answered now, unless its answer has been made.
    fn give_up(&self) {
        if self.expected.get().is_some() {
            return;
        }
        self.is_given_up.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn stage(&self) -> &'static str {
        if self.sent_chunks.get() > 0 {
            "answering"
        } else if self.expected.get().is_some() {
            "answer made"
        } else if self.deadline.get().is_some() {
            "read"
        } else {
            "reading"
        }
    }

    fn is_late(&self) -> bool {
        let deadline = self.deadline.get();
        deadline.is_some_and(|deadline| deadline <= Instant::now())
    }
}

/// All requests in work, and the count of those that have ended.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    open: RefCell<BTreeMap<u64, Rc<RequestProgress>>>,
    begun: Cell<u64>,
    ends: Family<EndLabels, Counter>,
}

impl OpenRequests {
    /// Creates an empty set; `ends` counts the requests that end.
    pub(crate) fn new(ends: Family<EndLabels, Counter>) -> Self {
        Self {
            ends,
            ..Self::default()
        }
    }

    /// Adds a request whose head has been read.
    pub(crate) fn begin(
        self: &Rc<Self>,
        id: Name,
        arrived: Instant,
        connection: ConnectionEnd,
        is_forwarded: bool,
    ) -> OpenRequest {
        connection.begin_request();
        let progress = Rc::new(RequestProgress {
            id,
            arrived,
            is_forwarded,
            connection,
            deadline: Cell::default(),
            runs: Cell::default(),
            expected: Cell::default(),
            sent_chunks: Cell::default(),
            is_given_up: Cell::default(),
            waker: RefCell::default(),
        });
        let number = self.begun.get();
        self.begun.set(number + 1);
        self.open.borrow_mut().insert(number, progress.clone());
        OpenRequest {
            requests: self.clone(),
            number,
            progress,
        }
    }

    /// Has all requests answered now whose answers have not been made; returns their number.
    pub(crate) fn give_up_unanswered(&self) -> usize {
        let open: Vec<_> = self.open.borrow().values().cloned().collect();
        open.iter().for_each(|progress| progress.give_up());
        let given_up = open.iter().filter(|progress| progress.is_given_up.get());
        given_up.count()
    }

    /// Records that all requests that are still open end because the process exits.
    pub(crate) fn end_all(&self) {
        let open = std::mem::take(&mut *self.open.borrow_mut());
        for progress in open.into_values() {
            self.record(&progress, RequestEnd::ProcessEnded);
        }
    }

    /// Ends a request, unless it has ended.
    fn end(&self, number: u64, end: RequestEnd) {
        let progress = self.open.borrow_mut().remove(&number);
        if let Some(progress) = progress {
            self.record(&progress, end);
        }
    }

    fn record(&self, progress: &RequestProgress, end: RequestEnd) {
        progress.connection.end_request();
        self.ends
            .get_or_create(&EndLabels { end: end.name() })
            .inc();
        if end.is_whole() {
            return;
        }
        let age_ms = progress.arrived.elapsed().as_millis() as u64;
        let time_left_ms = progress.deadline.get().map(|deadline| {
            let left = deadline.saturating_duration_since(Instant::now());
            left.as_millis() as u64
        });
        let cause = progress.connection.cause().name();
        if end == RequestEnd::CallerLeft {
            info!(
                request = %progress.id,
                stage = progress.stage(),
                events = progress.sent_chunks.get(),
                runs = progress.runs.get(),
                age_ms,
                time_left_ms,
                forwarded = progress.is_forwarded,
                "caller left"
            );
            return;
        }
        warn!(
            request = %progress.id,
            end = end.name(),
            cause,
            stage = progress.stage(),
            events = progress.sent_chunks.get(),
            runs = progress.runs.get(),
            age_ms,
            time_left_ms,
            forwarded = progress.is_forwarded,
            "request ended without a complete answer"
        );
    }
}

/// One request in work. When it is dropped before its response was passed on completely, its end is
/// that of its connection.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    requests: Rc<OpenRequests>,
    number: u64,
    progress: Rc<RequestProgress>,
}

impl OpenRequest {
    /// How far the request has come.
    pub(crate) fn progress(&self) -> Rc<RequestProgress> {
        self.progress.clone()
    }

    /// States how the request ends if the response reaches the caller.
    pub(crate) fn expect(&self, end: RequestEnd) {
        self.progress.expected.set(Some(end));
    }

    /// Records that a chunk of the response is passed on.
    pub(crate) fn note_chunk(&self) {
        let chunks = &self.progress.sent_chunks;
        chunks.set(chunks.get() + 1);
    }

    /// Records that the whole response has been passed on.
    pub(crate) fn note_delivered(&self) {
        if let Some(end) = self.progress.expected.get() {
            self.requests.end(self.number, end);
        }
    }

    /// Records that the response ends early.
    pub(crate) fn note_broken(&self) {
        let end = match self.progress.is_late() {
            true => RequestEnd::Deadline,
            false => RequestEnd::ServerBrokeOff,
        };
        self.requests.end(self.number, end);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let cause = self.progress.connection.cause();
        self.requests.end(self.number, cause.into());
    }
}
