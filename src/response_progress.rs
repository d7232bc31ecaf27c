//! A stream wrapper that bounds what a server may send without getting on with its response.

use bytes::Bytes;
use futures_util::AsyncRead;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The most bytes that are read from a server until its response head, or the next piece of its
/// body, is complete. The head and two pieces that nobody has taken yet fit several times.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 512 * 1024;
/// The number of reads without waiting after which the other tasks have their turn.
const MAX_READS_PER_TURN: u32 = 16;
/// The most bytes of one read.
const MAX_READ_BYTES: usize = 8 * 1024;

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

    /// Counts bytes; returns whether they are still within the bound.
    fn add(&self, bytes: usize) -> bool {
        let Some(before) = self.unparsed_bytes.get() else {
            return true;
        };
        let unparsed_bytes = before.saturating_add(bytes);
        self.unparsed_bytes.set(Some(unparsed_bytes));
        unparsed_bytes <= MAX_BYTES_WITHOUT_PROGRESS
    }
}

/// A stream that fails once a server sends too much without progress. It also lets other tasks run
/// while the server sends faster than its bytes are read.
#[derive(Debug)]
pub(crate) struct BoundedStream<S> {
    stream: S,
    progress: ResponseProgress,
    /// The number of reads since one last had to wait.
    reads: u32,
    /// What is read in one go; empty if that is at most [`MAX_READ_BYTES`].
    scratch: Vec<u8>,
}

impl<S> BoundedStream<S> {
    /// Wraps a stream whose bytes count towards `progress`.
    pub(crate) fn new(stream: S, progress: ResponseProgress) -> Self {
        Self {
            stream,
            progress,
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

impl<S: AsyncRead + Unpin> Read for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads >= MAX_READS_PER_TURN {
            self.reads = 0;
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
        let read = Pin::new(&mut this.stream).poll_read(cx, &mut bytes[..room]);
        this.reads = if read.is_ready() { this.reads + 1 } else { 0 };
        let length = ready!(read)?;
        if !this.progress.add(length) {
            return Poll::Ready(Err(io::Error::other("too many bytes without progress")));
        }
        buffer.put_slice(&bytes[..length]);
        Poll::Ready(Ok(()))
    }
}

impl<S: Unpin + Write> Write for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }
}

/// A response body whose pieces are the progress of its response.
#[derive(Debug)]
pub(crate) struct ProgressBody {
    body: Incoming,
    progress: ResponseProgress,
}

impl ProgressBody {
    /// Counts the bytes of a response whose head has arrived until the next piece of its body.
    pub(crate) fn new(body: Incoming, progress: ResponseProgress) -> Self {
        progress.note();
        Self { body, progress }
    }
}

impl Body for ProgressBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.progress.note();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
