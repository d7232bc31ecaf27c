//! The stream of idempotency keys: the first claim of a key in the log wins.

use crate::inventory::Name;
use crate::replica::{Fold, Position};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::num::NonZeroU64;
use std::rc::Rc;

/// The maximum age at which a key may be claimed, by the log's clock.
const MAX_AGE_MS: u64 = 600_000;
/// The maximum time by which a key's creation time may be ahead of the log's clock.
const MAX_SKEW_MS: u64 = 60_000;
/// The log's retention divided by the maximum age of a key.
const RETENTION_PER_AGE: u64 = 2;
/// The log's retention divided by the maximum clock skew of a key.
const RETENTION_PER_SKEW: u64 = 8;

/// The maximum size of the replies kept in memory; older ones are read from the log again.
const MAX_RECENT_BYTES: usize = 2 * 1024 * 1024;
/// The memory that a kept reply takes in addition to its body.
const REPLY_OVERHEAD_BYTES: usize = 128;

/// The range around the log's time in which a key's creation time must lie for a claim to be valid.
///
/// Each claim carries the window of its writer, so that the fold depends on the log alone. Two
/// valid claims of one key are at most the maximum age plus the maximum skew apart, which is less
/// than the log's retention: a reader that has the later claim has the earlier one as well.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct KeyWindow {
    age_ms: u64,
    skew_ms: u64,
}

impl KeyWindow {
    /// Returns the window that is safe with a log that keeps records for `retention_ms`.
    pub(crate) fn for_retention(retention_ms: u64) -> Self {
        Self {
            age_ms: retention_ms / RETENTION_PER_AGE,
            skew_ms: retention_ms / RETENTION_PER_SKEW,
        }
    }

    /// Whether a key created at `made_at_ms` may be claimed at `now_ms`.
    fn admits(self, made_at_ms: u64, now_ms: u64) -> bool {
        let oldest_ms = now_ms.saturating_sub(self.age_ms.min(MAX_AGE_MS));
        let newest_ms = now_ms.saturating_add(self.skew_ms.min(MAX_SKEW_MS));
        (oldest_ms..=newest_ms).contains(&made_at_ms)
    }
}

/// The hash of a key together with its service and caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct KeyHash(pub(crate) u64, pub(crate) u64);

/// The recorded reply to a call that was executed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Reply {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The content type.
    pub(crate) content_type: Name,
    /// The body, if it is text and small enough to be recorded.
    pub(crate) body: Option<Name>,
}

impl Reply {
    /// The memory that the reply takes when kept, in bytes.
    fn bytes(&self) -> usize {
        REPLY_OVERHEAD_BYTES + self.body.as_ref().map_or(0, |body| body.len())
    }
}

/// A command on an idempotency key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum KeyCommand {
    /// Claims the key, if it is not claimed yet.
    Claim {
        key: KeyHash,
        digest: u64,
        made_at_ms: u64,
        window: KeyWindow,
    },
    /// Records the reply to the call made under `claim`.
    Reply {
        key: KeyHash,
        claim: u64,
        reply: Rc<Reply>,
    },
    /// Releases the key: its call was not sent and never will be.
    Release { key: KeyHash, claim: u64 },
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum KeyVerdict {
    /// The claim is the first: its writer may send the call, once.
    First,
    /// Another claim holds the key, and its call has no recorded reply yet.
    Pending,
    /// The call was executed; its reply is recorded at this fence.
    Replied(NonZeroU64),
    /// The key was claimed with a different request digest.
    Mismatch,
    /// The key's creation time is outside of the window.
    Expired,
    /// A reply or a release was applied, or ignored because its claim no longer holds the key.
    Processed,
}

/// The state of a claimed key.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct KeyState {
    digest: u64,
    claim: u64,
    at_ms: u64,
    reply: Option<NonZeroU64>,
}

