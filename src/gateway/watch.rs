//! Follows the configuration and the directory of backend servers in the log.

use crate::gateway::boot_time::BootTime;
use crate::gateway::crash_state::PeerCrashNews;
use crate::gateway::directory_updates::{ServerUpdate, update_messages};
use crate::gateway::log_follower::{Reading, Readings, read_as_of};
use crate::gateway::outbox::UpdateScope;
use crate::gateway::peer_search::PeerSearch;
use crate::gateway::read_delays::{ReadDelays, ReadStep};
use crate::gateway::removal::{ChangeSource, MAX_WRITE_DELAY};
use crate::gateway::source_selector::{Source, SourceSelector};
use crate::gateway::state::State;
use crate::gateway::sync_client::{ReceivedPart, SEARCH_TIME, SyncClient};
use crate::gateway::sync_message::Part;
use crate::gateway::{Changes, ConfigSource, Configuration, Directory, ServerChange, StoreError};
use crate::inventory::Name;
use futures_util::future::{Either, select};
use std::collections::HashSet;
use std::pin::pin;
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
/// Time between two reads while another VM of the zone follows the log and advertises changes, at
/// least. In a large zone it is longer, so that the zone makes a few such reads per minute.
const BACKGROUND_INTERVAL: Duration = Duration::from_secs(60);
/// Time between two of these reads in the whole zone.
const ZONE_BACKGROUND_INTERVAL: Duration = Duration::from_secs(5);
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
/// Time over which the other VMs of the zone spread their reads, for each VM. Whichever of them are
/// gone, the rest of the zone reads soon after the log is available again.
const OTHERS_SPREAD_PER_VM: Duration = Duration::from_millis(200);
/// Pause before the listed members are asked again when none of them could be reached.
const MEMBERS_PAUSE: Duration = Duration::from_millis(10);
/// Least time in which another VM may send a change.
const MIN_SYNC_TIME: Duration = Duration::from_millis(500);
/// Time over which the VMs of a zone spread their requests for the same change, for each VM.
const SYNC_SPREAD_PER_VM: Duration = Duration::from_millis(2);
/// Maximum time since the sender of a part knew it to be current. A VM that starts does not take an
/// older one, unless it cannot read the log either.
const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(2_000);
/// The largest number of changes before the directory that are read when this VM starts.
const MAX_RECENT_CHANGES: u64 = 4_000;
/// How long a VM that has started asks others which servers are alive, and the time between two such
/// requests.
const CONFIRMATION_TIME: Duration = Duration::from_millis(8_000);
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two checks whether another VM has a configuration that the log lost: one gossip
/// interval.
const LOST_CONFIGURATION_POLL: Duration = Duration::from_millis(200);
/// How long a VM that serves waits for a later version that another VM states, before it requests it:
/// within 2 s it obtains a version that the operator has just published from the log.
const LATER_VERSION_TIME: Duration = Duration::from_millis(3_000);
/// Time without knowing that a part is current from which that is logged.
const LATE_CONFIRMATION: Duration = Duration::from_millis(1_500);

/// Keeps the state of this VM up to date with the log.
pub(crate) struct LogWatcher<S> {
    state: Rc<State>,
    store: Rc<S>,
    sync: SyncClient,
}

impl<S: ConfigSource + Directory> LogWatcher<S> {
    /// Creates a watcher that reads from `store`.
    pub(crate) fn new(state: Rc<State>, store: Rc<S>) -> Rc<Self> {
        Rc::new(Self {
            sync: SyncClient::new(state.clone()),
            state,
            store,
        })
    }

