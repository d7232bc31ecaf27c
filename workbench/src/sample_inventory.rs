//! Inventories of the agencies' sizes.

use rattanjunction::{
    Adapter, BackendServer, Caller, Duty, Inventory, Model, Name, PlainService, Priority, Rules,
};
use std::net::SocketAddr;

/// How large a site is.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The availability zones.
    pub zones: Vec<&'static str>,
    /// Model runners, spread over the zones.
    pub runners: usize,
    /// Servers of the plain service.
    pub servers: usize,
    /// Models.
    pub models: usize,
    /// Adapters, spread over the models.
    pub adapters: usize,
    /// Memory of a runner's accelerator.
    pub memory_mib: u64,
    /// The part kept for KV cache.
    pub kv_mib: u64,
    /// Memory of a model's weights.
    pub model_mib: u64,
    /// Memory of an adapter.
    pub adapter_mib: u64,
    /// The plain service's path.
    pub service_path: &'static str,
    /// Whether engines check fencing numbers.
    pub checks_fencing: bool,
}

impl Shape {
    /// Vltava's site, with as many adapters as are asked for.
    pub fn vltava(adapters: usize) -> Self {
        Self {
            zones: vec!["karlin", "smichov", "holesovice"],
            runners: 9,
            servers: 3,
            models: 13,
            adapters,
            memory_mib: 80_000,
            kv_mib: 16_000,
            model_mib: 14_000,
            adapter_mib: 200,
            service_path: "/receipts",
            checks_fencing: true,
        }
    }

    /// KAOF's site, with as many adapters as are asked for.
    pub fn kaof(adapters: usize) -> Self {
        Self {
            zones: vec!["pl-central-a", "pl-central-b", "pl-central-c"],
            models: 17,
            service_path: "/bookings",
            ..Self::vltava(adapters)
        }
    }

    /// A small site for tests: three runners, three models, one server.
    pub fn small() -> Self {
        Self {
            runners: 3,
            servers: 1,
            models: 3,
            adapters: 1,
            ..Self::vltava(1)
        }
    }

    /// The zone of the nth machine of a kind.
    pub fn zone(&self, index: usize) -> &'static str {
        self.zones[index % self.zones.len()]
    }

    /// What runners hold once each model has a copy, and then a second one while there is room.
    ///
    /// Each runner's list holds `artifact:mib`, as engines take it.
    pub fn spread_holds(&self) -> Vec<Vec<String>> {
        let models: Vec<Model> = (0..self.models).map(|index| self.model(index)).collect();
        let mut holds = vec![Vec::new(); self.runners];
        let mut free_mib = vec![self.memory_mib - self.kv_mib; self.runners];
        for (place, model) in models.iter().chain(&models).enumerate() {
            let runner = place % self.runners;
            if free_mib[runner] < model.resident_mib() {
                continue;
            }
            free_mib[runner] -= model.resident_mib();
            holds[runner].push(format!(
                "{}@{}:{}",
                model.name, model.version, model.weights_mib
            ));
            for adapter in &model.adapters {
                holds[runner].push(format!(
                    "{}/{}@{}:{}",
                    model.name, adapter.name, adapter.version, adapter.weights_mib
                ));
            }
        }
        holds
    }

    /// The name of a model.
    pub fn model_name(index: usize) -> String {
        format!("model-{index}")
    }

    /// The inventory with the addresses of runners and servers.
    pub fn inventory(&self, runners: &[SocketAddr], servers: &[SocketAddr]) -> Inventory {
        let mut backend_servers = Vec::new();
        for (index, address) in runners.iter().enumerate() {
            backend_servers.push(self.runner(index, *address));
        }
        let mut names = Vec::new();
        for (index, address) in servers.iter().enumerate() {
            let server = BackendServer {
                name: format!("server-{index}").into(),
                duty: Duty::Service,
                memory_mib: 0,
                kv_mib: 0,
                checks_fencing: false,
                ..self.runner(index, *address)
            };
            names.push(server.name.clone());
            backend_servers.push(server);
        }
        Inventory {
            models: (0..self.models).map(|index| self.model(index)).collect(),
            backend_servers,
            services: vec![PlainService {
                name: "plain".into(),
                path: self.service_path.into(),
                idempotent: false,
                backend_servers: names,
                timeout_ms: 2_000,
            }],
            callers: vec![
                caller("desk", Priority::Urgent, 10_000),
                caller("office", Priority::Batch, 60_000),
            ],
            rules: Rules::default(),
        }
    }

    fn runner(&self, index: usize, address: SocketAddr) -> BackendServer {
        BackendServer {
            name: format!("runner-{index}").into(),
            duty: Duty::Runner,
            address,
            availability_zone: self.zone(index).into(),
            group: "main".into(),
            memory_mib: self.memory_mib,
            kv_mib: self.kv_mib,
            slots: 16,
            checks_fencing: self.checks_fencing,
            leaving: false,
        }
    }

    fn model(&self, index: usize) -> Model {
        let adapters = (0..self.adapters)
            .filter(|adapter| adapter % self.models == index)
            .map(|adapter| Adapter {
                name: Name::from(format!("adapter-{adapter}")),
                version: "1".into(),
                weights_mib: self.adapter_mib,
            })
            .collect();
        Model {
            name: Self::model_name(index).into(),
            version: "1".into(),
            weights_mib: self.model_mib,
            adapters,
            min_replicas: 1,
        }
    }
}

fn caller(name: &str, priority: Priority, deadline_ms: u64) -> Caller {
    Caller {
        name: name.into(),
        api_key: format!("key-{name}").into(),
        priority,
        deadline_ms,
        first_token_ms: None,
        max_concurrent: 0,
    }
}
