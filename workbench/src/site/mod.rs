//! A small platform for tests: stand-ins for its store and backend servers, with settings files
//! and real processes of the shipped binary as VMs.

mod black_hole;
mod caller;
mod config_history;
pub mod config_soak;
pub mod crash_soak;
pub mod crashing_parts;
pub mod crowd_requests;
pub mod crowd_soak;
pub mod cut_soak;
pub mod delivery_soak;
pub mod events;
pub mod histories;
mod load;
mod quota;
mod server;
pub mod silence_soak;
pub mod soak;
pub mod start;
mod store;
pub mod version_soak;
mod vm_network;

pub use black_hole::BlackHole;
pub use caller::{Answer, Caller, CallerRequest};
pub use load::send_steadily;
pub use quota::CpuQuota;
pub use server::{
    Arrival, LoadedModels, ReceivedRequest, ScriptStep, ServerEvent, ServerStandIn, signed_answer,
};
pub use store::{StoreCopy, StoreFaults, StoreStandIn, TopicFault};
pub use vm_network::{Node, VmNetwork};

use crate::cluster::Cluster;
use crate::process::{Process, product_binary};
use crate::proxy::Proxy;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The port of the store.
const STORE_PORT: u16 = 22_000;
/// The port of the store for VMs with paths of their own to the servers.
const PATHS_STORE_PORT: u16 = STORE_PORT + 1;
/// The first port of the VMs' own paths to the store.
const STORE_PATH_PORT: u16 = STORE_PORT + 10;
/// The first port of the backend servers.
const SERVER_PORT: u16 = 22_100;
/// How far the ports of the paths to the servers lie above those of the servers.
const PATH_PORT_OFFSET: u16 = 100;
/// The first port of the VMs; each VM uses a range of ten.
const VM_PORT: u16 = 22_300;
/// The offset of the port for messages between VMs in that range.
const PEER_PORT: u16 = 2;
/// How long [`Site::wait`] waits for a condition before the test fails.
const LIMIT: Duration = Duration::from_secs(30);
/// The interval between two checks of a condition.
const POLL: Duration = Duration::from_millis(20);
/// The availability zones of VMs.
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// The hostname of all routes.
pub const HOST: &str = "desk.example";

/// A running platform with its store, backend servers and VMs.
#[derive(Debug)]
pub struct Site {
    /// The stand-in for the platform's store.
    pub store: Rc<StoreStandIn>,
    /// The stand-ins for the backend servers.
    pub servers: Vec<Rc<ServerStandIn>>,
    /// The processes of the VMs.
    pub vms: Vec<Process>,
    /// The IP address that the store, the servers and the VMs listen on.
    pub ip: IpAddr,
    /// Whether the settings of the VMs say that servers check the fence of each order.
    pub is_fenced: bool,
    /// The number of retries allowed to all VMs together beyond a fraction of the requests.
    pub retry_slack: u32,
    /// The organisations of the next configuration; with `None`, requests need no key.
    pub organisations: Option<Value>,
    /// The VMs that reach the servers by paths of their own, which a test can cut. They are in a zone
    /// of their own, since VMs of a zone send each other the directory.
    pub vms_with_paths: BTreeSet<usize>,
    /// The VMs that reach the store by paths of their own, which a test has to start.
    pub vms_with_store_paths: BTreeSet<usize>,
    /// How long callers' connections may be idle by the next configuration, in milliseconds.
    pub idle_timeout_ms: u64,
    /// The largest request head by the next configuration.
    pub max_header_bytes: usize,
    /// The largest request body by the next configuration.
    pub max_body_bytes: usize,
    /// The number of file descriptors that the settings of the VMs allow.
    pub max_fds: usize,
    /// The memory that the settings of the VMs allow, in megabytes.
    pub memory_mb: u64,
    /// How long a connection that waits for its caller is kept while others need its place.
    pub client_min_wait_ms: u64,
    /// The number of availability zones over which the VMs are spread in turn.
    pub zones: usize,
    /// The network between the VMs, if a test cuts paths in it.
    network: Option<Rc<VmNetwork>>,
    folder: PathBuf,
    version: u64,
}