    /// Follows the configuration until the process ends.
    pub(crate) async fn follow_configuration(self: Rc<Self>) {
        let mut next = None;
        let mut delays = ReadDelays::default();
        let selector = SourceSelector::new(self.state.clone(), Part::Configuration);
        loop {
            let read_at = Instant::now();
            let source = selector.select(next).await;
            delays.add(ReadStep::Turn, read_at);
            let began = Instant::now();
            let read = match source {
                Source::Peer(_) | Source::Members(_) => {
                    let synced = async {
                        let part = Part::Configuration;
                        let synced = self.sync_part(part, next, source, &selector).await?;
                        Some(self.decode_synced(&synced))
                    };
                    let read = self.read_configuration(next, read_at);
                    let read = first_obtained(synced, read, &selector).await;
                    delays.add(ReadStep::Peer, began);
                    let Some(read) = read else {
                        continue;
                    };
                    read
                }
                Source::Unneeded => {
                    self.wait_for_next_configuration_read(read_at).await;
                    delays = ReadDelays::default();
                    continue;
                }
                Source::Log => {
                    self.state.reads_log.set(true);
                    let read = self.read_configuration(next, read_at);
                    let read = read_unless_alternative(read, next, &selector).await;
                    delays.add(ReadStep::Log, began);
                    let Some(read) = read else {
                        continue;
                    };
                    read
                }
            };
            match read {
                Ok((changes, read_at_log)) => {
                    selector.note_success();
                    self.note_position(changes.next_offset, source);
                    self.report_late_confirmation(Part::Configuration, delays);
                    next = Some(changes.next_offset);
                    let reading = Reading {
                        last_change: changes.next_offset,
                        at: read_at_log,
                    };
                    let following = &self.state.following;
                    let before = following.configuration.replace(Some(reading));
                    for configuration in changes.items {
                        self.state.apply_configuration(configuration, source);
                    }
                    let is_change =
                        before.is_some_and(|before| before.last_change < reading.last_change);
                    if is_change && self.state.follows_closely(Instant::now()) {
                        self.state.peers.outbox.trigger_update(UpdateScope::Zone);
                    }
                    self.wait_for_next_configuration_read(read_at).await;
                    delays = ReadDelays::default();
                }
                Err(error @ (StoreError::Compacted | StoreError::Rewound)) => {
                    selector.note_compacted();
                    next = None;
                    self.wait_before_full_read("configuration", error, selector.log_failures())
                        .await;
                }
                Err(error) => {
                    let failed_at = Instant::now();
                    self.report_failure("configuration", error, selector.log_failures());
                    selector.note_log_failure();
                    self.state.reads_log.set(false);
                    self.wait_before_retry(next, &selector).await;
                    delays.add(ReadStep::Pause, failed_at);
                }
            }
        }
    }

    /// After a restore of the log, obtains a configuration that the log lost from another VM, where
    /// it is still in force. Runs until the process ends.
    pub(crate) async fn recover_configuration(self: Rc<Self>) {
        let mut behind_since = None;
        loop {
            compio::time::sleep(LOST_CONFIGURATION_POLL).await;
            let now = Instant::now();
            let version = self.state.configuration().map(|it| it.version);
            let holder = match version {
                Some(version) if self.state.era() > 0 => {
                    let peers = &self.state.peers;
                    peers.later_configuration(version, rand::random())
                }
                _ => None,
            };
            let Some(holder) = holder else {
                behind_since = None;
                continue;
            };
            let behind_since = *behind_since.get_or_insert(now);
            let is_due = now.saturating_duration_since(behind_since) >= LATER_VERSION_TIME;
            if self.state.is_configuration_checked(now) && !is_due {
                continue;
            }
            let part = Part::Configuration;
            let search = PeerSearch::new(holder);
            let Some(received) = self.sync.fetch(part, None, search, SEARCH_TIME).await else {
                continue;
            };
            self.apply_contained(&received);
            match self.store.decode(&received.reply.document) {
                Ok(configuration) => {
                    info!(before = version, version = configuration.version, peer = %received.peer,
                        "configuration recovered");
                    let source = Source::Peer(received.peer);
                    self.state.apply_configuration(configuration, source);
                }
                Err(error) => warn!(peer = %received.peer, ?error, "configuration not recovered"),
            }
        }
    }

    /// After a start, asks other VMs which of the servers are alive whose entries do not show it by
    /// themselves: the others may have followed the log when the entries were written. Runs until all
    /// are known, or until the log has shown it.
    async fn confirm_candidates(self: Rc<Self>) {
        let began = Instant::now();
        while self.state.fleet.has_candidates() && began.elapsed() < CONFIRMATION_TIME {
            if let Some(peer) = self.state.peers.any_peer_with_state(rand::random()) {
                let part = Part::Directory;
                let search = PeerSearch::new(peer);
                let received = self.sync.fetch(part, None, search, CONFIRMATION_TIME).await;
                // Without removals of its own, the other VM lists whatever it has read.
                let reply = received.map(|it| it.reply);
                let reply = reply.filter(|it| it.removals_unknown_ms == Some(0));
                if let Some(reply) = reply {
                    let changes = reply.changes.into_iter();
                    let listed = changes.filter_map(ServerUpdate::into_change).collect();
                    let now = Instant::now();
                    self.state.confirm_candidates(listed, reply.next, now);
                }
            }
            compio::time::sleep(CONFIRMATION_INTERVAL).await;
        }
    }

