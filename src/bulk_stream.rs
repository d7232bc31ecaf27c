//! A stream for responses of up to some megabytes, for example a configuration.

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt::Write;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The size of one read from the socket, in bytes. Each read waits for a turn of the runtime, and
/// turns are long while a VM is overloaded.
pub(crate) const BULK_READ_BYTES: usize = 64 * 1024;

/// A TCP stream with a large read buffer.
pub(crate) struct BulkStream(Pin<Box<AsyncStream<TcpStream>>>);

impl fmt::Debug for BulkStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BulkStream").finish_non_exhaustive()
    }
}

impl BulkStream {
    /// Wraps a stream.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self(Box::pin(AsyncStream::with_capacity(
            BULK_READ_BYTES,
            stream,
        )))
    }
}

impl AsyncRead for BulkStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.0.as_mut().poll_read(cx, buffer)
    }
}

impl Write for BulkStream {
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
}