impl Site {
    /// Starts the store and `servers`, each given as its service's name and its loaded models.
    pub async fn start(servers: Vec<(&str, LoadedModels)>) -> Self {
        let ip = Cluster::pick_ip();
        let folder = std::env::temp_dir().join(format!("site-{}-{ip}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let store = StoreStandIn::start(SocketAddr::new(ip, STORE_PORT)).await;
        let paths_address = SocketAddr::new(ip, PATHS_STORE_PORT);
        store.serve_paths(paths_address, PATH_PORT_OFFSET).await;
        let mut site = Self {
            store,
            servers: Vec::new(),
            vms: Vec::new(),
            ip,
            is_fenced: false,
            retry_slack: 58,
            organisations: None,
            vms_with_paths: BTreeSet::new(),
            vms_with_store_paths: BTreeSet::new(),
            idle_timeout_ms: 15_000,
            max_header_bytes: 16_384,
            max_body_bytes: 1_048_576,
            max_fds: 4_096,
            memory_mb: 260,
            client_min_wait_ms: 1_000,
            zones: 1,
            network: None,
            folder,
            version: 0,
        };
        for (service, holds) in servers {
            site.add_server(service, holds).await;
        }
        site
    }

    /// Starts a site of plain servers of the service `books` behind one route for all paths, and
    /// waits until its VMs are ready.
    pub async fn start_plain(servers: usize, vms: usize) -> Self {
        let mut site = Self::start(vec![("books", vec![]); servers]).await;
        site.configure(
            json!([route("/", "safe", "books")]),
            json!([plain("books")]),
        );
        site.start_vms(vms);
        site.wait_ready().await;
        site
    }

    /// Starts one more backend server and adds it to the directory.
    pub async fn add_server(&mut self, service: &str, holds: LoadedModels) -> Rc<ServerStandIn> {
        self.add_server_of_version(service, holds, "v1").await
    }

    /// Starts one more backend server of a software version and adds it to the directory.
    pub async fn add_server_of_version(
        &mut self,
        service: &str,
        holds: LoadedModels,
        version: &str,
    ) -> Rc<ServerStandIn> {
        let index = self.servers.len();
        let address = SocketAddr::new(self.ip, SERVER_PORT + index as u16);
        let server = ServerStandIn::start(address, &format!("i-{index}"), service, holds).await;
        server.set_software(version);
        self.put_entry(&server, "ready");
        self.servers.push(server.clone());
        server
    }

    /// The address of the path to a server, for VMs with paths of their own.
    pub fn path_address(&self, server: usize) -> SocketAddr {
        SocketAddr::new(self.ip, SERVER_PORT + server as u16 + PATH_PORT_OFFSET)
    }

    /// The address of the path to the store of a VM with a path of its own.
    pub fn store_path_address(&self, vm: usize) -> SocketAddr {
        SocketAddr::new(self.ip, STORE_PATH_PORT + vm as u16)
    }

    /// Starts the path to the store of a VM with a path of its own.
    async fn start_store_path(&self, vm: usize) -> Rc<Proxy> {
        let store = SocketAddr::new(self.ip, STORE_PORT);
        Proxy::start(self.store_path_address(vm), store).await
    }

    /// Starts the paths to the store of `vms`, which have to be started after this.
    pub async fn start_store_paths(&mut self, vms: Range<usize>) -> Vec<Rc<Proxy>> {
        let mut paths = Vec::new();
        for vm in vms.clone() {
            paths.push(self.start_store_path(vm).await);
        }
        self.vms_with_store_paths.extend(vms);
        paths
    }

    /// Starts `count` VMs whose paths to each other and to the store can be cut.
    pub async fn start_vms_in_network(&mut self, count: usize) -> Rc<VmNetwork> {
        let network = VmNetwork::new();
        self.network = Some(network.clone());
        let store = SocketAddr::new(self.ip, STORE_PORT);
        for vm in 0..count {
            network
                .add_vm(vm, self.vm_address(vm, PEER_PORT).port())
                .await;
            let path = self.store_path_address(vm);
            network.add_store_path(vm, path, store).await;
            self.vms_with_store_paths.insert(vm);
        }
        self.start_vms(count);
        network
    }

    /// The address of a VM at the port with an offset in its range.
    fn vm_address(&self, vm: usize, offset: u16) -> SocketAddr {
        let ip = self.network.as_ref().map_or(self.ip, |it| it.ip(vm));
        SocketAddr::new(ip, VM_PORT + 10 * vm as u16 + offset)
    }

    /// Writes the directory entry of a server with the given state.
    pub fn put_entry(&self, server: &ServerStandIn, state: &str) {
        let entry = server.entry(state);
        self.store.put("keyed.servers", &server.id, &entry);
    }

    /// Removes the directory entry of a server.
    pub fn remove(&self, server: &ServerStandIn) {
        self.store.drop_key("keyed.servers", &server.id);
    }

    /// Writes a new version of the configuration with these routes and services.
    pub fn configure(&mut self, routes: Value, services: Value) {
        self.version += 3;
        let mut config = json!({
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": self.max_header_bytes,
                "max_body_bytes": self.max_body_bytes,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": self.idle_timeout_ms,
            },
        });
        if let Some(organisations) = &self.organisations {
            config["tenants"] = organisations.clone();
        }
        self.store.put("keyed.op", "config", &config);
    }

    /// Starts `count` more VMs without waiting until they are ready.
    pub fn start_vms(&mut self, count: usize) {
        for _ in 0..count {
            let index = self.vms.len();
            let process = self.spawn_vm(index);
            self.vms.push(process);
        }
    }

    /// Starts the process of a VM again after it ended.
    pub fn restart_vm(&mut self, index: usize) {
        self.vms[index] = self.spawn_vm(index);
    }

    /// Continues the VMs that are stopped, and restarts those that are ending, until a time that has
    /// passed.
    pub(crate) fn resume_due(
        &mut self,
        thaws: &mut Vec<(usize, Instant)>,
        restarts: &mut Vec<(usize, Instant)>,
        now: Instant,
    ) {
        for (vm, _) in thaws.extract_if(.., |(_, until)| now >= *until) {
            self.vms[vm].signal(Signal::SIGCONT);
        }
        for (vm, _) in restarts.extract_if(.., |(_, until)| now >= *until) {
            self.vms[vm].kill();
            self.restart_vm(vm);
        }
    }

    fn spawn_vm(&self, index: usize) -> Process {
        let at = |offset: u16| self.vm_address(index, offset);
        let (zone, store) = match self.vms_with_paths.contains(&index) {
            true => ("b", SocketAddr::new(self.ip, PATHS_STORE_PORT)),
            false if self.vms_with_store_paths.contains(&index) => {
                (ZONES[index % self.zones], self.store_path_address(index))
            }
            false => (
                ZONES[index % self.zones],
                SocketAddr::new(self.ip, STORE_PORT),
            ),
        };
        let settings = format!(
            r#"node_name = "vm-{index}"
role = "front"
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [{first}, {last}]
heartbeat_ms = 1200
a_field_of_later = true
[listen]
front = "{front}"
ready_addr = "{ready}"
[limits]
memory_mb = {memory_mb}
client_min_wait_ms = {client_min_wait_ms}
max_fds = {max_fds}
[bounds]
stable_window_ms = 3000
drain_ms = 2000
config_apply_ms = 2000
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
            ip = at(0).ip(),
            is_fenced = self.is_fenced,
            retry_slack = self.retry_slack,
            max_fds = self.max_fds,
            memory_mb = self.memory_mb,
            client_min_wait_ms = self.client_min_wait_ms,
            first = at(PEER_PORT).port(),
            last = at(9).port(),
            front = at(0),
            ready = at(1),
        );
        let path = self.folder.join(format!("vm-{index}.toml"));
        std::fs::write(&path, settings).expect("the folder takes files");
        let mut command = Command::new(product_binary());
        command.arg("front").env("RATTANJUNCTION_BOOT", &path);
        Process::start(command, &self.log_path(index))
    }

    /// The file that a VM logs to.
    pub fn log_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("vm-{index}.log"))
    }

    /// Empties the log file of a VM that has ended.
    pub fn clear_log(&self, index: usize) {
        std::fs::write(self.log_path(index), "").expect("the folder takes files");
    }

    /// The log of a VM so far, one JSON object per line.
    pub fn log(&self, index: usize) -> Vec<Value> {
        let text = std::fs::read_to_string(self.log_path(index)).unwrap_or_default();
        text.lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// The address at which a VM accepts callers.
    pub fn front(&self, index: usize) -> SocketAddr {
        self.vm_address(index, 0)
    }

    /// The address at which a VM serves its readiness and its metrics.
    pub fn ready(&self, index: usize) -> SocketAddr {
        self.vm_address(index, 1)
    }

    /// Whether a VM reports that it is ready.
    pub async fn is_ready(&self, index: usize) -> bool {
        let request = CallerRequest::get("/-/readiness");
        Caller::default()
            .request(self.ready(index), &request)
            .await
            .status
            == Some(200)
    }

    /// The value of a gauge or counter of a VM, by its name without the prefix `rattanjunction_`.
    pub async fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let metrics = CallerRequest::get("/metrics");
        let answer = Caller::default().request(self.ready(index), &metrics).await;
        let prefix = format!("rattanjunction_{name} ");
        let mut lines = answer.body.lines();
        let value = lines.find_map(|line| line.strip_prefix(&prefix))?;
        value.trim().parse().ok()
    }

    /// The version of the configuration that a VM has in force.
    ///
    /// # Panics
    ///
    /// Panics when the VM does not answer or has no configuration.
    pub async fn configuration_version(&self, index: usize) -> f64 {
        let version = self.metric(index, "configuration_version").await;
        version.expect("a configuration is in force")
    }

    /// Waits until all VMs are ready.
    pub async fn wait_ready(&self) {
        for index in 0..self.vms.len() {
            self.wait("the VM is ready", async || self.is_ready(index).await)
                .await;
        }
    }

    /// Waits until a condition holds; `what` describes it in the message of a failure.
    ///
    /// # Panics
    ///
    /// Panics when the condition does not hold within the time limit, after printing all logs.
    pub async fn wait(&self, what: &str, condition: impl AsyncFn() -> bool) {
        let began = Instant::now();
        while !condition().await {
            if began.elapsed() > LIMIT {
                for index in 0..self.vms.len() {
                    for line in self.log(index) {
                        eprintln!("vm-{index} {line}");
                    }
                }
                panic!("condition not met within {LIMIT:?}: {what}");
            }
            compio::time::sleep(POLL).await;
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.vms.clear();
        // Failing to remove the temporary folder does not affect other tests.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A route of the configuration, of a kind such as `safe`, `unsafe` or `streaming`.
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

/// A service of model runners, each with memory for two of the given models. Each model comes
/// with the number of its adapters.
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
