//! Orders never fill a runner beyond its room, whatever else is under way there.

use crate::gateway::fleet::{Entry, Holding, ServerState};
use crate::gateway::order_dispatch::Ordering;
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
/// Room of the runner, and the size of each model: one fits.
const ROOM_MB: f64 = 10_000.0;
const TICK: Duration = Duration::from_millis(20);
/// How old a runner's account is.
const LAG: Duration = Duration::from_millis(200);

/// A runner with room for one model.
#[derive(Debug, Default)]
struct Runner {
    held: Vec<Name>,
    orders: u64,
    /// What it was at each change, with the moment.
    past: Vec<(Instant, RunnerReport)>,
    /// The order in progress, whether it is a load, and when it is complete.
    at_work: Option<(Name, bool, Instant)>,
    /// How long loads and drops take.
    load_time: Duration,
    drop_time: Duration,
    /// A load that another holder orders just before the next order of this one.
    other_load: Option<Name>,
    /// Orders that met another one in progress, or another number of orders.
    conflicts: usize,
    most_held: usize,
    /// Accounts that do not come.
    missed: usize,
}

impl Runner {
    fn catch_up(&mut self) {
        let now = Instant::now();
        let Some((model, is_load, at)) = self.at_work.take_if(|(_, _, at)| *at <= now) else {
            return;
        };
        match is_load {
            true => self.held.push(model),
            false => self.held.retain(|held| *held != model),
        }
        self.most_held = self.most_held.max(self.held.len());
        self.note(at);
    }

    /// Notes what it is from `at` on.
    fn note(&mut self, at: Instant) {
        let holdings = self.held.iter().map(|model| Holding {
            model: model.clone(),
            version: 1,
            adapters: Vec::new(),
        });
        let report = RunnerReport {
            holdings: holdings.collect(),
            is_busy: self.at_work.is_some(),
            orders: self.orders,
            started_ms: 1,
            coming: Vec::new(),
        };
        self.past.push((at, report));
    }

    /// Its account, as of a moment ago.
    fn report(&mut self) -> Option<RunnerReport> {
        self.catch_up();
        if self.missed > 0 {
            self.missed -= 1;
            return None;
        }
        let asked_at = Instant::now() - LAG;
        let mut past = self.past.iter().rev();
        let (_, report) = past.find(|(at, _)| *at <= asked_at)?;
        Some(report.clone())
    }

    fn accept(&mut self, model: Name, is_load: bool) {
        let time = match is_load {
            true => self.load_time,
            false => self.drop_time,
        };
        self.orders += 1;
        let now = Instant::now();
        self.at_work = Some((model, is_load, now + time));
        self.note(now);
    }

    fn take(&mut self, order: &Order<'_>) -> OrderOutcome {
        if let Some(other) = self.other_load.take() {
            self.accept(other, true);
        }
        self.catch_up();
        let model = &order.weights.model;
        if self.at_work.is_some() || order.expected_orders != Some(self.orders) {
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

/// The control side of the one runner.
#[derive(Clone, Debug, Default)]
struct Control(Rc<RefCell<Runner>>);

impl RunnerControl for Control {
    async fn report(&self, _: SocketAddr, _: &str) -> Option<RunnerReport> {
        self.0.borrow_mut().report()
    }

    async fn order(&self, _: SocketAddr, order: &Order<'_>) -> OrderOutcome {
        self.0.borrow_mut().take(order)
    }
}

fn model(name: &str) -> Model {
    Model {
        name: name.into(),
        weights_mb: ROOM_MB,
        load_ms: 300,
        warm_load_ms: 300,
        disk_load_ms: 300,
        adapters: 0,
        adapter_mb: 0.0,
    }
}

fn configuration() -> Configuration {
    let engine = Engine {
        weights_mb: ROOM_MB,
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
        address: "10.1.0.9:8000".parse().expect("an address"),
        availability_zone: "a".into(),
        slots: 4,
        state: ServerState::Ready,
        holdings: Vec::new(),
        in_memory: vec!["a".into(), "b".into()],
        on_disk: Vec::new(),
    }
}

fn take(state: &State, change: ServerChange) {
    let changes = Changes {
        items: vec![change],
        next: 0,
    };
    state.apply_directory_changes(changes, Instant::now());
}

/// A holder of the claim with one listed runner.
fn holder(control: &Control) -> (Rc<State>, Rc<Ordering<Control>>) {
    let state = Rc::new(state());
    state.apply_configuration(configuration());
    take(&state, ServerChange::Upserted(entry()));
    let ordering = Ordering::new(state.clone(), control.clone());
    ordering.start(1);
    control.0.borrow_mut().note(Instant::now() - LAG);
    (state, ordering)
}

async fn tick(ordering: &Rc<Ordering<Control>>, times: usize) {
    for _ in 0..times {
        ordering.tick();
        compio::time::sleep(TICK).await;
    }
}

#[compio::test]
async fn a_load_waits_for_what_an_earlier_holder_ordered() {
    let control = Control::default();
    {
        let mut runner = control.0.borrow_mut();
        runner.load_time = Duration::from_millis(600);
        // Not the model that is planned for the empty runner.
        runner.other_load = Some("b".into());
    }
    let (_state, ordering) = holder(&control);
    tick(&ordering, 100).await;
    let runner = control.0.borrow();
    assert!(runner.orders > 0);
    assert!(runner.most_held <= 1, "{runner:?}");
}

#[compio::test]
async fn a_runner_whose_entry_lapsed_while_it_works_is_given_no_second_order() {
    let control = Control::default();
    {
        let mut runner = control.0.borrow_mut();
        runner.held.push("a".into());
        runner.load_time = Duration::from_millis(300);
        runner.drop_time = Duration::from_millis(800);
    }
    let (state, ordering) = holder(&control);
    let wanted = Weights {
        model: "b".into(),
        adapter: None,
    };
    let _waiting = state.count_waiting(&wanted);
    tick(&ordering, 10).await;
    assert_eq!(control.0.borrow().orders, 1, "the drop is under way");
    take(&state, ServerChange::Removed(SERVER.into()));
    state.purge_removed(Instant::now());
    assert!(state.fleet.server(SERVER).is_none());
    tick(&ordering, 2).await;
    tick(&ordering, 5).await;
    take(&state, ServerChange::Upserted(entry()));
    tick(&ordering, 80).await;
    let runner = control.0.borrow();
    assert_eq!(runner.conflicts, 0, "{runner:?}");
    assert_eq!(runner.held, ["b".into()] as [Name; 1]);
}

/// Whether the holder knew what the runner holds at each look, while so many of its accounts did not
/// come in the course of a drop.
async fn is_known_throughout(missed: usize) -> bool {
    let control = Control::default();
    {
        let mut runner = control.0.borrow_mut();
        runner.held.push("a".into());
        runner.load_time = Duration::from_millis(300);
        runner.drop_time = Duration::from_millis(800);
    }
    let (state, ordering) = holder(&control);
    let wanted = Weights {
        model: "b".into(),
        adapter: None,
    };
    let _waiting = state.count_waiting(&wanted);
    tick(&ordering, 10).await;
    control.0.borrow_mut().missed = missed;
    let mut is_known = true;
    for _ in 0..60 {
        tick(&ordering, 1).await;
        is_known &= !state.leader_view.borrow().is_empty();
    }
    assert_eq!(control.0.borrow().missed, 0);
    is_known
}

#[compio::test]
async fn one_account_that_does_not_come_leaves_a_runner_in_the_plan() {
    assert!(is_known_throughout(1).await);
    assert!(!is_known_throughout(3).await);
}
