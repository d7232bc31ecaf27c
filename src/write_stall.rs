//! A stream that tells for how long its writes have been stalled.

use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// A stream whose stalled writes are noted.
#[derive(Debug)]
pub(crate) struct MonitoredStream<S> {
    stream: S,
    pending_since: Rc<Cell<Option<Instant>>>,
}

/// Tells for how long a watched stream has been stalled.
#[derive(Debug)]
pub(crate) struct StallMonitor(Rc<Cell<Option<Instant>>>);

impl StallMonitor {
    /// How long the stream has taken nothing of what is to be written.
    pub(crate) fn stalled_for(&self) -> Duration {
        self.0.get().map_or(Duration::ZERO, |since| since.elapsed())
    }
}

impl<S> MonitoredStream<S> {
    /// Watches a stream.
    pub(crate) fn new(stream: S) -> (Self, StallMonitor) {
        let pending_since = Rc::new(Cell::new(None));
        let watch = StallMonitor(pending_since.clone());
        let watched = Self {
            stream,
            pending_since,
        };
        (watched, watch)
    }

    fn note<T>(&self, poll: Poll<T>) -> Poll<T> {
        if poll.is_ready() {
            self.pending_since.set(None);
        } else if self.pending_since.get().is_none() {
            self.pending_since.set(Some(Instant::now()));
        }
        poll
    }
}

impl<S: Read + Unpin> Read for MonitoredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<S: Unpin + Write> Write for MonitoredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note(poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_flush(cx);
        self.note(poll)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.note(poll)
    }
}
