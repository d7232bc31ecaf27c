//! One VM's process: its services put together, from start to shutdown.

use crate::config::Config;
use crate::control::Control;
use crate::demand::Demand;
use crate::entry::Entry;
use crate::error::Fault;
use crate::events::{Event, emit};
use crate::external::{HttpLog, HttpVmList};
use crate::fleet::Fleet;
use crate::http;
use crate::idempotency::{KeyWindow, Keys};
use crate::inventory::Name;
use crate::membership::Membership;
use crate::metrics::Metrics;
use crate::operator::Operator;
use crate::peer::{HEARTBEAT_INTERVAL, Links, PeerService};
use crate::plain_service::PlainCalls;
use crate::planner::Planner;
use crate::quarantine::Quarantine;
use crate::router::Router;
use crate::service_registry::{Kernel, Service};
use crate::shutdown::Shutdown;
use crate::snapshot_writer::SnapshotWriter;
use crate::stream::{FoldedState, Stream};
use crate::wire::{Heartbeat, ModelDemand};
use compio::net::TcpListener;
use error_stack::{Report, ResultExt};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The control stream of one VM.
pub(crate) type ControlStream = Stream<Control, HttpLog>;
/// The stream of idempotency keys of one VM.
pub(crate) type KeyStream = Stream<Keys, HttpLog>;

impl Service for ControlStream {
    const NAME: &'static str = "control";
}

impl Service for KeyStream {
    const NAME: &'static str = "keys";
}

impl Service for Shutdown {
    const NAME: &'static str = "shutdown";
}

/// The time from one telling of the demand to the next.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);

/// The signals that begin a graceful shutdown: SIGTERM and SIGINT.
const STOP_SIGNALS: [i32; 2] = [15, 2];

/// How often the share of the log's appends is worked out anew.
const PACE_INTERVAL: Duration = Duration::from_millis(500);

/// What this VM tells its peers, and takes from them.
struct VmPeerService {
    config: Config,
    boot: u64,
    control: Rc<ControlStream>,
    fleet: Rc<Fleet>,
    demand: Rc<Demand>,
    membership: Rc<Membership>,
    shutdown: Rc<Shutdown>,
    demand_said_at: Cell<Instant>,
}

impl VmPeerService {
    /// The demand, in all heartbeats of a short time and then not for a while.
    fn demands(&self) -> Vec<ModelDemand> {
        let age = self.demand_said_at.get().elapsed();
        if age < DEMAND_INTERVAL {
            return Vec::new();
        }
        if age > DEMAND_INTERVAL + HEARTBEAT_INTERVAL {
            self.demand_said_at.set(Instant::now());
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
            leaving_servers: self.membership.listed_leaving(),
            list_age_ms: self.membership.list_age().map(|age| age.as_millis() as u64),
            peer_address: self.config.peer_address.to_string(),
        }
    }

    fn heard(&self, heartbeat: &Heartbeat) {
        self.control.note_peer_offset(heartbeat.control_offset);
    }

    fn state(&self, after_offset: u64) -> Option<FoldedState> {
        let known = self.control.has_usable_state() && self.control.next_offset() > after_offset;
        known.then(|| self.control.state())
    }

    fn wants_state(&self) -> Option<u64> {
        let cut_off = self.control.is_cut_off();
        cut_off.then(|| self.control.next_offset())
    }

    fn take_state(&self, state: &FoldedState) {
        if self.control.take_state(state) {
            emit(
                Event::StateTaken,
                format_args!("stream=control offset={}", state.read_to),
            );
        }
    }
}

/// Serves until a signal asks to stop, then drains.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn serve(config: Config) -> Result<(), Report<Fault>> {
    let callers = bind(config.caller_address).await?;
    let operators = bind(config.operator_address).await?;
    let peers = bind(config.peer_address).await?;
    let boot: u64 = rand::random();
    let kernel = assemble(&config, boot);
    start_peers(&kernel, &config, boot, peers);
    start_fleet(&kernel);
    start_pace(&kernel, config.key_appends_per_s);
    let keeper = SnapshotWriter::new(&kernel, config.log_retention_ms);
    compio::runtime::spawn(keeper.run()).detach();
    compio::runtime::spawn(kernel.find::<Planner>().run()).detach();
    compio::runtime::spawn(kernel.find::<Router>().run_batch_yields()).detach();

    let shutdown: Rc<Shutdown> = kernel.find();
    let operator_shutdown = Rc::new(Shutdown::default());
    let operator: Rc<Operator> = kernel.find();
    let entry: Rc<Entry> = kernel.find();
    compio::runtime::spawn(http::serve(
        operators,
        operator_shutdown.clone(),
        move |request| operator.clone().handle(request),
    ))
    .detach();
    compio::runtime::spawn(http::serve(callers, shutdown.clone(), move |request| {
        entry.clone().handle(request)
    }))
    .detach();
    emit(
        Event::Started,
        format_args!(
            "vm={} callers={} operators={} peers={}",
            config.vm, config.caller_address, config.operator_address, config.peer_address
        ),
    );
    stop_signal().await;
    drain(&config, &shutdown).await;
    Ok(())
}

