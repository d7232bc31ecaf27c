//! Follows the configuration and the directory of backend servers in the log.

use crate::gateway::directory_updates::update_messages;
use crate::gateway::log_follower::{Reading, Readings};
use crate::gateway::peers::UpdateScope;
use crate::gateway::state::State;
use crate::gateway::{Changes, ConfigSource, Directory, ServerChange, StoreError};
use crate::inventory::Name;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How long one read of the configuration waits for a change. A read that returns nothing shows
/// that there is no change, which is then advertised to other VMs. If the log stops
/// responding, a pending read is abandoned soon after this time, so that a change made once the log
/// responds again is in force within 2 s.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(500);
/// Minimum time between two reads of the configuration. It limits a burst of changes to five calls
/// per second, and is a tenth of the time within which a change has to be in force.
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reads of the directory: a quarter of the time within which a leaving server has
/// to stop receiving requests.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads while another VM of the zone follows the log and advertises changes.
const BACKGROUND_INTERVAL: Duration = Duration::from_secs(60);
/// Time between two reads while the log returns less than another VM has advertised.
const BEHIND_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between two checks for advertised changes: half of the time between two gossip messages.
const UPDATE_POLL: Duration = Duration::from_millis(100);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Maximum pause between failing reads at a VM that can serve from its current state, even if
/// another VM follows the log for it. With 2 s, a VM whose connection to the log was restored had a
/// change in force only 3.5 s later. A VM that is not ready refuses every request and retries
/// without a longer pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Maximum delay of the full read after the log dropped the records that a VM was to read next. The
/// log is available then, so the VM does not wait for others. The delay is random, so that VMs that
/// detect this at the same time do not all read at once.
const COMPACTED_PAUSE: Duration = Duration::from_millis(400);
/// Number of VMs in a zone that keep reading while no VM of the zone can read the log. More than
/// one is needed since a single VM may itself be cut off; not all, since each read has a cost.
const MAX_RETRYING_VMS: usize = 3;
/// Maximum time for which the other VMs of the zone wait before they read the log themselves.
const MAX_OTHERS_PAUSE: Duration = Duration::from_millis(4_000);

/// Keeps the state of this VM up to date with the log.
pub(crate) struct LogWatcher<S> {
    state: Rc<State>,
    store: Rc<S>,
}

