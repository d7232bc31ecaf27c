//! Model runners that crash when they begin to answer a prompt with certain parts.

use super::events::{events, remaining_events};
use super::{
    Answer, Caller, CallerRequest, ReceivedRequest, ScriptStep, ServerStandIn, Site, StoreStandIn,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The number of events of a whole stream.
const EVENTS: u64 = 8;
/// The pause after each event.
const PAUSE_MS: u64 = 25;
/// How long a runner works on a prompt before it crashes, unless a test sets it.
const CRASH_DELAY: Duration = Duration::from_millis(60);
/// Longer than any caller waits.
const LONG: Duration = Duration::from_secs(60);
/// The part that all prompts begin with.
pub const FIRST_PART: &str = "f1";

/// A request for the model `m0` whose prompt consists of these shared parts and one of its own.
pub fn prompt(shared_parts: &[&str]) -> CallerRequest {
    let own = rand::random::<u64>();
    let shared: Vec<String> = shared_parts.iter().map(|it| format!("{it}:60")).collect();
    CallerRequest::post("/s/x", &format!("write {own}"))
        .with("X-Model", "m0")
        .with("X-Token-Usage", "400,48")
        .with(
            "X-Prompt-Prefix",
            &format!("{},{own:x}:300", shared.join(",")),
        )
}

/// A part of prompts that crashes runners.
#[derive(Clone, Debug)]
pub struct CrashingPart {
    /// The id of the part.
    pub id: String,
    /// From when on it crashes them.
    pub active_from: Instant,
    /// How long a runner works on the prompt before it crashes.
    pub delay: Duration,
    /// The number of events that it sends before.
    pub events: u64,
}

impl CrashingPart {
    /// A part that crashes runners from now on, before the first event.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            active_from: Instant::now(),
            delay: CRASH_DELAY,
            events: 0,
        }
    }
}

/// A request that would crash a runner, as it reached one.
#[derive(Clone, Debug)]
pub struct CrashingArrival {
    /// The id of the request.
    pub request: String,
    /// The part that crashes runners.
    pub part: String,
    /// When the request arrived.
    pub at: Instant,
}

/// The parts that crash runners, and what happened because of them.
#[derive(Debug)]
pub struct CrashingParts {
    parts: RefCell<Vec<CrashingPart>>,
    downtime: Cell<Duration>,
    store: Rc<StoreStandIn>,
    arrivals: RefCell<Vec<CrashingArrival>>,
    /// The parts and times of the crashes.
    crashes: RefCell<Vec<(String, Instant)>>,
}

impl CrashingParts {
    /// Lets the runners of a site crash on prompts with any of these parts, and start again after
    /// `downtime`. They answer all other prompts with whole streams.
    pub fn install(site: &Site, parts: Vec<CrashingPart>, downtime: Duration) -> Rc<Self> {
        let crashing = Rc::new(Self {
            parts: RefCell::new(parts),
            downtime: Cell::new(downtime),
            store: site.store.clone(),
            arrivals: RefCell::default(),
            crashes: RefCell::default(),
        });
        for server in &site.servers {
            let crashing = crashing.clone();
            let runner = server.clone();
            server.script(move |request| crashing.clone().answer(&runner, request));
        }
        crashing
    }

    fn answer(
        self: Rc<Self>,
        server: &Rc<ServerStandIn>,
        request: &ReceivedRequest,
    ) -> Vec<ScriptStep> {
        let Some(part) = self.crashing_part_of(request) else {
            return remaining_events(request, EVENTS, PAUSE_MS);
        };
        self.arrivals.borrow_mut().push(CrashingArrival {
            request: request.header("x-attempt-id").to_owned(),
            part: part.id.clone(),
            at: Instant::now(),
        });
        let server = server.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(part.delay).await;
            if !server.is_dead() {
                self.crashes.borrow_mut().push((part.id, Instant::now()));
                self.restart(&server).await;
            }
        })
        .detach();
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let mut steps = match part.events {
            0 => Vec::new(),
            count => events(request, last + 1, count, 5),
        };
        steps.push(ScriptStep::Wait(LONG));
        steps
    }

    /// Ends a runner and starts it again after the downtime.
    pub async fn restart(&self, server: &Rc<ServerStandIn>) {
        server.die();
        compio::time::sleep(self.downtime.get()).await;
        server.start_again().await;
        let entry = server.entry("ready");
        self.store.put("keyed.servers", &server.id, &entry);
    }

    fn crashing_part_of(&self, request: &ReceivedRequest) -> Option<CrashingPart> {
        let pairs = request.header("x-prompt-prefix").split(',');
        let ids: Vec<&str> = pairs.filter_map(|pair| pair.split(':').next()).collect();
        let parts = self.parts.borrow();
        let mut active = parts.iter().filter(|it| it.active_from <= Instant::now());
        active.find(|it| ids.contains(&it.id.as_str())).cloned()
    }

    /// When a part crashed runners.
    pub fn crashes(&self, part: &str) -> Vec<Instant> {
        let crashes = self.crashes.borrow();
        let of_part = crashes.iter().filter(|(of, _)| of == part);
        of_part.map(|(_, at)| *at).collect()
    }

    /// The requests with a part that reached runners later than `delay` after the part had crashed
    /// `count` of them.
    pub fn arrivals_after_crashes(
        &self,
        part: &str,
        count: usize,
        delay: Duration,
    ) -> Vec<CrashingArrival> {
        let Some(known_at) = self.crashes(part).get(count - 1).copied() else {
            return Vec::new();
        };
        let mut arrivals = self.arrivals(part);
        arrivals.retain(|it| it.at > known_at + delay);
        arrivals
    }

    /// The requests with a part that reached runners.
    pub fn arrivals(&self, part: &str) -> Vec<CrashingArrival> {
        let arrivals = self.arrivals.borrow();
        let of_part = arrivals.iter().filter(|it| it.part == part);
        of_part.cloned().collect()
    }
}

/// Sends prompts at a steady rate to the VMs in turn; returns when each was sent and its answer.
pub async fn send_prompts(
    site: &Site,
    vms: &[usize],
    requests_per_s: f64,
    duration: Duration,
    shared_parts: impl Fn() -> Vec<String>,
) -> Vec<(Instant, Answer)> {
    let began = Instant::now();
    let count = (duration.as_secs_f64() * requests_per_s) as usize;
    let mut sent = Vec::new();
    for index in 0..count {
        let due = began + Duration::from_secs_f64(index as f64 / requests_per_s);
        compio::time::sleep_until(due).await;
        let address = site.front(vms[index % vms.len()]);
        let parts = shared_parts();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let request = prompt(&parts);
        let task =
            compio::runtime::spawn(
                async move { Caller::default().request(address, &request).await },
            );
        sent.push((due, task));
    }
    let mut answers = Vec::new();
    for (due, task) in sent {
        let answer = task.await.expect("sending a request does not panic");
        answers.push((due, answer));
    }
    answers
}
