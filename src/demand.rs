//! How much of the runners each model's requests ask for, over all VMs.
//!
//! Demand is measured in slots: the mean number of requests that would run at
//! once if each ran as soon as it came. Refused requests count too.

use crate::inventory::{Inventory, Name, Priority};
use crate::membership::Membership;
use crate::service_registry::Service;
use crate::wire::ModelDemand;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time over which demand is averaged.
const WINDOW: Duration = Duration::from_secs(3);
/// Hundredths of a slot, as heartbeats carry demand.
const CENTISLOTS: f64 = 100.0;
/// Time of a token before any was seen.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(30);
/// Tokens of an answer before any was seen.
const FIRST_ANSWER_TOKENS: f64 = 64.0;
/// The weight of the newest answer in learnt values.
const LEARNING_RATE: f64 = 0.05;

/// Slots that one model's requests ask for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Slots {
    /// Of urgent requests.
    pub(crate) urgent: f64,
    /// Of all requests.
    pub(crate) all: f64,
}

/// A sum that fades over the window.
#[derive(Clone, Copy, Debug)]
struct Faded {
    slots: Slots,
    at: Instant,
}

impl Faded {
    fn now(&self) -> Slots {
        let kept = (-self.at.elapsed().as_secs_f64() / WINDOW.as_secs_f64()).exp();
        Slots {
            urgent: self.slots.urgent * kept,
            all: self.slots.all * kept,
        }
    }
}

/// The demand as this VM measures it and its peers tell it.
#[derive(Debug)]
pub(crate) struct Demand {
    membership: Rc<Membership>,
    own: RefCell<HashMap<Name, Faded>>,
    token_s: Cell<f64>,
    answer_tokens: Cell<f64>,
}

impl Service for Demand {
    const NAME: &'static str = "demand";
}

impl Demand {
    /// No demand so far.
    pub(crate) fn new(membership: Rc<Membership>) -> Self {
        Self {
            membership,
            own: RefCell::default(),
            token_s: Cell::new(FIRST_TOKEN_TIME.as_secs_f64()),
            answer_tokens: Cell::new(FIRST_ANSWER_TOKENS),
        }
    }

    /// Counts a request that came, with the tokens it asks for at most.
    pub(crate) fn note_arrival(&self, model: &Name, priority: Priority, max_tokens: Option<u64>) {
        let share = self.service_time(max_tokens).as_secs_f64() / WINDOW.as_secs_f64();
        let mut own = self.own.borrow_mut();
        let faded = own.entry(model.clone()).or_insert_with(|| Faded {
            slots: Slots::default(),
            at: Instant::now(),
        });
        faded.slots = faded.now();
        faded.at = Instant::now();
        faded.slots.all += share;
        if priority == Priority::Urgent {
            faded.slots.urgent += share;
        }
    }

    /// Learns from an answer that was complete.
    pub(crate) fn note_answer(&self, tokens: u32, streaming: Duration) {
        if tokens < 2 {
            return;
        }
        let token_s = streaming.as_secs_f64() / f64::from(tokens - 1);
        learn(&self.token_s, token_s);
        learn(&self.answer_tokens, f64::from(tokens));
    }

    /// How long a runner is expected to be busy with an answer.
    pub(crate) fn service_time(&self, max_tokens: Option<u64>) -> Duration {
        let tokens = max_tokens.map_or(self.answer_tokens.get(), |tokens| tokens as f64);
        Duration::from_secs_f64(tokens * self.token_s.get())
    }

    /// This VM's demand, for heartbeats; models without any are left out.
    pub(crate) fn to_wire(&self, inventory: &Inventory) -> Vec<ModelDemand> {
        let own = self.own.borrow();
        let models = inventory.models.iter().enumerate();
        models
            .filter_map(|(index, model)| {
                let slots = own.get(&model.name)?.now();
                let demand = ModelDemand {
                    model: index as u32,
                    urgent_centislots: (slots.urgent * CENTISLOTS) as u32,
                    all_centislots: (slots.all * CENTISLOTS) as u32,
                };
                (demand.all_centislots > 0).then_some(demand)
            })
            .collect()
    }

    /// The demand for each model over all live VMs at the same revision.
    pub(crate) fn total(&self, inventory: &Inventory, revision: u64) -> HashMap<Name, Slots> {
        let mut total: HashMap<Name, Slots> = self
            .own
            .borrow()
            .iter()
            .map(|(model, faded)| (model.clone(), faded.now()))
            .collect();
        for demand in self.membership.peer_demands(revision) {
            if let Some(model) = inventory.models.get(demand.model as usize) {
                let slots = total.entry(model.name.clone()).or_default();
                slots.urgent += f64::from(demand.urgent_centislots) / CENTISLOTS;
                slots.all += f64::from(demand.all_centislots) / CENTISLOTS;
            }
        }
        total
    }
}

fn learn(value: &Cell<f64>, seen: f64) {
    value.set(value.get() + LEARNING_RATE * (seen - value.get()));
}
