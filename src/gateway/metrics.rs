//! Counters, gauges and histograms of the serving role, in the OpenMetrics text format.

use crate::client_memory::EvictionLabels;
use crate::request_end::EndLabels;
use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};
use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// The priority that stands for itself and all less urgent ones in labels.
const MAX_LABELLED_PRIORITY: u32 = 3;

/// The name and help text of one metric, as documented in docs/METRICS.md.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MetricDescription {
    /// The name, without the prefix that all metrics share.
    pub(crate) name: &'static str,
    /// The help text: what the metric counts or measures.
    pub(crate) meaning: &'static str,
}

const fn describe(name: &'static str, meaning: &'static str) -> MetricDescription {
    MetricDescription { name, meaning }
}

/// The descriptions of all metrics of the serving role.
pub(crate) const METRIC_DESCRIPTIONS: &[MetricDescription] = &[
    describe(
        "served_requests",
        "requests ended, by route kind and outcome",
    ),
    describe(
        "answer_seconds",
        "time from a plain request to its whole answer",
    ),
    describe(
        "first_event_seconds",
        "time from a request to its stream's first event",
    ),
    describe(
        "longest_pause_seconds",
        "longest pause between two events of a whole stream",
    ),
    describe(
        "place_wait_seconds",
        "time that a request waited for a server, where it did",
    ),
    describe(
        "predicted_wait_seconds",
        "predicted wait of a request that found all slots taken, or its model being loaded",
    ),
    describe(
        "waiting_requests",
        "requests that wait for a runner, by priority",
    ),
    describe(
        "organisation_requests",
        "requests of an organisation, by what its quota made of them",
    ),
    describe("attempts", "requests sent to servers, by what came of it"),
    describe(
        "forwarded_requests",
        "requests forwarded to other VMs, or by other VMs to this one, by outcome",
    ),
    describe("retries", "requests sent to a server once more"),
    describe("retries_denied", "retries that the budget did not allow"),
    describe("streams_resumed", "streams that went on at another server"),
    describe(
        "resumptions",
        "streams taken up after a break, by where their software version was learnt",
    ),
    describe(
        "unreadable_prompts",
        "requests whose parts of the prompt cannot be read",
    ),
    describe(
        "closed_unread",
        "callers' connections closed before a request was read, since this VM was too busy; `request_ends` counts the others as refused",
    ),
    describe(
        "request_ends",
        "callers' requests ended, by how: whole answer, refusal, or what broke off the answer",
    ),
    describe("connections_opened", "connections opened to servers"),
    describe("peer_messages", "messages sent to other VMs"),
    describe("store_calls", "calls to the store, by call and outcome"),
    describe(
        "store_call_seconds",
        "time of answered calls to the store, waits included",
    ),
    describe(
        "orders_given",
        "orders to runners, by operation and outcome",
    ),
    describe(
        "store_bytes",
        "bytes received from the store, those of abandoned calls included",
    ),
    describe(
        "sync_bytes",
        "bytes received from other VMs as directory or configuration",
    ),
    describe("configuration_version", "the configuration in force"),
    describe(
        "configuration_bytes",
        "size of the configuration in force, as the operator published it",
    ),
    describe(
        "configuration_unconfirmed_seconds",
        "time since the configuration was last known to be the newest",
    ),
    describe(
        "task_delay_seconds",
        "how late a task ran that was due at regular times",
    ),
    describe("is_cut_off", "1 while this VM reaches no backend server"),
    describe(
        "contained_causes",
        "parts of prompts and requests that are refused because they crash servers",
    ),
    describe("servers", "backend servers in the directory"),
    describe("limited_servers", "backend servers that state a rate limit"),
    describe(
        "slow_servers",
        "backend servers that take at least 1.5 times the usual time",
    ),
    describe(
        "stated_loads",
        "loads that servers stated in responses, by what came of them",
    ),
    describe(
        "log_era",
        "how often the log has been restored from an older copy",
    ),
    describe(
        "plain_decisions",
        "plain calls refused by the load of servers, and rejected calls, by what came of them",
    ),
    describe("vms", "VMs known, this one included"),
    describe("is_leading", "1 while this VM gives orders"),
    describe("open_connections", "callers' connections"),
    describe(
        "client_memory_bytes",
        "memory that is reserved for what is held for callers",
    ),
    describe(
        "client_memory_limit_bytes",
        "the most memory that can be reserved for callers",
    ),
    describe(
        "evicted_connections",
        "connections closed for others while they waited for their clients, by what was short: memory or places",
    ),
];

