//! Orders never exceed the memory of a runner, whatever other orders are in flight there.

use crate::gateway::coming_copy::ComingCopy;
use crate::gateway::fleet::{Entry, Holding, ServerState};
use crate::gateway::order_dispatch::OrderDispatcher;
use crate::gateway::removal::ChangeSource;
use crate::gateway::runner_state::RunnerState;
use crate::gateway::source_selector::Source;
use crate::gateway::state::State;
use crate::gateway::tests::state;
use crate::gateway::{
    Changes, Configuration, Engine, Limits, Model, Order, OrderOutcome, RunnerControl,
    RunnerReport, ServerChange, Service, Weights,
};
use crate::inventory::Name;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const SERVER: &str = "i-1";
/// Memory of the runner and size of each model: exactly one fits.
const CAPACITY_MB: f64 = 10_000.0;
const TICK: Duration = Duration::from_millis(20);
/// Delay with which a runner's report reflects its state.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// Simulated runner with memory for one model.
#[derive(Debug, Default)]
struct Runner {
    held: Vec<Name>,
    orders: u64,
    /// Report after each change, with the time of the change.
    history: Vec<(Instant, RunnerReport)>,
    /// Model of the order in progress, whether it is a load, and when it completes.
    order_in_progress: Option<(Name, bool, Instant)>,
    /// Duration of a load.
    load_time: Duration,
    /// Duration of an unload.
    unload_time: Duration,
    /// Load that another leader orders just before the next order of this one.
    competing_load: Option<Name>,
    /// Orders that arrived while another was in progress or with a wrong number of orders.
    conflicts: usize,
    max_held: usize,
    /// Number of coming report requests that get no answer.
    missing_reports: usize,
}

impl Runner {
    fn complete_order(&mut self) {
        let now = Instant::now();
        let Some((model, is_load, at)) = self.order_in_progress.take_if(|(_, _, at)| *at <= now)
        else {
            return;
        };
        match is_load {
            true => self.held.push(model),
            false => self.held.retain(|held| *held != model),
        }
        self.max_held = self.max_held.max(self.held.len());
        self.record_state(at);
    }

    /// Records the state that holds from `at` on.
    fn record_state(&mut self, at: Instant) {
        let holdings = self.held.iter().map(|model| Holding {
            model: model.clone(),
            version: 1,
            adapters: Vec::new(),
        });
        let report = RunnerReport {
            holdings: holdings.collect(),
            is_busy: self.order_in_progress.is_some(),
            orders: self.orders,
            started_ms: 1,
            loading_adapters: Vec::new(),
            is_leaving: false,
        };
        self.history.push((at, report));
    }

    /// Returns the report as of [`REPORT_LAG`] ago.
    fn report(&mut self) -> Option<RunnerReport> {
        self.complete_order();
        if self.missing_reports > 0 {
            self.missing_reports -= 1;
            return None;
        }
        let reported_at = Instant::now() - REPORT_LAG;
        let mut history = self.history.iter().rev();
        let (_, report) = history.find(|(at, _)| *at <= reported_at)?;
        Some(report.clone())
    }

    fn accept(&mut self, model: Name, is_load: bool) {
        let time = match is_load {
            true => self.load_time,
            false => self.unload_time,
        };
        self.orders += 1;
        let now = Instant::now();
        self.order_in_progress = Some((model, is_load, now + time));
        self.record_state(now);
    }

    fn receive_order(&mut self, order: &Order<'_>) -> OrderOutcome {
        if let Some(other) = self.competing_load.take() {
            self.accept(other, true);
        }
        self.complete_order();
        let model = &order.weights.model;
        if self.order_in_progress.is_some() || order.expected_orders != Some(self.orders) {
            self.conflicts += 1;
            return OrderOutcome::Busy;
        }
        if self.held.contains(model) == order.is_load {
            return OrderOutcome::Held;
        }
        self.accept(model.clone(), order.is_load);
        OrderOutcome::Accepted
    }
}

/// Control interface of the simulated runner.
#[derive(Clone, Debug, Default)]
struct Control(Rc<RefCell<Runner>>);

impl RunnerControl for Control {
    async fn report(&self, _: SocketAddr, _: &str) -> Option<RunnerReport> {
        self.0.borrow_mut().report()
    }

    async fn order(&self, _: SocketAddr, order: &Order<'_>) -> OrderOutcome {
        self.0.borrow_mut().receive_order(order)
    }
}

fn model(name: &str) -> Model {
    Model {
        name: name.into(),
        weights_mb: CAPACITY_MB,
        load_ms: 300,
        warm_load_ms: 300,
        disk_load_ms: 300,
        adapters: 0,
        adapter_mb: 0.0,
    }
}

fn configuration() -> Configuration {
    let engine = Engine {
        weights_mb: CAPACITY_MB,
        slots: 4,
        adapter_slots: 0,
        loads_per_s: 10.0,
        models: vec![model("a"), model("b")],
    };
    let service = Service {
        name: "llm".into(),
        engine: Some(engine),
    };
    Configuration::new(1, Vec::new(), vec![service], Limits::default())
}

fn entry() -> Entry {
    Entry {
        id: SERVER.into(),
        started_ms: 1,
        sequence: 0,
        service: "llm".into(),
        software_version: "v1".into(),
        address: "10.1.0.9:8000".parse().expect("an address"),
        availability_zone: "a".into(),
        slots: 4,
        state: ServerState::Ready,
        holdings: Vec::new(),
        in_memory: vec!["a".into(), "b".into()],
        on_disk: Vec::new(),
    }
}

fn apply_change(state: &State, change: ServerChange) {
    let changes = Changes {
        items: vec![change],
        next_offset: 0,
    };
    state.apply_directory_changes(changes, None, ChangeSource::Log, Instant::now());
}

