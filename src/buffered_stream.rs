//! A TCP stream whose buffers have stated sizes.

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt::Write;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A TCP stream whose buffers have stated sizes.
pub(crate) struct BufferedStream(Pin<Box<AsyncStream<TcpStream>>>);

impl fmt::Debug for BufferedStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BufferedStream").finish_non_exhaustive()
    }
}

impl BufferedStream {
    /// Wraps a stream. Its buffers have `buffer_bytes` each, which is what is read from the socket at a
    /// time; that for writes grows up to `max_write_bytes`.
    pub(crate) fn new(stream: TcpStream, buffer_bytes: usize, max_write_bytes: usize) -> Self {
        Self(Box::pin(AsyncStream::with_limits(
            buffer_bytes,
            max_write_bytes.max(buffer_bytes),
            stream,
        )))
    }
}

impl AsyncRead for BufferedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.0.as_mut().poll_read(cx, buffer)
    }
}

impl Write for BufferedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.as_mut().poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_close(cx)
    }

    /// What is written is copied in any case: a caller that copies it too would hold it twice.
    fn is_write_vectored(&self) -> bool {
        true
    }
}
