//! The runners as this VM sees them: lagged reports, and its own requests in flight.

use crate::engine::{EngineClient, Report, ReportedState};
use crate::events::{Event, emit};
use crate::inventory::{BackendServer, Name, Priority};
use crate::service_registry::Service;
use crate::wire::RunnerLoad;
use prometheus_client::metrics::counter::Counter;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time between two reports of one runner.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// A report older than this says nothing.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a runner that broke a connection is passed over.
const BROKEN_PAUSE: Duration = Duration::from_millis(500);

/// One runner.
#[derive(Debug)]
pub(crate) struct Runner {
    /// Its name in the inventory.
    pub(crate) name: Name,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    report: RefCell<Option<(Instant, Report)>>,
    in_flight: Cell<InFlightCounts>,
    broken_at: Cell<Option<Instant>>,
    yields_wanted: Cell<u32>,
}

/// Counts a request as in flight on a runner until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    runner: Rc<Runner>,
    load: InFlightCounts,
}

impl InFlightGuard {
    /// The runner that the request is on.
    pub(crate) fn runner(&self) -> &Runner {
        &self.runner
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let in_flight = self.runner.in_flight.get();
        self.runner.in_flight.set(in_flight - self.load);
    }
}

/// Requests in flight.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct InFlightCounts {
    /// All of them.
    pub(crate) all: u32,
    /// The batch ones among them.
    pub(crate) batch: u32,
}

impl std::ops::Add for InFlightCounts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            all: self.all + other.all,
            batch: self.batch + other.batch,
        }
    }
}

impl std::ops::Sub for InFlightCounts {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            all: self.all - other.all,
            batch: self.batch - other.batch,
        }
    }
}

impl InFlightCounts {
    /// The load of one request.
    fn of(priority: Priority) -> Self {
        Self {
            all: 1,
            batch: u32::from(priority == Priority::Batch),
        }
    }
}

impl Runner {
    fn new(server: &BackendServer) -> Self {
        Self {
            name: server.name.clone(),
            address: server.address,
            report: RefCell::new(None),
            in_flight: Cell::default(),
            broken_at: Cell::new(None),
            yields_wanted: Cell::new(0),
        }
    }

    /// Looks at the last report, if it is fresh.
    pub(crate) fn report<R>(&self, look: impl FnOnce(&Report) -> R) -> Option<R> {
        let report = self.report.borrow();
        let (at, report) = report.as_ref()?;
        (at.elapsed() < REPORT_TIMEOUT).then(|| look(report))
    }

    /// Whether the runner answers and broke no connection of late.
    pub(crate) fn is_up(&self) -> bool {
        let broken = self
            .broken_at
            .get()
            .is_some_and(|at| at.elapsed() < BROKEN_PAUSE);
        !broken && self.report(|_| ()).is_some()
    }

    /// Whether the runner's reports arrive, though it may have broken a connection.
    pub(crate) fn is_answering(&self) -> bool {
        self.report(|_| ()).is_some()
    }

    /// Whether the runner reported that requests for this artifact run.
    pub(crate) fn is_ready(&self, artifact: &str) -> bool {
        self.report(|report| {
            report
                .artifacts
                .iter()
                .any(|held| held.name == artifact && held.state == ReportedState::Ready)
        })
        .unwrap_or(false)
    }

    /// Notes that the runner does not hold all of these artifacts, whatever its last report says.
    pub(crate) fn note_not_loaded(&self, artifacts: &[String]) {
        if let Some((_, report)) = self.report.borrow_mut().as_mut() {
            report
                .artifacts
                .retain(|held| !artifacts.contains(&held.name));
        }
    }

    /// Requests of this VM on the runner.
    pub(crate) fn in_flight(&self) -> InFlightCounts {
        self.in_flight.get()
    }

    /// Counts one more request.
    pub(crate) fn track_request(self: &Rc<Self>, priority: Priority) -> InFlightGuard {
        let load = InFlightCounts::of(priority);
        self.in_flight.set(self.in_flight.get() + load);
        InFlightGuard {
            runner: self.clone(),
            load,
        }
    }

    /// Wants so many of this VM's batch requests on the runner to give up their slots.
    pub(crate) fn request_yields(&self, count: u32) {
        self.yields_wanted.set(count.min(self.in_flight().batch));
    }

    /// Takes one wanted yield, if there is any.
    pub(crate) fn take_yield(&self) -> bool {
        let wanted = self.yields_wanted.get();
        self.yields_wanted.set(wanted.saturating_sub(1));
        wanted > 0
    }

    /// Notes a broken connection: the runner is passed over for a moment.
    pub(crate) fn note_broken(&self) {
        self.broken_at.set(Some(Instant::now()));
    }
}

/// All runners of the inventory in force.
#[derive(Debug)]
pub(crate) struct Fleet {
    report_bytes: Counter,
    runners: RefCell<BTreeMap<Name, Rc<Runner>>>,
}

impl Service for Fleet {
    const NAME: &'static str = "fleet";
}

impl Fleet {
    /// A fleet without runners that counts the bytes of reports.
    pub(crate) fn new(report_bytes: Counter) -> Self {
        Self {
            report_bytes,
            runners: RefCell::default(),
        }
    }

    /// Finds a runner.
    pub(crate) fn runner(&self, name: &str) -> Option<Rc<Runner>> {
        self.runners.borrow().get(name).cloned()
    }

    /// All runners, by name.
    pub(crate) fn runners(&self) -> Vec<Rc<Runner>> {
        self.runners.borrow().values().cloned().collect()
    }

    /// Takes over an inventory's runners and starts a task for each new one.
    pub(crate) fn update_runners<'a>(
        self: &Rc<Self>,
        servers: impl Iterator<Item = &'a BackendServer>,
    ) {
        let mut runners = self.runners.borrow_mut();
        let servers: HashMap<Name, &BackendServer> = servers
            .map(|server| (server.name.clone(), server))
            .collect();
        runners.retain(|name, runner| {
            servers
                .get(name)
                .is_some_and(|server| server.address == runner.address)
        });
        for (name, server) in servers {
            runners.entry(name).or_insert_with(|| {
                let runner = Rc::new(Runner::new(server));
                compio::runtime::spawn(self.clone().watch(runner.clone())).detach();
                runner
            });
        }
    }

    /// This VM's requests in flight, for the heartbeats.
    pub(crate) fn loads(&self) -> Vec<RunnerLoad> {
        self.runners
            .borrow()
            .values()
            .filter(|runner| runner.in_flight().all > 0)
            .map(|runner| RunnerLoad {
                runner: runner.name.to_string(),
                in_flight: runner.in_flight().all,
                batch: runner.in_flight().batch,
            })
            .collect()
    }

    /// Asks one runner for reports until the inventory does not list it any more.
    async fn watch(self: Rc<Self>, runner: Rc<Runner>) {
        let client = EngineClient::new(self.report_bytes.clone());
        let mut up = false;
        while self.is_listed(&runner) {
            if let Some(report) = client.report(runner.address).await {
                *runner.report.borrow_mut() = Some((Instant::now(), report));
            }
            if runner.is_up() != up {
                up = !up;
                emit(
                    Event::RunnerHealth,
                    format_args!("runner={} up={up}", runner.name),
                );
            }
            compio::time::sleep(REPORT_INTERVAL).await;
        }
    }

    fn is_listed(&self, runner: &Rc<Runner>) -> bool {
        self.runners
            .borrow()
            .get(&runner.name)
            .is_some_and(|listed| Rc::ptr_eq(listed, runner))
    }
}
