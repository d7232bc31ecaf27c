//! Keeps what is contained in the log, for VMs that start when no other VM can tell them.

use crate::gateway::crash_report::CrashCause;
use crate::gateway::source_selector::start_poll_interval;
use crate::gateway::start_knowledge::StartKnowledge;
use crate::gateway::state::State;
use crate::gateway::{ContainmentLog, StoredCause};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tracing::{info, warn};

/// How often the leader checks whether something has yet to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How often a contained cause is written again while requests of it come.
const REFRESH_INTERVAL: Duration = Duration::from_secs(200);
/// The mean pause after a failed read, at least.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The time between two failing reads of all VMs together.
const FLEET_READ_INTERVAL: Duration = Duration::from_millis(5);
/// How long a VM that starts waits for another VM before it reads the log. The VMs that join the
/// group first read the log at once, and the others have their state from them within half a second.
const MAX_PEER_WAIT: Duration = Duration::from_millis(1_000);
/// How long a VM that starts takes no requests while neither the log nor another VM tells what is
/// contained.
const MAX_START_DELAY: Duration = Duration::from_millis(1_500);

/// Reads what is contained when the process starts, and writes it while this VM leads.
#[derive(Debug)]
pub(crate) struct ContainmentKeeper<S> {
    state: Rc<State>,
    store: Rc<S>,
    /// When each cause was written by this VM.
    written_at: RefCell<HashMap<CrashCause, Instant>>,
}

impl<S: ContainmentLog> ContainmentKeeper<S> {
    /// Creates the keeper of a VM that has just started.
    pub(crate) fn new(state: Rc<State>, store: Rc<S>) -> Rc<Self> {
        Rc::new(Self {
            state,
            store,
            written_at: RefCell::default(),
        })
    }

    /// Runs until the process ends.
    pub(crate) async fn run(self: Rc<Self>) {
        let waiting = self.clone();
        compio::runtime::spawn(async move { waiting.end_start_delay().await }).detach();
        self.read_until_known().await;
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            if self.state.fence.get() != 0 {
                self.write_news().await;
            }
        }
    }

    /// Lets the VM take requests although it could not learn what is contained. It goes on asking.
    async fn end_start_delay(&self) {
        compio::time::sleep(MAX_START_DELAY).await;
        let knowledge = &self.state.containment_knowledge;
        if !knowledge.get().may_serve() {
            warn!("requests are taken before it is known which crash servers");
        }
        knowledge.set(knowledge.get().after_wait());
    }

    /// Waits until another VM has told what is contained, or until this VM has to read it from the
    /// log: because it reads its other state there too, because the VM that sent the configuration
    /// does not know what is contained, or because no state has arrived for long.
    async fn wait_for_other_vms(&self) {
        let began = Instant::now();
        while !self.state.containment_knowledge.get().is_told()
            && !self.state.reads_log.get()
            && self.state.configuration().is_none()
            && began.elapsed() < MAX_PEER_WAIT
        {
            compio::time::sleep(start_poll_interval(began.elapsed())).await;
        }
    }

    /// Reads the log until it answers or another VM has told what is contained.
    async fn read_until_known(&self) {
        self.wait_for_other_vms().await;
        let mut source = "vm";
        let mut failures: u32 = 0;
        while !self.state.containment_knowledge.get().is_told() {
            match self.store.contained().await {
                Ok(stored) => {
                    self.apply(&stored);
                    let knowledge = &self.state.containment_knowledge;
                    knowledge.set(StartKnowledge::Told);
                    source = "log";
                }
                Err(error) => {
                    failures += 1;
                    // The first failure and ever rarer ones of a long outage.
                    if failures.is_power_of_two() {
                        info!(?error, failures, "contained causes not read");
                    }
                    compio::time::sleep(self.retry_pause()).await;
                }
            }
        }
        info!(source, failures, "contained causes known");
    }

    /// The pause after a failed read. It grows with the fleet, so that the reads of all VMs together
    /// stay few; whichever VM reads first tells the others.
    fn retry_pause(&self) -> Duration {
        let mean = FLEET_READ_INTERVAL * self.state.peers.vms() as u32;
        mean.max(READ_RETRY_INTERVAL)
            .mul_f64(rand::random_range(0.5..1.5))
    }

    fn apply(&self, stored: &[StoredCause]) {
        let now = Instant::now();
        for stored in stored {
            let refused_at = SystemTime::UNIX_EPOCH + Duration::from_millis(stored.refused_unix_ms);
            // The clock may have been set back since.
            let idle = refused_at.elapsed().unwrap_or_default();
            self.state.contain_stored(stored.cause, idle, now);
        }
    }

    /// Writes the causes that are confirmed and not in the log as of late.
    async fn write_news(&self) {
        let now = Instant::now();
        let confirmed = self.state.containment.borrow().confirmed(now);
        for (cause, idle) in confirmed {
            let written_at = self.written_at.borrow().get(&cause).copied();
            let is_recent = written_at.is_some_and(|at| now - at < REFRESH_INTERVAL);
            let was_refused_since = written_at.is_none_or(|at| now - at > idle);
            if is_recent || !was_refused_since {
                continue;
            }
            let refused_at = SystemTime::now() - idle;
            let refused_at = refused_at.duration_since(SystemTime::UNIX_EPOCH);
            let stored = StoredCause {
                cause,
                refused_unix_ms: refused_at.unwrap_or_default().as_millis() as u64,
            };
            match self.store.write_contained(&stored).await {
                Ok(()) => {
                    self.written_at.borrow_mut().insert(cause, now);
                    info!(?cause, "contained cause written");
                }
                Err(error) => {
                    info!(?cause, ?error, "contained cause not written");
                    return;
                }
            }
        }
    }
}
