//! The inventory: what operators publish, and the rules it must keep.

mod backend_server;
mod caller;
mod change;
mod model;
mod problem;
mod rules;
mod service;

pub use backend_server::{BackendServer, Duty};
pub use caller::{Caller, Priority};
pub(crate) use change::InventoryChange;
pub use model::{Adapter, Model};
pub use problem::Problem;
pub use rules::{AdmissionRule, MovePolicy, PlacementRule, RoutingRule, Rules};
pub use service::PlainService;

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// A shared immutable name.
pub type Name = ArcStr;

/// Models, adapters, versions, backend servers and rules.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// The models, each with its adapters.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Model runners and the servers of plain services.
    #[serde(default)]
    pub backend_servers: Vec<BackendServer>,
    /// Plain services and their routes.
    #[serde(default)]
    pub services: Vec<PlainService>,
    /// Callers known by their API keys.
    #[serde(default)]
    pub callers: Vec<Caller>,
    /// Rules on priority and placement.
    #[serde(default)]
    pub rules: Rules,
}

impl Inventory {
    /// Checks every rule and returns all that is wrong.
    ///
    /// ```
    /// use rattanjunction::Inventory;
    /// assert!(Inventory::default().problems().is_empty());
    /// ```
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        self.check_names(&mut problems);
        self.check_versions(&mut problems);
        self.check_addresses(&mut problems);
        self.check_services(&mut problems);
        self.check_memory(&mut problems);
        self.check_rules(&mut problems);
        problems
    }

    /// Finds a model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Finds a backend server by name.
    pub fn backend_server(&self, name: &str) -> Option<&BackendServer> {
        self.backend_servers
            .iter()
            .find(|server| server.name == name)
    }

    /// Finds the caller with this API key.
    pub fn caller(&self, api_key: &str) -> Option<&Caller> {
        self.callers.iter().find(|caller| caller.api_key == api_key)
    }

    /// Finds the plain service whose path is the longest prefix of `path`.
    pub fn service_for(&self, path: &str) -> Option<&PlainService> {
        self.services
            .iter()
            .filter(|service| service.covers(path))
            .max_by_key(|service| service.path.len())
    }

    /// The model runners, in the order of the inventory.
    pub fn runners(&self) -> impl Iterator<Item = &BackendServer> {
        self.backend_servers
            .iter()
            .filter(|server| server.duty == Duty::Runner)
    }

    fn check_names(&self, problems: &mut Vec<Problem>) {
        let models = self.models.iter().map(|model| &model.name);
        unique("models", "name", models, problems);
        let servers = self.backend_servers.iter().map(|server| &server.name);
        unique("backend_servers", "name", servers, problems);
        let services = self.services.iter().map(|service| &service.name);
        unique("services", "name", services, problems);
        let callers = self.callers.iter().map(|caller| &caller.name);
        unique("callers", "name", callers, problems);
        let keys = self.callers.iter().map(|caller| &caller.api_key);
        unique("callers", "api_key", keys, problems);
        for (index, model) in self.models.iter().enumerate() {
            let list = format!("models[{index}].adapters");
            let adapters = model.adapters.iter().map(|adapter| &adapter.name);
            unique(&list, "name", adapters, problems);
            if model.weights_mib == 0 {
                let field = format!("models[{index}].weights_mib");
                problems.push(Problem::new(field, "must be at least 1"));
            }
        }
    }

    /// Engines name artifacts `model@version`, so a version can hold no `@`.
    fn check_versions(&self, problems: &mut Vec<Problem>) {
        let mut check = |field: String, version: &Name| {
            if version.is_empty() || version.contains('@') {
                problems.push(Problem::new(field, "must not be empty or hold @"));
            }
        };
        for (index, model) in self.models.iter().enumerate() {
            check(format!("models[{index}].version"), &model.version);
            for (place, adapter) in model.adapters.iter().enumerate() {
                let field = format!("models[{index}].adapters[{place}].version");
                check(field, &adapter.version);
            }
        }
    }

    /// Two names for one engine would count its memory twice.
    fn check_addresses(&self, problems: &mut Vec<Problem>) {
        let mut seen = HashSet::new();
        for (index, server) in self.backend_servers.iter().enumerate() {
            if server.duty == Duty::Runner && !seen.insert(server.address) {
                let field = format!("backend_servers[{index}].address");
                problems.push(Problem::new(field, "is that of another runner too"));
            }
        }
    }

    fn check_services(&self, problems: &mut Vec<Problem>) {
        for (index, service) in self.services.iter().enumerate() {
            let field = |field: &str| format!("services[{index}].{field}");
            if !service.path.starts_with('/') || service.path == "/" {
                let message = "must start with / and name a route";
                problems.push(Problem::new(field("path"), message));
            }
            if service.backend_servers.is_empty() {
                problems.push(Problem::new(field("backend_servers"), "must not be empty"));
            }
            for (place, name) in service.backend_servers.iter().enumerate() {
                let message = match self.backend_server(name) {
                    Some(server) if server.duty == Duty::Service => continue,
                    Some(_) => format!("{name} has duty runner, not service"),
                    None => format!("{name} is not among backend_servers"),
                };
                let field = field(&format!("backend_servers[{place}]"));
                problems.push(Problem::new(field, message));
            }
        }
    }

    fn check_memory(&self, problems: &mut Vec<Problem>) {
        if self.models.is_empty() {
            return;
        }
        let room_mib: u64 = self
            .runners()
            .filter(|runner| !runner.leaving)
            .map(BackendServer::weights_capacity_mib)
            .sum();
        let need_mib: u64 = self
            .models
            .iter()
            .map(|model| model.resident_mib() * u64::from(model.min_replicas))
            .sum();
        if need_mib > room_mib {
            let message = format!(
                "do not fit: {} models need {need_mib} MiB (weights and adapters, times \
                 min_replicas), runners that stay have {room_mib} MiB (memory_mib - kv_mib); \
                 {} MiB are missing",
                self.models.len(),
                need_mib - room_mib
            );
            problems.push(Problem::new("models", message));
        }
        let largest_mib = self
            .runners()
            .filter(|runner| !runner.leaving)
            .map(BackendServer::weights_capacity_mib)
            .max()
            .unwrap_or(0);
        for (index, model) in self.models.iter().enumerate() {
            if model.resident_mib() > largest_mib {
                let message = format!(
                    "{} does not fit: it needs {} MiB with its adapters, the largest runner that \
                     stays has {largest_mib} MiB",
                    model.name,
                    model.resident_mib()
                );
                problems.push(Problem::new(format!("models[{index}]"), message));
            }
        }
    }

    fn check_rules(&self, problems: &mut Vec<Problem>) {
        for (index, server) in self.backend_servers.iter().enumerate() {
            if server.duty == Duty::Runner && server.kv_mib >= server.memory_mib {
                let message = format!(
                    "{} must be below memory_mib, which is {}",
                    server.kv_mib, server.memory_mib
                );
                let field = format!("backend_servers[{index}].kv_mib");
                problems.push(Problem::new(field, message));
            }
        }
        self.rules.check(problems);
    }
}

fn unique<'a>(
    list: &str,
    field: &str,
    names: impl Iterator<Item = &'a Name>,
    problems: &mut Vec<Problem>,
) {
    let mut seen = HashSet::new();
    for (index, name) in names.enumerate() {
        let field = || format!("{list}[{index}].{field}");
        if name.is_empty() {
            problems.push(Problem::new(field(), "must not be empty"));
        }
        if !seen.insert(name) {
            problems.push(Problem::new(field(), format!("{name} is listed twice")));
        }
    }
}
