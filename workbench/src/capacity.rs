//! What control costs each VM at a size: processor time, memory, bytes, appends.

use crate::cluster::{Cluster, Plan};
use crate::sample_inventory::Shape;
use crate::usage::{self, Usage};
use serde_json::json;
use std::time::{Duration, Instant};

/// How long models may take to load.
const SETTLE_LIMIT: Duration = Duration::from_secs(180);
/// The legs of the control traffic.
const LEGS: [&str; 3] = ["peers", "log", "reports"];

/// A site's size.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Our VMs.
    pub vms: usize,
    /// Model runners.
    pub runners: usize,
    /// Models.
    pub models: usize,
}

/// What all VMs together have used so far.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    usage: Usage,
    leg_bytes: [f64; 3],
    appends: usize,
}

/// Starts a site of a size, measures the start and then `window` at rest.
pub async fn run(size: &Size, window: Duration) {
    let mut shape = Shape::vltava(0);
    shape.runners = size.runners;
    shape.models = size.models;
    // Ten models fit a runner, so that each size holds its models twice.
    shape.model_mib = 6_400;
    let mut plan = Plan::new(shape, size.vms);
    plan.platform.loads_per_s = 1_000.0;
    plan.platform.loads_at_once = 100;
    plan.thin_runners = true;
    plan.settings = json!({"log_level": "warn"});
    let started = Instant::now();
    let cluster = Cluster::start(plan).await;
    cluster.publish_and_settle(SETTLE_LIMIT).await;
    cluster.wait_spread(SETTLE_LIMIT).await;
    let start = total(&cluster).await;
    println!(
        "{} VMs, {} runners, {} models: settled after {:.1} s, {} appends",
        size.vms,
        size.runners,
        size.models,
        started.elapsed().as_secs_f64(),
        start.appends
    );
    let began = Instant::now();
    compio::time::sleep(window).await;
    let end = total(&cluster).await;
    print_rest(&cluster, size, &start, &end, began.elapsed().as_secs_f64()).await;
}

async fn total(cluster: &Cluster) -> Total {
    let mut total = Total::default();
    for (index, vm) in cluster.vms.iter().enumerate() {
        let usage = usage::of_process(vm.id());
        total.usage.cpu += usage.cpu;
        total.usage.rss_kib += usage.rss_kib;
        for (bytes, leg) in total.leg_bytes.iter_mut().zip(LEGS) {
            let sample = format!("rattanjunction_control_bytes_total{{leg=\"{leg}\"}}");
            *bytes += usage::metric(cluster.operator_address(index), &sample).await;
        }
    }
    let journal = cluster.platform_journal().await;
    total.appends = journal
        .iter()
        .filter(|line| line["kind"] == "append")
        .count();
    total
}

async fn print_rest(cluster: &Cluster, size: &Size, start: &Total, end: &Total, seconds: f64) {
    let vms = size.vms as f64;
    let cpu = (end.usage.cpu - start.usage.cpu).as_secs_f64() / seconds / vms;
    println!("  at rest, for each VM over {seconds:.1} s:");
    println!("    processor   {:.2} % of a core", cpu * 100.0);
    println!(
        "    memory      {:.1} MiB resident",
        end.usage.rss_kib as f64 / 1024.0 / vms
    );
    for (index, leg) in LEGS.iter().enumerate() {
        let bytes = (end.leg_bytes[index] - start.leg_bytes[index]) / seconds / vms;
        println!("    {leg:<11} {:.2} kB/s", bytes / 1_000.0);
    }
    println!(
        "    appends     {:.2}/s over all VMs",
        (end.appends - start.appends) as f64 / seconds
    );
    let status = cluster.status(0).await.unwrap_or_default();
    println!("    status      {} bytes", status.to_string().len());
}
