//! Finds the request that crashes runners by running each suspect in isolation.
//!
//! When a runner crashes, every request in flight on it is recorded in the log as a suspect. A
//! suspect continues only under an isolation: a record in the log by which one runner takes no
//! other new request until the suspect is past the point at which it would crash the runner again.
//! So the request at fault crashes a second runner on its own and is refused from then on, and the
//! other suspects are cleared within a few tokens.

use crate::client::{Listening, probe_listening};
use crate::control::{Command, SuspectCommand, SuspectStatus, Verdict};
use crate::engine::EngineClient;
use crate::events::{Event, emit};
use crate::fleet::Runner;
use crate::inventory::Name;
use crate::server::ControlStream;
use crate::service_registry::Service;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// How long an engine may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of crashes not yet recorded in the log at which this VM refuses a request.
const MAX_UNRECORDED_CRASHES: u32 = 2;
/// The interval between attempts to record a crash while the log is unavailable.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The time limit for finding out whether a runner crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval between checks of a runner that neither answers nor refuses connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// How long to wait after an isolation begins for requests sent before it to take effect, such as
/// crashing the runner.
const ISOLATION_SETTLE_TIME: Duration = Duration::from_millis(300);

/// One run of a runner's engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRun {
    /// The runner.
    pub(crate) runner: Rc<Runner>,
    /// The engine's boot number, as last reported.
    pub(crate) boot: u64,
}

/// The quarantine service of one VM.
pub(crate) struct Quarantine {
    control: Rc<ControlStream>,
    /// The number of crashes not yet recorded in the log, by request fingerprint.
    unrecorded_crashes: RefCell<HashMap<u64, u32>>,
}

impl Service for Quarantine {
    const NAME: &'static str = "quarantine";
}

/// A runner reserved for one suspect; released when dropped.
pub(crate) struct Isolation {
    quarantine: Rc<Quarantine>,
    /// The engine run that takes the suspect.
    pub(crate) run: EngineRun,
    fence: u64,
}

impl Drop for Isolation {
    fn drop(&mut self) {
        self.quarantine.propose_detached(SuspectCommand::Release {
            runner: self.run.runner.name.clone(),
            isolation: self.fence,
        });
    }
}

impl Quarantine {
    /// Creates a quarantine that records crashes in the control stream.
    pub(crate) fn new(control: Rc<ControlStream>) -> Self {
        Self {
            control,
            unrecorded_crashes: RefCell::default(),
        }
    }

    /// Returns whether a request is clear, a suspect or refused as poison, by its fingerprint.
    pub(crate) fn status(&self, fingerprint: u64) -> SuspectStatus {
        let unrecorded_crashes = self.unrecorded_crashes.borrow().get(&fingerprint).copied();
        if unrecorded_crashes.is_some_and(|crashes| crashes >= MAX_UNRECORDED_CRASHES) {
            return SuspectStatus::Poison;
        }
        self.control
            .with(|control| control.suspects.status(fingerprint))
    }

    /// Handles a broken connection: if the runner crashed, the request becomes a suspect.
    ///
    /// Returns whether the runner crashed. While the log is unavailable, the crash is counted only
    /// on this VM, and the request may run once more: most requests in flight are not at fault, and
    /// risking one more runner is accepted for their sake.
    pub(crate) async fn record_if_crashed(
        self: &Rc<Self>,
        request: &Name,
        request_fingerprint: u64,
        run: &EngineRun,
    ) -> bool {
        let probe = compio::time::timeout(PROBE_TIMEOUT, has_run_ended(run));
        if !probe.await.unwrap_or(false) {
            return false;
        }
        emit(
            Event::RunnerCrashed,
            format_args!(
                "runner={} boot={} request={request} fingerprint={request_fingerprint:016x}",
                run.runner.name, run.boot
            ),
        );
        let command = SuspectCommand::Crashed {
            fingerprint: request_fingerprint,
            runner: run.runner.name.clone(),
            boot: run.boot,
        };
        let recorded = self
            .control
            .propose(Command::Suspect(command.clone()))
            .await;
        if recorded.is_err() {
            *self
                .unrecorded_crashes
                .borrow_mut()
                .entry(request_fingerprint)
                .or_default() += 1;
            compio::runtime::spawn(
                self.clone()
                    .record_until_accepted(request_fingerprint, command),
            )
            .detach();
        }
        true
    }

    /// Retries until the log accepts the record of a crash, then removes it from the local count.
    async fn record_until_accepted(
        self: Rc<Self>,
        request_fingerprint: u64,
        command: SuspectCommand,
    ) {
        let recorded = async || {
            let command = Command::Suspect(command.clone());
            self.control.propose(command).await.is_ok()
        };
        while !recorded().await {
            compio::time::sleep(RECORD_RETRY_INTERVAL).await;
        }
        let mut unrecorded_crashes = self.unrecorded_crashes.borrow_mut();
        if let Some(crashes) = unrecorded_crashes.get_mut(&request_fingerprint) {
            *crashes -= 1;
            unrecorded_crashes.retain(|_, crashes| *crashes > 0);
        }
    }

    /// Reserves a runner for one suspect; `None` if it is already reserved, does not answer, or the
    /// log is unavailable.
    pub(crate) async fn isolate(self: &Rc<Self>, runner: &Rc<Runner>) -> Option<Isolation> {
        let command = SuspectCommand::Isolate {
            runner: runner.name.clone(),
        };
        let recorded = self.control.propose(Command::Suspect(command)).await.ok()?;
        if recorded.verdict != Verdict::Accepted {
            return None;
        }
        let mut isolation = Isolation {
            quarantine: self.clone(),
            run: EngineRun {
                runner: runner.clone(),
                boot: 0,
            },
            fence: recorded.position.fence,
        };
        compio::time::sleep(ISOLATION_SETTLE_TIME).await;
        isolation.run.boot = current_boot(runner).await?;
        Some(isolation)
    }

    /// Records that a suspect ran without crashing its runner.
    pub(crate) fn clear(self: &Rc<Self>, fingerprint: u64) {
        self.propose_detached(SuspectCommand::Clear { fingerprint });
    }

    /// Proposes a command in the background and ignores the outcome.
    fn propose_detached(self: &Rc<Self>, command: SuspectCommand) {
        let quarantine = self.clone();
        compio::runtime::spawn(async move {
            // If this fails, the isolation ends by its timeout and the suspect remains a suspect.
            let _ = quarantine.control.propose(Command::Suspect(command)).await;
        })
        .detach();
    }
}

/// Whether an engine run has ended: the engine refuses connections or reports another boot. Waits
/// while the engine does neither and does not report.
async fn has_run_ended(run: &EngineRun) -> bool {
    loop {
        if let Some(boot) = current_boot(&run.runner).await {
            return boot != run.boot;
        }
        let listening = probe_listening(run.runner.address, CONNECT_TIMEOUT).await;
        if listening == Listening::No {
            return true;
        }
        compio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Fetches the engine's current boot number over a new connection.
async fn current_boot(runner: &Runner) -> Option<u64> {
    let client = EngineClient::new(Default::default());
    Some(client.report(runner.address).await?.boot)
}
