//! What a run of an experiment showed: a table, JSON and a plot.

use crate::cluster::Cluster;
use crate::experiment::Experiment;
use crate::traffic::Class;
use crate::usage;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashSet};
use std::path::Path;
use std::time::Duration;

/// A refusal within this time counts as given at once.
const AT_ONCE: Duration = Duration::from_millis(100);
/// Bounds of the regression check, below what was measured by more than runs differ.
const LEAST_TOKENS_RATIO: f64 = 0.97;
const LEAST_URGENT_RATIO: f64 = 1.05;
const LEAST_MOVES_RATIO: f64 = 1.5;
/// The time of one point in the plot.
const POINT: Duration = Duration::from_secs(2);

/// One request of a run.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When it came.
    pub at: Duration,
    /// The index of its class.
    pub class: usize,
    /// `complete`, `late`, or the code of an error.
    pub end: String,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Times to each refusal as not run.
    pub refused_after: Vec<Duration>,
    /// How often it was sent again.
    pub resent: u32,
    /// Whether it met its deadlines.
    pub attained: bool,
}

impl Sample {
    /// A request that has just come.
    pub fn new(at: Duration, class: usize) -> Self {
        Self {
            at,
            class,
            end: String::new(),
            first_token: None,
            total: Duration::ZERO,
            gaps: Vec::new(),
            refused_after: Vec::new(),
            resent: 0,
            attained: false,
        }
    }

    /// Decides whether the deadlines were met.
    pub fn judge(&mut self, class: &Class) {
        let begun = match (class.first_token, self.first_token) {
            (None, _) => true,
            (Some(limit), Some(time)) => time <= limit,
            (Some(_), None) => false,
        };
        self.attained = self.end == "complete" && begun && self.total <= class.whole;
    }
}

/// Orders that runners were given in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moves {
    /// Loads and unloads of models.
    pub models: usize,
    /// Loads and unloads of adapters.
    pub adapters: usize,
    /// All of them in busy hours.
    pub busy: usize,
}

impl Moves {
    /// Reads the runners' journals; an order given twice counts once.
    pub fn read(cluster: &Cluster, from_ms: u64, busy_from_ms: Option<u64>) -> Self {
        let mut moves = Self::default();
        for index in 0..cluster.runners.len() {
            let mut seen = HashSet::new();
            for line in cluster.runner_journal(index) {
                let at_ms = line["at_ms"].as_u64().unwrap_or(0);
                let artifact = line["artifact"].as_str().unwrap_or_default();
                let is_order = line["kind"] == "order" && !artifact.is_empty();
                if !is_order || at_ms < from_ms || !seen.insert(line["fence"].as_u64()) {
                    continue;
                }
                if artifact.contains('/') {
                    moves.adapters += 1;
                } else {
                    moves.models += 1;
                }
                if busy_from_ms.is_some_and(|from| at_ms >= from) {
                    moves.busy += 1;
                }
            }
        }
        moves
    }
}

/// What the VMs have used, summed over all.
#[derive(Clone, Copy, Debug, Default)]
pub struct Costs {
    cpu_s: f64,
    rss_mib: f64,
    peer_bytes: f64,
    report_bytes: f64,
    resumes: f64,
    retries: f64,
    elapsed_s: f64,
    vms: f64,
}

impl Costs {
    /// Reads the VMs' processes and metrics.
    pub async fn of(cluster: &Cluster) -> Self {
        let mut costs = Self {
            elapsed_s: crate::journal::now_ms() as f64 / 1_000.0,
            vms: cluster.vms.len() as f64,
            ..Self::default()
        };
        for (index, vm) in cluster.vms.iter().enumerate() {
            let used = usage::of_process(vm.id());
            costs.cpu_s += used.cpu.as_secs_f64();
            costs.rss_mib += used.rss_kib as f64 / 1_024.0;
            let operator = cluster.operator_address(index);
            let bytes = async |leg: &str| {
                let prefix = format!("rattanjunction_control_bytes_total{{leg=\"{leg}\"}}");
                usage::metric(operator, &prefix).await
            };
            costs.peer_bytes += bytes("peers").await;
            costs.report_bytes += bytes("reports").await;
            costs.resumes += usage::metric(operator, "rattanjunction_resumes_total").await;
            costs.retries += usage::metric(operator, "rattanjunction_retries_total").await;
        }
        costs
    }

