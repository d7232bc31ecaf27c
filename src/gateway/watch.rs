//! Follows the configuration and the directory of backend servers.

use crate::gateway::state::State;
use crate::gateway::{Changes, ConfigSource, Directory, ServerChange, StoreError};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How long one read waits for a change of the configuration: a read that is held while
/// the log goes silent is given up soon after, so that a change made at the log's return is
/// in force within 2 s or little more.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_300);
/// The shortest time between two reads of the configuration, so that a storm of changes
/// costs five calls a second; a tenth of the time in which a change has to be in force.
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(200);
/// The time between two reads of the directory: a third of the time after which no request
/// may reach a server that leaves.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(650);
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause while reads go on failing at a VM that can serve with what it knows. One
/// that knows too little refuses every request, and asks on at the first pace.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// How long after a failed read the directory counts as shaken.
const SHAKEN_FOR: Duration = Duration::from_millis(4_000);
/// How long an entry that lapsed in a shaken directory has to come back.
const LAPSE_LIMIT: Duration = Duration::from_millis(2_000);

/// Keeps the state in step with what the log holds.
pub(crate) struct Watch<S> {
    state: Rc<State>,
    store: Rc<S>,
    failed_at: Cell<Option<Instant>>,
}

impl<S: ConfigSource + Directory> Watch<S> {
    /// A watch over a store.
    pub(crate) fn new(state: Rc<State>, store: Rc<S>) -> Rc<Self> {
        Rc::new(Self {
            state,
            store,
            failed_at: Cell::new(None),
        })
    }

    /// Follows the configuration until the process ends.
    pub(crate) async fn follow_configuration(self: Rc<Self>) {
        let mut next = None;
        let mut failures = 0;
        loop {
            let read_at = Instant::now();
            let read = match next {
                None => self.store.newest().await,
                Some(from) => self.store.changes(from, CONFIGURATION_WAIT).await,
            };
            match read {
                Ok(changes) => {
                    failures = 0;
                    next = Some(changes.next);
                    for configuration in changes.items {
                        self.state.take_configuration(configuration);
                    }
                    compio::time::sleep_until(read_at + CONFIGURATION_INTERVAL).await;
                }
                Err(error) => {
                    if error == StoreError::Compacted {
                        next = None;
                    }
                    self.note_failure("configuration", error, failures);
                    failures += 1;
                    let pause = retry_pause(failures, self.state.is_ready());
                    compio::time::sleep(pause).await;
                }
            }
        }
    }

    /// Follows the directory until the process ends.
    pub(crate) async fn follow_directory(self: Rc<Self>) {
        let mut next = None;
        let mut failures = 0;
        loop {
            let read_at = Instant::now();
            let read = match next {
                None => self.store.entries().await,
                Some(from) => self.store.changes_since(from).await,
            };
            match read {
                Ok(changes) => {
                    if failures > 0 {
                        info!(failures, "directory regained");
                    }
                    failures = 0;
                    let is_whole = next.is_none();
                    next = Some(changes.next);
                    self.take(changes, is_whole);
                    compio::time::sleep_until(read_at + DIRECTORY_INTERVAL).await;
                }
                Err(error) => {
                    if error == StoreError::Compacted {
                        next = None;
                    }
                    self.failed_at.set(Some(Instant::now()));
                    self.note_failure("directory", error, failures);
                    failures += 1;
                    let pause = retry_pause(failures, self.state.is_ready());
                    compio::time::sleep(pause).await;
                }
            }
            self.forget_lapsed();
        }
    }

    fn take(&self, changes: Changes<ServerChange>, is_whole: bool) {
        let now = Instant::now();
        let fleet = &self.state.fleet;
        let mut here = Vec::new();
        for change in changes.items {
            match change {
                ServerChange::Here(entry) => {
                    let id = entry.id.clone();
                    let state = entry.state;
                    if fleet.take(entry) {
                        info!(server = %id, ?state, "server listed");
                    }
                    here.push(id);
                }
                ServerChange::Gone(id) => fleet.lapse(&id, now),
            }
        }
        if is_whole {
            fleet.keep_only(&here, now);
        }
        self.state.is_directory_known.set(true);
        self.state.changed.notify();
    }

    /// Servers whose entry lapsed are gone, at once unless the directory itself was away.
    fn forget_lapsed(&self) {
        let now = Instant::now();
        let is_shaken = self
            .failed_at
            .get()
            .is_some_and(|at| now.duration_since(at) < SHAKEN_FOR);
        let limit = if is_shaken {
            LAPSE_LIMIT
        } else {
            Duration::ZERO
        };
        for id in self.state.fleet.forget_lapsed(limit, now) {
            info!(server = %id, is_shaken, "server gone");
        }
    }

    fn note_failure(&self, what: &'static str, error: StoreError, failures: u32) {
        if failures == 0 {
            warn!(what, ?error, "log not read");
        }
    }
}

/// The pause after so many failed reads in a row.
pub(crate) fn retry_pause(failures: u32, is_ready: bool) -> Duration {
    if is_ready {
        (RETRY_PAUSE * failures.clamp(1, 4)).min(MAX_RETRY_PAUSE)
    } else {
        RETRY_PAUSE
    }
}
