//! The closed list of error kinds and the table from kind to answer.

use crate::http::{Body, json_response};
use hyper::{Response, StatusCode, header};
use serde_json::json;
use std::fmt;

/// Whether a request ran, as far as the system knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ran {
    /// The request did not run and never will.
    No,
    /// The outcome is unknown; only non-idempotent calls end this way.
    Unknown,
    /// The request ran, in whole or in part.
    Yes,
}

impl Ran {
    /// The word used in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

/// Why a request was not answered in full.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Kind {
    /// The request's body did not arrive in time.
    BodyTimeout,
    /// A conflicting change of the configuration was accepted first.
    Conflict,
    /// The deadline cannot be met, or has passed.
    Deadline,
    /// Every attempt ended in a broken stream.
    Interrupted,
    /// The inventory breaks a rule or does not fit.
    InvalidInventory,
    /// The idempotency key is older than the kept window or lies in the future.
    KeyExpired,
    /// The idempotency key was used with another body.
    KeyReused,
    /// A non-idempotent route was called without an idempotency key.
    KeyRequired,
    /// The VM is shutting down.
    Leaving,
    /// The platform's log does not accept records now.
    LogUnavailable,
    /// The request is not well formed.
    Malformed,
    /// No route matches the path.
    NotFound,
    /// A non-idempotent call was sent, and no answer came.
    OutcomeUnknown,
    /// The caller, the model or the system is over its limit.
    Overloaded,
    /// The same request has crashed backend servers before.
    Poison,
    /// The body is larger than allowed.
    TooLarge,
    /// No backend server can take the request now.
    Unavailable,
    /// The API key is not listed.
    UnknownCaller,
    /// The model is not in the inventory.
    UnknownModel,
}

/// The answer that belongs to an error kind.
#[derive(Clone, Copy, Debug)]
pub struct ErrorResponse {
    /// The kind this row is about.
    pub kind: Kind,
    /// The HTTP status.
    pub status: u16,
    /// The `code` field of the OpenAI-shaped error.
    pub code: &'static str,
    /// The `type` field of the OpenAI-shaped error.
    pub class: &'static str,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back, in seconds.
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

/// Every error kind with its answer.
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
    /// Looks up the answer of this kind.
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
            .expect("every kind has a row, as tests/errors.rs shows")
    }
}

/// An error kind with what happened.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The kind, which decides the answer.
    pub kind: Kind,
    /// What happened, for the caller.
    pub message: String,
    /// Overrides the table where the caller can be told a better time.
    pub retry_after_s: Option<u32>,
    /// Overrides the table where an attempt is known to have run, or not to.
    pub ran: Option<Ran>,
}

impl Failure {
    /// Creates a failure with the answer of the table.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after_s: None,
            ran: None,
        }
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub fn retry_after_s(mut self, seconds: u32) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// States whether the request ran.
    #[must_use]
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = Some(ran);
        self
    }

    /// The OpenAI-shaped error object.
    pub fn to_json(&self) -> serde_json::Value {
        let answer = self.kind.answer();
        json!({"error": {
            "message": self.message,
            "type": answer.class,
            "code": answer.code,
            "ran": self.ran.unwrap_or(answer.ran).as_str(),
        }})
    }

    /// The HTTP answer.
    pub(crate) fn to_response(&self) -> Response<Body> {
        let answer = self.kind.answer();
        let status = StatusCode::from_u16(answer.status).expect("the table holds valid statuses");
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

/// What a process failed at, for reports to the operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Reading or checking settings or an inventory.
    Settings,
    /// Binding an address.
    Bind,
    /// Talking to another process.
    Exchange,
    /// Setting up logging.
    Logging,
    /// The other side refused what was asked.
    Refused,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Settings => "settings are not valid",
            Self::Bind => "address cannot be bound",
            Self::Exchange => "exchange with another process failed",
            Self::Logging => "logging cannot be set up",
            Self::Refused => "request was refused",
        })
    }
}

impl std::error::Error for Fault {}
