//! Requests that one VM forwards to another because it reaches no backend server itself.
//!
//! The receiving VM handles a forwarded request as if the caller had sent it there, but does not
//! forward it again. The sender's headers say what has happened to the request before. A VM that
//! cannot take a request declines it at once; the request then has not run, and the sender may try
//! another VM.

use hyper::header::{HeaderName, HeaderValue};
use hyper::http::response;
use hyper::{HeaderMap, Response, StatusCode};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::http::Body;

/// The address at which the sender receives messages. Present in each forwarded request.
const SENDER: HeaderName = HeaderName::from_static("x-forward-sender");
/// The number of servers that may have run the request.
const RUNS: HeaderName = HeaderName::from_static("x-forward-runs");
/// Present if the request has reached a server before, so that the sender has taken a retry from its
/// budget.
const RETRY: HeaderName = HeaderName::from_static("x-forward-retry");
/// The version of the configuration that the sender has.
const CONFIGURATION: HeaderName = HeaderName::from_static("x-forward-configuration");
/// The version of the weights that the stream started with.
const WEIGHTS_VERSION: HeaderName = HeaderName::from_static("x-forward-weights-version");
/// Why a VM does not take a forwarded request. Present only in such responses.
const DECLINED: HeaderName = HeaderName::from_static("x-forward-declined");

/// How far the port for forwarded requests lies above the one for messages between VMs.
const PORT_OFFSET: u16 = 1;
/// The maximum number of forwarded requests that a VM handles at a time. Each takes two connections
/// and their buffers.
pub(super) const MAX_FORWARDED: usize = 512;

/// Returns the address at which the VM that receives messages at `peer` takes forwarded requests.
pub(super) fn forward_address(peer: SocketAddr) -> SocketAddr {
    SocketAddr::new(peer.ip(), peer.port() + PORT_OFFSET)
}

/// Returns the address at which the VM that takes forwarded requests at `forward` receives messages.
pub(super) fn peer_address(forward: SocketAddr) -> SocketAddr {
    SocketAddr::new(forward.ip(), forward.port() - PORT_OFFSET)
}

/// What the VM that forwards a request states of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ForwardState {
    /// The address at which the sender receives messages.
    pub(crate) sender: SocketAddr,
    /// The number of servers that may have run the request.
    pub(crate) runs: u32,
    /// Whether the request has reached a server before.
    pub(crate) is_retry: bool,
    /// The version of the sender's configuration.
    pub(crate) configuration_version: u64,
    /// The version of the weights that the stream started with.
    pub(crate) weights_version: Option<u64>,
}

impl ForwardState {
    /// Adds the state to the headers of a request.
    pub(super) fn insert(&self, headers: &mut HeaderMap) {
        for name in [&RETRY, &WEIGHTS_VERSION] {
            headers.remove(name);
        }
        let sender = HeaderValue::from_str(&self.sender.to_string());
        headers.insert(SENDER, sender.expect("an address is a header value"));
        headers.insert(RUNS, self.runs.into());
        headers.insert(CONFIGURATION, self.configuration_version.into());
        if self.is_retry {
            headers.insert(RETRY, HeaderValue::from_static("1"));
        }
        if let Some(weights_version) = self.weights_version {
            headers.insert(WEIGHTS_VERSION, weights_version.into());
        }
    }

    /// Removes the state from the headers of a request; `None` if it is incomplete.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let sender = take_number(headers, &SENDER);
        let runs = take_number(headers, &RUNS);
        let configuration_version = take_number(headers, &CONFIGURATION);
        Some(Self {
            is_retry: headers.remove(RETRY).is_some(),
            weights_version: take_number(headers, &WEIGHTS_VERSION),
            sender: sender?,
            runs: runs?,
            configuration_version: configuration_version?,
        })
    }
}

fn take_number<T: std::str::FromStr>(headers: &mut HeaderMap, name: &HeaderName) -> Option<T> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}

/// Why a VM does not take a forwarded request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DeclineReason {
    /// It reaches no server either.
    CutOff,
    /// It handles as many forwarded requests as it can.
    Full,
    /// It has no memory for the request or its body.
    NoMemory,
    /// It shuts down, has no state yet or an older configuration than the sender.
    Unready,
}

impl DeclineReason {
    /// Returns the name in logs and in responses.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::CutOff => "cut_off",
            Self::Full => "full",
            Self::NoMemory => "no_memory",
            Self::Unready => "unready",
        }
    }

    /// Builds the response that declines a request.
    pub(super) fn response(self) -> Response<Body> {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let reason = HeaderValue::from_static(self.name());
        response.headers_mut().insert(DECLINED, reason);
        response
    }
}

/// Whether a VM declined a forwarded request, which therefore has not run.
pub(super) fn is_declined(head: &response::Parts) -> bool {
    head.headers.contains_key(DECLINED)
}

/// Counts the forwarded requests that this VM handles.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForwardSlots(Rc<Cell<usize>>);

/// A forwarded request that this VM handles, counted until dropped.
#[derive(Debug)]
pub(crate) struct ForwardedCall {
    /// What the sender states of it.
    pub(crate) state: ForwardState,
    slots: ForwardSlots,
}

impl ForwardSlots {
    /// Whether as many requests are handled as there may be.
    pub(super) fn is_full(&self) -> bool {
        self.0.get() >= MAX_FORWARDED
    }

    /// Counts a request until the returned value is dropped.
    pub(super) fn take(&self, state: ForwardState) -> ForwardedCall {
        self.0.set(self.0.get() + 1);
        ForwardedCall {
            state,
            slots: self.clone(),
        }
    }
}

impl Drop for ForwardedCall {
    fn drop(&mut self) {
        self.slots.0.set(self.slots.0.get() - 1);
    }
}
