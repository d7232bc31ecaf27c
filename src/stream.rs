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
//!
//! A reader that the log does not help, since it is down or has dropped records
//! that no snapshot covers, takes a snapshot from a peer. It never skips records.

use crate::append_pace::AppendPacer;
use crate::external::{LogError, LogRecord, LogService, Page};
use crate::inventory::Name;
use crate::replica::{Envelope, Fold, Folded, MAX_BATCH, Position, Replica};
use crate::signal::Signal;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// How long a read waits for the next record.
const READ_WAIT: Duration = Duration::from_millis(2_000);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long to look for an envelope whose answer was lost before resending it.
const READ_BACK_WAIT: Duration = Duration::from_millis(300);
/// How long an envelope may stay open before new commands are refused at once.
const STUCK_AFTER: Duration = Duration::from_millis(1_200);
/// How long a reader may stay behind a peer before it takes a new connection.
const BEHIND_LIMIT: Duration = Duration::from_millis(400);

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
    /// It was recorded, but the log dropped it before its verdict was known here.
    VerdictLost,
}

type Waiter<V> = oneshot::Sender<Result<Recorded<V>, ProposeError>>;

/// A command that is to be written.
struct Queued<F: Fold> {
    command: F::Command,
    waiter: Waiter<F::Verdict>,
    /// From here on it is not appended for the first time.
    deadline: Option<Instant>,
}

impl<F: Fold> Queued<F> {
    fn is_expired(&self) -> bool {
        self.deadline
            .is_some_and(|deadline| deadline <= Instant::now())
    }

    fn end(self, outcome: Result<Recorded<F::Verdict>, ProposeError>) {
        // A waiter that is gone needs no answer.
        let _ = self.waiter.send(outcome);
    }
}

/// The commands whose record may be in the log, but was not read back.
struct OpenEnvelope<F: Fold> {
    sequence: u64,
    entries: Vec<Queued<F>>,
}

impl<F: Fold> OpenEnvelope<F> {
    fn fail(self, error: ProposeError) {
        for entry in self.entries {
            entry.end(Err(error));
        }
    }
}

/// A folded state as VMs hand it to each other.
#[derive(Clone, Debug)]
pub(crate) struct FoldedState {
    /// The offset up to which records are folded.
    pub(crate) read_to: u64,
    /// The snapshot record, as the log would hold it.
    pub(crate) record: Vec<u8>,
}

