//! Follows the configuration and the directory of backend servers.

use crate::gateway::directory_updates::news_of;
use crate::gateway::log_follower::{Reading, Readings};
use crate::gateway::peers::UpdateScope;
use crate::gateway::state::State;
use crate::gateway::{Changes, ConfigSource, Directory, ServerChange, StoreError};
use crate::inventory::Name;
use std::collections::HashSet;
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
const SELDOM_INTERVAL: Duration = Duration::from_secs(60);
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
/// All that is newest is read within this time after the log has dropped the records that a VM was
/// to read next: the log serves, and no other VM is waited for. VMs that all find it at once do not
/// all read at once.
const COMPACTED_PAUSE: Duration = Duration::from_millis(400);
/// VMs of a zone that go on asking a log that none of them can read; one may itself be cut off, and
/// each question of each VM costs.
const ASKERS: usize = 3;
/// The longest pause of the others.
const OTHERS_PAUSE: Duration = Duration::from_millis(4_000);

/// Keeps the state in step with what the log holds.
pub(crate) struct LogWatcher<S> {
    state: Rc<State>,
    store: Rc<S>,
}

impl<S: ConfigSource + Directory> LogWatcher<S> {
    /// A watch over a store.
    pub(crate) fn new(state: Rc<State>, store: Rc<S>) -> Rc<Self> {
        Rc::new(Self { state, store })
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
                    let told = self.state.advertised_readings(read_at);
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
                        self.state.apply_configuration(configuration);
                    }
                    let is_change = before.is_some_and(|before| before.news < reading.news);
                    if is_change && self.state.follows_closely(reading.at) {
                        self.state.peers.trigger_update(UpdateScope::Zone);
                    }
                    let is_news = |told: Readings| told.configuration.news > reading.news;
                    self.await_turn(read_at, CONFIGURATION_INTERVAL, is_news)
                        .await;
                }
                Err(StoreError::Compacted) => {
                    next = None;
                    self.await_new_reading("configuration", failures).await;
                }
                Err(error) => {
                    self.note_failure("configuration", error, failures);
                    failures += 1;
                    self.await_retry(failures).await;
                }
            }
        }
    }

    /// Follows the directory until the process ends.
    pub(crate) async fn follow_directory(self: Rc<Self>) {
        let following = &self.state.following;
        let mut failures = 0;
        loop {
            let read_at = Instant::now();
            let from = following.directory_end.get();
            let read = match from {
                None => self.store.entries().await,
                Some(from) => self.store.changes_since(from).await,
            };
            match read {
                // What was passed on meanwhile is newer.
                Ok(_) if following.directory_end.get() != from => {}
                Ok(changes) => {
                    if failures > 0 {
                        info!(failures, "directory regained");
                    }
                    failures = 0;
                    self.take(changes, from);
                    self.await_directory_turn(read_at).await;
                }
                Err(StoreError::Compacted) => {
                    following.directory_end.set(None);
                    following.disrupted_at.set(Some(Instant::now()));
                    self.await_new_reading("directory", failures).await;
                }
                Err(error) => {
                    following.disrupted_at.set(Some(Instant::now()));
                    self.note_failure("directory", error, failures);
                    failures += 1;
                    self.await_retry(failures).await;
                }
            }
            self.state.purge_removed(Instant::now());
        }
    }

    /// Waits until the directory is to be read again: where another VM follows it for this one,
    /// until it tells of changes that did not come.
    async fn await_directory_turn(&self, read_at: Instant) {
        let following = &self.state.following;
        let is_news = |told: Readings| {
            let end = following.directory_end.get();
            let has_missed = end.is_none_or(|end| told.directory.news > end);
            if !has_missed {
                // Nothing that matters comes before the place up to which it has read.
                following
                    .directory_end
                    .set(end.max(Some(told.directory_end)));
            }
            has_missed
        };
        self.await_turn(read_at, DIRECTORY_INTERVAL, is_news).await;
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
        let told = self.state.advertised_readings(Instant::now());
        let is_behind = told.is_some_and(&is_news);
        let interval = if is_behind { BEHIND_INTERVAL } else { interval };
        compio::time::sleep_until(read_at + interval).await;
        while read_at.elapsed() < SELDOM_INTERVAL {
            self.state.purge_removed(Instant::now());
            match self.state.advertised_readings(Instant::now()) {
                Some(told) if !is_news(told) => compio::time::sleep(NEWS_POLL).await,
                _ => return,
            }
        }
    }

    /// Takes a reading over that began at `from`, or was whole; passes on what the zone must know
    /// if this VM follows the directory for it.
    fn take(&self, mut changes: Changes<ServerChange>, from: Option<u64>) {
        let now = Instant::now();
        let next = changes.next;
        if from.is_none() {
            changes.items.extend(self.unlisted(&changes.items));
        }
        let (told, has_news) = self.state.apply_directory_changes(changes, now);
        let following = &self.state.following;
        following.directory_end.set(Some(next));
        let before = following.directory.get();
        let news = match before {
            Some(before) if told.is_empty() => before.news,
            _ => next,
        };
        following.directory.set(Some(Reading { news, at: now }));
        if !self.state.follows_closely(now) {
            following.told_to.set(None);
            return;
        }
        let told_to = following.told_to.get().or(from);
        if told.is_empty() {
            following.told_to.set(told_to);
            return;
        }
        following.told_to.set(Some(next));
        let is_shaken = following.is_shaken(now);
        let news = told_to.and_then(|from| news_of(&told, from, next, is_shaken));
        info!(
            changes = told.len(),
            has_news,
            next,
            is_told = news.is_some(),
            "directory changed"
        );
        self.state
            .peers
            .queue_directory_updates(news.unwrap_or_default());
    }

    /// Servers that a whole reading did not bring.
    fn unlisted(&self, here: &[ServerChange]) -> Vec<ServerChange> {
        let ids: HashSet<&Name> = here
            .iter()
            .filter_map(|change| match change {
                ServerChange::Upserted(entry) => Some(&entry.id),
                ServerChange::Removed(_) => None,
            })
            .collect();
        let servers = self.state.fleet.servers().into_iter();
        let gone =
            servers.filter(|server| !ids.contains(&server.id) && !server.is_marked_removed());
        gone.map(|server| ServerChange::Removed(server.id.clone()))
            .collect()
    }

    /// Waits for the reading of all that is newest, after the log has dropped what was next.
    async fn await_new_reading(&self, what: &'static str, failures: u32) {
        self.note_failure(what, StoreError::Compacted, failures);
        compio::time::sleep(COMPACTED_PAUSE.mul_f64(rand::random())).await;
    }

    /// Waits after a failed read. While nobody in the zone reads the log, a few VMs of it ask on
    /// and the others wait to hear of it from them.
    async fn await_retry(&self, failures: u32) {
        let failed_at = Instant::now();
        compio::time::sleep(retry_pause(failures, self.state.is_ready())).await;
        let leaves_it = || self.state.fence.get() == 0 && self.state.zone_rank() >= ASKERS;
        while leaves_it() && failed_at.elapsed() < OTHERS_PAUSE {
            if self.state.advertised_readings(Instant::now()).is_some() {
                return;
            }
            compio::time::sleep(NEWS_POLL).await;
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