/// The labels of a request that has ended.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct RequestLabels {
    /// The kind of the route: `safe`, `unsafe` or `streaming`; `none` if the request was refused.
    pub(crate) kind: &'static str,
    /// `answered`, `broken_off`, or the reason why the request was refused.
    pub(crate) outcome: &'static str,
}

/// The labels of a request of an organisation.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct OrganisationLabels {
    /// The name of the organisation.
    pub(crate) organisation: String,
    /// The quota decision: `granted` or `over_quota`.
    pub(crate) outcome: &'static str,
}

/// The label of requests that are counted by priority.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct PriorityLabels {
    /// The priority; 0 is the most urgent, 3 stands for all others.
    pub(crate) priority: u32,
}

/// The label of an operation that is counted by outcome only.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct OutcomeLabels {
    /// The outcome of the operation.
    pub(crate) outcome: &'static str,
}

/// The labels of a call to the store or an order to a runner.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct CallLabels {
    /// The name of the call or order.
    pub(crate) call: &'static str,
    /// The outcome of the call or order.
    pub(crate) outcome: &'static str,
}

/// The metrics of one VM.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) answer: Histogram,
    pub(crate) first_event: Histogram,
    pub(crate) longest_pause: Histogram,
    pub(crate) slot_wait: Histogram,
    pub(crate) predicted_wait: Histogram,
    /// Requests that wait for a runner.
    pub(crate) waiting: Family<PriorityLabels, Gauge>,
    pub(crate) organisations: Family<OrganisationLabels, Counter>,
    pub(crate) attempts: Family<OutcomeLabels, Counter>,
    /// Requests forwarded between VMs.
    pub(crate) forwarded: Family<OutcomeLabels, Counter>,
    pub(crate) retries: Counter,
    pub(crate) retries_denied: Counter,
    pub(crate) streams_resumed: Counter,
    /// Streams taken up after a break.
    pub(crate) resumptions: Family<OutcomeLabels, Counter>,
    /// Requests whose parts of the prompt cannot be read.
    pub(crate) unreadable_prompts: Counter,
    /// Callers' connections that were closed before anything was read.
    pub(crate) closed_unread: Counter,
    /// Callers' requests by how they ended.
    pub(crate) request_ends: Family<EndLabels, Counter>,
    pub(crate) connections_opened: Counter,
    pub(crate) peer_messages: Counter,
    pub(crate) store_calls: Family<CallLabels, Counter>,
    pub(crate) store_call: Histogram,
    /// How late tasks run.
    pub(crate) task_delay: Histogram,
    pub(crate) orders: Family<CallLabels, Counter>,
    /// Bytes received from the store.
    pub(crate) store_bytes: Counter,
    /// Bytes of the state received from other VMs.
    pub(crate) sync_bytes: Counter,
    pub(crate) configuration_version: Gauge,
    /// The size of the configuration's text.
    pub(crate) configuration_bytes: Gauge,
    /// 1 while this VM reaches no backend server.
    pub(crate) is_cut_off: Gauge,
    /// Time since the configuration was last known to be current, in seconds.
    pub(crate) configuration_unconfirmed: Gauge<f64, AtomicU64>,
    /// What is refused because it crashes servers.
    pub(crate) contained_causes: Gauge,
    pub(crate) servers: Gauge,
    pub(crate) limited_servers: Gauge,
    /// Servers that are reported as slow.
    pub(crate) slow_servers: Gauge,
    /// Loads that servers stated.
    pub(crate) stated_loads: Family<OutcomeLabels, Counter>,
    /// The latest known era of the log.
    pub(crate) log_era: Gauge,
    /// Decisions on plain calls by the load of their servers.
    pub(crate) plain_decisions: Family<OutcomeLabels, Counter>,
    pub(crate) vms: Gauge,
    pub(crate) is_leading: Gauge,
    pub(crate) open_connections: Gauge,
    pub(crate) client_memory: Gauge,
    pub(crate) client_memory_limit: Gauge,
    pub(crate) evicted_connections: Family<EvictionLabels, Counter>,
}

