//! One attempt: a request on its way to one server on one connection.
//!
//! All attempts of a request bear the same id, and a server may send an answer once more, late. An
//! answer therefore identifies an attempt by its id and its connection together: a connection carries
//! one attempt of a request at most.

use crate::answer_identity::is_answer_to;
use crate::gateway::Reply;
use crate::gateway::failure::promises_not_run;
use crate::gateway::forwarding::is_declined;
use hyper::StatusCode;
use hyper::http::response;
use std::cell::RefCell;
use std::rc::Rc;

/// Identifies a connection within its pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// The connections that have carried an attempt of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsedConnections(Rc<RefCell<Vec<ConnectionId>>>);

impl UsedConnections {
    /// Records that a connection carries an attempt.
    pub(super) fn note(&self, connection: ConnectionId) {
        self.0.borrow_mut().push(connection);
    }

    /// Whether a connection has carried an attempt.
    pub(super) fn contains(&self, connection: ConnectionId) -> bool {
        self.0.borrow().contains(&connection)
    }
}

/// What a response shows about the attempt on whose connection it arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// The server answers the attempt, which it may have executed.
    Answered,
    /// The server has not executed the attempt and will not.
    NotExecuted,
    /// The response answers the attempt with a status that promises to callers that their request was
    /// not executed, which the response does not prove.
    Unproven,
    /// The response belongs to another request, cannot be attributed or contradicts itself. The
    /// attempt may be executed.
    Unrelated,
}

impl Verdict {
    /// Judges the response of a backend server. `is_first_use` says whether the connection has carried only this attempt.
    pub(super) fn of_server(
        reply: &Reply,
        status: StatusCode,
        request_id: &str,
        is_first_use: bool,
    ) -> Self {
        let is_own = is_answer_to(request_id, reply.request_id.as_deref(), is_first_use);
        let is_refused = reply.is_not_executed || status == StatusCode::MISDIRECTED_REQUEST;
        // A success needs a signature and excludes a refusal.
        let is_consistent = !status.is_success() || (reply.is_signed && !reply.is_not_executed);
        if !is_own || !is_consistent || reply.is_ambiguous {
            Self::Unrelated
        } else if is_refused {
            Self::NotExecuted
        } else if promises_not_run(status) {
            Self::Unproven
        } else {
            Self::Answered
        }
    }

    /// Judges the response of another VM to a request that servers may have executed `runs` times
    /// before it was forwarded. VMs send no response twice, and their own refusals bear no id.
    pub(super) fn of_vm(
        reply: &Reply,
        head: &response::Parts,
        request_id: &str,
        runs: u32,
    ) -> Self {
        let is_own = reply.request_id.as_ref().is_none_or(|id| id == request_id);
        if is_declined(head) {
            Self::NotExecuted
        } else if !is_own || reply.is_ambiguous || (head.status.is_success() && !reply.is_signed) {
            Self::Unrelated
        } else if runs > 0 && promises_not_run(head.status) {
            Self::Unproven
        } else {
            Self::Answered
        }
    }
}