    /// Reads the configuration from the log; returns it with a time at which it was current.
    pub(super) async fn read_configuration(
        &self,
        from: Option<u64>,
        now: Instant,
    ) -> Result<(Changes<Configuration>, Instant), StoreError> {
        let sent_at = Instant::now();
        let Some(from) = from else {
            return Ok((self.store.newest().await?, sent_at));
        };
        let wait = self.configuration_wait(now);
        let changes = self.store.changes(from, wait).await?;
        // A read that returns records ended some time within the wait.
        let waited = match changes.next_offset == from {
            true => wait,
            false => Duration::ZERO,
        };
        Ok((changes, read_as_of(sent_at, waited, Instant::now())))
    }

    /// How long a read of the configuration waits for a change.
    fn configuration_wait(&self, now: Instant) -> Duration {
        let own = self.state.following.configuration.get();
        // A VM whose last answer was late, or that was stopped, first makes sure that it has all
        // changes, so that others can rely on it again.
        let is_confirmed = own.is_some_and(|own| own.is_fresh(now));
        match self.state.advertised_readings(now) {
            None if is_confirmed => CONFIGURATION_WAIT,
            _ => Duration::ZERO,
        }
    }

    /// Decodes a configuration that another VM sent.
    fn decode_synced(
        &self,
        synced: &ReceivedPart,
    ) -> Result<(Changes<Configuration>, Instant), StoreError> {
        let changes = Changes {
            items: vec![self.store.decode(&synced.reply.document)?],
            next_offset: synced.reply.next,
        };
        Ok((changes, synced.confirmed_at()))
    }

    /// Follows the directory until the process ends.
    pub(crate) async fn follow_directory(self: Rc<Self>) {
        let following = &self.state.following;
        let mut delays = ReadDelays::default();
        let selector = SourceSelector::new(self.state.clone(), Part::Directory);
        loop {
            let read_at = Instant::now();
            let from = following.directory_end.get();
            let source = selector.select(from).await;
            delays.add(ReadStep::Turn, read_at);
            let began = Instant::now();
            let read = match source {
                Source::Unneeded => {
                    self.wait_for_next_directory_read(read_at).await;
                    delays = ReadDelays::default();
                    continue;
                }
                Source::Peer(_) | Source::Members(_) => {
                    let synced = async {
                        let part = Part::Directory;
                        let synced = self.sync_part(part, from, source, &selector).await?;
                        Some(decode_directory(synced, from))
                    };
                    let read = self.read_directory(from);
                    let read = first_obtained(synced, read, &selector).await;
                    delays.add(ReadStep::Peer, began);
                    let Some(read) = read else {
                        continue;
                    };
                    read
                }
                Source::Log => {
                    self.state.reads_log.set(true);
                    let read = self.read_directory(from);
                    let read = read_unless_alternative(read, from, &selector).await;
                    delays.add(ReadStep::Log, began);
                    let Some(read) = read else {
                        continue;
                    };
                    read
                }
            };
            match read {
                // An update forwarded by another VM arrived in the meantime and is newer.
                Ok(_) if following.directory_end.get() != from => {}
                Ok(read) => {
                    if selector.log_failures() > 0 {
                        info!(failures = selector.log_failures(), "directory regained");
                    }
                    selector.note_success();
                    self.report_late_confirmation(Part::Directory, delays);
                    self.note_position(read.changes.next_offset, source);
                    self.apply_read(read);
                    self.wait_for_next_directory_read(read_at).await;
                    delays = ReadDelays::default();
                }
                Err(error @ (StoreError::Compacted | StoreError::Rewound)) => {
                    selector.note_compacted();
                    following.directory_end.set(None);
                    following.disrupted_at.set(Some(Instant::now()));
                    self.wait_before_full_read("directory", error, selector.log_failures())
                        .await;
                }
                Err(error) => {
                    let failed_at = Instant::now();
                    following.disrupted_at.set(Some(failed_at));
                    following.unavailable_at.set(Some(began));
                    self.report_failure("directory", error, selector.log_failures());
                    selector.note_log_failure();
                    self.state.reads_log.set(false);
                    self.wait_before_retry(from, &selector).await;
                    delays.add(ReadStep::Pause, failed_at);
                }
            }
            self.state.purge_removed(Instant::now());
        }
    }

