//! The text that an engine gives: a pure function of the request.

use serde_json::Value;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const WORDS: [&str; 16] = [
    "licence ", "works ", "term ", "film ", "bale ", "gate ", "draft ", "note ", "rate ", "zone ",
    "desk ", "yard ", "crew ", "text ", "song ", "tonne ",
];

/// The answer of a model to a request, token by token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    seed: u64,
    tokens: u32,
    cut_by_limit: bool,
}

impl Answer {
    /// The answer for an artifact key such as `m@1` or `m@1+a@2`.
    pub fn new(artifact: &str, messages: &Value, max_tokens: Option<u32>) -> Self {
        let text = format!("{artifact}\n{messages}");
        let seed = xxh3_64(text.as_bytes());
        let natural = 16 + (seed % 48) as u32;
        let limit = max_tokens.unwrap_or(natural);
        Self {
            seed,
            tokens: limit,
            cut_by_limit: limit < natural,
        }
    }

    /// The number of tokens.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// One token's text.
    pub fn token(&self, index: u32) -> String {
        let hash = xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        format!(
            "{}{}",
            hash % 1_000,
            WORDS[(hash >> 32) as usize % WORDS.len()]
        )
    }

    /// The whole text.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }

    /// Why the answer ends.
    pub fn finish_reason(&self) -> &'static str {
        if self.cut_by_limit { "length" } else { "stop" }
    }
}

/// The key of an artifact in answers.
pub fn artifact_key(model: &str, version: &str, adapter: Option<(&str, &str)>) -> String {
    match adapter {
        None => format!("{model}@{version}"),
        Some((name, adapter_version)) => format!("{model}@{version}+{name}@{adapter_version}"),
    }
}
