//! The configuration in force: routes, services and limits.

use crate::callers::{ApiKey, ApiKeyIndex, Organisation};
use crate::gateway::failure::Failure;
use crate::gateway::fleet::holds;
use crate::gateway::{Holding, Weights};
use crate::inventory::Name;
use bytes::Bytes;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// What the name of each adapter begins with; its number follows, from 1.
const ADAPTER_PREFIX: char = 'a';

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configuration {
    /// The version, which increases with each change.
    pub(crate) version: u64,
    /// Routes by host, each host's routes sorted from the longest prefix to the shortest.
    routes: HashMap<Name, Vec<Rc<Route>>>,
    /// Services by name.
    pub(crate) services: HashMap<Name, Rc<Service>>,
    /// Limits on callers' requests and connections.
    pub(crate) limits: Limits,
    /// The organisations whose requests are accepted; `None` if requests need no API key.
    pub(crate) organisations: Option<Rc<ApiKeyIndex>>,
    /// The text that the configuration was decoded from, passed on to other VMs.
    pub(crate) document: Document,
}

/// The text of a configuration as the operator published it. It may contain API keys, so that its
/// `Debug` output leaves it out.
#[derive(Clone, Default)]
pub(crate) struct Document {
    text: Bytes,
    digest: u64,
}

impl Document {
    /// Copies a text.
    pub(crate) fn copy_of(text: &[u8]) -> Self {
        Self {
            text: Bytes::copy_from_slice(text),
            digest: xxh3_64(text),
        }
    }

    /// Returns the text.
    pub(crate) fn bytes(&self) -> Bytes {
        self.text.clone()
    }

    /// Returns a hash of the text, which is the same on every VM.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the length of the text, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.text.len()
    }
}

impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Document({} bytes)", self.len())
    }
}

/// The services and rules for requests with one host and path prefix.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    /// The name that the operator gave the route.
    pub(crate) name: Name,
    /// The host that the route matches.
    pub(crate) host: Name,
    /// The prefix of the paths that the route matches; ends with a slash.
    pub(crate) prefix: Name,
    /// How responses are sent and whether requests may be executed more than once.
    pub(crate) kind: RouteKind,
    /// Whether requests are accepted without an API key.
    pub(crate) is_public: bool,
    /// Whether an interrupted stream may be resumed at another backend server.
    pub(crate) resumable: bool,
    /// The longest time that a request may take, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// The time within which a response, or the first event of a stream, has its full value to the
    /// caller, in milliseconds.
    pub(crate) target_latency_ms: u64,
    /// The longest pause between two events of a stream that has its full value to the caller, in
    /// milliseconds; 0 if none is configured.
    pub(crate) max_pause_ms: u64,
    /// The number of backend servers that may execute one request.
    pub(crate) max_attempts: u32,
    /// The priority; 0 is the most urgent.
    pub(crate) priority: u32,
    /// The services that receive the requests, with their shares.
    pub(crate) targets: Vec<Target>,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The name of the service.
    pub(crate) service: Name,
    /// The service's share, relative to the other targets.
    pub(crate) weight: u32,
}

/// How responses are sent and whether requests may be executed more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RouteKind {
    /// Idempotent: may be executed more than once.
    Safe,
    /// Executed at most once.
    Unsafe,
    /// Answered by a stream of events; executed at most once unless streams may be resumed.
    Streaming,
}

impl RouteKind {
    /// Returns the name of the kind in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Streaming => "streaming",
        }
    }
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    /// The name of the service.
    pub(crate) name: Name,
    /// The capacity and models of the service's runners; `None` for plain services.
    pub(crate) engine: Option<Engine>,
}

/// The capacity and models of each runner of a service.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    /// Accelerator memory for weights and adapters on each runner, in MB.
    pub(crate) weights_mb: f64,
    /// The number of requests that a runner executes concurrently.
    pub(crate) slots: u32,
    /// The number of adapters that a runner can hold.
    pub(crate) adapter_slots: u32,
    /// Loads per second that the weight store allows over all runners.
    pub(crate) loads_per_s: f64,
    /// The models, sorted from the highest to the lowest demand expected at start-up.
    pub(crate) models: Vec<Model>,
}

