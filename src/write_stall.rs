//! A stream wrapper that measures for how long writes have been stalled, and tells the account of its
//! client that a part of an answer is unread.

use crate::client_memory::ClientAccount;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// A stream that records since when its writes have been pending.
#[derive(Debug)]
pub(crate) struct MonitoredStream<S> {
    stream: S,
    pending_since: Rc<Cell<Option<Instant>>>,
    account: ClientAccount,
}

/// Reports for how long the writes of a [`MonitoredStream`] have been stalled.
#[derive(Debug)]
pub(crate) struct StallMonitor(Rc<Cell<Option<Instant>>>);

impl StallMonitor {
    /// How long the pending write has made no progress; zero if no write is pending.
    pub(crate) fn stalled_for(&self) -> Duration {
        self.0.get().map_or(Duration::ZERO, |since| since.elapsed())
    }
}

impl<S> MonitoredStream<S> {
    /// Wraps the stream of a client; the monitor reports its stalls.
    pub(crate) fn new(stream: S, account: ClientAccount) -> (Self, StallMonitor) {
        let pending_since = Rc::new(Cell::new(None));
        let monitor = StallMonitor(pending_since.clone());
        let monitored = Self {
            stream,
            pending_since,
            account,
        };
        (monitored, monitor)
    }

    /// Records whether the write whose result is `poll` is pending, and returns `poll`.
    fn record_poll<T>(&self, poll: Poll<T>) -> Poll<T> {
        if poll.is_ready() {
            self.pending_since.set(None);
        } else if self.pending_since.get().is_none() {
            self.pending_since.set(Some(Instant::now()));
            self.account.note_unread();
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
        self.record_poll(poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_flush(cx);
        if poll.is_ready() {
            self.account.note_read();
        }
        self.record_poll(poll)
    }

    /// Otherwise `hyper` copies each answer into a buffer of its own, whatever its length.
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.record_poll(poll)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.record_poll(poll)
    }
}
