//! The process of one VM: creates its services, runs them, and shuts them down.

use crate::accept_queue::Overload;
use crate::client_memory::ClientMemory;
use crate::config::Config;
use crate::control::Control;
use crate::demand::Demand;
use crate::entry::Entry;
use crate::error::{Failure, Fault, Kind};
use crate::events::{Event, emit};
use crate::external::{HttpLog, HttpVmList};
use crate::fleet::Fleet;
use crate::http::{self, AcceptLimits, Body};
use crate::idempotency::{IdempotencyKeys, KeyWindow};
use crate::inventory::Name;
use crate::membership::Membership;
use crate::metrics::Metrics;
use crate::operator::Operator;
use crate::peer::{HEARTBEAT_INTERVAL, PeerConnections, PeerLimits, PeerService};
use crate::plain_service::PlainServiceClient;
use crate::planner::Planner;
use crate::process_signals::ProcessSignals;
use crate::quarantine::Quarantine;
use crate::router::Router;
use crate::service_registry::{Service, ServiceRegistry};
use crate::shutdown::Shutdown;
use crate::snapshot_writer::SnapshotWriter;
use crate::stream::{FoldedState, Stream};
use crate::wire::{Heartbeat, ModelDemand};
use compio::net::TcpListener;
use error_stack::{Report, ResultExt};
use hyper::Response;
use hyper::http::request;
use nix::sys::signal::Signal;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The control stream of one VM.
pub(crate) type ControlStream = Stream<Control, HttpLog>;
/// The stream of idempotency keys of one VM.
pub(crate) type KeyStream = Stream<IdempotencyKeys, HttpLog>;

impl Service for ControlStream {
    const NAME: &'static str = "control";
}

impl Service for KeyStream {
    const NAME: &'static str = "keys";
}

impl Service for Shutdown {
    const NAME: &'static str = "shutdown";
}

impl Service for ClientMemory {
    const NAME: &'static str = "client_memory";
}

/// The interval after which the demand is included in heartbeats again.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);

/// The signals that start a graceful shutdown.
const STOP_SIGNALS: [Signal; 2] = [Signal::SIGTERM, Signal::SIGINT];

/// The interval at which this VM's share of the append budget is recomputed.
const PACE_INTERVAL: Duration = Duration::from_millis(500);

/// The state that this VM exchanges with its peers.
struct VmPeerService {
    config: Config,
    boot: u64,
    control: Rc<ControlStream>,
    fleet: Rc<Fleet>,
    demand: Rc<Demand>,
    membership: Rc<Membership>,
    shutdown: Rc<Shutdown>,
    demand_sent_at: Cell<Instant>,
}

impl VmPeerService {
    /// Returns the demand by model for all heartbeats within one heartbeat interval, so that it
    /// reaches every peer; then returns nothing until `DEMAND_INTERVAL` has passed.
    fn demands(&self) -> Vec<ModelDemand> {
        let age = self.demand_sent_at.get().elapsed();
        if age < DEMAND_INTERVAL {
            return Vec::new();
        }
        if age > DEMAND_INTERVAL + HEARTBEAT_INTERVAL {
            self.demand_sent_at.set(Instant::now());
        }
        self.control
            .with(|control| self.demand.to_wire(&control.inventory))
    }
}

impl PeerService for VmPeerService {
    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            vm: self.config.vm.to_string(),
            boot: self.boot,
            availability_zone: self.config.availability_zone.to_string(),
            leaving: self.shutdown.is_leaving(),
            revision: self.control.with(|control| control.revision),
            control_offset: self.control.next_offset(),
            loads: self.fleet.loads(),
            demands: self.demands(),
            leaving_servers: self.membership.listed_leaving_servers(),
            list_age_ms: self.membership.list_age().map(|age| age.as_millis() as u64),
            peer_address: self.config.peer_address.to_string(),
        }
    }

    fn on_heartbeat(&self, heartbeat: &Heartbeat) {
        self.control.note_peer_offset(heartbeat.control_offset);
    }

    fn folded_state(&self, after_offset: u64) -> Option<FoldedState> {
        let is_usable =
            self.control.has_usable_state() && self.control.next_offset() > after_offset;
        is_usable.then(|| self.control.state())
    }

    fn wanted_state_offset(&self) -> Option<u64> {
        let is_cut_off = self.control.is_cut_off();
        is_cut_off.then(|| self.control.next_offset())
    }

    fn apply_state(&self, state: &FoldedState) {
        if self.control.restore_state(state) {
            emit(
                Event::StateTaken,
                format_args!("stream=control offset={}", state.read_to),
            );
        }
    }
}

