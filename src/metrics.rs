//! Counters and gauges, written in the Prometheus text format.

use crate::service_registry::Service;
use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// A request's end.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct RequestLabels {
    /// The caller's priority.
    pub(crate) priority: &'static str,
    /// `complete`, or the code of the error kind.
    pub(crate) outcome: &'static str,
}

/// An order's direction.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct OrderLabels {
    /// `load` or `unload`.
    pub(crate) order: &'static str,
}

/// A log stream.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct StreamLabels {
    /// The stream's name.
    pub(crate) stream: &'static str,
}

/// A leg of the control traffic.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub(crate) struct LegLabels {
    /// `peers`, `log`, `reports` or `vm_list`.
    pub(crate) leg: &'static str,
}

/// The metrics of one VM.
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests ended.
    pub(crate) requests: Family<RequestLabels, Counter>,
    /// Tokens passed on.
    pub(crate) tokens: Counter,
    /// Streams resumed on another runner.
    pub(crate) resumes: Counter,
    /// Attempts after the first.
    pub(crate) retries: Counter,
    /// Time to the first token, in seconds.
    pub(crate) first_token: Histogram,
    /// Orders decided.
    pub(crate) orders: Family<OrderLabels, Counter>,
    /// Appends made to the log.
    pub(crate) appends: Family<StreamLabels, Gauge>,
    /// The revision in force.
    pub(crate) revision: Gauge,
    /// Peers heard of late.
    pub(crate) peers: Gauge,
    /// Idempotency keys held.
    pub(crate) keys: Gauge,
    /// Bytes of control traffic: bodies and frames, sent and received.
    pub(crate) control_bytes: Family<LegLabels, Counter>,
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
            "control_bytes",
            "Bytes of control traffic",
            metrics.control_bytes.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }

    /// The counter of one leg of the control traffic.
    pub(crate) fn leg(&self, leg: &'static str) -> Counter {
        self.control_bytes.get_or_create(&LegLabels { leg }).clone()
    }

    /// All metrics as text.
    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("a string takes all text");
        text
    }
}
