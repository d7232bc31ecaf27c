//! Raises the demand that VMs report by its trend over the whole fleet.
//!
//! Load that this addresses: the demand moves to other models within a second. VMs report decaying
//! averages, which show half of such a change only after a second. How fast their sum changes tells
//! at which rate requests arrive now. Random arrivals change the sum as well, so that only changes
//! count which these hardly ever cause; the demand at a single VM is too small to tell them apart.
//! Falls do not count: with the usual reports they gained callers nothing in the simulation and
//! caused more loads, and reports that are lost look like them.

use crate::gateway::Weights;
use crate::gateway::demand::DECAY_TIME;
use crate::gateway::demand_rate::DemandRate;
use crate::inventory::Name;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};
use tracing::info;

/// Time between the two sums that are compared.
const PERIOD: Duration = Duration::from_millis(500);
/// Least time between two sums that are kept.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(90);
/// Rises below so many standard deviations of random arrivals do not count.
const MIN_DEVIATIONS: f64 = 3.0;
/// Share of the VMs by which two sums may differ. The demand of VMs that have just become known or
/// have gone would look like a change of the demand.
const MAX_VMS_CHANGE: f64 = 0.05;
/// Time for which the sums of a new leader do not count, since VMs begin to report to it.
const START_TIME: Duration = Duration::from_millis(1_500);

/// How rises of the demand are told from chance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TrendRule {
    /// Time between the two sums that are compared.
    pub(crate) period: Duration,
    /// Standard deviations that a rise must exceed.
    pub(crate) min_deviations: f64,
}

impl Default for TrendRule {
    fn default() -> Self {
        Self {
            period: PERIOD,
            min_deviations: MIN_DEVIATIONS,
        }
    }
}

/// The sums of the demand in the last second.
#[derive(Debug)]
pub(crate) struct DemandTrend {
    rule: TrendRule,
    usable_from: Instant,
    samples: VecDeque<Sample>,
    /// Models whose rates the last correction changed.
    corrected: HashSet<Name>,
}

/// The requests per second by model at one time, and the number of VMs then.
#[derive(Debug)]
struct Sample {
    at: Instant,
    vms: usize,
    requests_per_s: HashMap<Name, f64>,
}

impl DemandTrend {
    /// Starts without sums.
    pub(crate) fn new(rule: TrendRule, now: Instant) -> Self {
        Self {
            rule,
            usable_from: now + START_TIME,
            samples: VecDeque::new(),
            corrected: HashSet::new(),
        }
    }

    /// Forgets all sums, since VMs begin to report to this VM now.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.usable_from = now + START_TIME;
        self.samples.clear();
        self.corrected.clear();
    }

    /// Replaces the rates of models whose demand rises by the rates at which requests arrive now.
    /// Returns for how many models this begins.
    pub(crate) fn correct(
        &mut self,
        demand: &mut HashMap<Weights, DemandRate>,
        vms: usize,
        now: Instant,
    ) -> usize {
        if now < self.usable_from {
            return 0;
        }
        let mut current: HashMap<Name, f64> = HashMap::new();
        for (weights, rate) in demand.iter() {
            *current.entry(weights.model.clone()).or_default() += rate.requests_per_s;
        }
        let factors = self.factors(&current, vms, now);
        let begun = self.note_corrected(&factors, &current);
        let is_due = |last: &Sample| now.duration_since(last.at) >= SAMPLE_INTERVAL;
        if self.samples.back().is_none_or(is_due) {
            self.samples.push_back(Sample {
                at: now,
                vms,
                requests_per_s: current,
            });
        }
        for (weights, rate) in demand {
            if let Some(factor) = factors.get(&weights.model) {
                rate.requests_per_s *= factor;
                rate.busy_ms_per_s *= factor;
            }
        }
        begun
    }

    /// Logs the models whose correction begins, and returns their number.
    fn note_corrected(
        &mut self,
        factors: &HashMap<Name, f64>,
        current: &HashMap<Name, f64>,
    ) -> usize {
        let mut begun = 0;
        for (model, factor) in factors
            .iter()
            .filter(|(it, _)| !self.corrected.contains(*it))
        {
            begun += 1;
            let reported_per_s = current.get(model).copied().unwrap_or_default();
            info!(
                %model,
                reported_per_s,
                corrected_per_s = reported_per_s * factor,
                "demand rises"
            );
        }
        self.corrected = factors.keys().cloned().collect();
        begun
    }

    /// Returns the factors by which the rates of models with rising demand are too low.
    fn factors(
        &mut self,
        current: &HashMap<Name, f64>,
        vms: usize,
        now: Instant,
    ) -> HashMap<Name, f64> {
        let age = |sample: &Sample| now.saturating_duration_since(sample.at);
        // The last sum that is at least a period old is compared.
        while self
            .samples
            .get(1)
            .is_some_and(|next| age(next) >= self.rule.period)
        {
            self.samples.pop_front();
        }
        let Some(before) = self.samples.front() else {
            return HashMap::new();
        };
        let vms_change = (vms as f64 - before.vms as f64).abs();
        if age(before) < self.rule.period || vms_change > MAX_VMS_CHANGE * before.vms as f64 {
            return HashMap::new();
        }
        let period_s = age(before).as_secs_f64();
        let decay = (-period_s / DECAY_TIME.as_secs_f64()).exp();
        let mut factors = HashMap::new();
        for (model, current) in current {
            let before = before.requests_per_s.get(model).copied().unwrap_or(0.0);
            let recent = ((current - before * decay) / (1.0 - decay)).max(0.0);
            let variance = before.max(*current) / period_s;
            let deviation = variance.sqrt().max(1.0 / period_s);
            let change = recent - before;
            if change >= self.rule.min_deviations * deviation && *current > 0.0 {
                factors.insert(model.clone(), recent / current);
            }
        }
        factors
    }
}
