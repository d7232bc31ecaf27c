//! Follows the configuration and the directory of backend servers.

use crate::gateway::following::{Reading, Readings};
use crate::gateway::state::State;
use crate::gateway::{Changes, ConfigSource, Directory, ServerChange, StoreError};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How long one read waits for a change of the configuration: what it did not bring is then known
/// not to be there, of which others are told. A read that is held while the log goes silent is
/// given up soon after, so that a change made at the log's return is in force within 2 s.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(500);
/// The shortest time between two reads of the configuration, so that a storm of changes
/// costs five calls a second; a tenth of the time in which a change has to be in force.
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(200);
/// The time between two reads of the directory: a quarter of the time after which no request
/// may reach a server that leaves.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(500);
/// The time between two reads where another VM in the zone follows the log and tells of news.
const SELDOM_INTERVAL: Duration = Duration::from_millis(5_000);
/// The time between two reads where the log itself is behind what was told.
const BEHIND_INTERVAL: Duration = Duration::from_millis(1_000);
/// The time between two looks for such news, half of that between two messages.
const NEWS_POLL: Duration = Duration::from_millis(100);
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause while reads go on failing at a VM that can serve with what it knows, also
/// where another VM follows the log for it: with 2 s a VM whose way to the log was restored had a
/// change in force 3.5 s after it. One that knows too little refuses every request, and asks on
/// at the first pace.
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
                Some(from) => {
                    let told = self.state.told_news(read_at);
                    let wait = told.map_or(CONFIGURATION_WAIT, |_| Duration::ZERO);
                    self.store.changes(from, wait).await
                }
            };
            match read {
                Ok(changes) => {
                    failures = 0;
                    next = Some(changes.next);
                    let reading = Reading {
                        news: changes.next,
                        at: Instant::now(),
                    };
                    let following = &self.state.following;
                    let before = following.configuration.replace(Some(reading));
                    for configuration in changes.items {
                        self.state.take_configuration(configuration);
                    }
                    if before.is_some_and(|before| before.news < reading.news) {
                        self.state.peers.hurry();
                    }
                    let is_news = |told: Readings| told.configuration.news > reading.news;
                    self.await_turn(read_at, CONFIGURATION_INTERVAL, is_news)
                        .await;
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
                    let end = changes.next;
                    next = Some(end);
                    let has_news = self.take(changes, is_whole);
                    self.note_directory(end, has_news);
                    let is_news = |told: Readings| told.directory.news > end;
                    self.await_turn(read_at, DIRECTORY_INTERVAL, is_news).await;
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

    /// Waits for the next reading: for `interval` at least, and where another VM follows the log
    /// for this one, until it tells of news or much time has passed.
    async fn await_turn(
        &self,
        read_at: Instant,
        interval: Duration,
        is_news: impl Fn(Readings) -> bool,
    ) {
        // A log that is behind what was told is not asked again at once.
        let told = self.state.told_news(Instant::now());
        let is_behind = told.is_some_and(&is_news);
        let interval = if is_behind { BEHIND_INTERVAL } else { interval };
        compio::time::sleep_until(read_at + interval).await;
        while read_at.elapsed() < SELDOM_INTERVAL {
            match self.state.told_news(Instant::now()) {
                Some(told) if !is_news(told) => compio::time::sleep(NEWS_POLL).await,
                _ => return,
            }
        }
    }

    /// Notes how far the directory was read; what others must know of is told at once.
    fn note_directory(&self, end: u64, has_news: bool) {
        let directory = &self.state.following.directory;
        let before = directory.get();
        let news = match before {
            Some(before) if !has_news => before.news,
            _ => end,
        };
        directory.set(Some(Reading {
            news,
            at: Instant::now(),
        }));
        if has_news {
            self.state.peers.hurry();
        }
    }

    /// Takes changes over; tells whether servers came, left or changed their state.
    fn take(&self, changes: Changes<ServerChange>, is_whole: bool) -> bool {
        let now = Instant::now();
        let fleet = &self.state.fleet;
        let mut has_news = false;
        let mut here = Vec::new();
        for change in changes.items {
            match change {
                ServerChange::Here(entry) => {
                    let id = entry.id.clone();
                    let state = entry.state;
                    if fleet.take(entry) {
                        has_news = true;
                        info!(server = %id, ?state, "server listed");
                    }
                    here.push(id);
                }
                ServerChange::Gone(id) => {
                    has_news |= fleet.server(&id).is_some();
                    fleet.lapse(&id, now);
                }
            }
        }
        if is_whole {
            has_news |= fleet.keep_only(&here, now);
        }
        self.state.is_directory_known.set(true);
        self.state.changed.notify();
        has_news
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
