//! The users' platform in small: its store, backend servers and settings files, with real
//! processes of the shipped binary before them.

mod caller;
pub mod events;
mod server;
mod store;

pub use caller::{Answer, Caller, CallerRequest};
pub use server::{
    LoadedModels, ReceivedRequest, ScriptStep, ServerEvent, ServerStandIn, signed_answer,
};
pub use store::{StoreFaults, StoreStandIn};

use crate::cluster::Cluster;
use crate::process::{Process, product_binary};
use serde_json::{Value, json};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The store's port.
const STORE_PORT: u16 = 22_000;
/// The first port of the backend servers.
const SERVER_PORT: u16 = 22_100;
/// The first port of the VMs; each takes ten.
const VM_PORT: u16 = 22_300;
/// How long anything may take before a test gives up.
const LIMIT: Duration = Duration::from_secs(30);
/// The time between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);
/// The host of all routes.
pub const HOST: &str = "desk.example";

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The platform's store.
    pub store: Rc<StoreStandIn>,
    /// The backend servers.
    pub servers: Vec<Rc<ServerStandIn>>,
    /// Our VMs.
    pub vms: Vec<Process>,
    /// The address of everything.
    pub ip: IpAddr,
    /// Whether VMs are told that servers check the fences of orders.
    pub is_fenced: bool,
    /// Retries that all VMs are allowed beyond a part of the requests.
    pub retry_slack: u32,
    /// The organisations of the next configuration; without any, requests need no key.
    pub organisations: Option<Value>,
    folder: PathBuf,
    version: u64,
}