    /// Reads the directory from the log: the changes since a position, or all entries if it is
    /// `None` or if the log was restored since.
    pub(super) async fn read_directory(
        &self,
        from: Option<u64>,
    ) -> Result<DirectoryRead, StoreError> {
        let sent_at = Instant::now();
        let read_at = BootTime::now();
        let is_first = !self.state.is_directory_known.get();
        let changes = match from {
            None => Err(StoreError::Rewound),
            Some(from) => self.store.changes_since(from).await,
        };
        let is_whole = matches!(changes, Err(StoreError::Rewound));
        let changes = match is_whole {
            true => self.store.entries().await?,
            false => changes?,
        };
        let recent = match is_whole && is_first {
            true => self.read_recent_changes(&changes).await,
            false => None,
        };
        let removals_unknown_for = match &recent {
            Some(_) => Duration::ZERO,
            None => MAX_WRITE_DELAY,
        };
        Ok(DirectoryRead {
            changes,
            since: from,
            is_whole,
            recent: recent.unwrap_or_default(),
            removals_unknown_for,
            at: sent_at,
            read_at: Some(read_at),
        })
    }

    /// Reads the changes before the whole directory by which a late entry of a removed server is
    /// recognised; `None` if the log does not have them or they are too many.
    async fn read_recent_changes(
        &self,
        directory: &Changes<ServerChange>,
    ) -> Option<Vec<ServerChange>> {
        let fleet = &self.state.fleet;
        let count = fleet.entries_while_pending(directory.items.len());
        if count > MAX_RECENT_CHANGES {
            return None;
        }
        let recent = self.store.changes_before(directory.next_offset, count);
        match recent.await {
            Ok(recent) => Some(recent),
            Err(error) => {
                info!(?error, "recent removals not read");
                None
            }
        }
    }

    /// Learns the era of the log from the position that a read returned.
    fn note_position(&self, position: u64, source: Source) {
        let now = Instant::now();
        self.state.note_position(position, source.name(), now);
    }

    /// Requests a part from another VM, or from those to which it refers.
    async fn sync_part(
        &self,
        part: Part,
        from: Option<u64>,
        source: Source,
        selector: &SourceSelector,
    ) -> Option<ReceivedPart> {
        let began = Instant::now();
        let (search, limit) = match source {
            Source::Members(until) => {
                let members = self.state.peers.listed_members();
                let limit = until.saturating_duration_since(began);
                (PeerSearch::of_members(members), limit)
            }
            Source::Peer(peer) => (PeerSearch::new(peer), SEARCH_TIME),
            Source::Log | Source::Unneeded => return None,
        };
        let synced = match from {
            None => self.sync.fetch(part, from, search, limit).await,
            Some(_) => self.sync_change(part, from, search).await,
        };
        let max_age = match selector.log_failures() {
            0 => MAX_CONFIRMED_AGE,
            _ => Duration::MAX,
        };
        let is_current = |received: &ReceivedPart| {
            let age = Duration::from_millis(received.reply.confirmed_age_ms);
            from.is_some() || age < max_age
        };
        let synced = synced.filter(is_current);
        match &synced {
            Some(received) => info!(
                part = part.name(),
                peer = %received.peer,
                from,
                next = received.reply.next,
                age_ms = received.reply.confirmed_age_ms,
                bytes = received.bytes,
                took_ms = began.elapsed().as_millis() as u64,
                "state received"
            ),
            // The members may have obtained the part meanwhile, and are asked until this VM's turn.
            None if matches!(source, Source::Members(_)) => {
                compio::time::sleep(MEMBERS_PAUSE).await;
            }
            None => {
                selector.note_sync_failure();
                compio::time::sleep(UPDATE_POLL).await;
            }
        }
        let received = synced?;
        self.apply_contained(&received);
        Some(received)
    }

    /// Applies what another VM contains, which comes with the whole configuration.
    fn apply_contained(&self, received: &ReceivedPart) {
        if !received.reply.lists_all_contained {
            return;
        }
        let contained = received.reply.contained.iter();
        let news = PeerCrashNews {
            is_complete: true,
            contained: contained.filter_map(|it| it.contained()).collect(),
            ..PeerCrashNews::default()
        };
        self.state
            .apply_crash_news(received.peer, &news, Instant::now());
    }

