//! Finding the request that crashes runners: each suspect runs alone once.
//!
//! A crash makes every request aboard a suspect, by a record of the log. A
//! suspect goes on only under an isolation: a record by which one runner takes
//! no other new request until the suspect has got past the point at which it
//! would crash again. So the guilty one crashes a second runner alone and is
//! refused from then on, and the others are cleared within a few tokens.

use crate::client::is_refused;
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

/// Crashes that the log did not take, after which a request is refused by this VM.
const MAX_UNRECORDED: u32 = 2;
/// The pause before a crash is recorded that the log did not take.
const RECORD_PAUSE: Duration = Duration::from_millis(500);
/// How long to find out whether a runner crashed.
const PROBE_LIMIT: Duration = Duration::from_millis(500);
/// The pause between two looks at a runner that neither answers nor refuses.
const PROBE_PAUSE: Duration = Duration::from_millis(50);
/// How long requests sent before an isolation may take to show their effect.
const SETTLE: Duration = Duration::from_millis(300);

/// One run of a runner's engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRun {
    /// The runner.
    pub(crate) runner: Rc<Runner>,
    /// The engine's boot, as last reported.
    pub(crate) boot: u64,
}

/// The quarantine service of one VM.
pub(crate) struct Quarantine {
    control: Rc<ControlStream>,
    /// Crashes that the log has not taken yet, by fingerprint.
    unrecorded: RefCell<HashMap<u64, u32>>,
}

impl Service for Quarantine {
    const NAME: &'static str = "quarantine";
}

/// A runner held for one suspect; released when dropped.
pub(crate) struct Isolation {
    quarantine: Rc<Quarantine>,
    /// The run that takes the suspect.
    pub(crate) run: EngineRun,
    fence: u64,
}

impl Drop for Isolation {
    fn drop(&mut self) {
        self.quarantine.write(SuspectCommand::Release {
            runner: self.run.runner.name.clone(),
            isolation: self.fence,
        });
    }
}

impl Quarantine {
    /// A quarantine over the control stream.
    pub(crate) fn new(control: Rc<ControlStream>) -> Self {
        Self {
            control,
            unrecorded: RefCell::default(),
        }
    }

    /// What is known of a request.
    pub(crate) fn standing(&self, fingerprint: u64) -> SuspectStatus {
        let unrecorded = self.unrecorded.borrow().get(&fingerprint).copied();
        if unrecorded.is_some_and(|crashes| crashes >= MAX_UNRECORDED) {
            return SuspectStatus::Poison;
        }
        self.control
            .with(|control| control.suspects.standing(fingerprint))
    }

    /// Notes a broken connection: if the runner crashed, the request becomes a suspect.
    ///
    /// Returns whether it crashed. While the log is down the crash is kept here: most
    /// requests aboard are innocent, and one more runner is risked for them.
    pub(crate) async fn note_cut(
        self: &Rc<Self>,
        request: &Name,
        print: u64,
        run: &EngineRun,
    ) -> bool {
        let probe = compio::time::timeout(PROBE_LIMIT, has_crashed(run));
        if !probe.await.unwrap_or(false) {
            return false;
        }
        emit(
            Event::RunnerCrashed,
            format_args!(
                "runner={} boot={} request={request} fingerprint={print:016x}",
                run.runner.name, run.boot
            ),
        );
        let command = SuspectCommand::Crashed {
            fingerprint: print,
            runner: run.runner.name.clone(),
            boot: run.boot,
        };
        let recorded = self
            .control
            .propose(Command::Suspect(command.clone()))
            .await;
        if recorded.is_err() {
            *self.unrecorded.borrow_mut().entry(print).or_default() += 1;
            compio::runtime::spawn(self.clone().record_later(print, command)).detach();
        }
        true
    }

    /// Records a crash once the log takes it.
    async fn record_later(self: Rc<Self>, print: u64, command: SuspectCommand) {
        let recorded = async || {
            let command = Command::Suspect(command.clone());
            self.control.propose(command).await.is_ok()
        };
        while !recorded().await {
            compio::time::sleep(RECORD_PAUSE).await;
        }
        let mut unrecorded = self.unrecorded.borrow_mut();
        if let Some(crashes) = unrecorded.get_mut(&print) {
            *crashes -= 1;
            unrecorded.retain(|_, crashes| *crashes > 0);
        }
    }

    /// Takes a runner for one suspect; `None` if it is taken or does not answer.
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
        compio::time::sleep(SETTLE).await;
        isolation.run.boot = boot_of(runner).await?;
        Some(isolation)
    }

    /// Notes that a suspect did no harm.
    pub(crate) fn clear(self: &Rc<Self>, fingerprint: u64) {
        self.write(SuspectCommand::Clear { fingerprint });
    }

    fn write(self: &Rc<Self>, command: SuspectCommand) {
        let quarantine = self.clone();
        compio::runtime::spawn(async move {
            // Without the record an isolation ends by its time, and a suspect stays one.
            let _ = quarantine.control.propose(Command::Suspect(command)).await;
        })
        .detach();
    }
}

/// Whether the run is over: the engine refuses connections or has started anew.
async fn has_crashed(run: &EngineRun) -> bool {
    loop {
        if let Some(boot) = boot_of(&run.runner).await {
            return boot != run.boot;
        }
        if is_refused(run.runner.address).await {
            return true;
        }
        compio::time::sleep(PROBE_PAUSE).await;
    }
}

/// The engine's boot now, over a new connection.
async fn boot_of(runner: &Runner) -> Option<u64> {
    let client = EngineClient::new(Default::default());
    Some(client.report(runner.address).await?.boot)
}
