//! The operator's configuration in the platform's format.

use crate::callers::{ApiKey, ApiKeyIndex, Measure, Organisation, Quota};
use crate::gateway::{
    Configuration, Document, Engine, Limits, Model, Route, RouteKind, Service, Target,
};
use crate::inventory::Name;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use tracing::error;

#[derive(Deserialize)]
struct WireConfiguration {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    limits: WireLimits,
    /// The organisations that may send requests; without this field requests need no key.
    tenants: Option<Vec<WireOrganisation>>,
}

#[derive(Deserialize)]
struct WireRoute {
    name: Name,
    hostname: Name,
    path_prefix: Name,
    kind: WireKind,
    timeout_ms: u64,
    #[serde(default)]
    target_latency_ms: f64,
    /// The longest pause between two events of a stream that has its full value to the caller, in
    /// milliseconds.
    #[serde(default)]
    gap_aim_ms: f64,
    #[serde(default)]
    priority: u32,
    /// The only service of the route; a route to several services has a `traffic_split` instead.
    #[serde(default)]
    service: Option<Name>,
    #[serde(default)]
    traffic_split: Vec<WireShare>,
    #[serde(default)]
    max_attempts: Option<u32>,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
struct WireShare {
    service: Name,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireKind {
    Safe,
    Unsafe,
    Streaming,
}

#[derive(Deserialize)]
struct WireService {
    name: Name,
    #[serde(default)]
    engine: Option<WireEngine>,
}

#[derive(Deserialize)]
struct WireEngine {
    /// A runner's capacity for models and adapters together, not the size of one model.
    weights_mb: f64,
    slots: u32,
    #[serde(default)]
    adapter_slots: u32,
    #[serde(default)]
    loads_per_s: f64,
    #[serde(default)]
    models: Vec<WireModel>,
}

#[derive(Deserialize)]
struct WireModel {
    name: Name,
    weights_mb: f64,
    load_time_s: f64,
    warm_s: Option<f64>,
    disk_s: Option<f64>,
    /// The number of adapters, which are named a1, a2 and so on.
    #[serde(default)]
    adapters: u32,
    #[serde(default)]
    adapter_mb: f64,
}

#[derive(Deserialize)]
struct WireOrganisation {
    name: Name,
    #[serde(default)]
    api_keys: Vec<WireKey>,
    priority: Option<u32>,
    /// What the quota counts: tokens for [`TOKEN_UNIT`], requests for anything else.
    #[serde(default)]
    unit: Name,
    /// The average amount allowed per second; 0 for no quota.
    #[serde(default)]
    rate_per_s: f64,
    /// The amount allowed at once after a pause.
    #[serde(default)]
    burst: f64,
    /// The number of tokens counted for a request that does not state one.
    #[serde(default)]
    plain_tokens: f64,
}

/// The value of `unit` for a quota that counts tokens.
const TOKEN_UNIT: &str = "token_stream";

/// An API key; its text is held as a [`String`] only while it is deserialized.
struct WireKey(ApiKey);

impl<'de> Deserialize<'de> for WireKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        // The error leaves out the invalid value, since it may be a key.
        let text = String::deserialize(deserializer)
            .map_err(|_not_a_string| D::Error::custom("an API key must be a string"))?;
        Ok(Self(ApiKey::new(text.as_bytes())))
    }
}

#[derive(Deserialize)]
struct WireLimits {
    #[serde(default = "default_max_header_bytes")]
    max_header_bytes: usize,
    max_body_bytes: usize,
    #[serde(default = "default_header_timeout_ms")]
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

fn default_max_header_bytes() -> usize {
    Limits::default().max_header_bytes
}

fn default_header_timeout_ms() -> u64 {
    Limits::default().header_timeout_ms
}

/// Converts fractional seconds to whole milliseconds.
fn millis(seconds: f64) -> u64 {
    (seconds * 1_000.0).round() as u64
}

/// Decodes a configuration, and logs keys that are listed for several organisations.
pub(crate) fn decode(value: &[u8]) -> Result<Configuration, serde_json::Error> {
    let wire: WireConfiguration = serde_json::from_slice(value)?;
    let routes = wire.routes.into_iter().map(route).collect();
    let services = wire.services.into_iter().map(service).collect();
    let limits = Limits {
        max_header_bytes: wire.limits.max_header_bytes,
        max_body_bytes: wire.limits.max_body_bytes,
        header_timeout_ms: wire.limits.header_timeout_ms,
        idle_timeout_ms: wire.limits.idle_timeout_ms,
    };
    let configuration = Configuration::new(wire.version, routes, services, limits)
        .with_document(Document::copy_of(value));
    let Some(organisations) = wire.tenants else {
        return Ok(configuration);
    };
    let index = ApiKeyIndex::new(organisations.into_iter().map(organisation).collect());
    for shared in index.shared_keys() {
        error!(
            version = wire.version,
            organisations = shared.organisations.join(","),
            "key listed twice"
        );
    }
    Ok(configuration.with_organisations(index))
}

fn organisation(wire: WireOrganisation) -> (Organisation, Vec<ApiKey>) {
    let measure = match wire.unit.as_str() {
        TOKEN_UNIT => Measure::Tokens {
            default_tokens: wire.plain_tokens,
        },
        _ => Measure::Requests,
    };
    let quota = Quota {
        measure,
        rate_per_s: wire.rate_per_s,
        burst: wire.burst,
    };
    let organisation = Organisation {
        name: wire.name,
        priority: wire.priority,
        quota: (wire.rate_per_s > 0.0).then_some(quota),
    };
    let keys = wire.api_keys.into_iter().map(|WireKey(key)| key);
    (organisation, keys.collect())
}

fn route(wire: WireRoute) -> Route {
    let single = wire.service.map(|service| Target { service, weight: 1 });
    let shares = wire.traffic_split.into_iter().map(|share| Target {
        service: share.service,
        weight: share.weight.round() as u32,
    });
    Route {
        name: wire.name,
        host: wire.hostname,
        prefix: wire.path_prefix,
        kind: match wire.kind {
            WireKind::Safe => RouteKind::Safe,
            WireKind::Unsafe => RouteKind::Unsafe,
            WireKind::Streaming => RouteKind::Streaming,
        },
        is_public: wire.public,
        resumable: wire.resumable,
        timeout_ms: wire.timeout_ms,
        target_latency_ms: wire.target_latency_ms.round() as u64,
        max_pause_ms: wire.gap_aim_ms.round() as u64,
        max_attempts: wire.max_attempts.unwrap_or(1),
        priority: wire.priority,
        targets: single.into_iter().chain(shares).collect(),
    }
}

fn service(wire: WireService) -> Service {
    Service {
        name: wire.name,
        engine: wire.engine.map(engine),
    }
}

fn engine(wire: WireEngine) -> Engine {
    Engine {
        weights_mb: wire.weights_mb,
        slots: wire.slots,
        adapter_slots: wire.adapter_slots,
        loads_per_s: wire.loads_per_s,
        models: wire.models.into_iter().map(model).collect(),
    }
}

fn model(wire: WireModel) -> Model {
    Model {
        name: wire.name,
        weights_mb: wire.weights_mb,
        load_ms: millis(wire.load_time_s),
        warm_load_ms: millis(wire.warm_s.unwrap_or(wire.load_time_s)),
        disk_load_ms: millis(wire.disk_s.unwrap_or(wire.load_time_s)),
        adapters: wire.adapters,
        adapter_mb: wire.adapter_mb,
    }
}