    /// What was used since an earlier reading.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            cpu_s: self.cpu_s - before.cpu_s,
            rss_mib: self.rss_mib,
            peer_bytes: self.peer_bytes - before.peer_bytes,
            report_bytes: self.report_bytes - before.report_bytes,
            resumes: self.resumes - before.resumes,
            retries: self.retries - before.retries,
            elapsed_s: self.elapsed_s - before.elapsed_s,
            vms: self.vms,
        }
    }

    fn to_json(self) -> Value {
        json!({
            "cpu_share_per_vm": self.cpu_s / self.elapsed_s / self.vms,
            "rss_mib_per_vm": self.rss_mib / self.vms,
            "peer_bytes_per_s_per_vm": self.peer_bytes / self.elapsed_s / self.vms,
            "report_bytes_per_s_per_vm": self.report_bytes / self.elapsed_s / self.vms,
            "resumes": self.resumes,
            "retries": self.retries,
        })
    }
}

/// What one class of requests saw.
#[derive(Clone, Debug)]
struct ClassReport {
    caller: &'static str,
    sent: usize,
    attained: usize,
    tokens: u32,
    refused: usize,
    refused_at_once: usize,
    resent: u32,
    ends: BTreeMap<String, usize>,
    first_token: Histogram<u64>,
    gaps: Histogram<u64>,
}

impl ClassReport {
    fn new(index: usize, class: &Class, samples: &[Sample]) -> Self {
        let mut report = Self {
            caller: class.caller,
            sent: 0,
            attained: 0,
            tokens: class.tokens,
            refused: 0,
            refused_at_once: 0,
            resent: 0,
            ends: BTreeMap::new(),
            first_token: histogram(),
            gaps: histogram(),
        };
        for sample in samples.iter().filter(|sample| sample.class == index) {
            report.add(sample);
        }
        report
    }

    fn add(&mut self, sample: &Sample) {
        self.sent += 1;
        self.attained += usize::from(sample.attained);
        self.refused += sample.refused_after.len();
        let at_once = sample
            .refused_after
            .iter()
            .filter(|after| **after <= AT_ONCE);
        self.refused_at_once += at_once.count();
        self.resent += sample.resent;
        *self.ends.entry(sample.end.clone()).or_default() += 1;
        if let Some(time) = sample.first_token {
            self.first_token.saturating_record(time.as_micros() as u64);
        }
        for gap in &sample.gaps {
            self.gaps.saturating_record(gap.as_micros() as u64);
        }
    }

    fn share(&self) -> f64 {
        self.attained as f64 / (self.sent as f64).max(1.0)
    }

    fn to_json(&self) -> Value {
        json!({
            "sent": self.sent,
            "attained": self.attained,
            "attained_share": self.share(),
            "refused": self.refused,
            "refused_at_once": self.refused_at_once,
            "resent": self.resent,
            "ends": self.ends,
            "first_token_ms": quantiles(&self.first_token),
            "between_tokens_ms": quantiles(&self.gaps),
        })
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are in order")
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    json!({"p50": at(0.5), "p95": at(0.95), "p99": at(0.99)})
}

/// What a run under one policy showed.
#[derive(Clone, Debug)]
pub struct PolicyReport {
    policy: &'static str,
    runners: usize,
    length: Duration,
    classes: Vec<ClassReport>,
    moves: Moves,
    costs: Costs,
    points: Vec<usize>,
}

impl PolicyReport {
    /// Sums up a run.
    pub fn new(
        experiment: &Experiment,
        samples: Vec<Sample>,
        classes: &[Class],
        costs: Costs,
        moves: Moves,
    ) -> Self {
        let mut points = vec![0; experiment.length.as_secs().div_ceil(POINT.as_secs()) as usize];
        for sample in samples.iter().filter(|sample| sample.attained) {
            let point = (sample.at.as_secs() / POINT.as_secs()) as usize;
            points[point] += classes[sample.class].tokens as usize;
        }
        Self {
            policy: experiment.policy.name,
            runners: experiment.runners(),
            length: experiment.length,
            classes: classes
                .iter()
                .enumerate()
                .map(|(index, class)| ClassReport::new(index, class, &samples))
                .collect(),
            moves,
            costs,
            points,
        }
    }

    /// Tokens a second and accelerator in answers that met their deadlines.
    pub fn attainment_per_accelerator(&self) -> f64 {
        let tokens: f64 = self
            .classes
            .iter()
            .map(|class| class.attained as f64 * f64::from(class.tokens))
            .sum();
        tokens / self.length.as_secs_f64() / self.runners as f64
    }

    /// Requests a second and accelerator that met their deadlines.
    pub fn requests_per_accelerator(&self) -> f64 {
        let attained: usize = self.classes.iter().map(|class| class.attained).sum();
        attained as f64 / self.length.as_secs_f64() / self.runners as f64
    }

    /// The policy's name.
    pub fn policy(&self) -> &'static str {
        self.policy
    }

    /// The share of a caller's requests that met their deadlines.
    pub fn attained_share(&self, caller: &str) -> f64 {
        let mut classes = self.classes.iter();
        classes
            .find(|class| class.caller == caller)
            .map_or(0.0, ClassReport::share)
    }

