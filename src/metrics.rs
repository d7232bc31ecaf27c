//! The metrics of a VM, exported in the Prometheus text format.

use crate::client_memory::EvictionLabels;
use crate::service_registry::Service;
use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// The labels of a completed request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct RequestLabels {
    /// The priority of the request's caller.
    pub(crate) priority: &'static str,
    /// `complete`, or the `code` of the error response.
    pub(crate) outcome: &'static str,
}

/// The labels of an order to a runner.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct OrderLabels {
    /// `load` or `unload`.
    pub(crate) order: &'static str,
}

/// The labels of a log stream.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct StreamLabels {
    /// The name of the stream.
    pub(crate) stream: &'static str,
}

/// The labels of control traffic.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct ControlTrafficLabels {
    /// The kind of traffic: `peers`, `log`, `reports` or `vm_list`.
    pub(crate) leg: &'static str,
}

/// The metrics of one VM.
pub(crate) struct Metrics {
    registry: Registry,
    /// The number of completed and failed requests.
    pub(crate) requests: Family<RequestLabels, Counter>,
    /// The number of tokens forwarded to callers.
    pub(crate) tokens: Counter,
    /// The number of streams resumed on another runner.
    pub(crate) resumes: Counter,
    /// The number of retries: attempts of a request after the first.
    pub(crate) retries: Counter,
    /// The time to the first token, in seconds.
    pub(crate) first_token: Histogram,
    /// The number of orders that the planner has decided on.
    pub(crate) orders: Family<OrderLabels, Counter>,
    /// The number of appends to the log.
    pub(crate) appends: Family<StreamLabels, Gauge>,
    /// The inventory revision in force.
    pub(crate) revision: Gauge,
    /// The number of peers that recently sent a heartbeat.
    pub(crate) peers: Gauge,
    /// The number of idempotency keys in memory.
    pub(crate) keys: Gauge,
    /// The memory that is reserved for clients, in bytes.
    pub(crate) client_memory: Gauge,
    /// The most memory that can be reserved for clients, in bytes.
    pub(crate) client_memory_limit: Gauge,
    /// The number of connections that were closed for others.
    pub(crate) evicted_connections: Family<EvictionLabels, Counter>,
    /// Control traffic in bytes: bodies and frames, sent and received.
    pub(crate) control_bytes: Family<ControlTrafficLabels, Counter>,
}

impl Service for Metrics {
    const NAME: &'static str = "metrics";
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("rattanjunction");
        let metrics = Self {
            requests: Family::default(),
            tokens: Counter::default(),
            resumes: Counter::default(),
            retries: Counter::default(),
            first_token: Histogram::new(exponential_buckets(0.005, 2.0, 14)),
            orders: Family::default(),
            appends: Family::default(),
            revision: Gauge::default(),
            peers: Gauge::default(),
            keys: Gauge::default(),
            client_memory: Gauge::default(),
            client_memory_limit: Gauge::default(),
            evicted_connections: Family::default(),
            control_bytes: Family::default(),
            registry: Registry::default(),
        };
        registry.register("requests", "Requests ended", metrics.requests.clone());
        registry.register("tokens", "Tokens passed on", metrics.tokens.clone());
        registry.register(
            "resumes",
            "Streams resumed on another runner",
            metrics.resumes.clone(),
        );
        registry.register(
            "retries",
            "Attempts after the first",
            metrics.retries.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time to the first token",
            metrics.first_token.clone(),
        );
        registry.register("orders", "Orders decided", metrics.orders.clone());
        registry.register(
            "log_appends",
            "Appends made to the log",
            metrics.appends.clone(),
        );
        registry.register(
            "revision",
            "The revision in force",
            metrics.revision.clone(),
        );
        registry.register("peers", "Peers heard of late", metrics.peers.clone());
        registry.register("keys", "Idempotency keys held", metrics.keys.clone());
        registry.register(
            "client_memory_bytes",
            "Memory reserved for clients",
            metrics.client_memory.clone(),
        );
        registry.register(
            "client_memory_limit_bytes",
            "The most memory that can be reserved for clients",
            metrics.client_memory_limit.clone(),
        );
        registry.register(
            "evicted_connections",
            "Connections closed for others while they waited for their clients",
            metrics.evicted_connections.clone(),
        );
        registry.register(
            "control_bytes",
            "Bytes of control traffic",
            metrics.control_bytes.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }

    /// The byte counter of one kind of control traffic, such as `peers` or `log`.
    pub(crate) fn control_traffic_counter(&self, leg: &'static str) -> Counter {
        self.control_bytes
            .get_or_create(&ControlTrafficLabels { leg })
            .clone()
    }

    /// Encodes all metrics as text.
    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}
