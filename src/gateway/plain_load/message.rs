//! What VMs tell each other of the load of plain servers.

use crate::gateway::plain_load::figures::{Figure, Statement};
use prost::Message;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The maximum number of figures in a message. Each takes about 13 bytes.
const MAX_FIGURES: usize = 16;
/// The maximum number of services whose calls are stated.
const MAX_SERVICES: usize = 8;
/// The unit of ages in messages.
const AGE_UNIT: Duration = Duration::from_millis(10);
/// Units of calls per second.
const CALLS_PER_UNIT: f64 = 10.0;
/// Bounds on what one sender may state, so that a faulty VM distorts no estimate by more.
const MAX_REQUESTS: u32 = 10_000;
const MAX_CALLS_PER_S: f64 = 100_000.0;

/// What the sender, or its zone, knows of the load of plain servers, and the calls that it receives.
/// The first five lists are in the same order, and so are the last two.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PlainLoadsPart {
    /// The short ids of runs of servers.
    #[prost(fixed32, repeated, tag = "1")]
    runs: Vec<u32>,
    /// The requests that each has running and waiting.
    #[prost(uint32, repeated, tag = "2")]
    in_system: Vec<u32>,
    /// How long work currently takes there, in percent; 0 if that is not stated.
    #[prost(uint32, repeated, tag = "3")]
    slowness_percent: Vec<u32>,
    /// The requests that were there when it rejected one; 0 if none was rejected.
    #[prost(uint32, repeated, tag = "4")]
    limits: Vec<u32>,
    /// The time since the server stated it, in hundredths of a second.
    #[prost(uint32, repeated, tag = "5")]
    ages: Vec<u32>,
    /// The short names of services.
    #[prost(fixed32, repeated, tag = "6")]
    services: Vec<u32>,
    /// The calls for each that arrive, in tenths per second.
    #[prost(uint32, repeated, tag = "7")]
    calls: Vec<u32>,
}

impl PlainLoadsPart {
    /// Encodes the latest figures; `None` if there are neither figures nor calls.
    pub(super) fn of(
        figures: &HashMap<u32, Figure>,
        calls: &HashMap<u32, f64>,
        now: Instant,
    ) -> Option<Self> {
        if figures.is_empty() && calls.is_empty() {
            return None;
        }
        let mut figures: Vec<(u32, Figure)> = figures.iter().map(|(id, it)| (*id, *it)).collect();
        figures.sort_by_key(|(id, figure)| (figure.age(now), *id));
        figures.truncate(MAX_FIGURES);
        let of = |value: fn(&Figure) -> u32| figures.iter().map(|(_, it)| value(it)).collect();
        let mut calls: Vec<(u32, f64)> = calls.iter().map(|(id, it)| (*id, *it)).collect();
        calls.sort_by(|left, right| right.1.total_cmp(&left.1).then(left.0.cmp(&right.0)));
        calls.truncate(MAX_SERVICES);
        Some(Self {
            runs: figures.iter().map(|(id, _)| *id).collect(),
            in_system: of(|it| it.in_system),
            slowness_percent: of(|it| it.slowness_percent.unwrap_or(0)),
            limits: of(|it| it.limit.unwrap_or(0)),
            ages: figures
                .iter()
                .map(|(_, it)| it.age(now).div_duration_f64(AGE_UNIT).ceil() as u32)
                .collect(),
            services: calls.iter().map(|(id, _)| *id).collect(),
            calls: calls
                .iter()
                .map(|(_, it)| (it * CALLS_PER_UNIT).round() as u32)
                .collect(),
        })
    }

    /// Decodes what was received at a time. Figures without an age are left out.
    pub(super) fn statement(&self, now: Instant) -> Statement {
        let non_zero = |value: Option<&u32>| value.copied().filter(|it| *it > 0);
        let figures = self.runs.iter().zip(&self.in_system).zip(&self.ages);
        let figures = figures
            .enumerate()
            .filter_map(|(index, ((run, count), age))| {
                let figure = Figure {
                    in_system: (*count).min(MAX_REQUESTS),
                    slowness_percent: non_zero(self.slowness_percent.get(index)),
                    limit: non_zero(self.limits.get(index)),
                    at: now.checked_sub(AGE_UNIT * *age)?,
                };
                Some((*run, figure))
            });
        let calls = self.services.iter().zip(&self.calls);
        let calls = calls.map(|(service, calls)| {
            let per_s = f64::from(*calls) / CALLS_PER_UNIT;
            (*service, per_s.min(MAX_CALLS_PER_S))
        });
        Statement {
            figures: figures.collect(),
            calls: calls.collect(),
            received_at: now,
        }
    }
}
