//! How current the state counts that a VM reads, if the answers to its reads are late.

use crate::gateway::configuration::Configuration;
use crate::gateway::log_follower::Reading;
use crate::gateway::state::State;
use crate::gateway::sync_client::ReceivedPart;
use crate::gateway::sync_message::SyncReply;
use crate::gateway::tests::{address, state_at};
use crate::gateway::watch::LogWatcher;
use crate::gateway::{Changes, ConfigSource, Directory, ServerChange, StoreError};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the VM is stopped after the log has answered.
const STOP: Duration = Duration::from_millis(120);
/// How long the log waits before it returns a change.
const CHANGE_AFTER: Duration = Duration::from_millis(50);
/// Offset up to which the VM has the configuration.
const OWN_END: u64 = 70;

/// A log that answers while the VM is stopped.
#[derive(Debug, Default)]
struct LateLog {
    has_change: bool,
    /// The time at which the last answer was made.
    answered_at: Cell<Option<Instant>>,
    /// How long the last read was to wait.
    waited: Cell<Option<Duration>>,
}

impl LateLog {
    fn answer<T>(&self, items: Vec<T>, next_offset: u64) -> Result<Changes<T>, StoreError> {
        self.answered_at.set(Some(Instant::now()));
        std::thread::sleep(STOP);
        Ok(Changes { items, next_offset })
    }
}

impl ConfigSource for LateLog {
    async fn newest(&self) -> Result<Changes<Configuration>, StoreError> {
        self.answer(vec![Configuration::default()], OWN_END)
    }

    fn decode(&self, _document: &[u8]) -> Result<Configuration, StoreError> {
        Ok(Configuration::default())
    }

    async fn changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> Result<Changes<Configuration>, StoreError> {
        self.waited.set(Some(wait));
        if self.has_change {
            compio::time::sleep(CHANGE_AFTER.min(wait)).await;
            return self.answer(vec![Configuration::default()], from + 1);
        }
        compio::time::sleep(wait).await;
        self.answer(Vec::new(), from)
    }
}

impl Directory for LateLog {
    async fn entries(&self) -> Result<Changes<ServerChange>, StoreError> {
        self.answer(Vec::new(), OWN_END)
    }

    async fn changes_before(&self, end: u64, _count: u64) -> Result<Vec<ServerChange>, StoreError> {
        Ok(self.answer(Vec::new(), end)?.items)
    }

    async fn changes_since(&self, from: u64) -> Result<Changes<ServerChange>, StoreError> {
        self.answer(Vec::new(), from)
    }
}

/// A VM that has read the configuration at this time.
fn vm_that_read(at: Instant) -> Rc<State> {
    let state = Rc::new(state_at(address(0)));
    state.following.configuration.set(Some(Reading {
        last_change: OWN_END,
        at,
    }));
    state
}

/// Guards against an answer from before a change being taken as current after the change, since the
/// VM that reads it was stopped in between.
#[compio::test]
async fn what_was_read_is_not_taken_as_newer_than_the_answer_of_the_log() {
    for (has_change, from) in [(false, None), (false, Some(OWN_END)), (true, Some(OWN_END))] {
        let now = Instant::now();
        let log = LateLog {
            has_change,
            ..LateLog::default()
        };
        let log = Rc::new(log);
        let watcher = LogWatcher::new(vm_that_read(now), log.clone());
        let (_, at) = watcher
            .read_configuration(from, now)
            .await
            .expect("the log answers");
        assert!(Some(at) <= log.answered_at.get(), "{has_change} {from:?}");
        let read = watcher.read_directory(from).await.expect("the log answers");
        let at = read.at;
        assert!(Some(at) <= log.answered_at.get(), "{has_change} {from:?}");
    }
}

/// Guards against reads that count as older than they are: other VMs would read for themselves.
#[compio::test]
async fn a_read_that_waited_in_vain_counts_as_current_until_the_end_of_the_wait() {
    let now = Instant::now();
    let log = Rc::new(LateLog::default());
    let watcher = LogWatcher::new(vm_that_read(now), log.clone());
    let read = watcher.read_configuration(Some(OWN_END), now).await;
    let (_, at) = read.expect("the log answers");
    let waited = log.waited.get().expect("the log was read");
    assert!(waited >= Duration::from_millis(500));
    assert!(at >= now + waited);
}

/// Guards against a VM that goes on after a stop leaving the others for another wait without a
/// confirmed read.
#[compio::test]
async fn a_vm_whose_last_read_is_old_reads_without_waiting_for_a_change() {
    let now = Instant::now();
    let log = Rc::new(LateLog::default());
    let old = now - Duration::from_secs(2);
    let watcher = LogWatcher::new(vm_that_read(old), log.clone());
    let read = watcher.read_configuration(Some(OWN_END), now).await;
    read.expect("the log answers");
    assert_eq!(log.waited.get(), Some(Duration::ZERO));
}

/// Guards against a part that another VM sent counting as newer than when it was sent: the reply may
/// be under way for long, or wait while this VM is stopped.
#[test]
fn the_age_of_a_part_that_another_vm_sent_counts_from_the_request() {
    let requested_at = Instant::now();
    let received = ReceivedPart {
        reply: SyncReply {
            confirmed_age_ms: 100,
            ..SyncReply::default()
        },
        peer: address(1),
        bytes: 0,
        requested_at,
    };
    std::thread::sleep(STOP);
    let age = Duration::from_millis(100);
    assert_eq!(Some(received.confirmed_at()), requested_at.checked_sub(age));
}
