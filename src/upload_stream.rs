//! A stream wrapper that records how much of a request was written, before the end of the answer is
//! seen.

use crate::upload::Upload;
use futures_util::AsyncRead;
use hyper::rt::Write;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// A stream that records how much of a request was written.
#[derive(Debug)]
pub(crate) struct UploadStream<S> {
    stream: S,
    upload: Upload,
}

impl<S> UploadStream<S> {
    /// Wraps a stream whose writes are told to `upload`.
    pub(crate) fn new(stream: S, upload: Upload) -> Self {
        Self { stream, upload }
    }

    fn note_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(bytes)) => self.upload.note_written(*bytes),
            Poll::Ready(Err(error)) => self.upload.note_failed(error.kind()),
            Poll::Pending => {}
        }
        written
    }
}

impl<S> Drop for UploadStream<S> {
    fn drop(&mut self) {
        self.upload.note_closed();
    }
}

impl<S: AsyncRead + Unpin + Write> AsyncRead for UploadStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let length = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if length == 0 && !buffer.is_empty() {
            // A write may have failed without anyone having looked at it.
            let _ = self.poll_flush(cx);
        }
        Poll::Ready(Ok(length))
    }
}

impl<S: Unpin + Write> Write for UploadStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        match &flushed {
            Poll::Ready(Ok(())) => self.upload.note_flushed(),
            Poll::Ready(Err(error)) => self.upload.note_failed(error.kind()),
            Poll::Pending => {}
        }
        flushed
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.note_write(written)
    }
}
