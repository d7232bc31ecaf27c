//! Answers a request whose head has been received already, without waiting for anything.

use crate::http::Body;
use hyper::body::{Body as _, Incoming};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};

/// What ends a body in chunks that has no trailers.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// What ends the head of a request.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The answer to a request.
#[derive(Debug)]
pub(crate) struct ReceivedAnswer {
    /// The bytes of the response.
    pub(crate) response: Vec<u8>,
    /// Whether the whole request has been received.
    pub(crate) is_whole: bool,
}

/// A connection of which only the bytes that have been received are there.
struct ReceivedStream<'a> {
    unread: &'a [u8],
    written: &'a RefCell<Vec<u8>>,
}

impl Read for ReceivedStream<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.unread.is_empty() {
            return Poll::Pending;
        }
        let (read, unread) = self
            .unread
            .split_at(buffer.remaining().min(self.unread.len()));
        buffer.put_slice(read);
        self.unread = unread;
        Poll::Ready(Ok(()))
    }
}

impl Write for ReceivedStream<'_> {
    fn poll_write(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.written.borrow_mut().extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Returns the response of `respond`, which has no body, to the request that `received` begins with;
/// `None` if its head is not complete or malformed.
pub(crate) fn answer_received(
    received: &[u8],
    respond: impl Fn(Request<Incoming>) -> Response<Body>,
) -> Option<ReceivedAnswer> {
    let written = RefCell::default();
    let is_whole = Cell::new(None);
    let stream = ReceivedStream {
        unread: received,
        written: &written,
    };
    let service = service_fn(|request: Request<Incoming>| {
        is_whole.set(Some(is_whole_request(received, request.body())));
        std::future::ready(Ok::<_, Infallible>(respond(request)))
    });
    {
        let connection = http1::Builder::new()
            .keep_alive(false)
            .header_read_timeout(None)
            .serve_connection(stream, service);
        // All that can be done is done at once; what is pending waits for the rest of the request.
        let _ = pin!(connection).poll(&mut Context::from_waker(Waker::noop()));
    }
    Some(ReceivedAnswer {
        is_whole: is_whole.get()?,
        response: written.into_inner(),
    })
}

/// Whether a request with this body ends within `received`.
fn is_whole_request(received: &[u8], body: &Incoming) -> bool {
    if body.is_end_stream() {
        return true;
    }
    let head_end = received
        .windows(HEAD_END.len())
        .position(|it| it == HEAD_END);
    let head_bytes = head_end.map_or(received.len(), |end| end + HEAD_END.len());
    let body_bytes = received.len() - head_bytes;
    match body.size_hint().exact() {
        Some(length) => body_bytes as u64 >= length,
        None => received.ends_with(LAST_CHUNK),
    }
}
