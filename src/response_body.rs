//! The body of a response, with the one rule for when a response is complete and proper.

use crate::response_fault::ResponseFault;
use crate::response_progress::ResponseProgress;
use crate::upload::Upload;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::http::response;
use hyper::{HeaderMap, Response, StatusCode, header};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The only transfer coding that is understood.
const CHUNKED: &[u8] = b"chunked";
/// The first status beyond those of final answers.
const END_OF_STATUSES: u16 = 600;

/// What shows where a body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    /// Its length or its chunks.
    Stated,
    /// The end of the connection. `is_success` says whether the body is that of a success.
    Connection { is_success: bool },
}

/// The body of a response that ends without an error only if the response is complete: as long as
/// its head states or, where that states nothing, up to the regular end of a connection that has
/// taken the whole request. Its pieces are the progress of the response.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    framing: Framing,
    /// Whether `body` has ended.
    has_ended: bool,
    /// Whether a piece of the body has arrived.
    has_data: bool,
    progress: ResponseProgress,
    upload: Upload,
}

impl ResponseBody {
    /// Checks the head of a response, and counts the bytes from here on until the next piece of its
    /// body.
    ///
    /// # Errors
    ///
    /// Fails if the head is none of a final answer, or the body cannot be understood.
    pub(crate) fn of(
        response: Response<Incoming>,
        progress: ResponseProgress,
        upload: Upload,
    ) -> Result<Response<Self>, ResponseFault> {
        let (head, body) = response.into_parts();
        let framing = framing_of(&head, &body)?;
        progress.note();
        let body = Self {
            body,
            framing,
            has_ended: false,
            has_data: false,
            progress,
            upload,
        };
        Ok(Response::from_parts(head, body))
    }

    /// Whether the head states where the body ends; else it ends where the connection closes.
    pub(crate) fn is_framed(&self) -> bool {
        self.framing == Framing::Stated
    }

    /// Waits until it is known whether a body that has ended is whole.
    fn poll_whole(&self, cx: &Context<'_>) -> Poll<Result<(), ResponseFault>> {
        let Framing::Connection { is_success } = self.framing else {
            return Poll::Ready(Ok(()));
        };
        if !self.has_data {
            return Poll::Ready(Err(ResponseFault::NoBody));
        }
        if is_success {
            return self
                .upload
                .poll_written(cx)
                .map_err(ResponseFault::RequestCut);
        }
        // A server may reject a request before it has read the whole. A pipe is broken after the end
        // of the answer only.
        match self.upload.failure() {
            Some(kind) if kind != io::ErrorKind::BrokenPipe => {
                Poll::Ready(Err(ResponseFault::RequestCut(kind)))
            }
            _ => Poll::Ready(Ok(())),
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseFault>>> {
        if !self.has_ended {
            let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
            self.progress.note();
            if let Some(frame) = frame {
                self.has_data |= frame.as_ref().is_ok_and(Frame::is_data);
                return Poll::Ready(Some(frame.map_err(ResponseFault::Cut)));
            }
            self.has_ended = true;
        }
        let whole = ready!(self.poll_whole(cx));
        Poll::Ready(whole.err().map(Err))
    }

    fn is_end_stream(&self) -> bool {
        self.is_framed() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Whether a response with a status may answer a request. No request of this process asks for another
/// protocol.
pub(crate) fn is_final(status: StatusCode) -> bool {
    !status.is_informational() && status.as_u16() < END_OF_STATUSES
}

/// Checks the head of a response, and finds what shows where its body ends.
fn framing_of(head: &response::Parts, body: &Incoming) -> Result<Framing, ResponseFault> {
    let status = head.status;
    if !is_final(status) {
        return Err(ResponseFault::Status(status));
    }
    let mut codings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
    let is_chunked = match (codings.next(), codings.next()) {
        (None, _) => false,
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(CHUNKED) => true,
        _ => return Err(ResponseFault::TransferCoding),
    };
    Ok(match is_chunked || body.size_hint().exact().is_some() {
        true => Framing::Stated,
        false => Framing::Connection {
            is_success: status.is_success(),
        },
    })
}

/// Whether a head states the length of its body twice, in ways of which another reader may choose
/// the other one. Nothing that follows such a response on its connection can be attributed.
pub(crate) fn has_two_lengths(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING) && headers.contains_key(header::CONTENT_LENGTH)
}
