//! The configuration in force: routes, services and limits.

use crate::callers::{ApiKey, ApiKeyIndex, Organisation};
use crate::gateway::failure::Failure;
use crate::gateway::fleet::holds;
use crate::gateway::{Holding, Weights};
use crate::inventory::Name;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct Configuration {
    /// Grows with each change.
    pub(crate) version: u64,
    /// Routes by host, longest prefix first.
    routes: HashMap<Name, Vec<Rc<Route>>>,
    /// Services by name.
    pub(crate) services: HashMap<Name, Rc<Service>>,
    /// What callers may send.
    pub(crate) limits: Limits,
    /// The organisations that may send; `None` where requests need no key.
    pub(crate) organisations: Option<Rc<ApiKeyIndex>>,
}

/// Where requests of one host and path prefix go, and how they may be handled.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    /// The operator's name for it.
    pub(crate) name: Name,
    /// The host that it is about.
    pub(crate) host: Name,
    /// The beginning of the paths that it is about; ends with a slash.
    pub(crate) prefix: Name,
    /// What may be repeated.
    pub(crate) kind: RouteKind,
    /// Whether requests need no key.
    pub(crate) is_public: bool,
    /// Whether a stream may go on at another backend server.
    pub(crate) resumable: bool,
    /// How long a caller is kept waiting at most.
    pub(crate) timeout_ms: u64,
    /// The time within which an answer, or a stream's first event, has its full worth.
    pub(crate) target_latency_ms: u64,
    /// The longest pause between two events of an answer that has its full worth; 0 where
    /// none is told.
    pub(crate) max_pause_ms: u64,
    /// Backend servers that one request may be sent to.
    pub(crate) max_attempts: u32,
    /// The rank; 0 is the most urgent.
    pub(crate) priority: u32,
    /// The services that answer, with their shares.
    pub(crate) targets: Vec<Target>,
}

/// A service's share of a route.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The service.
    pub(crate) service: Name,
    /// Its share, relative to the other targets.
    pub(crate) weight: u32,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answered by a stream of events; runs at most once unless it may be resumed.
    Streaming,
}

impl RouteKind {
    /// The name in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Streaming => "streaming",
        }
    }
}

/// A group of backend servers that serve the same.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    /// Its name.
    pub(crate) name: Name,
    /// What its model runners can do; plain services have none.
    pub(crate) engine: Option<Engine>,
}

/// The model runners of a service.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    /// Accelerator memory for weights and adapters, in MB.
    pub(crate) weights_mb: f64,
    /// Requests that a runner works on at a time.
    pub(crate) slots: u32,
    /// Adapters that a runner can hold.
    pub(crate) adapter_slots: u32,
    /// Loads a second that the weight store allows over all runners.
    pub(crate) loads_per_s: f64,
    /// The models, the busiest first at the start.
    pub(crate) models: Vec<Model>,
}

/// A model that runners can hold.
#[derive(Clone, Debug)]
pub(crate) struct Model {
    /// Its name.
    pub(crate) name: Name,
    /// The size of its weights, in MB.
    pub(crate) weights_mb: f64,
    /// A load from the weight store.
    pub(crate) load_ms: u64,
    /// A load from the runner's own memory.
    pub(crate) warm_load_ms: u64,
    /// A load from the runner's own disk.
    pub(crate) disk_load_ms: u64,
    /// How many adapters it has.
    pub(crate) adapters: u32,
    /// The size of an adapter, in MB.
    pub(crate) adapter_mb: f64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// The largest body.
    pub(crate) max_body_bytes: usize,
    /// How long a caller's connection may stay idle.
    pub(crate) idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Used until a configuration is known: generous, so that no connection is cut early.
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            idle_timeout_ms: 60_000,
        }
    }
}

impl Configuration {
    /// Puts routes in the order of look-ups.
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
        }
    }

    /// With the organisations that may send.
    pub(crate) fn with_organisations(mut self, organisations: ApiKeyIndex) -> Self {
        self.organisations = Some(Rc::new(organisations));
        self
    }

    /// The organisation of a request on a route; `None` where it needs none and names none.
    ///
    /// # Errors
    ///
    /// Fails where the route needs a key and this one is no organisation's.
    pub(crate) fn organisation(
        &self,
        route: &Route,
        key: Option<&ApiKey>,
    ) -> Result<Option<Rc<Organisation>>, Failure> {
        let Some(register) = &self.organisations else {
            return Ok(None);
        };
        let holder = key.and_then(|key| register.holder(key));
        match holder {
            None if !route.is_public => Err(Failure::UnknownKey),
            holder => Ok(holder.cloned()),
        }
    }

    /// The route with the longest prefix that begins the path.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// The number of routes.
    pub(crate) fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// A model and what its runners can do.
    pub(crate) fn model(&self, name: &str) -> Option<(&Engine, &Model)> {
        let mut engines = self.engines();
        engines.find_map(|(_, engine)| Some((engine, engine.model(name)?)))
    }

    /// The services with model runners.
    pub(crate) fn engines(&self) -> impl Iterator<Item = (&Rc<Service>, &Engine)> {
        let services = self.services.values();
        services.filter_map(|service| Some((service, service.engine.as_ref()?)))
    }
}

impl Route {
    /// Whether a request may run more than once.
    pub(crate) fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// How long a caller is kept waiting at most.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// The service for one request; `point` between 0 and 1 picks it by the shares.
    pub(crate) fn pick_target(&self, point: f64) -> Option<&Name> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = point * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

impl Engine {
    /// Whether a runner with these holdings, and adapters on their way, has room for more.
    pub(crate) fn has_room(
        &self,
        holdings: &[Holding],
        coming: &[Weights],
        more: &Weights,
    ) -> bool {
        let held: usize = holdings.iter().map(|holding| holding.adapters.len()).sum();
        let coming = coming.iter().filter(|weights| !holds(holdings, weights));
        let adapters = held + coming.count() + usize::from(more.adapter.is_some());
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

    /// Finds a model.
    pub(crate) fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }
}
