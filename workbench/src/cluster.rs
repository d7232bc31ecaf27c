//! A whole site of real processes on loopback: stand-ins and VMs.

use crate::http_json;
use crate::journal;
use crate::platform::PlatformState;
use crate::process::{Process, product_binary, workbench_binary};
use crate::sample_inventory::Shape;
use crate::status::{artifacts_of, copies, is_resident, live_vms, resident_copies};
use rattanjunction::Inventory;
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// The time between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);
/// The platform's port; all ports of a site lie below those that the system gives out.
pub const PLATFORM_PORT: u16 = 20_000;
/// The port of the first runner; the others follow.
pub const RUNNER_PORT: u16 = 20_100;
/// The first port of the plain service's servers.
pub const SERVER_PORT: u16 = 20_400;
/// The first port of the first VM: callers, operators, peers; the other VMs follow.
pub const VM_PORT: u16 = 20_500;
/// Ports from here on are free for proxies.
pub const PROXY_PORT: u16 = 21_000;

/// Runs a future to its end on a runtime of its own.
///
/// # Panics
///
/// Panics when no runtime can be made.
pub fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new()
        .expect("a runtime needs nothing special")
        .block_on(future)
}

/// How to start a site.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The inventory's size.
    pub shape: Shape,
    /// Our VMs.
    pub vms: usize,
    /// The platform at the start.
    pub platform: PlatformState,
    /// The time of one step of an engine.
    pub step_ms: f64,
    /// Time added to a step for each request in the batch.
    pub step_per_request_ms: f64,
    /// Requests in an engine's batch at most.
    pub max_batch: usize,
    /// Settings added to those of each VM.
    pub settings: Value,
    /// Whether all runners share one process, without journals' files.
    pub thin_runners: bool,
    /// What each runner holds from its start, as `artifact:mib`.
    pub holds: Vec<Vec<String>>,
    /// Settings of single VMs, by index.
    pub vm_settings: Vec<(usize, Value)>,
    /// Addresses that VMs use in place of the real ones, such as proxies.
    pub detours: Vec<(SocketAddr, SocketAddr)>,
}

impl Plan {
    /// A plan with a fast weight store, as most tests want.
    pub fn new(shape: Shape, vms: usize) -> Self {
        let platform = PlatformState {
            loads_per_s: 50.0,
            ..PlatformState::default()
        };
        Self {
            shape,
            vms,
            platform,
            step_ms: 5.0,
            step_per_request_ms: 0.2,
            max_batch: 32,
            settings: json!({"drain_grace_ms": 300}),
            thin_runners: false,
            holds: Vec::new(),
            vm_settings: Vec::new(),
            detours: Vec::new(),
        }
    }
}

/// A site of running processes.
#[derive(Debug)]
pub struct Cluster {
    /// The plan it was started by.
    pub plan: Plan,
    /// The inventory that was published first.
    pub inventory: Inventory,
    /// The engines, by index.
    pub runners: Vec<Process>,
    /// The plain service's servers, by index.
    pub servers: Vec<Process>,
    /// Our VMs, by index.
    pub vms: Vec<Process>,
    folder: PathBuf,
    ip: IpAddr,
    /// The platform.
    pub platform: Process,
}

impl Cluster {
    /// An address of loopback that no other site uses.
    pub fn pick_ip() -> IpAddr {
        let [a, b, c] = rand::random::<[u8; 3]>();
        IpAddr::V4(Ipv4Addr::new(127, a.max(1), b, c.clamp(1, 254)))
    }

    /// Starts every process and publishes the inventory.
    ///
    /// # Panics
    ///
    /// Panics when a process cannot be started.
    pub async fn start(plan: Plan) -> Self {
        Self::start_at(plan, Self::pick_ip()).await
    }

