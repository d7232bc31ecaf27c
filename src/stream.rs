//! A replicated state machine over one stream of the log: every reader folds the same records.
//!
//! A VM writes its commands in envelopes that carry the writer's name and a sequence number.
//! One envelope is in flight at a time, and all commands queued when it is built share it (group
//! commit). A command takes effect only once its writer has read it back: its verdict is the
//! fold's, at its offset in the log. An envelope whose append was not answered is appended again
//! with the same sequence number, and the fold drops duplicates.
//!
//! A snapshot is a record that holds the folded state up to an offset. The fold depends on
//! nothing but the log, so a snapshot from any writer is valid. It is usable as long as the log
//! still holds the offset at which the snapshot ends.
//!
//! A reader for which the log is down, or has dropped records that no snapshot covers, restores
//! a snapshot from a peer. It never skips records, unless the fold does without them
//! ([`Fold::REQUIRES_SNAPSHOT`]).

use crate::append_pace::AppendPacer;
use crate::external::{LogError, LogRecord, LogService, Page};
use crate::inventory::Name;
use crate::replica::{Envelope, Fold, FoldOutcome, MAX_BATCH, Position, Replica};
use crate::signal::Signal;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// How long the log holds a read open until the next record.
const READ_WAIT: Duration = Duration::from_millis(2_000);
/// Delay before the next read after one that failed or left a gap.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long to wait for an unanswered envelope to be read back before it is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(300);
/// How long appends may go unconfirmed before new commands are refused at once.
const STALL_LIMIT: Duration = Duration::from_millis(1_200);
/// How long a reader may stay behind a peer, or behind its own append, before it reconnects.
const BEHIND_LIMIT: Duration = Duration::from_millis(400);

/// A command that was read back from the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Recorded<V> {
    /// The command's position in the stream.
    pub(crate) position: Position,
    /// The fold's verdict on the command.
    pub(crate) verdict: V,
}

/// Why a command has no verdict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProposeError {
    /// The command is not in the log and never will be.
    NotRecorded,
    /// The command was recorded, but the log dropped it before this VM learned the verdict.
    VerdictLost,
}

type VerdictSender<V> = oneshot::Sender<Result<Recorded<V>, ProposeError>>;

/// A command waiting to be appended.
struct QueuedCommand<F: Fold> {
    command: F::Command,
    verdict_sender: VerdictSender<F::Verdict>,
    /// No append of the command begins after this, except to repeat an unanswered one.
    deadline: Option<Instant>,
}

impl<F: Fold> QueuedCommand<F> {
    fn is_expired(&self) -> bool {
        self.deadline
            .is_some_and(|deadline| deadline <= Instant::now())
    }

    fn complete(self, outcome: Result<Recorded<F::Verdict>, ProposeError>) {
        // The proposer may have dropped its future.
        let _ = self.verdict_sender.send(outcome);
    }
}

/// The envelope that may be in the log but has not been read back, with its commands.
struct InFlightEnvelope<F: Fold> {
    sequence: u64,
    entries: Vec<QueuedCommand<F>>,
}

impl<F: Fold> InFlightEnvelope<F> {
    fn fail(self, error: ProposeError) {
        for entry in self.entries {
            entry.complete(Err(error));
        }
    }
}

/// A folded state as VMs send it to each other.
#[derive(Clone, Debug)]
pub(crate) struct FoldedState {
    /// The offset of the first record that is not folded into the state.
    pub(crate) read_to: u64,
    /// The state as a snapshot record, in the form that the log stores.
    pub(crate) record: Vec<u8>,
}

/// This VM's reader and writer of one stream, with the folded state.
pub(crate) struct Stream<F: Fold, L: LogService> {
    name: Name,
    log: Rc<L>,
    writer: Name,
    replica: RefCell<Replica<F>>,
    queue: RefCell<VecDeque<QueuedCommand<F>>>,
    enqueued: Signal,
    append_pacer: AppendPacer,
    in_flight: RefCell<Option<InFlightEnvelope<F>>>,
    pending_since: Cell<Option<Instant>>,
    sequence: Cell<u64>,
    log_end: Cell<u64>,
    ready: Cell<bool>,
    changed: Signal,
    last_read_at: Cell<Option<Instant>>,
    checked_at: Cell<Option<Instant>>,
    confirmed_at: Cell<Option<Instant>>,
    behind_since: Cell<Option<Instant>>,
    reconnect_requested: Signal,
    restored_from_peer: Cell<bool>,
    cut_off: Cell<bool>,
    snapshot_at_ms: Cell<u64>,
    appends: Cell<u64>,
}

