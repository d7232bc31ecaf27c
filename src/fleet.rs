//! The runners as this VM knows them: their last reports and this VM's requests in flight.

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

/// The interval at which each runner is asked for a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The age from which a report is ignored and its runner counts as not answering.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a runner gets no requests after one of its connections broke.
const BROKEN_CONNECTION_BACKOFF: Duration = Duration::from_millis(500);

/// A runner and what this VM knows of its state.
#[derive(Debug)]
pub(crate) struct Runner {
    /// The name of the runner in the inventory.
    pub(crate) name: Name,
    /// The address at which the runner listens.
    pub(crate) address: SocketAddr,
    report: RefCell<Option<(Instant, Report)>>,
    in_flight: Cell<InFlightCounts>,
    broken_at: Cell<Option<Instant>>,
    requested_yields: Cell<u32>,
}

/// Counts a request as in flight on a runner until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    runner: Rc<Runner>,
    counts: InFlightCounts,
}

impl InFlightGuard {
    /// The runner that serves the request.
    pub(crate) fn runner(&self) -> &Runner {
        &self.runner
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let in_flight = self.runner.in_flight.get();
        self.runner.in_flight.set(in_flight - self.counts);
    }
}

/// The number of requests in flight on a runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct InFlightCounts {
    /// All requests.
    pub(crate) all: u32,
    /// Batch requests, which `all` includes.
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
    /// The counts for a single request.
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
            requested_yields: Cell::new(0),
        }
    }

    /// Calls `read` with the last report; returns `None` if that report has expired.
    pub(crate) fn report<R>(&self, read: impl FnOnce(&Report) -> R) -> Option<R> {
        let report = self.report.borrow();
        let (at, report) = report.as_ref()?;
        (at.elapsed() < REPORT_TIMEOUT).then(|| read(report))
    }

    /// Whether the runner answers and none of its connections broke recently.
    pub(crate) fn is_up(&self) -> bool {
        let broken = self
            .broken_at
            .get()
            .is_some_and(|at| at.elapsed() < BROKEN_CONNECTION_BACKOFF);
        !broken && self.report(|_| ()).is_some()
    }

    /// Whether the runner answers, even if one of its connections broke recently.
    pub(crate) fn is_answering(&self) -> bool {
        self.report(|_| ()).is_some()
    }

    /// Whether the runner's last report says that the artifact is ready for requests.
    pub(crate) fn is_ready(&self, artifact: &str) -> bool {
        self.report(|report| {
            report
                .artifacts
                .iter()
                .any(|held| held.name == artifact && held.state == ReportedState::Ready)
        })
        .unwrap_or(false)
    }

    /// Removes the artifacts from the last report, after the runner refused a request since it
    /// does not hold all of them.
    pub(crate) fn note_not_loaded(&self, artifacts: &[String]) {
        if let Some((_, report)) = self.report.borrow_mut().as_mut() {
            report
                .artifacts
                .retain(|held| !artifacts.contains(&held.name));
        }
    }

    /// This VM's requests in flight on the runner.
    pub(crate) fn in_flight(&self) -> InFlightCounts {
        self.in_flight.get()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(self: &Rc<Self>, priority: Priority) -> InFlightGuard {
        let counts = InFlightCounts::of(priority);
        self.in_flight.set(self.in_flight.get() + counts);
        InFlightGuard {
            runner: self.clone(),
            counts,
        }
    }

    /// Asks `count` of this VM's batch requests on the runner to yield their slots.
    ///
    /// Replaces the number that was requested before.
    pub(crate) fn request_yields(&self, count: u32) {
        self.requested_yields.set(count.min(self.in_flight().batch));
    }

    /// Consumes one requested yield; returns false if there is none.
    pub(crate) fn take_yield(&self) -> bool {
        let requested = self.requested_yields.get();
        self.requested_yields.set(requested.saturating_sub(1));
        requested > 0
    }

    /// Records a broken connection, so that the runner gets no requests for a short time.
    pub(crate) fn record_connection_failure(&self) {
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
    /// Creates a fleet without runners; `report_bytes` counts the bytes of reports.
    pub(crate) fn new(report_bytes: Counter) -> Self {
        Self {
            report_bytes,
            runners: RefCell::default(),
        }
    }

    /// Returns the runner of this name.
    pub(crate) fn runner(&self, name: &str) -> Option<Rc<Runner>> {
        self.runners.borrow().get(name).cloned()
    }

    /// All runners in the order of their names.
    pub(crate) fn runners(&self) -> Vec<Rc<Runner>> {
        self.runners.borrow().values().cloned().collect()
    }

    /// Replaces the runners by those of an inventory and starts a polling task for each new one.
    ///
    /// A runner whose name and address are unchanged keeps its state.
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
                compio::runtime::spawn(self.clone().poll_reports(runner.clone())).detach();
                runner
            });
        }
    }

    /// This VM's requests in flight by runner, which its heartbeats report to the peers.
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

    /// Polls a runner for reports until the inventory no longer lists it at its address.
    async fn poll_reports(self: Rc<Self>, runner: Rc<Runner>) {
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