impl<S: ConfigSource + Directory> LogWatcher<S> {
    /// Creates a watcher that reads from `store`.
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
                    let advertised = self.state.advertised_readings(read_at);
                    let wait = advertised.map_or(CONFIGURATION_WAIT, |_| Duration::ZERO);
                    self.store.changes(from, wait).await
                }
            };
            match read {
                Ok(changes) => {
                    failures = 0;
                    next = Some(changes.next_offset);
                    let reading = Reading {
                        last_change: changes.next_offset,
                        at: Instant::now(),
                    };
                    let following = &self.state.following;
                    let before = following.configuration.replace(Some(reading));
                    for configuration in changes.items {
                        self.state.apply_configuration(configuration);
                    }
                    let is_change =
                        before.is_some_and(|before| before.last_change < reading.last_change);
                    if is_change && self.state.follows_closely(reading.at) {
                        self.state.peers.trigger_update(UpdateScope::Zone);
                    }
                    let has_update = |advertised: Readings| {
                        advertised.configuration.last_change > reading.last_change
                    };
                    self.wait_for_next_read(read_at, CONFIGURATION_INTERVAL, has_update)
                        .await;
                }
                Err(StoreError::Compacted) => {
                    next = None;
                    self.wait_before_full_read("configuration", failures).await;
                }
                Err(error) => {
                    self.report_failure("configuration", error, failures);
                    failures += 1;
                    self.wait_before_retry(failures).await;
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
                // An update forwarded by another VM arrived in the meantime and is newer.
                Ok(_) if following.directory_end.get() != from => {}
                Ok(changes) => {
                    if failures > 0 {
                        info!(failures, "directory regained");
                    }
                    failures = 0;
                    self.apply_read(changes, from);
                    self.wait_for_next_directory_read(read_at).await;
                }
                Err(StoreError::Compacted) => {
                    following.directory_end.set(None);
                    following.disrupted_at.set(Some(Instant::now()));
                    self.wait_before_full_read("directory", failures).await;
                }
                Err(error) => {
                    following.disrupted_at.set(Some(Instant::now()));
                    self.report_failure("directory", error, failures);
                    failures += 1;
                    self.wait_before_retry(failures).await;
                }
            }
            self.state.purge_removed(Instant::now());
        }
    }

    /// Waits until the directory has to be read again. While another VM follows the log for this
    /// one, that is once it advertises changes which this VM did not receive.
    async fn wait_for_next_directory_read(&self, read_at: Instant) {
        let following = &self.state.following;
        let has_update = |advertised: Readings| {
            let end = following.directory_end.get();
            let has_missed = end.is_none_or(|end| advertised.directory.last_change > end);
            if !has_missed {
                // No change that matters precedes the offset up to which the other VM has read.
                following
                    .directory_end
                    .set(end.max(Some(advertised.directory_end)));
            }
            has_missed
        };
        self.wait_for_next_read(read_at, DIRECTORY_INTERVAL, has_update)
            .await;
    }

    /// Waits until the next read is due: for `interval` at least and, while another VM follows the
    /// log for this one, until it advertises changes or [`BACKGROUND_INTERVAL`] has passed.
    async fn wait_for_next_read(
        &self,
        read_at: Instant,
        interval: Duration,
        has_update: impl Fn(Readings) -> bool,
    ) {
        // If the log is behind the advertised offset, another read at once would return no more.
        let advertised = self.state.advertised_readings(Instant::now());
        let is_behind = advertised.is_some_and(&has_update);
        let interval = if is_behind { BEHIND_INTERVAL } else { interval };
        compio::time::sleep_until(read_at + interval).await;
        while read_at.elapsed() < BACKGROUND_INTERVAL {
            self.state.purge_removed(Instant::now());
            match self.state.advertised_readings(Instant::now()) {
                Some(reads) if !has_update(reads) => compio::time::sleep(UPDATE_POLL).await,
                _ => return,
            }
        }
    }

    /// Applies a read of the directory that started at offset `from`, or a full read if that is
    /// `None`. If this VM follows the log for its zone, forwards the relevant changes.
    fn apply_read(&self, mut changes: Changes<ServerChange>, from: Option<u64>) {
        let now = Instant::now();
        let next = changes.next_offset;
        if from.is_none() {
            changes.items.extend(self.removed_servers(&changes.items));
        }
        let (relevant, has_availability_change) = self.state.apply_directory_changes(changes, now);
        let following = &self.state.following;
        following.directory_end.set(Some(next));
        let before = following.directory.get();
        let last_change = match before {
            Some(before) if relevant.is_empty() => before.last_change,
            _ => next,
        };
        following.directory.set(Some(Reading {
            last_change,
            at: now,
        }));
        if !self.state.follows_closely(now) {
            following.sent_to.set(None);
            return;
        }
        let sent_to = following.sent_to.get().or(from);
        if relevant.is_empty() {
            following.sent_to.set(sent_to);
            return;
        }
        following.sent_to.set(Some(next));
        let was_log_unavailable = following.was_recently_disrupted(now);
        let messages =
            sent_to.and_then(|from| update_messages(&relevant, from, next, was_log_unavailable));
        info!(
            changes = relevant.len(),
            has_news = has_availability_change,
            next,
            is_told = messages.is_some(),
            "directory changed"
        );
        self.state
            .peers
            .queue_directory_updates(messages.unwrap_or_default());
    }

    /// Removals of the known servers that a full read did not return.
    fn removed_servers(&self, listed: &[ServerChange]) -> Vec<ServerChange> {
        let ids: HashSet<&Name> = listed
            .iter()
            .filter_map(|change| match change {
                ServerChange::Upserted(entry) => Some(&entry.id),
                ServerChange::Removed(_) => None,
            })
            .collect();
        let servers = self.state.fleet.servers().into_iter();
        let removed =
            servers.filter(|server| !ids.contains(&server.id) && !server.is_marked_removed());
        removed
            .map(|server| ServerChange::Removed(server.id.clone()))
            .collect()
    }

    /// Waits for a random time before a full read, after the log dropped the next records.
    async fn wait_before_full_read(&self, what: &'static str, failures: u32) {
        self.report_failure(what, StoreError::Compacted, failures);
        compio::time::sleep(COMPACTED_PAUSE.mul_f64(rand::random())).await;
    }

    /// Waits after a failed read. While no VM of the zone can read the log, only the leader and the
    /// first [`MAX_RETRYING_VMS`] VMs of the zone by address retry after the usual pause. The
    /// others wait until one of those advertises a read, for at most [`MAX_OTHERS_PAUSE`].
    async fn wait_before_retry(&self, failures: u32) {
        let failed_at = Instant::now();
        compio::time::sleep(retry_pause(failures, self.state.is_ready())).await;
        let waits_for_others =
            || self.state.fence.get() == 0 && self.state.zone_rank() >= MAX_RETRYING_VMS;
        while waits_for_others() && failed_at.elapsed() < MAX_OTHERS_PAUSE {
            if self.state.advertised_readings(Instant::now()).is_some() {
                return;
            }
            compio::time::sleep(UPDATE_POLL).await;
        }
    }

    fn report_failure(&self, what: &'static str, error: StoreError, failures: u32) {
        if failures == 0 {
            warn!(what, ?error, "log not read");
        }
    }
}

/// Pause after `failures` failed reads in a row; it grows only if the VM is ready.
pub(crate) fn retry_pause(failures: u32, is_ready: bool) -> Duration {
    if is_ready {
        (RETRY_PAUSE * failures.clamp(1, 4)).min(MAX_RETRY_PAUSE)
    } else {
        RETRY_PAUSE
    }
}
