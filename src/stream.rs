//! A stream of the log, folded the same way by every reader.
//!
//! Commands of one VM are written as envelopes, each with the writer's name and
//! a sequence number, one envelope in flight at a time; all commands that wait
//! at that moment share one (group commit). A command counts only once its
//! writer has read it back: the verdict is the fold's, at its place in the log.
//! An envelope whose answer was lost is sent again with the same number, and
//! the fold drops repeats.
//!
//! A snapshot is a record that holds the fold's state up to an offset. Since
//! the fold depends on nothing but the log, every snapshot is true, whoever
//! wrote it; one is usable as long as the log still holds the offset it ends at.

use crate::inventory::Name;
use crate::platform::{LogError, LogService};
use crate::signal::Signal;
use futures_channel::oneshot;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Commands in one envelope at most; also the factor from offsets to fences.
const MAX_BATCH: usize = 1_024;
/// How long a read waits for the next record.
const READ_WAIT: Duration = Duration::from_millis(2_000);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long to look for an envelope whose answer was lost before resending it.
const READ_BACK_WAIT: Duration = Duration::from_millis(300);
/// How long an envelope may stay open before new commands are refused at once.
const STUCK_AFTER: Duration = Duration::from_millis(1_200);
/// How long the sequence number of a silent writer is kept, in log time.
const WRITER_KEPT_MS: u64 = 3_600_000;

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

    /// Applies one command; depends on nothing but state and arguments.
    fn apply(&mut self, position: Position, writer: &Name, command: Self::Command)
    -> Self::Verdict;
}

/// A command that was read back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Recorded<V> {
    /// Its place.
    pub(crate) position: Position,
    /// The fold's verdict.
    pub(crate) verdict: V,
}

/// Why a command has no verdict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProposeError {
    /// It is not in the log and never will be.
    NotRecorded,
}

#[derive(Deserialize, Serialize)]
enum Envelope<C, S> {
    Commands {
        writer: Name,
        sequence: u64,
        commands: Vec<C>,
    },
    Snapshot {
        read_to: u64,
        writers: HashMap<Name, LastSeen>,
        state: S,
    },
}

#[derive(Clone, Copy, Deserialize, Serialize)]
struct LastSeen {
    sequence: u64,
    at_ms: u64,
}

type Waiter<V> = oneshot::Sender<Result<Recorded<V>, ProposeError>>;

type Queued<F> = (<F as Fold>::Command, Waiter<<F as Fold>::Verdict>);

struct OpenEnvelope<V> {
    sequence: u64,
    waiters: Vec<Waiter<V>>,
}

/// One stream, read and written by this VM.
pub(crate) struct Stream<F: Fold, L: LogService> {
    name: Name,
    log: Rc<L>,
    writer: Name,
    fold: RefCell<F>,
    writers: RefCell<HashMap<Name, LastSeen>>,
    queue: RefCell<VecDeque<Queued<F>>>,
    queued: Signal,
    open: RefCell<Option<OpenEnvelope<F::Verdict>>>,
    open_since: Cell<Option<Instant>>,
    sequence: Cell<u64>,
    next_offset: Cell<u64>,
    ready: Cell<bool>,
    changed: Signal,
    read_at: Cell<Option<Instant>>,
    snapshot_at: Cell<Option<Instant>>,
    appends: Cell<u64>,
}

impl<F: Fold, L: LogService> Stream<F, L> {
    /// Opens a stream and starts its reader and its writer.
    ///
    /// `writer` must be unique to this run of the process.
    pub(crate) fn open(name: &str, log: Rc<L>, writer: Name) -> Rc<Self> {
        let stream = Rc::new(Self {
            name: name.into(),
            log,
            writer,
            fold: RefCell::default(),
            writers: RefCell::default(),
            queue: RefCell::default(),
            queued: Signal::default(),
            open: RefCell::new(None),
            open_since: Cell::new(None),
            sequence: Cell::new(0),
            next_offset: Cell::new(0),
            ready: Cell::new(false),
            changed: Signal::default(),
            read_at: Cell::new(None),
            snapshot_at: Cell::new(None),
            appends: Cell::new(0),
        });
        compio::runtime::spawn(stream.clone().read()).detach();
        compio::runtime::spawn(stream.clone().write()).detach();
        stream
    }

    /// Looks at the folded state.
    pub(crate) fn with<R>(&self, look: impl FnOnce(&F) -> R) -> R {
        look(&self.fold.borrow())
    }