/// Creates every service, those that others need first.
fn assemble(config: &Config, boot: u64) -> Kernel {
    let kernel = Kernel::default();
    let writer: Name = format!("{}/{boot:016x}", config.vm).into();
    kernel.register(Rc::new(Shutdown::default()));
    let metrics = kernel.register(Rc::new(Metrics::new()));
    let log = Rc::new(HttpLog::new(config.log_address, metrics.leg("log")));
    let control: Rc<ControlStream> =
        kernel.register(Stream::open("control", log.clone(), writer.clone()));
    let keys: Rc<KeyStream> = kernel.register(Stream::open("keys", log, writer.clone()));
    let membership = kernel.register(Rc::new(Membership::new(config.vm.clone())));
    let fleet = kernel.register(Rc::new(Fleet::new(metrics.leg("reports"))));
    let demand = kernel.register(Rc::new(Demand::new(membership.clone())));
    kernel.register(Rc::new(Quarantine::new(control.clone())));
    kernel.register(Rc::new(Router::new(
        control.clone(),
        fleet,
        membership.clone(),
        demand,
    )));
    kernel.register(Rc::new(PlainCalls::new(
        control,
        keys,
        membership,
        kernel.find(),
        KeyWindow::for_retention(config.log_retention_ms),
    )));
    kernel.register(Rc::new(Planner::new(&kernel, config.vm.clone(), writer)));
    kernel.register(Rc::new(Entry::new(&kernel, config.max_body_bytes)));
    let zone = config.availability_zone.clone();
    kernel.register(Rc::new(Operator::new(&kernel, config.vm.clone(), zone)));
    kernel
}

fn start_peers(kernel: &Kernel, config: &Config, boot: u64, listener: TcpListener) {
    let membership: Rc<Membership> = kernel.find();
    let shutdown: Rc<Shutdown> = kernel.find();
    let service = Rc::new(VmPeerService {
        config: config.clone(),
        boot,
        control: kernel.find(),
        fleet: kernel.find(),
        demand: kernel.find(),
        membership: membership.clone(),
        shutdown: shutdown.clone(),
        demand_said_at: Cell::new(Instant::now()),
    });
    let links = Links::new(service, membership.clone(), &kernel.find::<Metrics>());
    compio::runtime::spawn(links.clone().accept(listener, shutdown)).detach();
    compio::runtime::spawn(links.clone().catch_up()).detach();
    compio::runtime::spawn(membership.clone().watch_pauses(kernel.find())).detach();
    let list = HttpVmList::new(config.vm_list_address);
    let found = move |peer| compio::runtime::spawn(links.clone().call(peer)).detach();
    compio::runtime::spawn(membership.follow(list, found)).detach();
}

/// Keeps this VM's share of the appends in step with the number of VMs.
fn start_pace(kernel: &Kernel, appends_per_s: u32) {
    let keys: Rc<KeyStream> = kernel.find();
    let membership: Rc<Membership> = kernel.find();
    compio::runtime::spawn(async move {
        loop {
            keys.pace()
                .share(appends_per_s, 1 + membership.live_peers());
            compio::time::sleep(PACE_INTERVAL).await;
        }
    })
    .detach();
}

/// Keeps the fleet in step with the inventory in force.
fn start_fleet(kernel: &Kernel) {
    let control: Rc<ControlStream> = kernel.find();
    let fleet: Rc<Fleet> = kernel.find();
    compio::runtime::spawn(async move {
        let mut revision = 0;
        loop {
            let changed = control.changed();
            let (now, inventory) =
                control.with(|control| (control.revision, control.inventory.clone()));
            if now != revision {
                revision = now;
                fleet.take(inventory.runners());
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
    http::listen(address)
        .await
        .change_context(Fault::Bind)
        .attach_with(|| format!("{address}"))
}

async fn stop_signal() {
    let [terminate, interrupt] = STOP_SIGNALS.map(|signal| {
        Box::pin(async move {
            // Without a handler the signal ends the process by itself.
            let _ = compio::signal::unix::signal(signal).await;
        })
    });
    futures_util::future::select(terminate, interrupt).await;
}

/// Fails health answers first, then closes listeners, then waits for open work.
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