/// Serves until SIGTERM or SIGINT, then drains.
///
/// # Errors
///
/// Fails if signals cannot be taken over or an address cannot be bound.
pub async fn serve(config: Config) -> Result<(), Report<Fault>> {
    let mut signals = ProcessSignals::take_over(STOP_SIGNALS).change_context(Fault::Signals)?;
    let callers = bind(config.caller_address).await?;
    let operators = bind(config.operator_address).await?;
    let peers = http::listen(config.peer_address)
        .await
        .change_context(Fault::Bind)
        .attach_with(|| config.peer_address.to_string())?;
    let boot: u64 = rand::random();
    let registry = assemble(&config, boot);
    start_peers(&registry, &config, boot, peers);
    start_fleet_updates(&registry);
    start_append_pacing(&registry, config.key_appends_per_s);
    let snapshot_writer = SnapshotWriter::new(&registry, config.log_retention_ms);
    compio::runtime::spawn(snapshot_writer.run()).detach();
    compio::runtime::spawn(registry.find::<Planner>().run()).detach();
    compio::runtime::spawn(registry.find::<Router>().run_batch_yields()).detach();

    let shutdown: Rc<Shutdown> = registry.find();
    let operator_shutdown = Rc::new(Shutdown::default());
    let operator: Rc<Operator> = registry.find();
    let entry: Rc<Entry> = registry.find();
    let memory: Rc<ClientMemory> = registry.find();
    let sockets = config.sockets();
    let limits = AcceptLimits::bounded(sockets.max_operators(), &memory);
    let handler = move |request| operator.clone().handle(request);
    let shutdown_of_operators = operator_shutdown.clone();
    compio::runtime::spawn(http::serve_bounded(
        limits,
        operators,
        shutdown_of_operators,
        handler,
    ))
    .detach();
    let limits = AcceptLimits {
        max_refusals: sockets.max_refusals(),
        ..AcceptLimits::bounded(sockets.max_clients, &memory)
    };
    let handler = move |request| entry.clone().handle(request);
    let serving = http::serve_within(limits, callers, shutdown.clone(), handler, refuse_unserved);
    compio::runtime::spawn(serving).detach();
    emit(
        Event::Started,
        format_args!(
            "vm={} callers={} operators={} peers={}",
            config.vm, config.caller_address, config.operator_address, config.peer_address
        ),
    );
    signals.next().await;
    drain(&config, &shutdown).await;
    Ok(())
}

/// Refuses a request on a connection that is not served.
fn refuse_unserved(_head: &request::Parts, _overload: Overload) -> Response<Body> {
    let message = "this VM has no place for another connection now";
    Failure::new(Kind::Overloaded, message).to_response()
}

/// Creates and registers every service, each after those that it depends on.
fn assemble(config: &Config, boot: u64) -> ServiceRegistry {
    let registry = ServiceRegistry::default();
    let writer: Name = format!("{}/{boot:016x}", config.vm).into();
    registry.register(Rc::new(Shutdown::default()));
    let metrics = registry.register(Rc::new(Metrics::new()));
    registry.register(Rc::new(ClientMemory::counted(
        config.client_memory_bytes(),
        Duration::from_millis(config.client_min_wait_ms),
        metrics.evicted_connections.clone(),
    )));
    let log = Rc::new(HttpLog::new(
        config.log_address,
        metrics.control_traffic_counter("log"),
    ));
    let control: Rc<ControlStream> =
        registry.register(Stream::open("control", log.clone(), writer.clone()));
    let keys: Rc<KeyStream> = registry.register(Stream::open("keys", log, writer.clone()));
    let membership = registry.register(Rc::new(Membership::new(config.vm.clone())));
    let fleet = registry.register(Rc::new(Fleet::new(
        metrics.control_traffic_counter("reports"),
    )));
    let demand = registry.register(Rc::new(Demand::new(membership.clone())));
    registry.register(Rc::new(Quarantine::new(control.clone())));
    registry.register(Rc::new(Router::new(
        control.clone(),
        fleet,
        membership.clone(),
        demand,
    )));
    registry.register(Rc::new(PlainServiceClient::new(
        control,
        keys,
        membership,
        registry.find(),
        KeyWindow::for_retention(config.log_retention_ms),
    )));
    registry.register(Rc::new(Planner::new(&registry, config.vm.clone(), writer)));
    registry.register(Rc::new(Entry::new(&registry, config)));
    let zone = config.availability_zone.clone();
    registry.register(Rc::new(Operator::new(&registry, config.vm.clone(), zone)));
    registry
}

