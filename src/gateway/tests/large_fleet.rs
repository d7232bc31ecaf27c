//! The work of a leader of thousands of runners.

use crate::gateway::fleet::{Entry, Holding, ServerState};
use crate::gateway::order_dispatch::OrderDispatcher;
use crate::gateway::removal::ChangeSource;
use crate::gateway::report_schedule::ReportSchedule;
use crate::gateway::source_selector::Source;
use crate::gateway::tests::state;
use crate::gateway::{
    Changes, Configuration, Engine, Limits, Model, Order, OrderOutcome, RunnerControl,
    RunnerReport, ServerChange, Service,
};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const MODELS: usize = 200;
const TICK: Duration = Duration::from_millis(100);
/// How long a simulated runner takes to send its report.
const REPORT_TIME: Duration = Duration::from_millis(5);
/// The most connections to runners that a VM with a few thousand descriptors may open at once.
const MAX_OPEN_REPORTS: usize = 400;

/// Runners that report that they hold nothing, and the number of requests for reports.
#[derive(Clone, Debug, Default)]
struct Control {
    open: Rc<Cell<usize>>,
    most_open: Rc<Cell<usize>>,
    total: Rc<Cell<usize>>,
    /// Every so many runners, one gives no report.
    silent_every: Option<usize>,
}

impl RunnerControl for Control {
    async fn report(&self, _: SocketAddr, server: &str) -> Option<RunnerReport> {
        let index: usize = server.trim_start_matches("i-").parse().ok()?;
        if self
            .silent_every
            .is_some_and(|every| index.is_multiple_of(every))
        {
            return None;
        }
        self.open.set(self.open.get() + 1);
        self.most_open
            .set(self.most_open.get().max(self.open.get()));
        self.total.set(self.total.get() + 1);
        compio::time::sleep(REPORT_TIME).await;
        self.open.set(self.open.get() - 1);
        Some(RunnerReport {
            started_ms: 1,
            ..RunnerReport::default()
        })
    }

    async fn order(&self, _: SocketAddr, _: &Order<'_>) -> OrderOutcome {
        OrderOutcome::Busy
    }
}

fn configuration() -> Configuration {
    let models = (0..MODELS).map(|index| Model {
        name: format!("m{index}").into(),
        weights_mb: 60_000.0,
        load_ms: 4_000,
        warm_load_ms: 600,
        disk_load_ms: 800,
        adapters: 4,
        adapter_mb: 60.0,
    });
    let engine = Engine {
        weights_mb: 200_000.0,
        slots: 16,
        adapter_slots: 8,
        loads_per_s: 0.0,
        models: models.collect(),
    };
    let service = Service {
        name: "llm".into(),
        engine: Some(engine),
    };
    Configuration::new(1, Vec::new(), vec![service], Limits::default())
}

fn entry(index: usize) -> Entry {
    let holding = |model: usize| Holding {
        model: format!("m{}", model % MODELS).into(),
        version: 1,
        adapters: Vec::new(),
    };
    Entry {
        id: format!("i-{index}").into(),
        started_ms: 1,
        sequence: 0,
        service: "llm".into(),
        software_version: "v1".into(),
        address: SocketAddr::from(([10, 2, (index / 256) as u8, (index % 256) as u8], 8_000)),
        availability_zone: "a".into(),
        slots: 16,
        state: ServerState::Ready,
        holdings: vec![holding(index), holding(index + 1)],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn leader(runners: usize, control: &Control) -> Rc<OrderDispatcher<Control>> {
    let state = Rc::new(state());
    state.apply_configuration(configuration(), Source::Log);
    let entries = (0..runners).map(|index| ServerChange::Upserted(entry(index)));
    let changes = Changes {
        items: entries.collect(),
        next_offset: 0,
    };
    state.apply_directory_changes(changes, None, ChangeSource::Log, Instant::now());
    let dispatcher = OrderDispatcher::new(state, control.clone());
    dispatcher.start(1);
    dispatcher
}

#[compio::test]
async fn a_new_leader_opens_few_connections_at_once() {
    for runners in [90, 4_000] {
        let control = Control::default();
        let dispatcher = leader(runners, &control);
        dispatcher.tick();
        compio::time::sleep(TICK).await;
        assert!(control.total.get() > 0);
        let open = control.most_open.get();
        assert!(open <= MAX_OPEN_REPORTS, "{open} of {runners}");
    }
}

#[compio::test]
async fn runners_that_give_no_report_do_not_count_as_unknown_for_long() {
    let control = Control {
        silent_every: Some(5),
        ..Control::default()
    };
    let dispatcher = leader(100, &control);
    for _ in 0..30 {
        dispatcher.tick();
        compio::time::sleep(TICK).await;
    }
    assert!(dispatcher.knows_most_runners());
}

#[test]
fn all_reports_are_requested_soon_and_at_a_bounded_rate() {
    for (runners, cpu_cores, within) in [(90, 0.25, 1), (4_000, 1.0, 5), (4_000, 0.12, 40)] {
        let start = Instant::now();
        let mut schedule = ReportSchedule::new(cpu_cores, start);
        let mut requested = 0;
        let mut ticks = 0;
        while requested < runners {
            requested += schedule.take(runners - requested, start + TICK * ticks);
            ticks += 1;
        }
        let took = TICK * ticks;
        assert!(took <= Duration::from_secs(within), "{runners}: {took:?}");
        let interval = schedule.interval(runners, true);
        let per_s = runners as f64 / interval.as_secs_f64();
        assert!(per_s <= 250.1 * cpu_cores, "{runners}: {per_s} a second");
    }
}

/// Prints what one plan costs; run by hand.
#[compio::test]
#[ignore = "a benchmark"]
async fn cost_of_a_plan() {
    for runners in [100, 1_000, 4_000, 8_000] {
        let control = Control::default();
        let dispatcher = leader(runners, &control);
        dispatcher.tick();
        compio::time::sleep(Duration::from_secs(2)).await;
        let began = Instant::now();
        dispatcher.tick();
        println!("{runners} runners: {:?}", began.elapsed());
    }
}
