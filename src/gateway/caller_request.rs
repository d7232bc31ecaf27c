//! What a caller asks for, whatever protocol it came by.

use crate::callers::ApiKey;
use crate::inventory::Name;
use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use std::hash::Hasher;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// One request of a caller, read whole.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// The caller's name for this request.
    pub(crate) id: Name,
    /// The method, passed on unchanged.
    pub(crate) method: Method,
    /// The host that the caller addressed.
    pub(crate) host: Name,
    /// The path with its query, passed on unchanged.
    pub(crate) path: PathAndQuery,
    /// The headers to pass on unchanged.
    pub(crate) headers: HeaderMap,
    /// The body; empty until it was read.
    pub(crate) body: Bytes,
    /// How long the caller waits for the whole answer, from the request's arrival.
    pub(crate) patience: Option<Duration>,
    /// The last event that the caller has already, where it resumes a stream.
    pub(crate) last_event: Option<u64>,
    /// The caller's key, where there is exactly one.
    pub(crate) key: Option<ApiKey>,
    /// Tokens of the prompt and those to generate, where the caller tells both.
    pub(crate) tokens: Option<(u32, u32)>,
    /// What a model is to generate; plain calls have none.
    pub(crate) generation: Option<Generation>,
}

/// The generation that a request asks a model runner for.
#[derive(Clone, Debug)]
pub(crate) struct Generation {
    /// The model.
    pub(crate) model: Name,
    /// The adapter over it, if any.
    pub(crate) adapter: Option<Name>,
    /// Tokens of the prompt; 0 where none are told.
    pub(crate) prompt_tokens: u32,
    /// Tokens to generate at most; 0 where none are told.
    pub(crate) max_tokens: u32,
}

impl CallerRequest {
    /// What it counts as where tokens are counted, if the caller tells.
    pub(crate) fn token_count(&self) -> Option<f64> {
        let (prompt, most) = self.tokens?;
        Some(f64::from(prompt) + f64::from(most))
    }

    /// The same for each sending of the same request by the same caller, through whichever VM.
    pub(crate) fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.write(self.host.as_bytes());
        hash.write(self.path.as_str().as_bytes());
        hash.write(&self.body);
        hash.finish()
    }
}