/// Starts the tasks that exchange heartbeats, detect pauses and poll the VM list.
fn start_peers(registry: &ServiceRegistry, config: &Config, boot: u64, listener: TcpListener) {
    let membership: Rc<Membership> = registry.find();
    let shutdown: Rc<Shutdown> = registry.find();
    let service = Rc::new(VmPeerService {
        config: config.clone(),
        boot,
        control: registry.find(),
        fleet: registry.find(),
        demand: registry.find(),
        membership: membership.clone(),
        shutdown: shutdown.clone(),
        demand_sent_at: Cell::new(Instant::now()),
    });
    let limits = PeerLimits {
        memory: registry.find::<ClientMemory>().as_ref().clone(),
        max_unknown: config.sockets().max_transfers(),
    };
    let metrics = registry.find::<Metrics>();
    let peer_connections = PeerConnections::new(service, membership.clone(), &metrics, limits);
    compio::runtime::spawn(peer_connections.clone().accept(listener, shutdown)).detach();
    compio::runtime::spawn(peer_connections.clone().catch_up()).detach();
    compio::runtime::spawn(membership.clone().watch_pauses(registry.find())).detach();
    let list = HttpVmList::new(config.vm_list_address);
    let on_new_peer =
        move |peer| compio::runtime::spawn(peer_connections.clone().send_heartbeats(peer)).detach();
    compio::runtime::spawn(membership.poll_list(list, on_new_peer)).detach();
}

/// Starts the task that adjusts this VM's share of the append budget to the number of live VMs.
fn start_append_pacing(registry: &ServiceRegistry, appends_per_s: u32) {
    let keys: Rc<KeyStream> = registry.find();
    let membership: Rc<Membership> = registry.find();
    compio::runtime::spawn(async move {
        loop {
            keys.append_pacer()
                .set_share(appends_per_s, 1 + membership.live_peer_count());
            compio::time::sleep(PACE_INTERVAL).await;
        }
    })
    .detach();
}

/// Starts the task that updates the fleet to the runners of each new inventory revision.
fn start_fleet_updates(registry: &ServiceRegistry) {
    let control: Rc<ControlStream> = registry.find();
    let fleet: Rc<Fleet> = registry.find();
    compio::runtime::spawn(async move {
        let mut revision = 0;
        loop {
            let changed = control.changed();
            let (current, inventory) =
                control.with(|control| (control.revision, control.inventory.clone()));
            if current != revision {
                revision = current;
                fleet.update_runners(inventory.runners());
                emit(
                    Event::RevisionInForce,
                    format_args!("revision={revision} models={}", inventory.models.len()),
                );
            }
            changed.await;
        }
    })
    .detach();
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<Fault>> {
    http::listen_for_clients(address)
        .await
        .change_context(Fault::Bind)
        .attach_with(|| format!("{address}"))
}

/// Fails health checks for the grace period, then closes listeners and waits for open work.
async fn drain(config: &Config, shutdown: &Rc<Shutdown>) {
    shutdown.leave();
    emit(Event::Leaving, format_args!("open={}", shutdown.open()));
    compio::time::sleep(Duration::from_millis(config.drain_grace_ms)).await;
    shutdown.close();
    let limit = Duration::from_millis(config.drain_limit_ms);
    let drained = shutdown.drained(limit).await;
    emit(
        Event::Stopped,
        format_args!("drained={drained} open={}", shutdown.open()),
    );
}
