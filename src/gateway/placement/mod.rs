//! Decides which runner loads and unloads which models and adapters.
//!
//! The demand is uneven and moves within seconds, loads from the weight store are few, and runners
//! differ in speed. Copies go where they save callers most, counted in requests answered in time.

mod planning;
mod spread;
mod swaps;

pub(crate) use planning::{PlacementPlanner, RunnerPlan, RunnerView};
#[cfg(test)]
pub(crate) use spread::{DemandSpread, ModelDemand};