    /// Whether everything the log held was folded once.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Waits for the next change of the state.
    pub(crate) fn changed(&self) -> impl Future<Output = ()> + use<F, L> {
        self.changed.wait()
    }

    /// How long ago the log last answered a read.
    pub(crate) fn silence(&self) -> Option<Duration> {
        self.read_at.get().map(|at| at.elapsed())
    }

    /// The number of appends this VM has made.
    pub(crate) fn appends(&self) -> u64 {
        self.appends.get()
    }

    /// The next offset to be read.
    pub(crate) fn next_offset(&self) -> u64 {
        self.next_offset.get()
    }

    /// How long ago this VM last saw a snapshot in the stream.
    pub(crate) fn snapshot_age(&self) -> Option<Duration> {
        self.snapshot_at.get().map(|at| at.elapsed())
    }

    /// Whether the log takes commands, as far as is known.
    pub(crate) fn is_writable(&self) -> bool {
        self.ready.get()
            && self
                .open_since
                .get()
                .is_none_or(|since| since.elapsed() < STUCK_AFTER)
    }

    /// Writes a command and waits until it is read back.
    ///
    /// Dropping the future does not take the command back.
    ///
    /// # Errors
    ///
    /// Fails at once while the log is known not to take commands.
    pub(crate) async fn propose(
        &self,
        command: F::Command,
    ) -> Result<Recorded<F::Verdict>, ProposeError> {
        if !self.is_writable() {
            return Err(ProposeError::NotRecorded);
        }
        let (sender, receiver) = oneshot::channel();
        self.queue.borrow_mut().push_back((command, sender));
        self.queued.notify();
        receiver.await.unwrap_or(Err(ProposeError::NotRecorded))
    }

    /// Appends a snapshot of the present state.
    ///
    /// # Errors
    ///
    /// Fails when the log does not answer; writing another one does no harm.
    pub(crate) async fn write_snapshot(&self) -> Result<(), LogError> {
        let record = {
            let envelope = Envelope::<F::Command, &F>::Snapshot {
                read_to: self.next_offset.get(),
                writers: self.writers.borrow().clone(),
                state: &*self.fold.borrow(),
            };
            serde_json::to_vec(&envelope).expect("state serializes")
        };
        self.log.append(&self.name, record).await.map(|_offset| ())
    }

    async fn write(self: Rc<Self>) {
        loop {
            if self.queue.borrow().is_empty() {
                let queued = self.queued.wait();
                if self.queue.borrow().is_empty() {
                    queued.await;
                }
                continue;
            }
            let record = self.open_envelope();
            self.append_until_read_back(record).await;
            self.open_since.set(None);
        }
    }

    fn open_envelope(&self) -> Vec<u8> {
        let mut queue = self.queue.borrow_mut();
        let count = queue.len().min(MAX_BATCH);
        let (commands, waiters) = queue.drain(..count).unzip();
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        self.open_since.set(Some(Instant::now()));
        *self.open.borrow_mut() = Some(OpenEnvelope { sequence, waiters });
        let envelope = Envelope::<F::Command, F>::Commands {
            writer: self.writer.clone(),
            sequence,
            commands,
        };
        serde_json::to_vec(&envelope).expect("commands serialize")
    }

    async fn append_until_read_back(&self, record: Vec<u8>) {
        let mut may_be_written = false;
        loop {
            self.appends.set(self.appends.get() + 1);
            match self.log.append(&self.name, record.clone()).await {
                Ok(_) => return self.wait_read_back().await,
                Err(LogError::Refused) if !may_be_written => return self.give_up_open(),
                Err(LogError::Refused) => {}
                Err(LogError::Unanswered) => may_be_written = true,
            }
            // The envelope may be in the log: look before sending it again.
            let wait = self.wait_read_back();
            if compio::time::timeout(READ_BACK_WAIT, wait).await.is_ok() {
                return;
            }
        }
    }

    async fn wait_read_back(&self) {
        loop {
            let changed = self.changed.wait();
            if self.open.borrow().is_none() {
                return;
            }
            changed.await;
        }
    }

    /// Ends the open envelope, which is known not to be in the log.
    fn give_up_open(&self) {
        let Some(open) = self.open.take() else { return };
        for waiter in open.waiters {
            // A waiter that is gone needs no answer.
            let _ = waiter.send(Err(ProposeError::NotRecorded));
        }
    }