/// Creates a histogram of durations, with buckets from 5 ms to 20 s.
fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 13))
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("rattanjunction"),
            requests: Family::default(),
            answer: duration_histogram(),
            first_event: duration_histogram(),
            longest_pause: duration_histogram(),
            slot_wait: duration_histogram(),
            predicted_wait: duration_histogram(),
            waiting: Family::default(),
            organisations: Family::default(),
            attempts: Family::default(),
            forwarded: Family::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            streams_resumed: Counter::default(),
            resumptions: Family::default(),
            unreadable_prompts: Counter::default(),
            closed_unread: Counter::default(),
            request_ends: Family::default(),
            connections_opened: Counter::default(),
            peer_messages: Counter::default(),
            store_calls: Family::default(),
            store_call: duration_histogram(),
            task_delay: duration_histogram(),
            orders: Family::default(),
            store_bytes: Counter::default(),
            sync_bytes: Counter::default(),
            configuration_version: Gauge::default(),
            configuration_bytes: Gauge::default(),
            is_cut_off: Gauge::default(),
            configuration_unconfirmed: Gauge::default(),
            contained_causes: Gauge::default(),
            servers: Gauge::default(),
            limited_servers: Gauge::default(),
            slow_servers: Gauge::default(),
            stated_loads: Family::default(),
            log_era: Gauge::default(),
            plain_decisions: Family::default(),
            vms: Gauge::default(),
            is_leading: Gauge::default(),
            open_connections: Gauge::default(),
            client_memory: Gauge::default(),
            client_memory_limit: Gauge::default(),
            evicted_connections: Family::default(),
        };
        metrics.register_all();
        metrics
    }

    /// Registers gauges and counters before histograms, so that a monitoring system that keeps only
    /// the beginning of the text has them.
    fn register_all(&mut self) {
        self.register("configuration_version", self.configuration_version.clone());
        self.register("configuration_bytes", self.configuration_bytes.clone());
        self.register(
            "configuration_unconfirmed_seconds",
            self.configuration_unconfirmed.clone(),
        );
        self.register("is_cut_off", self.is_cut_off.clone());
        self.register("contained_causes", self.contained_causes.clone());
        self.register("servers", self.servers.clone());
        self.register("limited_servers", self.limited_servers.clone());
        self.register("slow_servers", self.slow_servers.clone());
        self.register("log_era", self.log_era.clone());
        self.register("vms", self.vms.clone());
        self.register("is_leading", self.is_leading.clone());
        self.register("waiting_requests", self.waiting.clone());
        self.register("open_connections", self.open_connections.clone());
        self.register("client_memory_bytes", self.client_memory.clone());
        self.register(
            "client_memory_limit_bytes",
            self.client_memory_limit.clone(),
        );
        self.register("evicted_connections", self.evicted_connections.clone());
        self.register("store_calls", self.store_calls.clone());
        self.register("store_bytes", self.store_bytes.clone());
        self.register("sync_bytes", self.sync_bytes.clone());
        self.register("peer_messages", self.peer_messages.clone());
        self.register("retries", self.retries.clone());
        self.register("retries_denied", self.retries_denied.clone());
        self.register("streams_resumed", self.streams_resumed.clone());
        self.register("resumptions", self.resumptions.clone());
        self.register("connections_opened", self.connections_opened.clone());
        self.register("unreadable_prompts", self.unreadable_prompts.clone());
        self.register("closed_unread", self.closed_unread.clone());
        self.register("request_ends", self.request_ends.clone());
        self.register("attempts", self.attempts.clone());
        self.register("stated_loads", self.stated_loads.clone());
        self.register("plain_decisions", self.plain_decisions.clone());
        self.register("forwarded_requests", self.forwarded.clone());
        self.register("orders_given", self.orders.clone());
        self.register("served_requests", self.requests.clone());
        self.register("organisation_requests", self.organisations.clone());
        self.register("store_call_seconds", self.store_call.clone());
        self.register("task_delay_seconds", self.task_delay.clone());
        self.register("answer_seconds", self.answer.clone());
        self.register("first_event_seconds", self.first_event.clone());
        self.register("longest_pause_seconds", self.longest_pause.clone());
        self.register("place_wait_seconds", self.slot_wait.clone());
        self.register("predicted_wait_seconds", self.predicted_wait.clone());
    }

    fn register(&mut self, name: &'static str, metric: impl Metric) {
        let description = METRIC_DESCRIPTIONS.iter().find(|it| it.name == name);
        let description = description.expect("every metric has a description");
        self.registry
            .register(description.name, description.meaning, metric);
    }

    /// Counts a request that has ended.
    pub(crate) fn note_request(&self, kind: &'static str, outcome: &'static str) {
        let labels = RequestLabels { kind, outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// Sets the number of requests that wait for a runner, by priority.
    pub(crate) fn set_waiting(&self, counts: &BTreeMap<u32, usize>) {
        for priority in 0..=MAX_LABELLED_PRIORITY {
            let counted = counts.iter().filter(|(of, _)| match priority {
                MAX_LABELLED_PRIORITY => **of >= priority,
                _ => **of == priority,
            });
            let waiting: usize = counted.map(|(_, count)| count).sum();
            let gauge = self.waiting.get_or_create(&PriorityLabels { priority });
            gauge.set(waiting as i64);
        }
    }

    /// Counts a request of an organisation, by the quota decision.
    pub(crate) fn note_organisation(&self, organisation: &str, outcome: &'static str) {
        let labels = OrganisationLabels {
            organisation: organisation.to_owned(),
            outcome,
        };
        self.organisations.get_or_create(&labels).inc();
    }

    /// Counts an attempt to send a request to a server.
    pub(crate) fn note_attempt(&self, outcome: &'static str) {
        self.attempts
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a load that a server stated.
    pub(crate) fn note_stated_load(&self, outcome: &'static str) {
        self.stated_loads
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a decision on a plain call.
    pub(crate) fn note_plain_decision(&self, outcome: &'static str) {
        self.plain_decisions
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a request forwarded to another VM, or by another VM to this one.
    pub(crate) fn note_forwarded(&self, outcome: &'static str) {
        self.forwarded
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a stream that is taken up after a break, by where its software version was learnt.
    pub(crate) fn note_resumption(&self, outcome: &'static str) {
        self.resumptions
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a call to the store and records how long it took.
    pub(crate) fn note_store_call(
        &self,
        call: &'static str,
        outcome: &'static str,
        took: Duration,
    ) {
        let labels = CallLabels { call, outcome };
        self.store_calls.get_or_create(&labels).inc();
        self.store_call.observe(took.as_secs_f64());
    }

    /// Counts an order to a runner.
    pub(crate) fn note_order(&self, call: &'static str, outcome: &'static str) {
        self.orders
            .get_or_create(&CallLabels { call, outcome })
            .inc();
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string never fails");
        text
    }
}