/// Returns a leader with one listed runner.
fn leader(control: &Control) -> (Rc<State>, Rc<OrderDispatcher<Control>>) {
    let state = Rc::new(state());
    state.apply_configuration(configuration(), Source::Log);
    apply_change(&state, ServerChange::Upserted(entry()));
    let dispatcher = OrderDispatcher::new(state.clone(), control.clone());
    dispatcher.start(1);
    control
        .0
        .borrow_mut()
        .record_state(Instant::now() - REPORT_LAG);
    (state, dispatcher)
}

async fn tick(dispatcher: &Rc<OrderDispatcher<Control>>, times: usize) {
    for _ in 0..times {
        dispatcher.tick();
        compio::time::sleep(TICK).await;
    }
}

#[compio::test]
async fn a_load_waits_for_the_order_of_an_earlier_leader() {
    let control = Control::default();
    {
        let mut runner = control.0.borrow_mut();
        runner.load_time = Duration::from_millis(600);
        // A different model from the one planned for the empty runner.
        runner.competing_load = Some("b".into());
    }
    let (_state, dispatcher) = leader(&control);
    tick(&dispatcher, 100).await;
    let runner = control.0.borrow();
    assert!(runner.orders > 0);
    assert!(runner.max_held <= 1, "{runner:?}");
}

#[compio::test]
async fn a_runner_whose_entry_lapses_during_an_order_gets_no_second_order() {
    let control = Control::default();
    {
        let mut runner = control.0.borrow_mut();
        runner.held.push("a".into());
        runner.load_time = Duration::from_millis(300);
        runner.unload_time = Duration::from_millis(800);
    }
    let (state, dispatcher) = leader(&control);
    let wanted = Weights {
        model: "b".into(),
        adapter: None,
    };
    let _waiting = state.count_waiting(&wanted);
    tick(&dispatcher, 10).await;
    assert_eq!(control.0.borrow().orders, 1, "the unload is in flight");
    apply_change(&state, ServerChange::Removed(SERVER.into()));
    state.purge_removed(Instant::now());
    assert!(state.fleet.server(SERVER).is_none());
    tick(&dispatcher, 2).await;
    tick(&dispatcher, 5).await;
    apply_change(&state, ServerChange::Upserted(entry()));
    tick(&dispatcher, 80).await;
    let runner = control.0.borrow();
    assert_eq!(runner.conflicts, 0, "{runner:?}");
    assert_eq!(runner.held, ["b".into()] as [Name; 1]);
}

/// Whether the leader knew what the runner holds at every tick while `missing_reports` of its
/// reports did not arrive during an unload.
async fn is_state_known_throughout(missing_reports: usize) -> bool {
    let control = Control::default();
    {
        let mut runner = control.0.borrow_mut();
        runner.held.push("a".into());
        runner.load_time = Duration::from_millis(300);
        runner.unload_time = Duration::from_millis(800);
    }
    let (state, dispatcher) = leader(&control);
    let wanted = Weights {
        model: "b".into(),
        adapter: None,
    };
    let _waiting = state.count_waiting(&wanted);
    tick(&dispatcher, 10).await;
    control.0.borrow_mut().missing_reports = missing_reports;
    let mut is_known = true;
    for _ in 0..60 {
        tick(&dispatcher, 1).await;
        is_known &= !state.leader_view.borrow().is_empty();
    }
    assert_eq!(control.0.borrow().missing_reports, 0);
    is_known
}

#[compio::test]
async fn one_missing_report_leaves_a_runner_in_the_plan() {
    assert!(is_state_known_throughout(1).await);
    assert!(!is_state_known_throughout(3).await);
}

/// VMs predict waits with copies being loaded, so the leader must state when each is ready, and stop
/// once it is loaded.
#[compio::test]
async fn a_copy_is_expected_from_its_accepted_order_until_it_is_loaded() {
    let control = Control::default();
    control.0.borrow_mut().load_time = Duration::from_millis(300);
    let (state, dispatcher) = leader(&control);
    let server = state.fleet.server(SERVER).expect("it is listed");
    assert_eq!(server.coming(Instant::now()), None);
    tick(&dispatcher, 10).await;
    assert_eq!(control.0.borrow().orders, 1, "a load is in progress");
    let now = Instant::now();
    let coming = server.coming(now).expect("a copy is expected");
    let left = coming.ready_at.saturating_duration_since(now);
    assert!(left > Duration::ZERO, "{coming:?}");
    assert!(left < Duration::from_secs(1), "{coming:?}");
    tick(&dispatcher, 60).await;
    assert_eq!(control.0.borrow().held, [coming.model] as [Name; 1]);
    assert_eq!(server.coming(Instant::now()), None);
}

/// A new leader loaded a second copy of a model whose load the earlier leader had begun.
#[test]
fn a_new_leader_counts_the_load_that_it_was_told_of() {
    let control = Control::default();
    let (state, _dispatcher) = leader(&control);
    let server = state.fleet.server(SERVER).expect("it is listed");
    let now = Instant::now();
    server.note_coming(Some(ComingCopy::after_ms("b".into(), 2_000, now)));
    let mut report = control.0.borrow_mut().report().expect("a report");
    let loading = |report: &RunnerReport| {
        let known = RunnerState {
            report: Some(report.clone()),
            ..RunnerState::default()
        };
        known.view(&server, None).expect("a view").loading
    };
    assert_eq!(loading(&report), None, "the load has ended");
    report.is_busy = true;
    assert_eq!(loading(&report), Some("b".into()));
    assert_eq!(
        server.coming(now + Duration::from_millis(3_500)),
        None,
        "the load has failed"
    );
}