impl Site {
    /// Starts the store and `servers`, each a service's name with what it holds.
    pub async fn start(servers: Vec<(&str, LoadedModels)>) -> Self {
        let ip = Cluster::pick_ip();
        let folder = std::env::temp_dir().join(format!("site-{}-{ip}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let store = StoreStandIn::start(SocketAddr::new(ip, STORE_PORT)).await;
        let mut site = Self {
            store,
            servers: Vec::new(),
            vms: Vec::new(),
            ip,
            is_fenced: false,
            retry_slack: 58,
            organisations: None,
            folder,
            version: 0,
        };
        for (service, holds) in servers {
            site.add_server(service, holds).await;
        }
        site
    }

    /// Starts one more backend server and enters it in the directory.
    pub async fn add_server(&mut self, service: &str, holds: LoadedModels) -> Rc<ServerStandIn> {
        let index = self.servers.len();
        let address = SocketAddr::new(self.ip, SERVER_PORT + index as u16);
        let server = ServerStandIn::start(address, &format!("i-{index}"), service, holds).await;
        self.put_entry(&server, "ready");
        self.servers.push(server.clone());
        server
    }

    /// Writes a server's entry.
    pub fn put_entry(&self, server: &ServerStandIn, state: &str) {
        let entry = server.entry(state);
        self.store.put("keyed.servers", &server.id, &entry);
    }

    /// Takes a server's entry away.
    pub fn remove(&self, server: &ServerStandIn) {
        self.store.drop_key("keyed.servers", &server.id);
    }

    /// Puts a configuration with these routes and services in force.
    pub fn configure(&mut self, routes: Value, services: Value) {
        self.version += 3;
        let mut config = json!({
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 1_048_576,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 15_000,
            },
        });
        if let Some(organisations) = &self.organisations {
            config["tenants"] = organisations.clone();
        }
        self.store.put("keyed.op", "config", &config);
    }

    /// Starts `count` more VMs; ready only once they know what they need.
    pub fn start_vms(&mut self, count: usize) {
        for _ in 0..count {
            let index = self.vms.len();
            let process = self.spawn_vm(index);
            self.vms.push(process);
        }
    }

    /// Starts a VM's process again after its end.
    pub fn restart_vm(&mut self, index: usize) {
        self.vms[index] = self.spawn_vm(index);
    }

    fn spawn_vm(&self, index: usize) -> Process {
        let port = VM_PORT + 10 * index as u16;
        let at = |offset: u16| SocketAddr::new(self.ip, port + offset);
        let settings = format!(
            r#"node_name = "vm-{index}"
role = "front"
ip = "{ip}"
zone = "a"
region = "r"
internal_ports = [{first}, {last}]
a_field_of_later = true
[listen]
front = "{front}"
ready_addr = "{ready}"
[limits]
memory_mb = 260
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = 6
budget_ratio = 0.2
budget_window_s = 10
budget_slack = {retry_slack}
quota_window_s = 8
quota_overage = 0.1
quota_slack = 0
fencing_required = {is_fenced}
lease_ms = 3000
ceiling_window_s = 5
[platform]
address = "{store}"
form = "log"
parts = 12
ttl_min_ms = 1000
"#,
            ip = self.ip,
            is_fenced = self.is_fenced,
            retry_slack = self.retry_slack,
            first = port + 2,
            last = port + 9,
            front = at(0),
            ready = at(1),
            store = SocketAddr::new(self.ip, STORE_PORT),
        );
        let path = self.folder.join(format!("vm-{index}.toml"));
        std::fs::write(&path, settings).expect("the folder takes files");
        let mut command = Command::new(product_binary());
        command.arg("front").env("RATTANJUNCTION_BOOT", &path);
        Process::start(command, &self.log_path(index))
    }

    fn log_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("vm-{index}.log"))
    }

    /// What a VM has logged so far, a JSON object a line.
    pub fn log(&self, index: usize) -> Vec<Value> {
        let text = std::fs::read_to_string(self.log_path(index)).unwrap_or_default();
        text.lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Where callers reach a VM.
    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip, VM_PORT + 10 * index as u16)
    }

    /// Where a VM tells of its readiness and its metrics.
    pub fn ready(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip, VM_PORT + 10 * index as u16 + 1)
    }

    /// Whether a VM says that it takes connections.
    pub async fn is_ready(&self, index: usize) -> bool {
        let request = CallerRequest::get("/-/readiness");
        Caller::default()
            .request(self.ready(index), &request)
            .await
            .status
            == Some(200)
    }

    /// A gauge or counter of a VM, by its name without the prefix of all.
    pub async fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let metrics = CallerRequest::get("/metrics");
        let answer = Caller::default().request(self.ready(index), &metrics).await;
        let prefix = format!("rattanjunction_{name} ");
        let mut lines = answer.body.lines();
        let value = lines.find_map(|line| line.strip_prefix(&prefix))?;
        value.trim().parse().ok()
    }

    /// Waits until all VMs are ready.
    pub async fn wait_ready(&self) {
        for index in 0..self.vms.len() {
            self.wait("the VM is ready", async || self.is_ready(index).await)
                .await;
        }
    }

    /// Waits for a condition.
    ///
    /// # Panics
    ///
    /// Panics when it does not come true.
    pub async fn wait(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let began = Instant::now();
        while !condition().await {
            if began.elapsed() > LIMIT {
                for index in 0..self.vms.len() {
                    for line in self.log(index) {
                        eprintln!("vm-{index} {line}");
                    }
                }
                panic!("{what}: not within {LIMIT:?}");
            }
            compio::time::sleep(POLL).await;
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.vms.clear();
        // A folder that stays behind harms nobody.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A route of the configuration.
pub fn route(prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": format!("r{}", prefix.replace('/', "-")),
        "hostname": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5_000,
        "target_latency_ms": 250,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "resumable": kind == "streaming",
    })
}

/// An organisation of the configuration, without a quota.
pub fn organisation(name: &str, keys: &[&str]) -> Value {
    json!({"name": name, "api_keys": keys, "priority": 1})
}

/// A plain service of the configuration.
pub fn plain(name: &str) -> Value {
    json!({"name": name, "health_path": "/health", "max_connections": 110})
}

/// A service with model runners that have room for two of its models.
pub fn runner_service(name: &str, models: &[(&str, u32)]) -> Value {
    let models: Vec<Value> = models
        .iter()
        .map(|(name, adapters)| {
            json!({
                "name": name,
                "weights_mb": 72_700.0,
                "load_time_s": 0.3,
                "warm_s": 0.1,
                "disk_s": 0.1,
                "adapters": adapters,
                "adapter_mb": 66.0,
            })
        })
        .collect();
    json!({
        "name": name,
        "health_path": "/health",
        "max_connections": 370,
        "engine": {
            "slots": 64,
            "kv_capacity": 158_674,
            "weights_mb": 200_000.0,
            "adapter_slots": 8,
            "loads_per_s": 1.6,
            "models": models,
        },
    })
}