    /// Starts a site at an address picked before, for proxies that must know it.
    ///
    /// # Panics
    ///
    /// Panics when a process cannot be started.
    pub async fn start_at(plan: Plan, ip: IpAddr) -> Self {
        let folder =
            std::env::temp_dir().join(format!("rattanjunction-{}-{ip}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let platform = start_platform(&plan, ip, &folder);
        let mut cluster = Self {
            inventory: Inventory::default(),
            runners: Vec::new(),
            servers: Vec::new(),
            vms: Vec::new(),
            folder,
            ip,
            platform,
            plan,
        };
        cluster.wait_up(cluster.platform_address(), "/state").await;
        if cluster.plan.thin_runners {
            let process = cluster.spawn_thin_runners();
            cluster.runners.push(process);
        } else {
            for index in 0..cluster.plan.shape.runners {
                let process = cluster.spawn_runner(index);
                cluster.runners.push(process);
            }
        }
        for index in 0..cluster.plan.shape.servers {
            let process = cluster.spawn_server(index);
            cluster.servers.push(process);
        }
        cluster.set_list(&[]).await;
        for index in 0..cluster.plan.vms {
            let process = cluster.spawn_vm(index);
            cluster.vms.push(process);
        }
        for index in 0..cluster.plan.vms {
            cluster.wait_reading(index).await;
        }
        cluster.inventory = cluster.make_inventory();
        cluster
    }

    fn make_inventory(&self) -> Inventory {
        let runners: Vec<SocketAddr> = (0..self.plan.shape.runners)
            .map(|index| self.seen(self.runner_address(index)))
            .collect();
        let servers: Vec<SocketAddr> = (0..self.plan.shape.servers)
            .map(|index| self.seen(self.server_address(index)))
            .collect();
        self.plan.shape.inventory(&runners, &servers)
    }

    /// The address that VMs use for `real`.
    fn seen(&self, real: SocketAddr) -> SocketAddr {
        let detour = self.plan.detours.iter().find(|(from, _)| *from == real);
        detour.map_or(real, |(_, to)| *to)
    }

    /// Publishes the first inventory and waits until every model answers.
    pub async fn publish_and_settle(&self, limit: Duration) {
        // Before that it refuses publications, as it should.
        self.wait_for("the VM has read the log", limit, async || {
            let status = self.status(0).await;
            status.is_some_and(|status| status["log_silence_ms"].is_u64())
        })
        .await;
        let revision = self.publish(0, &self.inventory, None).await;
        assert!(
            revision.is_ok(),
            "the first inventory is accepted: {revision:?}"
        );
        self.wait_settled(limit).await;
    }

    /// Publishes through a VM; the revision, or the status and the error.
    ///
    /// # Errors
    ///
    /// Fails with the VM's answer, or with status 0 when there is none.
    pub async fn publish(
        &self,
        vm: usize,
        inventory: &Inventory,
        base: Option<u64>,
    ) -> Result<u64, (u16, Value)> {
        let body = json!({"base": base, "inventory": inventory});
        match http_json::post(self.operator_address(vm), "/publish", &body).await {
            Some((status, answer)) if status.is_success() => {
                Ok(answer["revision"].as_u64().unwrap_or(0))
            }
            Some((status, answer)) => Err((status.as_u16(), answer)),
            None => Err((0, Value::Null)),
        }
    }

    /// Waits until each model is resident somewhere with all its adapters.
    pub async fn wait_settled(&self, limit: Duration) {
        self.wait_for("every model is resident", limit, async || {
            let Some(status) = self.status(0).await else {
                return false;
            };
            let mut artifacts = self.inventory.models.iter().flat_map(artifacts_of);
            artifacts.all(|artifact| is_resident(&status, &artifact))
                && self.plan.vms == live_vms(&status)
        })
        .await;
    }

    /// Waits until each model and each adapter is resident on two runners, and no order is open.
    pub async fn wait_spread(&self, limit: Duration) {
        self.wait_for("every model has two copies", limit, async || {
            let Some(status) = self.status(0).await else {
                return false;
            };
            let mut artifacts = self.inventory.models.iter().flat_map(artifacts_of);
            artifacts.all(|artifact| resident_copies(&status, &artifact) >= 2)
                && copies(&status).all(|copy| copy["state"] == "resident")
        })
        .await;
    }

    /// Waits for a condition, at most `limit`.
    ///
    /// # Panics
    ///
    /// Panics when the condition does not come true in time.
    pub async fn wait_for(&self, what: &str, limit: Duration, condition: impl AsyncFn() -> bool) {
        let start = Instant::now();
        while !condition().await {
            assert!(
                start.elapsed() < limit,
                "{what}: not within {limit:?}; logs are in {}{}",
                self.folder.display(),
                self.describe_vms()
            );
            compio::time::sleep(POLL).await;
        }
    }

    /// One line for each VM with what its threads do.
    fn describe_vms(&self) -> String {
        let describe = |(index, vm): (usize, &Process)| {
            format!(
                "\nvm-{index} (process {}): {}",
                vm.id(),
                vm.describe_threads()
            )
        };
        self.vms.iter().enumerate().map(describe).collect()
    }

    async fn wait_up(&self, address: SocketAddr, path: &str) {
        self.wait_for(
            &format!("{address} answers"),
            Duration::from_secs(20),
            async || http_json::get(address, path).await.is_some(),
        )
        .await;
    }

    /// Waits until a VM has read the log once: before that it takes no publication.
    async fn wait_reading(&self, vm: usize) {
        self.wait_for(
            &format!("vm-{vm} reads the log"),
            Duration::from_secs(20),
            async || {
                let status = self.status(vm).await;
                status.is_some_and(|status| status["log_silence_ms"].is_u64())
            },
        )
        .await;
    }

    /// A VM's status.
    pub async fn status(&self, vm: usize) -> Option<Value> {
        http_json::get(self.operator_address(vm), "/status").await
    }

    /// Changes fields of the platform's state.
    pub async fn set_platform(&self, change: Value) {
        http_json::post(self.platform_address(), "/state", &change)
            .await
            .expect("the platform answers");
    }

    /// The platform's journal.
    pub async fn platform_journal(&self) -> Vec<Value> {
        let journal = http_json::get(self.platform_address(), "/journal").await;
        journal
            .and_then(|journal| journal.as_array().cloned())
            .unwrap_or_default()
    }

    /// A runner's journal, over all its runs.
    pub fn runner_journal(&self, index: usize) -> Vec<Value> {
        journal::read(&self.journal_path("runner", index))
    }

    /// A server's journal, over all its runs.
    pub fn server_journal(&self, index: usize) -> Vec<Value> {
        journal::read(&self.journal_path("server", index))
    }

    /// A VM's log.
    pub fn vm_log(&self, index: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("vm-{index}.log"))).unwrap_or_default()
    }

