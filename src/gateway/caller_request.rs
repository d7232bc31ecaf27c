//! A request of a caller, independent of the protocol it arrived by.

use crate::callers::ApiKey;
use crate::gateway::PromptPart;
use crate::inventory::Name;
use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use std::hash::Hasher;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// One request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// The request's id, as set by the caller.
    pub(crate) id: Name,
    /// The method, forwarded unchanged.
    pub(crate) method: Method,
    /// The host that the caller addressed.
    pub(crate) host: Name,
    /// The path and query, forwarded unchanged.
    pub(crate) path: PathAndQuery,
    /// The headers that are forwarded unchanged.
    pub(crate) headers: HeaderMap,
    /// The body; empty until it has been read.
    pub(crate) body: Bytes,
    /// How long the caller waits for the complete answer, counted from the arrival of the request.
    pub(crate) time_limit: Option<Duration>,
    /// The last event that the caller has received, if it resumes a stream.
    pub(crate) last_event: Option<u64>,
    /// The id of the request that brought the first event of that stream, if the caller states it.
    pub(crate) resumes: Option<Name>,
    /// The caller's API key, if the request has exactly one.
    pub(crate) key: Option<ApiKey>,
    /// The number of prompt tokens and of tokens to generate, if the caller states both.
    pub(crate) tokens: Option<(u32, u32)>,
    /// The parts of the prompt that other requests may have in common with this one; empty if they
    /// are not stated or cannot be read.
    pub(crate) shared_parts: Vec<PromptPart>,
    /// Whether the parts of the prompt are stated but cannot be read.
    pub(crate) has_unreadable_parts: bool,
    /// What a model has to generate; `None` for calls to plain services.
    pub(crate) generation: Option<Generation>,
}

/// The generation parameters of a request for a runner.
#[derive(Clone, Debug)]
pub(crate) struct Generation {
    /// The model.
    pub(crate) model: Name,
    /// The adapter to apply to the model, if any.
    pub(crate) adapter: Option<Name>,
    /// The number of prompt tokens; 0 if not stated.
    pub(crate) prompt_tokens: u32,
    /// The maximum number of tokens to generate; 0 if not stated.
    pub(crate) max_tokens: u32,
}

impl CallerRequest {
    /// Returns the tokens that the request counts as in quotas, if the caller states them.
    pub(crate) fn token_count(&self) -> Option<f64> {
        let (prompt, most) = self.tokens?;
        Some(f64::from(prompt) + f64::from(most))
    }

    /// Returns a hash of the host, path and body, which is the same on every VM and for every
    /// attempt to send the request.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.write(self.host.as_bytes());
        hash.write(self.path.as_str().as_bytes());
        hash.write(&self.body);
        hash.finish()
    }
}
