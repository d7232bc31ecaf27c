//! Where requests went, from VMs' log lines: a row for each span of time.
//!
//! Streams count as late by their first event or by a pause; refusals count by their reason;
//! for the models asked for most, how many servers could take them and how loaded those were.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Models shown for each span.
const SHOWN_MODELS: usize = 3;

/// What counts as late, and the span of a row.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest time to a first event that is not late, in milliseconds.
    pub first_ms: u64,
    /// The longest pause between events that is not late, in milliseconds.
    pub pause_ms: u64,
    /// The span of a row, in seconds.
    pub span_s: u64,
}

/// The fields of a log line that are looked at.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    failure: String,
    #[serde(default)]
    candidates: u32,
    #[serde(default)]
    load: f64,
    #[serde(default)]
    prompts_wait_ms: f64,
    #[serde(default)]
    first_ms: u64,
    #[serde(default)]
    longest_pause_ms: u64,
}

/// What became of the requests for one model in a span.
#[derive(Debug, Default)]
struct ModelShare {
    routed: u32,
    refused: u32,
    candidates: u32,
    load: f64,
    prompts_wait_ms: f64,
}

/// What became of requests in a span.
#[derive(Debug, Default)]
struct Span {
    complete: u32,
    late_first: u32,
    late_pause: u32,
    broken_off: u32,
    refused: BTreeMap<String, u32>,
    models: BTreeMap<String, ModelShare>,
}

/// An account of VMs' logs.
#[derive(Debug)]
pub struct Account {
    limits: Limits,
    /// By the second of the day at which each span begins.
    spans: BTreeMap<u64, Span>,
}

impl Account {
    /// An account of nothing.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            spans: BTreeMap::new(),
        }
    }

    /// Takes a log in; lines that are no JSON objects, or torn, are passed over.
    pub fn read(&mut self, log: &str) {
        for text in log.lines() {
            let object = text.find('{').map(|begin| &text[begin..]);
            let line = object.and_then(|object| serde_json::from_str::<Line>(object).ok());
            if let Some(line) = line {
                self.take(&line);
            }
        }
    }

    fn take(&mut self, line: &Line) {
        let Some(second) = second_of_day(&line.timestamp) else {
            return;
        };
        let begin = second - second % self.limits.span_s;
        let span = self.spans.entry(begin).or_default();
        match line.message.as_str() {
            "stream complete" => {
                span.complete += 1;
                span.late_first += u32::from(line.first_ms > self.limits.first_ms);
                span.late_pause += u32::from(line.longest_pause_ms > self.limits.pause_ms);
            }
            "stream broken off" => span.broken_off += 1,
            "request refused" => {
                *span.refused.entry(line.failure.clone()).or_default() += 1;
                span.models.entry(line.model.clone()).or_default().refused += 1;
            }
            "routed" => {
                let share = span.models.entry(line.model.clone()).or_default();
                share.routed += 1;
                share.candidates += line.candidates;
                share.load += line.load;
                share.prompts_wait_ms += line.prompts_wait_ms;
            }
            _ => {}
        }
    }

    /// The account as a table; seconds count from its first row.
    pub fn table(&self) -> String {
        let first = self.spans.keys().next().copied().unwrap_or(0);
        let mut table = String::from(
            "second  streams  late first  late pause  broken off  refused, by reason; models: \
             routed + refused, servers, load, ms of prompts waiting\n",
        );
        for (begin, span) in &self.spans {
            // Writing to a string cannot fail.
            let _ = writeln!(
                table,
                "{:>6}  {:>7}  {:>10}  {:>10}  {:>10}  {}",
                begin - first,
                span.complete,
                span.late_first,
                span.late_pause,
                span.broken_off,
                span.details(),
            );
        }
        table
    }
}

impl Span {
    fn details(&self) -> String {
        let refused = self.refused.iter();
        let refused: Vec<String> = refused
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        let mut models: Vec<(&String, &ModelShare)> = self
            .models
            .iter()
            .filter(|(model, _)| !model.is_empty())
            .collect();
        models.sort_by_key(|(_, share)| std::cmp::Reverse(share.routed + share.refused));
        let models: Vec<String> = models
            .iter()
            .take(SHOWN_MODELS)
            .map(|(model, share)| share.describe(model))
            .collect();
        format!("{}; {}", refused.join(" "), models.join(", "))
    }
}

impl ModelShare {
    fn describe(&self, model: &str) -> String {
        let routed = f64::from(self.routed.max(1));
        format!(
            "{model} {}+{} {:.1} {:.2} {:.0}",
            self.routed,
            self.refused,
            f64::from(self.candidates) / routed,
            self.load / routed,
            self.prompts_wait_ms / routed,
        )
    }
}

/// The second of the day of an RFC 3339 time.
fn second_of_day(time: &str) -> Option<u64> {
    let (_, clock) = time.split_once('T')?;
    let mut parts = clock.split([':', '.', 'Z']);
    let mut next = || parts.next()?.parse::<u64>().ok();
    Some((next()? * 60 + next()?) * 60 + next()?)
}
