//! A stream wrapper that bounds what a server may send without getting on with its response.

use futures_util::AsyncRead;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The most bytes that are read from a server until its response head, or the next piece of its
/// body, is complete. The head and two pieces that nobody has taken yet fit several times.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 512 * 1024;
/// The number of reads without waiting after which the other tasks have their turn.
const MAX_READS_PER_TURN: u32 = 16;
/// The most bytes of one read.
const MAX_READ_BYTES: usize = 8 * 1024;
/// The most bytes of one write. The stream below copies what is written, so that a peer that reads
/// slowly would double the memory of a long body.
const MAX_WRITE_BYTES: usize = 64 * 1024;

/// What a server has sent since its response last got on.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResponseProgress {
    /// `None` while the bytes are not counted.
    unparsed_bytes: Rc<Cell<Option<usize>>>,
}

impl ResponseProgress {
    /// Counts the bytes from here on.
    pub(crate) fn note(&self) {
        self.unparsed_bytes.set(Some(0));
    }

    /// Stops counting.
    pub(crate) fn stop(&self) {
        self.unparsed_bytes.set(None);
    }
}

/// Observes the reads of a [`BoundedStream`].
pub(crate) trait ReadObserver {
    /// Notes bytes that were read; returns whether more may be read.
    fn note_bytes(&self, bytes: usize) -> bool;

    /// Notes that nothing is read now, since bytes have to be waited for or, if `is_held_back`, since
    /// other tasks have their turn.
    fn note_wait(&self, _is_held_back: bool) {}
}

impl ReadObserver for ResponseProgress {
    /// Counts the bytes; returns whether they are still within the bound.
    fn note_bytes(&self, bytes: usize) -> bool {
        let Some(before) = self.unparsed_bytes.get() else {
            return true;
        };
        let unparsed_bytes = before.saturating_add(bytes);
        self.unparsed_bytes.set(Some(unparsed_bytes));
        unparsed_bytes <= MAX_BYTES_WITHOUT_PROGRESS
    }
}

/// A stream that fails once its observer has seen enough, such as a server that sends too much without
/// progress. It also lets other tasks run while bytes arrive faster than they are read.
#[derive(Debug)]
pub(crate) struct BoundedStream<S, O> {
    stream: S,
    observer: O,
    /// The number of reads since one last had to wait.
    reads: u32,
    /// What is read in one go; empty if that is at most [`MAX_READ_BYTES`].
    scratch: Vec<u8>,
}

impl<S, O> BoundedStream<S, O> {
    /// Wraps a stream whose reads are told to `observer`.
    pub(crate) fn new(stream: S, observer: O) -> Self {
        Self {
            stream,
            observer,
            reads: 0,
            scratch: Vec::new(),
        }
    }

    /// Reads up to this number of bytes in one go.
    pub(crate) fn with_read_bytes(mut self, read_bytes: usize) -> Self {
        self.scratch = vec![0; read_bytes];
        self
    }
}

impl<S: AsyncRead + Unpin, O: ReadObserver + Unpin> Read for BoundedStream<S, O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads >= MAX_READS_PER_TURN {
            self.reads = 0;
            self.observer.note_wait(true);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let this = &mut *self;
        let mut stack = [0; MAX_READ_BYTES];
        let bytes = match this.scratch.is_empty() {
            true => &mut stack[..],
            false => &mut this.scratch[..],
        };
        let room = buffer.remaining().min(bytes.len());
        let Poll::Ready(read) = Pin::new(&mut this.stream).poll_read(cx, &mut bytes[..room]) else {
            this.reads = 0;
            this.observer.note_wait(false);
            return Poll::Pending;
        };
        this.reads += 1;
        let length = read?;
        if !this.observer.note_bytes(length) {
            return Poll::Ready(Err(io::Error::other("too many bytes without progress")));
        }
        buffer.put_slice(&bytes[..length]);
        Poll::Ready(Ok(()))
    }
}

impl<S: Unpin + Write, O: Unpin> Write for BoundedStream<S, O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let bytes = &bytes[..bytes.len().min(MAX_WRITE_BYTES)];
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let total_bytes: usize = parts.iter().map(|part| part.len()).sum();
        if total_bytes <= MAX_WRITE_BYTES {
            return Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        }
        let first = parts.iter().find(|part| !part.is_empty());
        self.poll_write(cx, first.map_or(&[], |part| part))
    }
}