/// A model that runners can load.
#[derive(Clone, Debug)]
pub(crate) struct Model {
    /// The name of the model.
    pub(crate) name: Name,
    /// The size of the weights, in MB.
    pub(crate) weights_mb: f64,
    /// The duration of a load from the weight store, in milliseconds.
    pub(crate) load_ms: u64,
    /// The duration of a load from the runner's host memory, in milliseconds.
    pub(crate) warm_load_ms: u64,
    /// The duration of a load from the runner's disk, in milliseconds.
    pub(crate) disk_load_ms: u64,
    /// The number of adapters of the model.
    pub(crate) adapters: u32,
    /// The size of each adapter, in MB.
    pub(crate) adapter_mb: f64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// The largest request head, in bytes.
    pub(crate) max_header_bytes: usize,
    /// The largest request body, in bytes.
    pub(crate) max_body_bytes: usize,
    /// How long a request head may take from its first byte, in milliseconds.
    pub(crate) header_timeout_ms: u64,
    /// How long a caller's connection may be idle, in milliseconds.
    pub(crate) idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Limits used until a configuration is received; generous, so that no connection is closed too
    /// early.
    fn default() -> Self {
        Self {
            max_header_bytes: 64 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

impl Configuration {
    /// Creates a configuration without organisations; sorts routes so that the longest prefix
    /// matches first.
    pub(crate) fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<Name, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.clone();
            by_host.entry(host).or_default().push(Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Rc::new(service)))
            .collect();
        Self {
            version,
            routes: by_host,
            services,
            limits,
            organisations: None,
            document: Document::default(),
        }
    }

    /// Adds the text that the configuration was decoded from.
    pub(crate) fn with_document(mut self, document: Document) -> Self {
        self.document = document;
        self
    }

    /// Adds the organisations whose requests are accepted.
    pub(crate) fn with_organisations(mut self, organisations: ApiKeyIndex) -> Self {
        self.organisations = Some(Rc::new(organisations));
        self
    }

    /// Returns the organisation of a request on a route; `None` if none is needed and the key
    /// belongs to none.
    ///
    /// # Errors
    ///
    /// Fails if the route needs a key and the key is absent or belongs to no organisation.
    pub(crate) fn organisation(
        &self,
        route: &Route,
        key: Option<&ApiKey>,
    ) -> Result<Option<Rc<Organisation>>, Failure> {
        let Some(index) = &self.organisations else {
            return Ok(None);
        };
        let owner = key.and_then(|key| index.owner(key));
        match owner {
            None if !route.is_public => Err(Failure::UnknownKey),
            owner => Ok(owner.cloned()),
        }
    }

    /// Returns the route of a host with the longest prefix that matches the path.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the number of routes.
    pub(crate) fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns a model and the engine whose runners can load it.
    pub(crate) fn model(&self, name: &str) -> Option<(&Engine, &Model)> {
        let mut engines = self.engines();
        engines.find_map(|(_, engine)| Some((engine, engine.model(name)?)))
    }

    /// Whether these weights are those of a model, or of one of its adapters.
    pub(crate) fn lists(&self, weights: &Weights) -> bool {
        let model = self.model(&weights.model).map(|(_, model)| model);
        match &weights.adapter {
            None => model.is_some(),
            Some(adapter) => model.is_some_and(|model| model.has_adapter(adapter)),
        }
    }

    /// Returns the services that have runners.
    pub(crate) fn engines(&self) -> impl Iterator<Item = (&Rc<Service>, &Engine)> {
        let services = self.services.values();
        services.filter_map(|service| Some((service, service.engine.as_ref()?)))
    }
}

impl Route {
    /// Whether a request may be executed more than once.
    pub(crate) fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Whether the route's answers are streams that may go on at another server.
    pub(crate) fn is_resumable(&self) -> bool {
        self.kind == RouteKind::Streaming && self.resumable
    }

    /// Returns the longest time that a request may take.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Picks the service for one request according to the shares. `point` is uniformly distributed
    /// between 0 and 1.
    pub(crate) fn pick_target(&self, point: f64) -> Option<&Name> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = point * f64::from(total);
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

impl Engine {
    /// Whether a runner that has these holdings and is loading the adapters in `loading` has room
    /// for `more`.
    pub(crate) fn has_room(
        &self,
        holdings: &[Holding],
        loading: &[Weights],
        more: &Weights,
    ) -> bool {
        let held: usize = holdings.iter().map(|holding| holding.adapters.len()).sum();
        let loading = loading.iter().filter(|weights| !holds(holdings, weights));
        let adapters = held + loading.count() + usize::from(more.adapter.is_some());
        let adapter_mb = self.models.iter().map(|model| model.adapter_mb);
        let adapters_mb = adapter_mb.fold(0.0, f64::max) * adapters as f64;
        let size_mb = |name: &str| {
            let model = self.model(name);
            model.map_or(self.weights_mb, |model| model.weights_mb)
        };
        let mut used_mb: f64 = holdings.iter().map(|holding| size_mb(&holding.model)).sum();
        if more.adapter.is_none() {
            used_mb += size_mb(&more.model);
        }
        adapters <= self.adapter_slots as usize && used_mb + adapters_mb <= self.weights_mb
    }

    /// Returns a model by its name.
    pub(crate) fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }
}

impl Model {
    /// Returns the weights of all adapters.
    pub(crate) fn adapter_weights(&self) -> impl Iterator<Item = Weights> {
        (1..=self.adapters).map(|number| Weights {
            model: self.name.clone(),
            adapter: Some(format!("{ADAPTER_PREFIX}{number}").into()),
        })
    }

    /// Whether an adapter has this name.
    fn has_adapter(&self, name: &str) -> bool {
        let number = name.strip_prefix(ADAPTER_PREFIX);
        let number = number.filter(|it| !it.starts_with(['0', '+']));
        let number = number.and_then(|it| it.parse().ok());
        number.is_some_and(|number: u32| number <= self.adapters)
    }
}