    fn journal_path(&self, kind: &str, index: usize) -> PathBuf {
        self.folder.join(format!("{kind}-{index}.journal"))
    }

    /// Lists VMs and backend servers, with some of them as leaving.
    pub async fn set_list(&self, leaving: &[String]) {
        http_json::post(self.platform_address(), "/vms", &self.list(leaving))
            .await
            .expect("the platform answers");
    }

    /// The VM list with some VMs and backend servers as leaving.
    pub fn list(&self, leaving: &[String]) -> Value {
        let shape = &self.plan.shape;
        let entry = |kind: &str, index: usize| {
            let name = format!("{kind}-{index}");
            let leaving = leaving.contains(&name);
            json!({"name": name, "availability_zone": shape.zone(index), "leaving": leaving})
        };
        let mut list = Vec::new();
        for index in 0..self.plan.vms {
            let mut vm = entry("vm", index);
            vm["peer_address"] = json!(self.seen(self.peer_address(index)));
            list.push(vm);
        }
        list.extend((0..shape.runners).map(|index| entry("runner", index)));
        list.extend((0..shape.servers).map(|index| entry("server", index)));
        json!(list)
    }

    /// Starts a runner's process, again after it was killed.
    pub fn restart_runner(&mut self, index: usize) {
        self.runners[index].kill();
        self.runners[index] = self.spawn_runner(index);
    }

    /// Starts a plain service's server, again after it was killed.
    pub fn restart_server(&mut self, index: usize) {
        self.servers[index].kill();
        self.servers[index] = self.spawn_server(index);
    }

    /// Starts a VM's process, again after it was killed.
    pub fn restart_vm(&mut self, index: usize) {
        self.vms[index].kill();
        self.vms[index] = self.spawn_vm(index);
    }

    fn spawn_runner(&self, index: usize) -> Process {
        let mut command = self.engine_command("engine", index);
        command
            .arg("--journal")
            .arg(self.journal_path("runner", index));
        for held in self.plan.holds.get(index).into_iter().flatten() {
            command.arg("--hold").arg(held);
        }
        Process::start(command, &self.folder.join(format!("runner-{index}.log")))
    }

