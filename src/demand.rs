//! Measures the demand for each model, over all VMs.
//!
//! Demand is measured in slots: the mean number of requests that would run concurrently if each
//! started on arrival. Refused requests count too.

use crate::inventory::{Inventory, Name, Priority};
use crate::membership::Membership;
use crate::service_registry::Service;
use crate::wire::ModelDemand;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time constant of the exponential average over which demand is measured.
const WINDOW: Duration = Duration::from_secs(3);
/// Scale of the demand in heartbeats, which carry it in hundredths of a slot.
const CENTISLOTS_PER_SLOT: f64 = 100.0;
/// The estimated time per token before any answer has completed.
const INITIAL_TOKEN_TIME: Duration = Duration::from_millis(30);
/// The estimated number of tokens per answer before any answer has completed.
const INITIAL_ANSWER_TOKENS: f64 = 64.0;
/// The weight of the newest answer in the exponentially weighted moving averages.
const EWMA_WEIGHT: f64 = 0.05;

/// The demand for one model, in slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SlotDemand {
    /// The demand of urgent requests.
    pub(crate) urgent: f64,
    /// The demand of all requests.
    pub(crate) all: f64,
}

/// A sum of demand that decays exponentially with the time constant `WINDOW`.
#[derive(Clone, Copy, Debug)]
struct DecayingDemand {
    slots: SlotDemand,
    updated_at: Instant,
}

impl DecayingDemand {
    /// Returns the sum as decayed until now.
    fn current(&self) -> SlotDemand {
        let decay = (-self.updated_at.elapsed().as_secs_f64() / WINDOW.as_secs_f64()).exp();
        SlotDemand {
            urgent: self.slots.urgent * decay,
            all: self.slots.all * decay,
        }
    }
}

/// The demand that this VM measures and its peers report, and the mean time and length of
/// answers.
#[derive(Debug)]
pub(crate) struct Demand {
    membership: Rc<Membership>,
    own: RefCell<HashMap<Name, DecayingDemand>>,
    mean_token_s: Cell<f64>,
    mean_answer_tokens: Cell<f64>,
}

impl Service for Demand {
    const NAME: &'static str = "demand";
}

impl Demand {
    /// Creates a measurement without any demand.
    pub(crate) fn new(membership: Rc<Membership>) -> Self {
        Self {
            membership,
            own: RefCell::default(),
            mean_token_s: Cell::new(INITIAL_TOKEN_TIME.as_secs_f64()),
            mean_answer_tokens: Cell::new(INITIAL_ANSWER_TOKENS),
        }
    }

    /// Counts an arriving request; `max_tokens` limits the length of its answer, if given.
    pub(crate) fn note_arrival(&self, model: &Name, priority: Priority, max_tokens: Option<u64>) {
        let share = self.service_time(max_tokens).as_secs_f64() / WINDOW.as_secs_f64();
        let mut own = self.own.borrow_mut();
        let decaying = own.entry(model.clone()).or_insert_with(|| DecayingDemand {
            slots: SlotDemand::default(),
            updated_at: Instant::now(),
        });
        decaying.slots = decaying.current();
        decaying.updated_at = Instant::now();
        decaying.slots.all += share;
        if priority == Priority::Urgent {
            decaying.slots.urgent += share;
        }
    }

    /// Updates the averages from a complete answer of `tokens` tokens that took `streaming` from
    /// the first token to the last. Answers of fewer than two tokens are ignored.
    pub(crate) fn note_answer(&self, tokens: u32, streaming: Duration) {
        if tokens < 2 {
            return;
        }
        let token_s = streaming.as_secs_f64() / f64::from(tokens - 1);
        update_average(&self.mean_token_s, token_s);
        update_average(&self.mean_answer_tokens, f64::from(tokens));
    }

    /// Returns how long a runner is expected to be busy with an answer of `max_tokens` tokens, or
    /// of mean length.
    pub(crate) fn service_time(&self, max_tokens: Option<u64>) -> Duration {
        let tokens = max_tokens.map_or(self.mean_answer_tokens.get(), |tokens| tokens as f64);
        Duration::from_secs_f64(tokens * self.mean_token_s.get())
    }

    /// Returns this VM's demand for heartbeats, without models below a hundredth of a slot.
    pub(crate) fn to_wire(&self, inventory: &Inventory) -> Vec<ModelDemand> {
        let own = self.own.borrow();
        let models = inventory.models.iter().enumerate();
        models
            .filter_map(|(index, model)| {
                let slots = own.get(&model.name)?.current();
                let demand = ModelDemand {
                    model: index as u32,
                    urgent_centislots: (slots.urgent * CENTISLOTS_PER_SLOT) as u32,
                    all_centislots: (slots.all * CENTISLOTS_PER_SLOT) as u32,
                };
                (demand.all_centislots > 0).then_some(demand)
            })
            .collect()
    }

    /// Returns the demand for each model, summed over this VM and its live peers at the same
    /// revision.
    pub(crate) fn total(&self, inventory: &Inventory, revision: u64) -> HashMap<Name, SlotDemand> {
        let mut total: HashMap<Name, SlotDemand> = self
            .own
            .borrow()
            .iter()
            .map(|(model, decaying)| (model.clone(), decaying.current()))
            .collect();
        for demand in self.membership.peer_demands(revision) {
            if let Some(model) = inventory.models.get(demand.model as usize) {
                let slots = total.entry(model.name.clone()).or_default();
                slots.urgent += f64::from(demand.urgent_centislots) / CENTISLOTS_PER_SLOT;
                slots.all += f64::from(demand.all_centislots) / CENTISLOTS_PER_SLOT;
            }
        }
        total
    }
}

/// Moves an exponentially weighted average towards a sample.
fn update_average(value: &Cell<f64>, sample: f64) {
    value.set(value.get() + EWMA_WEIGHT * (sample - value.get()));
}