/// The latest replies, up to [`MAX_RECENT_BYTES`].
#[derive(Debug, Default)]
struct RecentReplies {
    replies: HashMap<NonZeroU64, Rc<Reply>>,
    /// The fences of `replies`, the oldest first.
    fences: VecDeque<NonZeroU64>,
    bytes: usize,
}

impl RecentReplies {
    /// Adds a reply, and drops the oldest ones beyond the limit.
    fn add(&mut self, fence: NonZeroU64, reply: Rc<Reply>) {
        self.bytes += reply.bytes();
        self.fences.push_back(fence);
        self.replies.insert(fence, reply);
        while self.bytes > MAX_RECENT_BYTES
            && let Some(oldest) = self.fences.pop_front()
        {
            let dropped = self.replies.remove(&oldest);
            self.bytes -= dropped.map_or(0, |reply| reply.bytes());
        }
    }
}

/// The folded state: every claimed key that may still be used.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct IdempotencyKeys {
    #[serde(skip)]
    states: HashMap<KeyHash, KeyState>,
    #[serde(skip)]
    recent: RecentReplies,
    #[serde(skip)]
    swept_at_ms: u64,
}

impl IdempotencyKeys {
    /// Returns the outcome that a claim of this key would have; `None` if the key is not claimed.
    pub(crate) fn lookup(&self, key: KeyHash, digest: u64) -> Option<KeyVerdict> {
        let state = self.states.get(&key)?;
        Some(state.verdict(digest))
    }

    /// The number of claimed keys.
    pub(crate) fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns the reply recorded at a fence, if it is still in memory.
    pub(crate) fn recent_reply(&self, fence: NonZeroU64) -> Option<Rc<Reply>> {
        self.recent.replies.get(&fence).cloned()
    }

    fn claim(&mut self, position: Position, key: KeyHash, digest: u64) -> KeyVerdict {
        if let Some(state) = self.states.get(&key) {
            return state.verdict(digest);
        }
        self.states.insert(
            key,
            KeyState {
                digest,
                claim: position.fence,
                at_ms: position.at_ms,
                reply: None,
            },
        );
        KeyVerdict::First
    }

    /// Drops keys too old to be claimed again; does nothing if the last sweep was recent.
    fn sweep(&mut self, now_ms: u64) {
        let retained_ms = MAX_AGE_MS + MAX_SKEW_MS;
        if now_ms < self.swept_at_ms + retained_ms / 16 {
            return;
        }
        self.swept_at_ms = now_ms;
        self.states
            .retain(|_, state| state.at_ms + retained_ms >= now_ms);
    }
}

impl KeyState {
    fn verdict(&self, digest: u64) -> KeyVerdict {
        match self.reply {
            _ if self.digest != digest => KeyVerdict::Mismatch,
            Some(fence) => KeyVerdict::Replied(fence),
            None => KeyVerdict::Pending,
        }
    }
}

impl Fold for IdempotencyKeys {
    type Command = KeyCommand;
    type Verdict = KeyVerdict;
    // The log retains a key's records for longer than the key may be used.
    const REQUIRES_SNAPSHOT: bool = false;

    fn apply(&mut self, position: Position, _writer: &Name, command: KeyCommand) -> KeyVerdict {
        self.sweep(position.at_ms);
        match command {
            KeyCommand::Claim {
                key,
                digest,
                made_at_ms,
                window,
            } => {
                if window.admits(made_at_ms, position.at_ms) {
                    self.claim(position, key, digest)
                } else {
                    KeyVerdict::Expired
                }
            }
            KeyCommand::Reply { key, claim, reply } => {
                if let Some(state) = self.states.get_mut(&key)
                    && state.claim == claim
                    && let Some(fence) = NonZeroU64::new(position.fence)
                {
                    state.reply = Some(fence);
                    self.recent.add(fence, reply);
                }
                KeyVerdict::Processed
            }
            KeyCommand::Release { key, claim } => {
                let state = self.states.get(&key);
                if state.is_some_and(|state| state.claim == claim) {
                    self.states.remove(&key);
                }
                KeyVerdict::Processed
            }
        }
    }
}