    async fn read(self: Rc<Self>) {
        loop {
            let from = self.next_offset.get();
            let wait = if self.ready.get() {
                READ_WAIT
            } else {
                Duration::ZERO
            };
            let Ok(page) = self.log.read(&self.name, from, wait).await else {
                compio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            self.read_at.set(Some(Instant::now()));
            if page.first > from && !self.bridge_gap(page.first).await {
                compio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            if page.first <= from {
                self.fold_records(page.records);
                if self.next_offset.get() >= page.end {
                    self.ready.set(true);
                }
            }
            self.changed.notify();
        }
    }

    fn fold_records(&self, records: Vec<crate::platform::LogRecord>) {
        for record in records {
            if record.offset < self.next_offset.get() {
                continue;
            }
            self.fold_record(record.offset, record.at_ms, record.data.get());
            self.next_offset.set(record.offset + 1);
        }
    }

    fn fold_record(&self, offset: u64, at_ms: u64, data: &str) {
        match serde_json::from_str::<Envelope<F::Command, F>>(data) {
            Ok(Envelope::Commands {
                writer,
                sequence,
                commands,
            }) => {
                if self.note_writer(&writer, sequence, at_ms) {
                    self.apply_all(offset, at_ms, &writer, sequence, commands);
                }
            }
            Ok(Envelope::Snapshot { .. }) => self.snapshot_at.set(Some(Instant::now())),
            Err(error) => crate::events::emit(
                crate::events::Event::RecordUnreadable,
                format_args!("stream={} offset={offset} error={error}", self.name),
            ),
        }
    }

    /// Notes a writer's envelope; false for a repeat.
    fn note_writer(&self, writer: &Name, sequence: u64, at_ms: u64) -> bool {
        let mut writers = self.writers.borrow_mut();
        let last = writers
            .get(writer)
            .filter(|last| last.at_ms + WRITER_KEPT_MS >= at_ms);
        if last.is_some_and(|last| sequence <= last.sequence) {
            return false;
        }
        writers.insert(writer.clone(), LastSeen { sequence, at_ms });
        if writers.len() > 1_024 {
            writers.retain(|_, last| last.at_ms + WRITER_KEPT_MS >= at_ms);
        }
        true
    }

    fn apply_all(
        &self,
        offset: u64,
        at_ms: u64,
        writer: &Name,
        sequence: u64,
        commands: Vec<F::Command>,
    ) {
        let mut waiters = self.take_waiters(writer, sequence).into_iter();
        for (index, command) in commands.into_iter().enumerate() {
            let position = Position {
                // Fence 0 is kept for "none".
                fence: offset * MAX_BATCH as u64 + index as u64 + 1,
                at_ms,
            };
            let verdict = self.fold.borrow_mut().apply(position, writer, command);
            if let Some(waiter) = waiters.next() {
                // A waiter that is gone acts on nothing.
                let _ = waiter.send(Ok(Recorded { position, verdict }));
            }
        }
    }

    fn take_waiters(&self, writer: &Name, sequence: u64) -> Vec<Waiter<F::Verdict>> {
        if *writer != self.writer {
            return Vec::new();
        }
        let mut open = self.open.borrow_mut();
        match open.take() {
            Some(envelope) if envelope.sequence == sequence => envelope.waiters,
            other => {
                *open = other;
                Vec::new()
            }
        }
    }

    /// Skips records that the log no longer keeps, by way of a snapshot.
    ///
    /// Returns false when the log could not be read to its end.
    async fn bridge_gap(&self, first: u64) -> bool {
        let mut from = first;
        let mut records = Vec::new();
        loop {
            let Ok(page) = self.log.read(&self.name, from, Duration::ZERO).await else {
                return false;
            };
            if page.first > from {
                return false;
            }
            for record in page.records {
                from = record.offset + 1;
                if self.restore(first, record.data.get()) {
                    self.fold_records(records);
                    return true;
                }
                records.push(record);
            }
            if from >= page.end {
                break;
            }
        }
        crate::events::emit(
            crate::events::Event::SnapshotMissing,
            format_args!("stream={} first={first}", self.name),
        );
        self.next_offset.set(first);
        true
    }

    /// Restores a snapshot that ends at or behind `first`.
    fn restore(&self, first: u64, data: &str) -> bool {
        let Ok(Envelope::Snapshot {
            read_to,
            writers,
            state,
        }) = serde_json::from_str::<Envelope<F::Command, F>>(data)
        else {
            return false;
        };
        if read_to < first || read_to < self.next_offset.get() {
            return false;
        }
        *self.fold.borrow_mut() = state;
        *self.writers.borrow_mut() = writers;
        self.next_offset.set(read_to);
        true
    }
}