impl<F: Fold, L: LogService> Stream<F, L> {
    /// Opens a stream and starts its reader and its writer.
    ///
    /// `writer` must be unique to this run of the process, since sequence numbers restart with each
    /// run.
    pub(crate) fn open(name: &str, log: Rc<L>, writer: Name) -> Rc<Self> {
        let stream = Rc::new(Self {
            name: name.into(),
            log,
            writer,
            replica: RefCell::default(),
            queue: RefCell::default(),
            enqueued: Signal::default(),
            append_pacer: AppendPacer::default(),
            in_flight: RefCell::new(None),
            pending_since: Cell::new(None),
            sequence: Cell::new(0),
            log_end: Cell::new(0),
            ready: Cell::new(false),
            changed: Signal::default(),
            last_read_at: Cell::new(None),
            checked_at: Cell::new(None),
            confirmed_at: Cell::new(None),
            behind_since: Cell::new(None),
            reconnect_requested: Signal::default(),
            restored_from_peer: Cell::new(false),
            cut_off: Cell::new(false),
            snapshot_at_ms: Cell::new(0),
            appends: Cell::new(0),
        });
        compio::runtime::spawn(stream.clone().read_loop()).detach();
        compio::runtime::spawn(stream.clone().write_loop()).detach();
        stream
    }

    /// Calls a function with the folded state and returns its result.
    pub(crate) fn with<R>(&self, read: impl FnOnce(&F) -> R) -> R {
        read(&self.replica.borrow().fold)
    }

    /// Whether the reader has reached the log's end, with no gap since.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Whether the state may be used: the reader has reached the log's end, or a peer sent it.
    pub(crate) fn has_usable_state(&self) -> bool {
        self.ready.get() || self.restored_from_peer.get()
    }