    fn spawn_thin_runners(&self) -> Process {
        let mut command = self.engine_command("engines", 0);
        command.args(["--count", &self.plan.shape.runners.to_string()]);
        Process::start(command, &self.folder.join("runners.log"))
    }

    fn engine_command(&self, subcommand: &str, index: usize) -> Command {
        let plan = &self.plan;
        let memory_mib = plan.shape.memory_mib - plan.shape.kv_mib;
        let mut command = Command::new(workbench_binary());
        command
            .arg(subcommand)
            .args(["--address", &self.runner_address(index).to_string()])
            .args(["--memory-mib", &memory_mib.to_string()])
            .args(["--max-batch", &plan.max_batch.to_string()])
            .args(["--step-ms", &plan.step_ms.to_string()])
            .args([
                "--step-per-request-ms",
                &plan.step_per_request_ms.to_string(),
            ])
            .args(["--prefill-ms", "5"])
            .args(["--store", &self.platform_address().to_string()]);
        if plan.shape.checks_fencing {
            command.arg("--checks-fencing");
        }
        command
    }

    fn spawn_server(&self, index: usize) -> Process {
        let mut command = Command::new(workbench_binary());
        command
            .arg("service")
            .args(["--address", &self.server_address(index).to_string()])
            .args(["--name", &format!("server-{index}")])
            .arg("--journal")
            .arg(self.journal_path("server", index));
        Process::start(command, &self.folder.join(format!("server-{index}.log")))
    }

    fn spawn_vm(&self, index: usize) -> Process {
        let mut settings = json!({
            "vm": format!("vm-{index}"),
            "availability_zone": self.plan.shape.zone(index),
            "caller_address": self.caller_address(index),
            "operator_address": self.operator_address(index),
            "peer_address": self.peer_address(index),
            "log_address": self.seen(self.platform_address()),
            "vm_list_address": self.seen(self.platform_address()),
            "log_retention_ms": self.plan.platform.retention_ms,
        });
        let own = self.plan.vm_settings.iter().filter(|(vm, _)| *vm == index);
        for more in std::iter::once(&self.plan.settings).chain(own.map(|(_, settings)| settings)) {
            for (field, value) in more.as_object().into_iter().flatten() {
                settings[field] = value.clone();
            }
        }
        let path = self.folder.join(format!("vm-{index}.json"));
        std::fs::write(&path, settings.to_string()).expect("the folder takes files");
        let mut command = Command::new(product_binary());
        command.arg("serve").arg("--config").arg(path);
        Process::start(command, &self.folder.join(format!("vm-{index}.log")))
    }

    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// The platform's address.
    pub fn platform_address(&self) -> SocketAddr {
        platform_at(self.ip)
    }

    /// A runner's own address.
    pub fn runner_address(&self, index: usize) -> SocketAddr {
        runner_at(self.ip, index)
    }

    /// A server's own address.
    pub fn server_address(&self, index: usize) -> SocketAddr {
        server_at(self.ip, index)
    }

    /// Where a VM serves callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.address(VM_PORT + 3 * index as u16)
    }

    /// Where a VM serves operators.
    pub fn operator_address(&self, index: usize) -> SocketAddr {
        self.address(VM_PORT + 3 * index as u16 + 1)
    }

    /// Where a VM takes heartbeats.
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.address(VM_PORT + 3 * index as u16 + 2)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // What is left behind is only logs.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The platform's address at a site that is not started yet.
pub fn platform_at(ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, PLATFORM_PORT)
}

/// A runner's address at a site that is not started yet.
pub fn runner_at(ip: IpAddr, index: usize) -> SocketAddr {
    SocketAddr::new(ip, RUNNER_PORT + index as u16)
}

/// A server's address at a site that is not started yet.
pub fn server_at(ip: IpAddr, index: usize) -> SocketAddr {
    SocketAddr::new(ip, SERVER_PORT + index as u16)
}

fn start_platform(plan: &Plan, ip: IpAddr, folder: &Path) -> Process {
    let mut command = Command::new(workbench_binary());
    let state = serde_json::to_string(&plan.platform).expect("the state serializes");
    command
        .arg("platform")
        .args(["--address", &SocketAddr::new(ip, PLATFORM_PORT).to_string()])
        .args(["--state", &state]);
    Process::start(command, &folder.join("platform.log"))
}