/// One stream, read and written by this VM.
pub(crate) struct Stream<F: Fold, L: LogService> {
    name: Name,
    log: Rc<L>,
    writer: Name,
    replica: RefCell<Replica<F>>,
    queue: RefCell<VecDeque<Queued<F>>>,
    queued: Signal,
    pace: AppendPacer,
    open: RefCell<Option<OpenEnvelope<F>>>,
    open_since: Cell<Option<Instant>>,
    sequence: Cell<u64>,
    end: Cell<u64>,
    ready: Cell<bool>,
    changed: Signal,
    read_at: Cell<Option<Instant>>,
    checked_at: Cell<Option<Instant>>,
    confirmed_at: Cell<Option<Instant>>,
    behind_since: Cell<Option<Instant>>,
    nudged: Signal,
    given: Cell<bool>,
    cut_off: Cell<bool>,
    snapshot_at_ms: Cell<u64>,
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
            replica: RefCell::default(),
            queue: RefCell::default(),
            queued: Signal::default(),
            pace: AppendPacer::default(),
            open: RefCell::new(None),
            open_since: Cell::new(None),
            sequence: Cell::new(0),
            end: Cell::new(0),
            ready: Cell::new(false),
            changed: Signal::default(),
            read_at: Cell::new(None),
            checked_at: Cell::new(None),
            confirmed_at: Cell::new(None),
            behind_since: Cell::new(None),
            nudged: Signal::default(),
            given: Cell::new(false),
            cut_off: Cell::new(false),
            snapshot_at_ms: Cell::new(0),
            appends: Cell::new(0),
        });
        compio::runtime::spawn(stream.clone().read()).detach();
        compio::runtime::spawn(stream.clone().write()).detach();
        stream
    }

    /// Looks at the folded state.
    pub(crate) fn with<R>(&self, look: impl FnOnce(&F) -> R) -> R {
        look(&self.replica.borrow().fold)
    }

    /// Whether everything the log held was folded once.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Whether the state may be used: folded to the log's end once, or given by a peer.
    pub(crate) fn has_usable_state(&self) -> bool {
        self.ready.get() || self.given.get()
    }

    /// Whether the log does not help this reader on now.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.cut_off.get()
    }

    /// When the last read that has ended was begun, whether it failed or not.
    pub(crate) fn checked_at(&self) -> Option<Instant> {
        self.checked_at.get()
    }

    /// When the last read was begun that showed the stream folded to its end.
    pub(crate) fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at.get()
    }

    /// Reads anew at once, over a new connection.
    pub(crate) fn reconnect(&self) {
        self.nudged.notify();
    }

    /// Notes how far a peer has read: a reader that stays behind may read a silent connection.
    pub(crate) fn note_peer_offset(&self, offset: u64) {
        if offset <= self.next_offset() {
            return self.behind_since.set(None);
        }
        let since = self.behind_since.get().unwrap_or_else(Instant::now);
        self.behind_since.set(Some(since));
        if since.elapsed() >= BEHIND_LIMIT {
            self.behind_since.set(None);
            self.reconnect();
        }
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

    /// The pace of this VM's appends.
    pub(crate) fn pace(&self) -> &AppendPacer {
        &self.pace
    }

    /// The next offset to be read.
    pub(crate) fn next_offset(&self) -> u64 {
        self.replica.borrow().next_offset()
    }

    /// How old the last snapshot in the stream is, by this VM's clock; `None` without one.
    pub(crate) fn snapshot_age(&self) -> Option<Duration> {
        let at_ms = self.snapshot_at_ms.get();
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let age = now
            .unwrap_or_default()
            .saturating_sub(Duration::from_millis(at_ms));
        (at_ms > 0).then_some(age)
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
        self.enqueue(command, None).await
    }

    /// Like [`Stream::propose`], but does not begin to write after `deadline`.
    pub(crate) async fn propose_by(
        &self,
        command: F::Command,
        deadline: Instant,
    ) -> Result<Recorded<F::Verdict>, ProposeError> {
        self.enqueue(command, Some(deadline)).await
    }

    async fn enqueue(
        &self,
        command: F::Command,
        deadline: Option<Instant>,
    ) -> Result<Recorded<F::Verdict>, ProposeError> {
        if !self.is_writable() {
            return Err(ProposeError::NotRecorded);
        }
        let (waiter, mut receiver) = oneshot::channel();
        self.queue.borrow_mut().push_back(Queued {
            command,
            waiter,
            deadline,
        });
        self.queued.notify();
        if let Some(deadline) = deadline {
            match compio::time::timeout_at(deadline, &mut receiver).await {
                Ok(known) => return known.unwrap_or(Err(ProposeError::NotRecorded)),
                Err(_elapsed) => self.drop_expired(),
            }
        }
        receiver.await.unwrap_or(Err(ProposeError::NotRecorded))
    }

    /// Drops queued commands that came too late to be written.
    fn drop_expired(&self) {
        let queued = self.queue.take();
        let (expired, rest): (VecDeque<_>, _) = queued.into_iter().partition(Queued::is_expired);
        *self.queue.borrow_mut() = rest;
        for entry in expired {
            entry.end(Err(ProposeError::NotRecorded));
        }
    }

    /// Reads one command from the log again, by the fence that it got.
    ///
    /// # Errors
    ///
    /// Fails when the log does not answer.
    pub(crate) async fn command_at(&self, fence: u64) -> Result<Option<F::Command>, LogError> {
        let place = fence.saturating_sub(1);
        let (offset, index) = (place / MAX_BATCH as u64, place % MAX_BATCH as u64);
        let Some(record) = self.log.read_one(&self.name, offset).await? else {
            return Ok(None);
        };
        match serde_json::from_str(record.data.get()) {
            Ok(Envelope::<F::Command, F>::Commands { commands, .. }) => {
                Ok(commands.into_iter().nth(index as usize))
            }
            Ok(_) | Err(_) => Ok(None),
        }
    }

    /// Appends a snapshot of the present state.
    ///
    /// # Errors
    ///
    /// Fails when the log does not answer; writing another one does no harm.
    pub(crate) async fn write_snapshot(&self) -> Result<(), LogError> {
        let record = self.state().record;
        self.log.append(&self.name, record).await.map(|_offset| ())
    }

    /// Appends a record from which on every reader begins with an empty state.
    ///
    /// Only for a stream whose records have lapsed and whose state no VM knows.
    ///
    /// # Errors
    ///
    /// Fails when the log does not answer.
    pub(crate) async fn start_anew(&self) -> Result<(), LogError> {
        let envelope = Envelope::<F::Command, F>::Restart {};
        let record = serde_json::to_vec(&envelope).expect("a constant serializes");
        self.log.append(&self.name, record).await.map(|_offset| ())
    }

    /// The present state, for the log or for a peer.
    pub(crate) fn state(&self) -> FoldedState {
        let replica = self.replica.borrow();
        FoldedState {
            read_to: replica.next_offset(),
            record: replica.snapshot(),
        }
    }

    /// Takes over a peer's state, if it lies ahead; false if it is of no use.
    pub(crate) fn take_state(&self, state: &FoldedState) -> bool {
        if state.read_to <= self.next_offset() {
            return false;
        }
        let taken = std::str::from_utf8(&state.record)
            .is_ok_and(|record| self.restore(self.next_offset(), record));
        if taken {
            self.given.set(true);
            self.changed.notify();
        }
        taken
    }

    async fn write(self: Rc<Self>) {
        loop {
            if self.queue.borrow().is_empty() {
                self.open_since.set(None);
                let queued = self.queued.wait();
                if self.queue.borrow().is_empty() {
                    queued.await;
                }
                continue;
            }
            self.pace.wait_until_due().await;
            if let Some(record) = self.open_envelope() {
                self.append_until_read_back(record).await;
            }
        }
    }

    /// Makes a record of what is queued; none if all of it came too late.
    fn open_envelope(&self) -> Option<Vec<u8>> {
        let entries = self.take_batch();
        if entries.is_empty() {
            return None;
        }
        let sequence = self.sequence.get() + 1;
        let envelope = Envelope::<&F::Command, &F>::Commands {
            writer: self.writer.clone(),
            sequence,
            commands: entries.iter().map(|entry| &entry.command).collect(),
        };
        let record = serde_json::to_vec(&envelope).expect("commands serialize");
        self.sequence.set(sequence);
        let since = self.open_since.get().unwrap_or_else(Instant::now);
        self.open_since.set(Some(since));
        *self.open.borrow_mut() = Some(OpenEnvelope { sequence, entries });
        Some(record)
    }

    fn take_batch(&self) -> Vec<Queued<F>> {
        let mut entries = Vec::new();
        let mut queue = self.queue.borrow_mut();
        while entries.len() < MAX_BATCH
            && let Some(entry) = queue.pop_front()
        {
            if entry.is_expired() {
                entry.end(Err(ProposeError::NotRecorded));
            } else {
                entries.push(entry);
            }
        }
        entries
    }

    async fn append_until_read_back(&self, record: Vec<u8>) {
        let mut may_be_written = false;
        loop {
            match self.append(record.clone()).await {
                None => {
                    self.pace.record_accepted();
                    break;
                }
                Some(Ok(offset)) => {
                    self.pace.record_accepted();
                    self.wait_read_past(offset).await;
                    break;
                }
                Some(Err(LogError::Refused)) if !may_be_written => {
                    self.give_up_open();
                    break;
                }
                Some(Err(LogError::Busy)) if !may_be_written => {
                    self.pace.record_refused();
                    return self.requeue_open();
                }
                Some(Err(LogError::Busy | LogError::Refused)) => {}
                Some(Err(LogError::Unanswered)) => may_be_written = true,
            }
            // The envelope may be in the log: look before sending it again.
            let wait = self.wait_read_back();
            if compio::time::timeout(READ_BACK_WAIT, wait).await.is_ok() {
                break;
            }
        }
        self.open_since.set(None);
    }

    /// Appends a record; `None` if it was read back before the log answered.
    async fn append(&self, record: Vec<u8>) -> Option<Result<u64, LogError>> {
        self.appends.set(self.appends.get() + 1);
        let (log, name) = (self.log.clone(), self.name.clone());
        let (sender, answer) = oneshot::channel();
        // A task of its own, so that its connection is kept though nobody waits.
        compio::runtime::spawn(async move {
            let _ = sender.send(log.append(&name, record).await);
        })
        .detach();
        match select(answer, pin!(self.wait_read_back())).await {
            Either::Left((answer, _)) => Some(answer.unwrap_or(Err(LogError::Unanswered))),
            Either::Right(((), _)) => None,
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

    /// Waits for a record that is in the log; a reader that does not see it reads anew.
    ///
    /// A reader that is past it without having seen it skipped it with others that
    /// the log no longer keeps.
    async fn wait_read_past(&self, offset: u64) {
        while self.next_offset() <= offset {
            let wait = self.wait_read_back();
            if compio::time::timeout(BEHIND_LIMIT, wait).await.is_ok() {
                return;
            }
            self.reconnect();
        }
        if let Some(open) = self.open.take() {
            open.fail(ProposeError::VerdictLost);
        }
    }

    /// Ends the open envelope, which is known not to be in the log.
    fn give_up_open(&self) {
        if let Some(open) = self.open.take() {
            open.fail(ProposeError::NotRecorded);
        }
    }

    /// Puts back what the log had no room for, to go with what came since.
    fn requeue_open(&self) {
        let Some(open) = self.open.take() else { return };
        self.sequence.set(open.sequence - 1);
        let mut queue = self.queue.borrow_mut();
        for entry in open.entries.into_iter().rev() {
            queue.push_front(entry);
        }
    }

    async fn read(self: Rc<Self>) {
        let mut at_once = true;
        loop {
            let begun = Instant::now();
            let wait = if at_once { Duration::ZERO } else { READ_WAIT };
            let Some(page) = self.read_page(wait).await else {
                self.log.renew();
                at_once = true;
                continue;
            };
            let helped = match page {
                Ok(page) => self.take_page(page).await,
                Err(_) => false,
            };
            at_once = !self.ready.get();
            self.cut_off.set(!helped);
            self.checked_at.set(Some(begun));
            if helped {
                self.read_at.set(Some(Instant::now()));
                if self.ready.get() && self.next_offset() >= self.end.get() {
                    self.confirmed_at.set(Some(begun));
                }
            } else {
                compio::time::sleep(RETRY_PAUSE).await;
            }
            self.changed.notify();
        }
    }

    /// Reads the next page; `None` when nudged before it came.
    async fn read_page(&self, wait: Duration) -> Option<Result<Page, LogError>> {
        let read = pin!(self.log.read(&self.name, self.next_offset(), wait));
        match select(read, pin!(self.nudged.wait())).await {
            Either::Left((page, _)) => Some(page),
            Either::Right(((), _)) => None,
        }
    }

    /// Folds a page; false if it leaves the reader behind records that are dropped.
    async fn take_page(&self, page: Page) -> bool {
        if page.first > self.next_offset() {
            if F::REQUIRES_SNAPSHOT {
                // What this VM knows may be outdated by any of the dropped records.
                self.ready.set(false);
                self.given.set(false);
                return self.bridge_gap(page.first).await;
            }
            self.replica.borrow_mut().skip_to(page.first);
        }
        self.fold_records(page.records);
        self.end.set(page.end);
        if self.next_offset() >= page.end {
            self.ready.set(true);
        }
        true
    }

    fn fold_records(&self, records: Vec<LogRecord>) {
        for record in records {
            if record.offset >= self.next_offset() {
                self.fold_record(&record);
            }
        }
    }

    fn fold_record(&self, record: &LogRecord) {
        let (offset, at_ms) = (record.offset, record.at_ms);
        let folded = self
            .replica
            .borrow_mut()
            .fold_record(offset, at_ms, record.data.get());
        match folded {
            Ok(Folded::Commands {
                writer,
                sequence,
                verdicts,
            }) => self.tell_verdicts(&writer, sequence, verdicts),
            Ok(Folded::Snapshot) => self.snapshot_at_ms.set(at_ms),
            Ok(Folded::Repeat | Folded::Restart) => {}
            Err(error) => crate::events::emit(
                crate::events::Event::RecordUnreadable,
                format_args!("stream={} offset={offset} error={error}", self.name),
            ),
        }
    }

    /// Tells this VM's own waiters what became of their commands.
    fn tell_verdicts(&self, writer: &Name, sequence: u64, verdicts: Vec<(Position, F::Verdict)>) {
        let entries = self.take_entries(writer, sequence);
        for (entry, (position, verdict)) in entries.into_iter().zip(verdicts) {
            entry.end(Ok(Recorded { position, verdict }));
        }
    }

    fn take_entries(&self, writer: &Name, sequence: u64) -> Vec<Queued<F>> {
        if *writer != self.writer {
            return Vec::new();
        }
        let mut open = self.open.borrow_mut();
        match open.take() {
            Some(envelope) if envelope.sequence == sequence => envelope.entries,
            other => {
                *open = other;
                Vec::new()
            }
        }
    }

    /// Replaces records that the log no longer keeps by a snapshot.
    ///
    /// Returns false when the log holds none that is usable, or could not be read to its end.
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
                if self.restore(first, record.data.get()) || self.restart_at(&record) {
                    self.snapshot_at_ms.set(record.at_ms);
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
        false
    }

    /// Begins with the empty state if the record says so.
    fn restart_at(&self, record: &LogRecord) -> bool {
        let envelope = serde_json::from_str::<Envelope<F::Command, F>>(record.data.get());
        let restarts = matches!(envelope, Ok(Envelope::Restart {}));
        if restarts {
            self.replica.borrow_mut().restart(record.offset);
        }
        restarts
    }

    /// Restores a snapshot that ends at or behind `first`.
    fn restore(&self, first: u64, data: &str) -> bool {
        let restored = self.replica.borrow_mut().restore(first, data);
        if restored {
            self.end_covered_envelope();
        }
        restored
    }

    /// Ends the open envelope if it is among the records that a snapshot replaced.
    fn end_covered_envelope(&self) {
        let Some(last) = self.replica.borrow().last_sequence(&self.writer) else {
            return;
        };
        let covered = |open: &mut OpenEnvelope<F>| open.sequence <= last;
        let open = self.open.borrow_mut().take_if(covered);
        if let Some(open) = open {
            open.fail(ProposeError::VerdictLost);
        }
    }
}