    /// Requests a change from another VM. Once this VM has to read the log itself, it only goes on
    /// with a transfer that has begun.
    async fn sync_change(
        &self,
        part: Part,
        from: Option<u64>,
        search: PeerSearch,
    ) -> Option<ReceivedPart> {
        let began = Instant::now();
        let deadline = self.state.read_deadline(part, began);
        let left = deadline.map(|deadline| deadline.saturating_duration_since(began));
        let limit = left.unwrap_or_default().max(MIN_SYNC_TIME);
        let spread = SYNC_SPREAD_PER_VM * self.zone_vms() as u32;
        compio::time::sleep(spread.mul_f64(rand::random())).await;
        let limit = limit.saturating_sub(began.elapsed());
        self.sync.fetch(part, from, search, limit).await
    }

    /// The number of other VMs known in the zone.
    fn zone_vms(&self) -> usize {
        let zone = &self.state.settings.availability_zone;
        self.state.peers.vms_in(zone)
    }

    /// Waits until the configuration has to be read again.
    async fn wait_for_next_configuration_read(&self, read_at: Instant) {
        let own = self.state.following.configuration.get();
        let has_update = |advertised: Readings| {
            own.is_none_or(|own| advertised.configuration.last_change > own.last_change)
        };
        let part = Part::Configuration;
        self.wait_for_next_read(part, read_at, CONFIGURATION_INTERVAL, has_update)
            .await;
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
                let end = end.max(Some(advertised.directory_end));
                following.directory_end.set(end);
                self.state
                    .history
                    .borrow_mut()
                    .extend_to(advertised.directory_end);
            }
            has_missed
        };
        let part = Part::Directory;
        self.wait_for_next_read(part, read_at, DIRECTORY_INTERVAL, has_update)
            .await;
    }

    /// Waits until the next read is due: for `interval` at least and, while another VM follows the
    /// log for this one, until it advertises changes or [`BACKGROUND_INTERVAL`] has passed.
    async fn wait_for_next_read(
        &self,
        part: Part,
        read_at: Instant,
        interval: Duration,
        has_update: impl Fn(Readings) -> bool,
    ) {
        // If the log is behind the advertised offset, another read at once would return no more.
        let advertised = self.state.advertised_readings(Instant::now());
        let is_behind = advertised.is_some_and(&has_update);
        let interval = if is_behind { BEHIND_INTERVAL } else { interval };
        self.sleep_until_wanted(part, read_at + interval).await;
        let zone_interval = ZONE_BACKGROUND_INTERVAL * self.zone_vms() as u32;
        let background_interval = BACKGROUND_INTERVAL.max(zone_interval);
        while read_at.elapsed() < background_interval {
            let now = Instant::now();
            self.state.purge_removed(now);
            // Advertised reads confirm the part as long as they are fresh.
            self.state.confirmed_at(part, now);
            if self.is_read_wanted(part) {
                return;
            }
            match self.state.advertised_readings(now) {
                Some(reads) if !has_update(reads) => {
                    self.sleep_until_wanted(part, now + UPDATE_POLL).await;
                }
                _ => return,
            }
        }
    }

    fn is_read_wanted(&self, part: Part) -> bool {
        part == Part::Directory && self.state.is_directory_read_wanted()
    }

    /// Sleeps until a time, or until a read of the part is asked for.
    async fn sleep_until_wanted(&self, part: Part, until: Instant) {
        if part == Part::Configuration {
            compio::time::sleep_until(until).await;
            return;
        }
        let wanted = self.state.directory_read_wanted.wait();
        if !self.is_read_wanted(part) {
            let left = until.saturating_duration_since(Instant::now());
            // Whichever comes first ends the wait.
            let _ = compio::time::timeout(left, wanted).await;
        }
    }

    /// Applies a read of the directory. If this VM follows the log for its zone, forwards the
    /// relevant changes.
    fn apply_read(self: &Rc<Self>, read: DirectoryRead) {
        let DirectoryRead {
            mut changes,
            since: from,
            is_whole,
            recent,
            removals_unknown_for,
            at,
            read_at,
        } = read;
        let now = Instant::now();
        if is_whole {
            self.state.note_directory_replaced(now);
        }
        let is_first = is_whole && !self.state.is_directory_known.get();
        if is_first {
            self.state.learn_removals(recent, changes.next_offset, now);
            let fleet = &self.state.fleet;
            fleet.set_removals_unknown_for(removals_unknown_for, now);
        }
        if let Some(read_at) = read_at {
            self.state.following.directory_read_at.set(Some(read_at));
        }
        let source = match read_at {
            Some(_) => ChangeSource::Log,
            None => ChangeSource::Vm,
        };
        let next = changes.next_offset;
        if is_whole {
            let unlisted = self.drop_unlisted(&changes.items).into_iter();
            // After a restore, the log lacks servers that are alive.
            let change = match self.state.was_log_restored(now) {
                true => ServerChange::Lost,
                false => ServerChange::Removed,
            };
            changes.items.extend(unlisted.map(change));
        }
        let (relevant, has_availability_change) = self
            .state
            .apply_directory_changes(changes, from, source, now);
        if is_first && self.state.fleet.has_candidates() {
            compio::runtime::spawn(self.clone().confirm_candidates()).detach();
        }
        let following = &self.state.following;
        following.directory_end.set(Some(next));
        let before = following.directory.get();
        let last_change = match before {
            Some(before) if relevant.is_empty() => before.last_change,
            _ => next,
        };
        following.directory.set(Some(Reading { last_change, at }));
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
            .outbox
            .queue_directory_updates(messages.unwrap_or_default());
    }

    /// Forgets the unproven entries of removed servers that a full read did not return; returns the
    /// known servers that it did not return.
    fn drop_unlisted(&self, listed: &[ServerChange]) -> Vec<Name> {
        let ids: HashSet<&Name> = listed
            .iter()
            .filter_map(|change| match change {
                ServerChange::Upserted(entry)
                | ServerChange::Restored(entry)
                | ServerChange::Revived(entry) => Some(&entry.id),
                ServerChange::Unreadable(id) => Some(id),
                ServerChange::Removed(_) | ServerChange::RemovedRun(..) | ServerChange::Lost(_) => {
                    None
                }
            })
            .collect();
        self.state.fleet.drop_unlisted_candidates(&ids);
        let servers = self.state.fleet.servers().into_iter();
        let unlisted =
            servers.filter(|server| !ids.contains(&server.id) && !server.is_marked_removed());
        unlisted.map(|server| server.id.clone()).collect()
    }

    /// Waits for a random time before a full read, after the log dropped the next records or was
    /// restored from a copy.
    async fn wait_before_full_read(&self, what: &'static str, error: StoreError, failures: u32) {
        self.report_failure(what, error, failures);
        compio::time::sleep(COMPACTED_PAUSE.mul_f64(rand::random())).await;
    }

    /// Waits after a failed read. While no VM of the zone can read the log, only the leader and the
    /// first [`MAX_RETRYING_VMS`] VMs of the zone by address retry after the usual pause. The
    /// others wait until some VM advertises a read, for at most a random time. Ends early once another
    /// VM has what this one lacks.
    async fn wait_before_retry(&self, from: Option<u64>, selector: &SourceSelector) {
        let pause = retry_pause(selector.log_failures(), self.state.is_ready());
        let alternative = wait_for_alternative(from, selector);
        if compio::time::timeout(pause, alternative).await.is_ok() {
            return;
        }
        let paused_at = Instant::now();
        let share: f64 = rand::random();
        let waits_for_others = || {
            let spread = OTHERS_SPREAD_PER_VM * self.zone_vms() as u32;
            self.state.fence.get() == 0
                && self.state.zone_rank() >= MAX_RETRYING_VMS
                && paused_at.elapsed() < spread.mul_f64(share)
        };
        while waits_for_others() {
            let is_advertised = self.state.advertised_readings(Instant::now()).is_some();
            if is_advertised || from.is_some_and(|from| selector.has_alternative(from)) {
                return;
            }
            compio::time::sleep(UPDATE_POLL).await;
        }
    }

    /// Logs that a part, which was just obtained, was not known to be current for long.
    fn report_late_confirmation(&self, part: Part, delays: ReadDelays) {
        let unconfirmed = self.state.unconfirmed_time(part, Instant::now());
        let Some(unconfirmed) = unconfirmed.filter(|it| *it >= LATE_CONFIRMATION) else {
            return;
        };
        warn!(
            part = part.name(),
            unconfirmed_ms = unconfirmed.as_millis() as u64,
            turn_ms = delays.turn.as_millis() as u64,
            peer_ms = delays.peer.as_millis() as u64,
            log_ms = delays.log.as_millis() as u64,
            pause_ms = delays.pause.as_millis() as u64,
            "state confirmed late"
        );
    }

    fn report_failure(&self, what: &'static str, error: StoreError, failures: u32) {
        // The first failure and ever rarer ones of a long outage.
        if (failures + 1).is_power_of_two() {
            warn!(what, ?error, failures, "log not read");
        }
    }
}

