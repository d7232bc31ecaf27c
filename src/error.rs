//! The error kinds and the HTTP response of each.

use crate::http::{Body, json_response};
use hyper::{Response, StatusCode, header};
use serde_json::json;
use std::fmt;

/// Whether a request was executed, as far as the system knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// The request was not executed and will not be.
    No,
    /// The request may have been executed; only possible for non-idempotent calls.
    Unknown,
    /// The request was executed, completely or in part.
    Yes,
}

impl Ran {
    /// The value of the `ran` field of error responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

/// The reason why a request failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// The request's body did not arrive in time.
    BodyTimeout,
    /// Another change of the configuration was accepted first.
    Conflict,
    /// The deadline cannot be met, or has passed.
    Deadline,
    /// The response stream broke on every attempt.
    Interrupted,
    /// The inventory violates a rule or does not fit the runners' memory.
    InvalidInventory,
    /// The idempotency key is older than the retention window or lies in the future.
    KeyExpired,
    /// The idempotency key was already used with another request body.
    KeyReused,
    /// A non-idempotent route was called without an idempotency key.
    KeyRequired,
    /// The VM is shutting down.
    Leaving,
    /// The platform's log does not accept records at present.
    LogUnavailable,
    /// The request is malformed.
    Malformed,
    /// No route matches the path.
    NotFound,
    /// A non-idempotent call was sent, but no response was received.
    OutcomeUnknown,
    /// The caller, the model or the system has exceeded its limit.
    Overloaded,
    /// The request has crashed backend servers before.
    Poison,
    /// The body is larger than allowed.
    TooLarge,
    /// No backend server can accept the request at present.
    Unavailable,
    /// The API key is not in the inventory.
    UnknownCaller,
    /// The model is not in the inventory.
    UnknownModel,
}

/// The HTTP response for an error kind.
#[derive(Clone, Copy, Debug)]
pub struct ErrorResponse {
    /// The error kind.
    pub kind: Kind,
    /// The HTTP status.
    pub status: u16,
    /// The `code` field of the OpenAI error object.
    pub code: &'static str,
    /// The `type` field of the OpenAI error object.
    pub class: &'static str,
    /// Whether the request was executed.
    pub ran: Ran,
    /// The value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u32>,
}

const fn row(
    kind: Kind,
    status: u16,
    code: &'static str,
    class: &'static str,
    ran: Ran,
    retry_after_s: Option<u32>,
) -> ErrorResponse {
    ErrorResponse {
        kind,
        status,
        code,
        class,
        ran,
        retry_after_s,
    }
}

const INVALID: &str = "invalid_request_error";
const SERVER: &str = "server_error";

/// All error kinds with their responses.
pub const ERROR_RESPONSES: &[ErrorResponse] = &[
    row(
        Kind::BodyTimeout,
        408,
        "body_timeout",
        INVALID,
        Ran::No,
        None,
    ),
    row(Kind::Conflict, 409, "conflict", INVALID, Ran::No, None),
    row(Kind::Deadline, 503, "deadline", SERVER, Ran::No, Some(1)),
    row(
        Kind::Interrupted,
        502,
        "interrupted",
        SERVER,
        Ran::Yes,
        Some(1),
    ),
    row(
        Kind::InvalidInventory,
        422,
        "invalid_inventory",
        INVALID,
        Ran::No,
        None,
    ),
    row(Kind::KeyExpired, 400, "key_expired", INVALID, Ran::No, None),
    row(Kind::KeyReused, 422, "key_reused", INVALID, Ran::No, None),
    row(
        Kind::KeyRequired,
        400,
        "key_required",
        INVALID,
        Ran::No,
        None,
    ),
    row(Kind::Leaving, 503, "leaving", SERVER, Ran::No, Some(1)),
    row(
        Kind::LogUnavailable,
        503,
        "log_unavailable",
        SERVER,
        Ran::No,
        Some(5),
    ),
    row(Kind::Malformed, 400, "malformed", INVALID, Ran::No, None),
    row(Kind::NotFound, 404, "not_found", INVALID, Ran::No, None),
    row(
        Kind::OutcomeUnknown,
        504,
        "outcome_unknown",
        SERVER,
        Ran::Unknown,
        None,
    ),
    row(
        Kind::Overloaded,
        429,
        "overloaded",
        SERVER,
        Ran::No,
        Some(1),
    ),
    row(Kind::Poison, 422, "poison", INVALID, Ran::Yes, None),
    row(Kind::TooLarge, 413, "too_large", INVALID, Ran::No, None),
    row(
        Kind::Unavailable,
        503,
        "unavailable",
        SERVER,
        Ran::No,
        Some(1),
    ),
    row(
        Kind::UnknownCaller,
        401,
        "unknown_caller",
        INVALID,
        Ran::No,
        None,
    ),
    row(
        Kind::UnknownModel,
        404,
        "unknown_model",
        INVALID,
        Ran::No,
        None,
    ),
];

impl Kind {
    /// The response for this kind.
    ///
    /// ```
    /// use rattanjunction::Kind;
    /// assert_eq!(Kind::UnknownModel.answer().status, 404);
    /// ```
    pub fn answer(self) -> ErrorResponse {
        ERROR_RESPONSES
            .iter()
            .find(|answer| answer.kind == self)
            .copied()
            .expect("every error kind has a row in ERROR_RESPONSES")
    }
}

/// A failed request: the error kind and the details for the caller.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The error kind, which determines the response.
    pub kind: Kind,
    /// The description of the error for the caller.
    pub message: String,
    /// Replaces the kind's `Retry-After` where a better estimate is known.
    pub retry_after_s: Option<u32>,
    /// Replaces the kind's `ran` where it is known whether an attempt was executed.
    pub ran: Option<Ran>,
}

impl Failure {
    /// Creates a failure with the default response of its kind.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after_s: None,
            ran: None,
        }
    }

    /// Sets the `Retry-After` header, in seconds.
    #[must_use]
    pub fn retry_after_s(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Sets whether the request was executed.
    #[must_use]
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = Some(ran);
        self
    }

    /// The error object in the format of the OpenAI API.
    pub fn to_json(&self) -> serde_json::Value {
        let answer = self.kind.answer();
        json!({"error": {
            "message": self.message,
            "type": answer.class,
            "code": answer.code,
            "ran": self.ran.unwrap_or(answer.ran).as_str(),
        }})
    }

    /// The HTTP response.
    pub(crate) fn to_response(&self) -> Response<Body> {
        let answer = self.kind.answer();
        let status =
            StatusCode::from_u16(answer.status).expect("ERROR_RESPONSES has valid status codes");
        let mut response = json_response(status, &self.to_json());
        if let Some(seconds) = self.retry_after_s.or(answer.retry_after_s) {
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, seconds.into());
        }
        response
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.answer().code, self.message)
    }
}

impl std::error::Error for Failure {}

/// The operation at which a process failed, for error reports to the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Reading or checking settings or an inventory.
    Settings,
    /// Binding an address.
    Bind,
    /// Communicating with another process.
    Exchange,
    /// Setting up logging.
    Logging,
    /// Sending a request that the other process refused.
    Refused,
    /// Taking over signals.
    Signals,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Settings => "invalid settings",
            Self::Bind => "cannot bind the address",
            Self::Exchange => "communication with another process failed",
            Self::Logging => "cannot set up logging",
            Self::Refused => "request was refused",
            Self::Signals => "cannot take over signals",
        })
    }
}

impl std::error::Error for Fault {}
