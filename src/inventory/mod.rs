//! The inventory: what operators publish, and the rules it must keep.

mod backend_server;
mod caller;
mod model;
mod rules;
mod service;

pub use backend_server::{BackendServer, Duty};
pub use caller::{Caller, Priority};
pub use model::{Adapter, Model};
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
    /// Checks every rule and returns all that is wrong, in plain sentences.
    ///
    /// ```
    /// use rattanjunction::Inventory;
    /// assert!(Inventory::default().problems().is_empty());
    /// ```
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        self.check_names(&mut problems);
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

    fn check_names(&self, problems: &mut Vec<String>) {
        unique(
            "models",
            self.models.iter().map(|model| &model.name),
            problems,
        );
        unique(
            "backend_servers",
            self.backend_servers.iter().map(|server| &server.name),
            problems,
        );
        unique(
            "services",
            self.services.iter().map(|service| &service.name),
            problems,
        );
        unique(
            "callers",
            self.callers.iter().map(|caller| &caller.name),
            problems,
        );
        unique(
            "api keys",
            self.callers.iter().map(|caller| &caller.api_key),
            problems,
        );
        for model in &self.models {
            let list = format!("adapters of model {}", model.name);
            unique(
                &list,
                model.adapters.iter().map(|adapter| &adapter.name),
                problems,
            );
            if model.weights_mib == 0 {
                problems.push(format!(
                    "model {}: weights_mib must be at least 1",
                    model.name
                ));
            }
        }
    }

    fn check_services(&self, problems: &mut Vec<String>) {
        for service in &self.services {
            if !service.path.starts_with('/') || service.path == "/" {
                problems.push(format!(
                    "service {}: path must start with / and name a route",
                    service.name
                ));
            }
            if service.backend_servers.is_empty() {
                problems.push(format!(
                    "service {}: backend_servers is empty",
                    service.name
                ));
            }
            for name in &service.backend_servers {
                match self.backend_server(name) {
                    Some(server) if server.duty == Duty::Service => {}
                    Some(_) => problems.push(format!(
                        "service {}: backend server {name} has duty runner, not service",
                        service.name
                    )),
                    None => problems.push(format!(
                        "service {}: backend server {name} is not listed",
                        service.name
                    )),
                }
            }
        }
    }

    fn check_memory(&self, problems: &mut Vec<String>) {
        if self.models.is_empty() {
            return;
        }
        let room_mib: u64 = self
            .runners()
            .filter(|runner| !runner.leaving)
            .map(BackendServer::weights_room_mib)
            .sum();
        let need_mib: u64 = self
            .models
            .iter()
            .map(|model| model.resident_mib() * u64::from(model.min_replicas))
            .sum();
        if need_mib > room_mib {
            problems.push(format!(
                "models do not fit: {} models need {need_mib} MiB (weights and adapters, times \
                 min_replicas), runners that stay have {room_mib} MiB (memory_mib - kv_mib); \
                 {} MiB are missing",
                self.models.len(),
                need_mib - room_mib
            ));
        }
        let largest_mib = self
            .runners()
            .filter(|runner| !runner.leaving)
            .map(BackendServer::weights_room_mib)
            .max()
            .unwrap_or(0);
        for model in &self.models {
            if model.resident_mib() > largest_mib {
                problems.push(format!(
                    "model {} does not fit: it needs {} MiB with its adapters, the largest runner \
                     has {largest_mib} MiB",
                    model.name,
                    model.resident_mib()
                ));
            }
        }
    }

    fn check_rules(&self, problems: &mut Vec<String>) {
        for server in &self.backend_servers {
            if server.duty == Duty::Runner && server.kv_mib >= server.memory_mib {
                problems.push(format!(
                    "backend server {}: kv_mib ({}) must be below memory_mib ({})",
                    server.name, server.kv_mib, server.memory_mib
                ));
            }
        }
        self.rules.check(problems);
    }
}

fn unique<'a>(list: &str, names: impl Iterator<Item = &'a Name>, problems: &mut Vec<String>) {
    let mut seen = HashSet::new();
    for name in names {
        if name.is_empty() {
            problems.push(format!("{list}: a name is empty"));
        }
        if !seen.insert(name) {
            problems.push(format!("{list}: {name} is listed twice"));
        }
    }
}