/// A read of the directory, from the log or from another VM.
pub(super) struct DirectoryRead {
    changes: Changes<ServerChange>,
    /// The position of the state to which the changes apply; `None` if they replace any state.
    since: Option<u64>,
    /// Whether the changes list all servers.
    is_whole: bool,
    /// The changes before the whole directory, if they were read.
    recent: Vec<ServerChange>,
    /// For how much longer there may be late entries of servers whose removal is not among the changes.
    removals_unknown_for: Duration,
    /// A time at which the changes were current.
    pub(super) at: Instant,
    /// When the request was sent by which this VM read the changes from the log.
    read_at: Option<BootTime>,
}

/// Reads the log; `None` if another VM turns out to have what this one lacks while reads fail.
async fn read_unless_alternative<T>(
    read: impl Future<Output = T>,
    from: Option<u64>,
    selector: &SourceSelector,
) -> Option<T> {
    if selector.log_failures() == 0 {
        return Some(read.await);
    }
    let alternative = pin!(wait_for_alternative(from, selector));
    match select(pin!(read), alternative).await {
        Either::Left((read, _)) => Some(read),
        Either::Right(((), _)) => None,
    }
}

/// Obtains a part from another VM; while reads of the log fail, from whichever of both has it first.
/// `None` if the other VM does not send it.
async fn first_obtained<T>(
    synced: impl Future<Output = Option<Result<T, StoreError>>>,
    read: impl Future<Output = Result<T, StoreError>>,
    selector: &SourceSelector,
) -> Option<Result<T, StoreError>> {
    if selector.log_failures() == 0 {
        return synced.await;
    }
    match select(pin!(synced), pin!(read)).await {
        Either::Left((Some(Ok(synced)), _)) => Some(Ok(synced)),
        Either::Left((_, read)) => Some(read.await),
        Either::Right((Ok(read), _)) => Some(Ok(read)),
        Either::Right((Err(_), synced)) => synced.await,
    }
}