    /// Whether the last read failed or left a gap that no snapshot covers.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.cut_off.get()
    }

    /// When the last finished read was started, whether it failed or not.
    pub(crate) fn checked_at(&self) -> Option<Instant> {
        self.checked_at.get()
    }

    /// Start time of the latest read that brought the fold up to the end of the stream.
    pub(crate) fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at.get()
    }

    /// Aborts the read in progress and reads again over a new connection.
    pub(crate) fn reconnect(&self) {
        self.reconnect_requested.notify();
    }

    /// Notes a peer's offset. A reader that stays behind a peer for [`BEHIND_LIMIT`] reconnects,
    /// since its connection may be dead without an error.
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

    /// Waits for the next read to finish or the next state from a peer.
    pub(crate) fn changed(&self) -> impl Future<Output = ()> + use<F, L> {
        self.changed.wait()
    }

    /// Time since the last read that was applied; `None` before the first.
    pub(crate) fn silence(&self) -> Option<Duration> {
        self.last_read_at.get().map(|at| at.elapsed())
    }

    /// Number of envelopes that this VM sent to the log, with repeats.
    pub(crate) fn appends(&self) -> u64 {
        self.appends.get()
    }

    /// The pacer of this VM's appends.
    pub(crate) fn append_pacer(&self) -> &AppendPacer {
        &self.append_pacer
    }

    /// The offset of the next record to be folded.
    pub(crate) fn next_offset(&self) -> u64 {
        self.replica.borrow().next_offset()
    }

    /// Age of the last snapshot that was read, by this VM's clock; `None` without one.
    pub(crate) fn snapshot_age(&self) -> Option<Duration> {
        let at_ms = self.snapshot_at_ms.get();
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let age = now
            .unwrap_or_default()
            .saturating_sub(Duration::from_millis(at_ms));
        (at_ms > 0).then_some(age)
    }

    /// Whether commands are accepted: the stream is ready and its appends are being confirmed.
    pub(crate) fn is_writable(&self) -> bool {
        self.ready.get()
            && self
                .pending_since
                .get()
                .is_none_or(|since| since.elapsed() < STALL_LIMIT)
    }

    /// Appends a command and waits until it is read back.
    ///
    /// Dropping the future does not cancel the command.
    ///
    /// # Errors
    ///
    /// Fails at once while the stream is not writable ([`Stream::is_writable`]); otherwise as
    /// [`ProposeError`] says.
    pub(crate) async fn propose(
        &self,
        command: F::Command,
    ) -> Result<Recorded<F::Verdict>, ProposeError> {
        self.enqueue(command, None).await
    }

    /// Like [`Stream::propose`], but begins no append after `deadline`, except to repeat an
    /// unanswered one.
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
        let (verdict_sender, mut receiver) = oneshot::channel();
        self.queue.borrow_mut().push_back(QueuedCommand {
            command,
            verdict_sender,
            deadline,
        });
        self.enqueued.notify();
        if let Some(deadline) = deadline {
            match compio::time::timeout_at(deadline, &mut receiver).await {
                Ok(outcome) => return outcome.unwrap_or(Err(ProposeError::NotRecorded)),
                Err(_elapsed) => self.drop_expired(),
            }
        }
        receiver.await.unwrap_or(Err(ProposeError::NotRecorded))
    }

    /// Drops queued commands whose deadline has passed.
    fn drop_expired(&self) {
        let queued = self.queue.take();
        let (expired, rest): (VecDeque<_>, _) =
            queued.into_iter().partition(QueuedCommand::is_expired);
        *self.queue.borrow_mut() = rest;
        for entry in expired {
            entry.complete(Err(ProposeError::NotRecorded));
        }
    }

    /// Reads a command from the log by its fence; `None` if the log no longer holds it.
    ///
    /// # Errors
    ///
    /// Fails when the log refuses the read or does not answer.
    pub(crate) async fn command_at(&self, fence: u64) -> Result<Option<F::Command>, LogError> {
        let index_in_stream = fence.saturating_sub(1);
        let (offset, index) = (
            index_in_stream / MAX_BATCH as u64,
            index_in_stream % MAX_BATCH as u64,
        );
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

    /// Appends a snapshot of the current state.
    ///
    /// # Errors
    ///
    /// Fails when the log refuses the append or does not answer. Snapshots are idempotent, so
    /// that writing another is harmless.
    pub(crate) async fn write_snapshot(&self) -> Result<(), LogError> {
        let record = self.state().record;
        self.log.append(&self.name, record).await.map(|_offset| ())
    }

    /// Appends a record that resets every reader to the empty state.
    ///
    /// Only for a stream whose records the log has dropped and whose state no VM has.
    ///
    /// # Errors
    ///
    /// Fails when the log refuses the append or does not answer.
    pub(crate) async fn start_anew(&self) -> Result<(), LogError> {
        let envelope = Envelope::<F::Command, F>::Restart {};
        let record = serde_json::to_vec(&envelope).expect("a restart envelope serializes");
        self.log.append(&self.name, record).await.map(|_offset| ())
    }

    /// The current state as a snapshot, for the log or for a peer.
    pub(crate) fn state(&self) -> FoldedState {
        let replica = self.replica.borrow();
        FoldedState {
            read_to: replica.next_offset(),
            record: replica.snapshot(),
        }
    }

    /// Restores a peer's state; false if it is not ahead of this one or cannot be read.
    pub(crate) fn restore_state(&self, state: &FoldedState) -> bool {
        if state.read_to <= self.next_offset() {
            return false;
        }
        let is_restored = std::str::from_utf8(&state.record)
            .is_ok_and(|record| self.restore(self.next_offset(), record));
        if is_restored {
            self.restored_from_peer.set(true);
            self.changed.notify();
        }
        is_restored
    }

    async fn write_loop(self: Rc<Self>) {
        loop {
            if self.queue.borrow().is_empty() {
                self.pending_since.set(None);
                let enqueued = self.enqueued.wait();
                if self.queue.borrow().is_empty() {
                    enqueued.await;
                }
                continue;
            }
            self.append_pacer.wait_until_due().await;
            if let Some(record) = self.build_envelope() {
                self.append_until_read_back(record).await;
            }
        }
    }

    /// Builds an envelope of the queued commands; `None` if all of them have expired.
    fn build_envelope(&self) -> Option<Vec<u8>> {
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
        let since = self.pending_since.get().unwrap_or_else(Instant::now);
        self.pending_since.set(Some(since));
        *self.in_flight.borrow_mut() = Some(InFlightEnvelope { sequence, entries });
        Some(record)
    }

    fn take_batch(&self) -> Vec<QueuedCommand<F>> {
        let mut entries = Vec::new();
        let mut queue = self.queue.borrow_mut();
        while entries.len() < MAX_BATCH
            && let Some(entry) = queue.pop_front()
        {
            if entry.is_expired() {
                entry.complete(Err(ProposeError::NotRecorded));
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
                    self.append_pacer.record_accepted();
                    break;
                }
                Some(Ok(offset)) => {
                    self.append_pacer.record_accepted();
                    self.wait_read_past(offset).await;
                    break;
                }
                Some(Err(LogError::Refused)) if !may_be_written => {
                    self.fail_in_flight();
                    break;
                }
                Some(Err(LogError::Busy)) if !may_be_written => {
                    self.append_pacer.record_refused();
                    return self.requeue_in_flight();
                }
                Some(Err(LogError::Busy | LogError::Refused)) => {}
                Some(Err(LogError::Unanswered)) => may_be_written = true,
            }
            // The envelope may be in the log: wait for it before appending it again.
            let wait = self.wait_read_back();
            if compio::time::timeout(READ_BACK_TIMEOUT, wait).await.is_ok() {
                break;
            }
        }
        self.pending_since.set(None);
    }

    /// Appends a record; `None` if it was read back before the log answered.
    async fn append(&self, record: Vec<u8>) -> Option<Result<u64, LogError>> {
        self.appends.set(self.appends.get() + 1);
        let (log, name) = (self.log.clone(), self.name.clone());
        let (sender, answer) = oneshot::channel();
        // A separate task, since dropping the call would close its connection.
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
            if self.in_flight.borrow().is_none() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the in-flight envelope, appended at `offset`, is read back.
    ///
    /// Reconnects whenever the reader stays behind the offset for [`BEHIND_LIMIT`]. A reader
    /// past the offset that has not seen the envelope skipped it among records that the log had
    /// dropped; its verdicts are lost.
    async fn wait_read_past(&self, offset: u64) {
        while self.next_offset() <= offset {
            let wait = self.wait_read_back();
            if compio::time::timeout(BEHIND_LIMIT, wait).await.is_ok() {
                return;
            }
            self.reconnect();
        }
        if let Some(envelope) = self.in_flight.take() {
            envelope.fail(ProposeError::VerdictLost);
        }
    }

    /// Fails the commands of the in-flight envelope, which is known not to be in the log.
    fn fail_in_flight(&self) {
        if let Some(envelope) = self.in_flight.take() {
            envelope.fail(ProposeError::NotRecorded);
        }
    }

    /// Puts the commands of an envelope that the log was too busy for back at the queue's front.
    fn requeue_in_flight(&self) {
        let Some(envelope) = self.in_flight.take() else {
            return;
        };
        self.sequence.set(envelope.sequence - 1);
        let mut queue = self.queue.borrow_mut();
        for entry in envelope.entries.into_iter().rev() {
            queue.push_front(entry);
        }
    }

    async fn read_loop(self: Rc<Self>) {
        let mut read_immediately = true;
        loop {
            let started_at = Instant::now();
            let wait = if read_immediately {
                Duration::ZERO
            } else {
                READ_WAIT
            };
            let Some(page) = self.read_page(wait).await else {
                self.log.reset_connections();
                read_immediately = true;
                continue;
            };
            let applied = match page {
                Ok(page) => self.apply_page(page).await,
                Err(_) => false,
            };
            read_immediately = !self.ready.get();
            self.cut_off.set(!applied);
            self.checked_at.set(Some(started_at));
            if applied {
                self.last_read_at.set(Some(Instant::now()));
                if self.ready.get() && self.next_offset() >= self.log_end.get() {
                    self.confirmed_at.set(Some(started_at));
                }
            } else {
                compio::time::sleep(RETRY_DELAY).await;
            }
            self.changed.notify();
        }
    }

    /// Reads the next page; `None` if a reconnect was requested first.
    async fn read_page(&self, wait: Duration) -> Option<Result<Page, LogError>> {
        let read = pin!(self.log.read(&self.name, self.next_offset(), wait));
        match select(read, pin!(self.reconnect_requested.wait())).await {
            Either::Left((page, _)) => Some(page),
            Either::Right(((), _)) => None,
        }
    }

    /// Folds a page; false if the log has dropped records before it and no snapshot covers them.
    async fn apply_page(&self, page: Page) -> bool {
        if page.first > self.next_offset() {
            if F::REQUIRES_SNAPSHOT {
                // Any of the dropped records may have changed the state.
                self.ready.set(false);
                self.restored_from_peer.set(false);
                return self.restore_from_snapshot(page.first).await;
            }
            self.replica.borrow_mut().skip_to(page.first);
        }
        self.fold_records(page.records);
        self.log_end.set(page.end);
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
            Ok(FoldOutcome::Commands {
                writer,
                sequence,
                verdicts,
            }) => self.report_verdicts(&writer, sequence, verdicts),
            Ok(FoldOutcome::Snapshot) => self.snapshot_at_ms.set(at_ms),
            Ok(FoldOutcome::Repeat | FoldOutcome::Restart) => {}
            Err(error) => crate::events::emit(
                crate::events::Event::RecordUnreadable,
                format_args!("stream={} offset={offset} error={error}", self.name),
            ),
        }
    }

    /// Completes this VM's own proposals with their verdicts.
    fn report_verdicts(&self, writer: &Name, sequence: u64, verdicts: Vec<(Position, F::Verdict)>) {
        let entries = self.take_in_flight(writer, sequence);
        for (entry, (position, verdict)) in entries.into_iter().zip(verdicts) {
            entry.complete(Ok(Recorded { position, verdict }));
        }
    }

    fn take_in_flight(&self, writer: &Name, sequence: u64) -> Vec<QueuedCommand<F>> {
        if *writer != self.writer {
            return Vec::new();
        }
        let mut in_flight = self.in_flight.borrow_mut();
        match in_flight.take() {
            Some(envelope) if envelope.sequence == sequence => envelope.entries,
            other => {
                *in_flight = other;
                Vec::new()
            }
        }
    }

    /// Restores the first usable snapshot or restart record in place of the dropped records, and
    /// then folds the records read before it that it does not cover.
    ///
    /// Returns false when the log holds neither, or could not be read to its end.
    async fn restore_from_snapshot(&self, first: u64) -> bool {
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
                if self.restore(first, record.data.get()) || self.apply_restart(&record) {
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

    /// Resets to the empty state if the record is a restart; false otherwise.
    fn apply_restart(&self, record: &LogRecord) -> bool {
        let envelope = serde_json::from_str::<Envelope<F::Command, F>>(record.data.get());
        let restarts = matches!(envelope, Ok(Envelope::Restart {}));
        if restarts {
            self.replica.borrow_mut().restart(record.offset);
        }
        restarts
    }

    /// Restores a snapshot that ends at or after `first`; false if it is not usable.
    fn restore(&self, first: u64, data: &str) -> bool {
        let restored = self.replica.borrow_mut().restore(first, data);
        if restored {
            self.fail_covered_envelope();
        }
        restored
    }

    /// Fails the in-flight envelope if the restored snapshot already includes it.
    fn fail_covered_envelope(&self) {
        let Some(last) = self.replica.borrow().last_sequence(&self.writer) else {
            return;
        };
        let covered = |envelope: &mut InFlightEnvelope<F>| envelope.sequence <= last;
        let envelope = self.in_flight.borrow_mut().take_if(covered);
        if let Some(envelope) = envelope {
            envelope.fail(ProposeError::VerdictLost);
        }
    }
}
