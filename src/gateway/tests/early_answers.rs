//! Responses that end while their request is being written, on a stream that forces the order: the
//! end is read before anyone has looked at the write.

use crate::http::Body;
use crate::response_body::ResponseBody;
use crate::response_fault::ResponseFault;
use crate::response_progress::{BoundedStream, ResponseProgress};
use crate::upload::Upload;
use crate::upload_stream::UploadStream;
use bytes::Bytes;
use compio::runtime::Runtime;
use futures_util::AsyncRead;
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::rt::Write;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// A part of a request that the stream takes before it stops.
const TAKEN_BYTES: usize = 100_000;
const UPLOAD_BYTES: usize = 1_000_000;
/// How long a response may take.
const LIMIT: Duration = Duration::from_millis(500);

/// A stream that takes a part of what is written, sends a response, and ends.
struct EarlyEnd {
    response: &'static [u8],
    /// How much is written before the response is sent.
    taken_bytes: usize,
    written_bytes: usize,
    /// What becomes of a write after the end; `None` if it stays unfinished.
    write_failure: Option<ErrorKind>,
    has_ended: bool,
}

impl AsyncRead for EarlyEnd {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.written_bytes < self.taken_bytes {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = buffer.len().min(self.response.len());
        buffer[..length].copy_from_slice(&self.response[..length]);
        self.response = &self.response[length..];
        self.has_ended |= length == 0;
        Poll::Ready(Ok(length))
    }
}

impl EarlyEnd {
    fn is_full(&self) -> bool {
        self.written_bytes >= self.taken_bytes && self.taken_bytes < UPLOAD_BYTES
    }

    /// What a write does that the stream does not take any more.
    fn refuse<T>(&self) -> Poll<io::Result<T>> {
        match self.write_failure.filter(|_| self.has_ended) {
            Some(kind) => Poll::Ready(Err(kind.into())),
            None => Poll::Pending,
        }
    }
}

impl Write for EarlyEnd {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_full() {
            return self.refuse();
        }
        self.written_bytes += bytes.len();
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.is_full() {
            true => self.refuse(),
            false => Poll::Ready(Ok(())),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Sends a request over such a stream, and reads the response; `None` if that takes too long.
fn receive(
    response: &'static str,
    taken_bytes: usize,
    write_failure: Option<ErrorKind>,
) -> Option<std::result::Result<Bytes, ResponseFault>> {
    let stream = EarlyEnd {
        response: response.as_bytes(),
        taken_bytes,
        written_bytes: 0,
        write_failure,
        has_ended: false,
    };
    let receiving = async {
        let (progress, upload) = (ResponseProgress::default(), Upload::default());
        let stream = UploadStream::new(stream, upload.clone());
        let stream = BoundedStream::new(stream, progress.clone());
        let (mut sender, connection) = http1::handshake(stream).await.expect("a connection");
        let driver = compio::runtime::spawn(async move {
            let _ = connection.await;
        });
        let request = Request::post("/").body(Body::full(vec![b'u'; UPLOAD_BYTES]));
        upload.begin(UPLOAD_BYTES as u64);
        let response = sender.send_request(request.expect("a request")).await;
        let response = response.map_err(ResponseFault::Cut)?;
        let body = ResponseBody::of(response, progress, upload)?.into_body();
        let read = body.collect().await.map(|body| body.to_bytes());
        drop(driver);
        read
    };
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async { compio::time::timeout(LIMIT, receiving).await.ok() })
}

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\npart";
const FRAMED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const REJECTION: &str = "HTTP/1.1 413 Too Large\r\n\r\nwhole";

#[googletest::test]
fn the_end_of_a_response_without_a_length_after_a_failed_write_is_none() {
    for kind in [ErrorKind::ConnectionReset, ErrorKind::BrokenPipe] {
        let received = receive(UNFRAMED, TAKEN_BYTES, Some(kind));
        expect_that!(received, some(err(anything())), "{kind}");
    }
    let received = receive(REJECTION, TAKEN_BYTES, Some(ErrorKind::ConnectionReset));
    expect_that!(received, some(err(anything())));
}

#[googletest::test]
fn a_response_without_a_length_is_not_complete_before_its_request_is_written() {
    let received = receive(UNFRAMED, TAKEN_BYTES, None);
    expect_that!(received, any![none(), some(err(anything()))]);
}

#[googletest::test]
fn responses_that_are_whole_are_received_whatever_becomes_of_the_request() {
    for (response, taken_bytes, failure) in [
        (UNFRAMED, UPLOAD_BYTES, None),
        (FRAMED, TAKEN_BYTES, Some(ErrorKind::ConnectionReset)),
        (FRAMED, TAKEN_BYTES, None),
        (REJECTION, TAKEN_BYTES, None),
    ] {
        let received = receive(response, taken_bytes, failure);
        let what = format!("{response:?} {failure:?} {received:?}");
        expect_that!(received, some(ok(not(is_empty()))), "{what}");
    }
}
