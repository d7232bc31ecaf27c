//! The stream of idempotency keys: each key is claimed once, by the log's order.

use crate::inventory::Name;
use crate::replica::{Fold, Position};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::num::NonZeroU64;
use std::rc::Rc;

/// How long after its making a key may be used at most, by the log's clock.
const MAX_AGE_MS: u64 = 600_000;
/// How far in the future a key's time may lie at most.
const MAX_SKEW_MS: u64 = 60_000;
/// The part of the log's retention that a key's age may take up.
const RETENTION_PER_AGE: u64 = 2;
/// The part of the log's retention that a key's skew may take up.
const RETENTION_PER_SKEW: u64 = 8;

/// Bytes of late answers kept at hand; older ones are read from the log again.
const RECENT_BYTES: usize = 2 * 1024 * 1024;
/// What one kept answer takes beside its text.
const RECENT_OVERHEAD_BYTES: usize = 128;

/// How far a key's time may lie from the log's, for its claim to be valid.
///
/// Each claim carries the window of its writer, so that the fold depends on the
/// log alone. Two valid claims of one key are never further apart than age and
/// skew together, which is less than the log's retention: a reader that has a
/// later claim has the earlier one as well.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct KeyWindow {
    age_ms: u64,
    skew_ms: u64,
}

impl KeyWindow {
    /// The window that is safe with a log that keeps records for `retention_ms`.
    pub(crate) fn for_retention(retention_ms: u64) -> Self {
        Self {
            age_ms: retention_ms / RETENTION_PER_AGE,
            skew_ms: retention_ms / RETENTION_PER_SKEW,
        }
    }

    /// Whether a key made at `made_at_ms` may be claimed at `now_ms`.
    fn admits(self, made_at_ms: u64, now_ms: u64) -> bool {
        let oldest_ms = now_ms.saturating_sub(self.age_ms.min(MAX_AGE_MS));
        let newest_ms = now_ms.saturating_add(self.skew_ms.min(MAX_SKEW_MS));
        (oldest_ms..=newest_ms).contains(&made_at_ms)
    }
}

/// The hash of a key within its service and caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub(crate) struct KeyHash(pub(crate) u64, pub(crate) u64);

/// The recorded answer of a call that ran.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Reply {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The content type.
    pub(crate) content_type: Name,
    /// The body, if it is text and small enough to be kept.
    pub(crate) body: Option<Name>,
}

impl Reply {
    fn bytes(&self) -> usize {
        RECENT_OVERHEAD_BYTES + self.body.as_ref().map_or(0, |body| body.len())
    }
}

/// What a writer asks for.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum KeyCommand {
    /// Takes the key, if nobody has.
    Claim {
        key: KeyHash,
        digest: u64,
        made_at_ms: u64,
        window: KeyWindow,
    },
    /// Keeps the answer of the call made under `claim`.
    Reply {
        key: KeyHash,
        claim: u64,
        reply: Rc<Reply>,
    },
    /// Gives the key back: its call was not sent and never will be.
    Release { key: KeyHash, claim: u64 },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum KeyVerdict {
    /// The claim is the first: its writer may send, once.
    First,
    /// Another claim holds the key, and its call has no answer yet.
    Open,
    /// The call ran; its answer is recorded at this fence.
    Replied(NonZeroU64),
    /// The key was used with another body.
    Mismatch,
    /// The key's time is outside of the window.
    Expired,
    /// A reply or a release was noted, or came too late to matter.
    Noted,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct KeyState {
    digest: u64,
    claim: u64,
    at_ms: u64,
    reply: Option<NonZeroU64>,
}

/// The latest answers, up to a number of bytes.
#[derive(Debug, Default)]
struct RecentReplies {
    replies: HashMap<NonZeroU64, Rc<Reply>>,
    order: VecDeque<NonZeroU64>,
    bytes: usize,
}

impl RecentReplies {
    fn put(&mut self, fence: NonZeroU64, reply: Rc<Reply>) {
        self.bytes += reply.bytes();
        self.order.push_back(fence);
        self.replies.insert(fence, reply);
        while self.bytes > RECENT_BYTES
            && let Some(oldest) = self.order.pop_front()
        {
            let dropped = self.replies.remove(&oldest);
            self.bytes -= dropped.map_or(0, |reply| reply.bytes());
        }
    }
}

/// The folded state: every key that may still be used.
#[derive(Debug, Default, Deserialize, Serialize)]
pub(crate) struct Keys {
    #[serde(skip)]
    states: HashMap<KeyHash, KeyState>,
    #[serde(skip)]
    recent: RecentReplies,
    #[serde(skip)]
    swept_at_ms: u64,
}

impl Keys {
    /// What a claim of this key would find now.
    pub(crate) fn look(&self, key: KeyHash, digest: u64) -> Option<KeyVerdict> {
        let state = self.states.get(&key)?;
        Some(state.verdict(digest))
    }

    /// The number of keys held.
    pub(crate) fn len(&self) -> usize {
        self.states.len()
    }

    /// The answer recorded at a fence, if it is still at hand.
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

    /// Drops keys too old to be claimed again, now and then.
    fn sweep(&mut self, now_ms: u64) {
        let kept_ms = MAX_AGE_MS + MAX_SKEW_MS;
        if now_ms < self.swept_at_ms + kept_ms / 16 {
            return;
        }
        self.swept_at_ms = now_ms;
        self.states
            .retain(|_, state| state.at_ms + kept_ms >= now_ms);
    }
}

impl KeyState {
    fn verdict(&self, digest: u64) -> KeyVerdict {
        match self.reply {
            _ if self.digest != digest => KeyVerdict::Mismatch,
            Some(fence) => KeyVerdict::Replied(fence),
            None => KeyVerdict::Open,
        }
    }
}

impl Fold for Keys {
    type Command = KeyCommand;
    type Verdict = KeyVerdict;
    // A key's record is kept for longer than the key may be used.
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
                    self.recent.put(fence, reply);
                }
                KeyVerdict::Noted
            }
            KeyCommand::Release { key, claim } => {
                let state = self.states.get(&key);
                if state.is_some_and(|state| state.claim == claim) {
                    self.states.remove(&key);
                }
                KeyVerdict::Noted
            }
        }
    }
}
