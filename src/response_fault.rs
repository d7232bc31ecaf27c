//! Why what a server sent is no complete and proper answer.

use hyper::StatusCode;
use std::error::Error;
use std::fmt;
use std::io;

/// The reason why what a server sent is no complete and proper answer.
#[derive(Debug)]
pub enum ResponseFault {
    /// The status is none of a final answer.
    Status(StatusCode),
    /// The body has a transfer coding other than `chunked`.
    TransferCoding,
    /// The connection closed behind a head that states no body.
    NoBody,
    /// The connection failed, or closed before the body was as long as stated.
    Cut(hyper::Error),
    /// The connection closed, or failed in this way, before it had taken the whole request; the head
    /// states no length that would show the body to be whole.
    RequestCut(io::ErrorKind),
}

impl ResponseFault {
    /// Returns the name in logs.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Status(_) => "no final status",
            Self::TransferCoding => "unknown transfer coding",
            Self::NoBody => "no body",
            Self::Cut(_) => "cut",
            Self::RequestCut(_) => "cut during the request",
        }
    }
}

impl fmt::Display for ResponseFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Status(status) => write!(f, "{}: {}", self.name(), status.as_u16()),
            Self::RequestCut(kind) => write!(f, "{}: {kind}", self.name()),
            _ => f.write_str(self.name()),
        }
    }
}

impl Error for ResponseFault {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Cut(error) => Some(error),
            _ => None,
        }
    }
}