    /// Loads and unloads of models.
    pub fn model_moves(&self) -> usize {
        self.moves.models
    }

    /// The report as JSON.
    pub fn to_json(&self) -> Value {
        let classes: BTreeMap<&str, Value> = self
            .classes
            .iter()
            .map(|class| (class.caller, class.to_json()))
            .collect();
        json!({
            "policy": self.policy,
            "attained_tokens_per_s_per_accelerator": self.attainment_per_accelerator(),
            "attained_requests_per_s_per_accelerator": self.requests_per_accelerator(),
            "classes": classes,
            "moves": {"models": self.moves.models, "adapters": self.moves.adapters,
                "in_busy_hours": self.moves.busy},
            "control": self.costs.to_json(),
        })
    }

    /// One row of the table.
    pub fn row(&self) -> String {
        let mut row = format!(
            "{:<15} {:>6.1} {:>5.2}",
            self.policy,
            self.attainment_per_accelerator(),
            self.requests_per_accelerator()
        );
        for class in &self.classes {
            let first = |quantile| class.first_token.value_at_quantile(quantile) / 1_000;
            row += &format!(
                " | {:>5.1}% {:>5} {:>5} {:>4}/{:<4} {:>4}",
                class.share() * 100.0,
                first(0.5),
                first(0.95),
                class.refused_at_once,
                class.refused,
                class.gaps.value_at_quantile(0.95) / 1_000,
            );
        }
        let costs = self.costs;
        row + &format!(
            " | {:>3}+{:<3} {:>4} | {:>4.1}% {:>4.0} {:>5.1}+{:<5.1}",
            self.moves.models,
            self.moves.adapters,
            self.moves.busy,
            costs.cpu_s / costs.elapsed_s / costs.vms * 100.0,
            costs.rss_mib / costs.vms,
            costs.peer_bytes / costs.elapsed_s / costs.vms / 1_000.0,
            costs.report_bytes / costs.elapsed_s / costs.vms / 1_000.0,
        )
    }
}

/// The head of the table.
pub fn table_head() -> String {
    let class = "    met first  p95 refused    gap";
    format!(
        "{:<15} {:>6} {:>5} | urgent{class} | batch{class} | moves busy | cpu  MiB  KB/s of peers+reports",
        "policy", "tok/s", "req/s"
    )
}

/// Where the shipped policy falls behind the baselines of the same run, as ratios.
pub fn regressions(reports: &[PolicyReport]) -> Vec<String> {
    let is_shipped = |report: &&PolicyReport| report.policy == "shipped";
    let Some(shipped) = reports.iter().find(is_shipped) else {
        return vec!["the shipped policy was not run".to_owned()];
    };
    let mut found = Vec::new();
    let baselines = reports
        .iter()
        .filter(|report| !is_shipped(report) && !report.policy.starts_with("no_"));
    for other in baselines {
        let mut bound = |what: &str, ratio: f64, least: f64| {
            if ratio < least {
                found.push(format!(
                    "{what}: {ratio:.2} times that of {}, at least {least} is asked",
                    other.policy
                ));
            }
        };
        let tokens = shipped.attainment_per_accelerator() / other.attainment_per_accelerator();
        bound("attained tokens", tokens, LEAST_TOKENS_RATIO);
        let urgent = shipped.attained_share("desk") / other.attained_share("desk");
        bound("urgent attainment", urgent, LEAST_URGENT_RATIO);
        if other.policy == "on_demand" {
            let moves = other.moves.models as f64 / (shipped.moves.models as f64).max(1.0);
            bound("moves spared", moves, LEAST_MOVES_RATIO);
        }
    }
    found
}

/// Draws attained tokens a second and accelerator over the run, a line for each policy.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn plot(reports: &[PolicyReport], title: &str, path: &Path) -> Result<(), String> {
    draw(reports, title, path).map_err(|error| error.to_string())
}

fn draw(
    reports: &[PolicyReport],
    title: &str,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let length_s = reports
        .first()
        .map_or(1.0, |report| report.length.as_secs_f64());
    let per_point = |report: &PolicyReport, tokens: usize| {
        tokens as f64 / POINT.as_secs_f64() / report.runners as f64
    };
    let top = reports
        .iter()
        .flat_map(|report| {
            report
                .points
                .iter()
                .map(|tokens| per_point(report, *tokens))
        })
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..length_s, 0.0..top * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("attained tokens/s per accelerator")
        .draw()?;
    for (index, report) in reports.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = report.points.iter().enumerate().map(|(point, tokens)| {
            let at_s = point as f64 * POINT.as_secs_f64();
            (at_s, per_point(report, *tokens))
        });
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(report.policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}