/// Waits until another VM is ahead of `from` and may be asked.
async fn wait_for_alternative(from: Option<u64>, selector: &SourceSelector) {
    while !from.is_some_and(|from| selector.has_alternative(from)) {
        compio::time::sleep(UPDATE_POLL).await;
    }
}

/// Decodes directory changes that another VM sent, which has all since `from` unless it sent the
/// whole directory.
fn decode_directory(synced: ReceivedPart, from: Option<u64>) -> Result<DirectoryRead, StoreError> {
    let at = synced.confirmed_at();
    let reply = synced.reply;
    let since = from.filter(|_| !reply.is_whole);
    // A VM of an earlier release does not tell of removals.
    let removals_unknown_for = reply
        .removals_unknown_ms
        .map_or(MAX_WRITE_DELAY, Duration::from_millis);
    let changes = reply.changes.into_iter();
    // Without removals of its own, the other VM lists whatever it has read.
    let lists_alive = removals_unknown_for.is_zero();
    let changes = changes.map(|it| match ServerUpdate::into_change(it)? {
        ServerChange::Revived(entry) if !lists_alive && reply.is_whole => {
            Some(ServerChange::Upserted(entry))
        }
        change => Some(change),
    });
    let items: Option<Vec<ServerChange>> = changes.collect();
    Ok(DirectoryRead {
        changes: Changes {
            items: items.ok_or(StoreError::Garbled)?,
            next_offset: reply.next,
        },
        since,
        is_whole: since.is_none(),
        recent: Vec::new(),
        removals_unknown_for,
        at,
        read_at: None,
    })
}

/// Pause after `failures` failed reads in a row; it grows only if the VM is ready.
pub(crate) fn retry_pause(failures: u32, is_ready: bool) -> Duration {
    if is_ready {
        (RETRY_PAUSE * failures.clamp(1, 4)).min(MAX_RETRY_PAUSE)
    } else {
        RETRY_PAUSE
    }
}
