//! A replica: the state folded from a stream's records, without I/O.

use crate::inventory::Name;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Maximum number of commands in an envelope; also the number of fences per offset.
pub(crate) const MAX_BATCH: usize = 1_024;
/// How long a writer's sequence number counts after its last envelope, by the log's clock.
const WRITER_RETENTION_MS: u64 = 3_600_000;
/// Number of known writers above which those past their retention are dropped.
const WRITER_PRUNE_THRESHOLD: usize = 1_024;

/// Position of a command in its stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Position {
    /// The fencing token, which grows with every command of the stream.
    pub(crate) fence: u64,
    /// Time of the append by the log's clock, in milliseconds since the epoch.
    pub(crate) at_ms: u64,
}

/// A state machine whose state depends on a stream's records alone.
pub(crate) trait Fold: Default + DeserializeOwned + Serialize + 'static {
    /// A command, as writers append it.
    type Command: DeserializeOwned + Serialize + 'static;
    /// The fold's decision on a command.
    type Verdict: Clone + 'static;
    /// Whether dropped records still matter, so that a reader may pass them only by a snapshot.
    const REQUIRES_SNAPSHOT: bool = true;

    /// Applies one command; must depend on nothing but state and arguments.
    fn apply(&mut self, position: Position, writer: &Name, command: Self::Command)
    -> Self::Verdict;
}

/// A record of a stream.
#[derive(Deserialize, Serialize)]
pub(crate) enum Envelope<C, S> {
    /// Commands of one writer, appended together.
    Commands {
        writer: Name,
        sequence: u64,
        commands: Vec<C>,
    },
    /// The folded state before the offset `read_to`.
    Snapshot {
        read_to: u64,
        writers: HashMap<Name, LastSeen>,
        state: S,
    },
    /// All earlier records were lost: every reader continues from the empty state.
    Restart {},
}

/// Sequence number and time of a writer's last envelope.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct LastSeen {
    sequence: u64,
    at_ms: u64,
}

/// Result of folding a record.
#[derive(Debug)]
pub(crate) enum FoldOutcome<V> {
    /// An envelope of commands was applied.
    Commands {
        /// Name of the writer.
        writer: Name,
        /// Sequence number of the envelope.
        sequence: u64,
        /// Position and verdict of each command.
        verdicts: Vec<(Position, V)>,
    },
    /// The envelope's sequence number is not above its writer's last one; it was not applied.
    Repeat,
    /// A snapshot, which adds nothing to a state folded up to it.
    Snapshot,
    /// The state was reset to the empty one.
    Restart,
}

/// A folded state, with the offset and the sequence numbers needed to continue it.
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

    /// Continues from an offset, skipping the records before it.
    pub(crate) fn skip_to(&mut self, offset: u64) {
        self.next_offset = offset;
    }

    /// The sequence number of a writer's last envelope.
    pub(crate) fn last_sequence(&self, writer: &str) -> Option<u64> {
        self.writers.get(writer).map(|last| last.sequence)
    }

    /// Folds one record; the next offset advances even if the record cannot be parsed.
    ///
    /// # Errors
    ///
    /// Fails when the record is not an envelope of this stream.
    pub(crate) fn fold_record(
        &mut self,
        offset: u64,
        at_ms: u64,
        data: &str,
    ) -> Result<FoldOutcome<F::Verdict>, serde_json::Error> {
        self.next_offset = offset + 1;
        match serde_json::from_str::<Envelope<F::Command, F>>(data)? {
            Envelope::Commands {
                writer,
                sequence,
                commands,
            } => {
                if !self.record_sequence(&writer, sequence, at_ms) {
                    return Ok(FoldOutcome::Repeat);
                }
                let verdicts = self.apply_all(offset, at_ms, &writer, commands);
                Ok(FoldOutcome::Commands {
                    writer,
                    sequence,
                    verdicts,
                })
            }
            Envelope::Snapshot { .. } => Ok(FoldOutcome::Snapshot),
            Envelope::Restart {} => {
                self.restart(offset);
                Ok(FoldOutcome::Restart)
            }
        }
    }

    /// Resets to the empty state, with the record after `offset` as the next.
    pub(crate) fn restart(&mut self, offset: u64) {
        *self = Self {
            next_offset: offset + 1,
            ..Self::default()
        };
    }

    /// The current state as a snapshot record.
    pub(crate) fn snapshot(&self) -> Vec<u8> {
        let envelope = Envelope::<F::Command, &F>::Snapshot {
            read_to: self.next_offset,
            writers: self.writers.clone(),
            state: &self.fold,
        };
        serde_json::to_vec(&envelope).expect("the folded state serializes")
    }

    /// Restores a snapshot that ends at or after `first` and is not behind this state; false if
    /// it does not, or is no snapshot.
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

    /// Records the sequence number of a writer's envelope; false for a repeat.
    fn record_sequence(&mut self, writer: &Name, sequence: u64, at_ms: u64) -> bool {
        let last = self
            .writers
            .get(writer)
            .filter(|last| last.at_ms + WRITER_RETENTION_MS >= at_ms);
        if last.is_some_and(|last| sequence <= last.sequence) {
            return false;
        }
        self.writers
            .insert(writer.clone(), LastSeen { sequence, at_ms });
        if self.writers.len() > WRITER_PRUNE_THRESHOLD {
            self.writers
                .retain(|_, last| last.at_ms + WRITER_RETENTION_MS >= at_ms);
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
                // Fence 0 means "none".
                fence: offset * MAX_BATCH as u64 + index as u64 + 1,
                at_ms,
            };
            verdicts.push((position, self.fold.apply(position, writer, command)));
        }
        verdicts
    }
}
