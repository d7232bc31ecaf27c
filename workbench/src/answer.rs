//! The text that an engine generates, computed from the request alone, so that a test knows it.

use serde_json::Value;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The words that tokens are made of.
const WORDS: [&str; 16] = [
    "licence ", "works ", "term ", "film ", "bale ", "gate ", "draft ", "note ", "rate ", "zone ",
    "desk ", "yard ", "crew ", "text ", "song ", "tonne ",
];

/// The answer of a model to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    seed: u64,
    tokens: u32,
    cut_by_limit: bool,
}

impl Answer {
    /// Computes the answer for an artifact key such as `m@1` or `m@1+a@2`.
    pub fn new(artifact: &str, messages: &Value, max_tokens: Option<u32>) -> Self {
        let text = format!("{artifact}\n{messages}");
        let seed = xxh3_64(text.as_bytes());
        let natural_length = 16 + (seed % 48) as u32;
        let limit = max_tokens.unwrap_or(natural_length);
        Self {
            seed,
            tokens: limit,
            cut_by_limit: limit < natural_length,
        }
    }

    /// The number of tokens.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// The text of the token at `index`.
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

    /// Why the answer ends: `length` if the limit cut it short, otherwise `stop`.
    pub fn finish_reason(&self) -> &'static str {
        if self.cut_by_limit { "length" } else { "stop" }
    }
}

/// The key of an artifact in answers, such as `m@1` or `m@1+a@2`.
pub fn artifact_key(model: &str, version: &str, adapter: Option<(&str, &str)>) -> String {
    match adapter {
        None => format!("{model}@{version}"),
        Some((name, adapter_version)) => format!("{model}@{version}+{name}@{adapter_version}"),
    }
}
