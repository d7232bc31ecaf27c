//! The state folded from a stream's records, without any input or output.

use crate::inventory::Name;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Commands in one envelope at most; also the factor from offsets to fences.
pub(crate) const MAX_BATCH: usize = 1_024;
/// How long the sequence number of a silent writer is kept, in log time.
const WRITER_KEPT_MS: u64 = 3_600_000;
/// Writers known before those that are silent for long are dropped.
const MANY_WRITERS: usize = 1_024;

/// Where a command stands in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Position {
    /// Grows with every command of the stream: the fencing number.
    pub(crate) fence: u64,
    /// The log's clock, in milliseconds since the epoch.
    pub(crate) at_ms: u64,
}

/// State that is a function of a stream's records alone.
pub(crate) trait Fold: Default + DeserializeOwned + Serialize + 'static {
    /// What writers ask for.
    type Command: DeserializeOwned + Serialize + 'static;
    /// What became of it.
    type Verdict: Clone + 'static;
    /// Whether records that the log has dropped count on without a snapshot.
    const REQUIRES_SNAPSHOT: bool = true;

    /// Applies one command; depends on nothing but state and arguments.
    fn apply(&mut self, position: Position, writer: &Name, command: Self::Command)
    -> Self::Verdict;
}

/// A record of a stream.
#[derive(Deserialize, Serialize)]
pub(crate) enum Envelope<C, S> {
    /// Commands of one writer, written together.
    Commands {
        writer: Name,
        sequence: u64,
        commands: Vec<C>,
    },
    /// The state up to an offset.
    Snapshot {
        read_to: u64,
        writers: HashMap<Name, LastSeen>,
        state: S,
    },
    /// Everything before was lost: every reader goes on from the empty state.
    Restart {},
}

/// The last envelope of a writer.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct LastSeen {
    sequence: u64,
    at_ms: u64,
}

/// What became of a record.
#[derive(Debug)]
pub(crate) enum Folded<V> {
    /// Commands, with the verdict of each.
    Commands {
        /// Who wrote them.
        writer: Name,
        /// The number of the envelope.
        sequence: u64,
        /// The place and the verdict of each command.
        verdicts: Vec<(Position, V)>,
    },
    /// An envelope that was folded before, or outdated by its writer.
    Repeat,
    /// A snapshot, which says nothing new to a reader that is past it.
    Snapshot,
    /// The state is empty again.
    Restart,
}

/// A fold with what is needed to go on from it.
#[derive(Debug, Default)]
pub(crate) struct Replica<F: Fold> {
    /// The folded state.
    pub(crate) fold: F,
    writers: HashMap<Name, LastSeen>,
    next_offset: u64,
}

impl<F: Fold> Replica<F> {
    /// The offset of the next record to be folded.
    pub(crate) fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Goes on from an offset without what lies before it.
    pub(crate) fn skip_to(&mut self, offset: u64) {
        self.next_offset = offset;
    }

    /// The sequence number of a writer's last envelope.
    pub(crate) fn last_sequence(&self, writer: &str) -> Option<u64> {
        self.writers.get(writer).map(|last| last.sequence)
    }

    /// Folds one record; the reader is past it even if it cannot be read.
    ///
    /// # Errors
    ///
    /// Fails when the record is not an envelope of this stream.
    pub(crate) fn fold_record(
        &mut self,
        offset: u64,
        at_ms: u64,
        data: &str,
    ) -> Result<Folded<F::Verdict>, serde_json::Error> {
        self.next_offset = offset + 1;
        match serde_json::from_str::<Envelope<F::Command, F>>(data)? {
            Envelope::Commands {
                writer,
                sequence,
                commands,
            } => {
                if !self.note_writer(&writer, sequence, at_ms) {
                    return Ok(Folded::Repeat);
                }
                let verdicts = self.apply_all(offset, at_ms, &writer, commands);
                Ok(Folded::Commands {
                    writer,
                    sequence,
                    verdicts,
                })
            }
            Envelope::Snapshot { .. } => Ok(Folded::Snapshot),
            Envelope::Restart {} => {
                self.restart(offset);
                Ok(Folded::Restart)
            }
        }
    }

    /// Begins with the empty state behind an offset.
    pub(crate) fn restart(&mut self, offset: u64) {
        *self = Self {
            next_offset: offset + 1,
            ..Self::default()
        };
    }

    /// The present state as a snapshot record.
    pub(crate) fn snapshot(&self) -> Vec<u8> {
        let envelope = Envelope::<F::Command, &F>::Snapshot {
            read_to: self.next_offset,
            writers: self.writers.clone(),
            state: &self.fold,
        };
        serde_json::to_vec(&envelope).expect("state serializes")
    }

    /// Restores a snapshot that ends at or behind `first`, and not before this state.
    pub(crate) fn restore(&mut self, first: u64, data: &str) -> bool {
        let Ok(Envelope::Snapshot {
            read_to,
            writers,
            state,
        }) = serde_json::from_str::<Envelope<F::Command, F>>(data)
        else {
            return false;
        };
        if read_to < first || read_to < self.next_offset {
            return false;
        }
        *self = Self {
            fold: state,
            writers,
            next_offset: read_to,
        };
        true
    }

    /// Notes a writer's envelope; false for a repeat.
    fn note_writer(&mut self, writer: &Name, sequence: u64, at_ms: u64) -> bool {
        let last = self
            .writers
            .get(writer)
            .filter(|last| last.at_ms + WRITER_KEPT_MS >= at_ms);
        if last.is_some_and(|last| sequence <= last.sequence) {
            return false;
        }
        self.writers
            .insert(writer.clone(), LastSeen { sequence, at_ms });
        if self.writers.len() > MANY_WRITERS {
            self.writers
                .retain(|_, last| last.at_ms + WRITER_KEPT_MS >= at_ms);
        }
        true
    }

    fn apply_all(
        &mut self,
        offset: u64,
        at_ms: u64,
        writer: &Name,
        commands: Vec<F::Command>,
    ) -> Vec<(Position, F::Verdict)> {
        let mut verdicts = Vec::with_capacity(commands.len());
        for (index, command) in commands.into_iter().enumerate() {
            let position = Position {
                // Fence 0 is kept for "none".
                fence: offset * MAX_BATCH as u64 + index as u64 + 1,
                at_ms,
            };
            verdicts.push((position, self.fold.apply(position, writer, command)));
        }
        verdicts
    }
}
