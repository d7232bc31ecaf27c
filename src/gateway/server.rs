//! Starts, runs and shuts down the serving role on one VM.

use crate::error::Fault;
use crate::gateway::containment_keeper::ContainmentKeeper;
use crate::gateway::election::LeaderElection;
use crate::gateway::fleet::Incarnation;
use crate::gateway::forwarding::{MAX_FORWARDED, forward_address};
use crate::gateway::gossip::Gossip;
use crate::gateway::journal::BufferedLog;
use crate::gateway::relay::Relay;
use crate::gateway::server_probe::probe_servers;
use crate::gateway::state::State;
use crate::gateway::state_monitor::StateMonitor;
use crate::gateway::sync_server::SyncServer;
use crate::gateway::watch::LogWatcher;
use crate::gateway::{
    ConfigSource, ContainmentLog, Directory, Group, LeadershipClaims, Metrics, Protocol,
    RunnerControl, Settings,
};
use crate::http::{self, AcceptLimits, Body, serve_within};
use crate::process_signals::ProcessSignals;
use compio::net::TcpListener;
use error_stack::{Report, ResultExt};
use hyper::body::Incoming;
use hyper::http::request;
use hyper::{Request, Response, StatusCode, header};
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// The path of the metrics, served at the same addresses as readiness.
const METRICS_PATH: &str = "/metrics";
/// The content type of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// The signals that start a graceful shutdown.
const STOP_SIGNALS: [Signal; 2] = [Signal::SIGTERM, Signal::SIGINT];
/// Announces that the settings file has changed.
const RELOAD_SIGNAL: Signal = Signal::SIGHUP;
/// How long new connections may arrive after readiness starts to fail: readiness is checked once
/// a second, and a VM receives no more connections after two failures. Requests accepted later may
/// not finish in time.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_400);
/// Share of the grace period after which no server's answer is waited for any more; the callers of
/// the requests still in work are told so, as far as none of the answer has been passed on.
const ANSWER_SHARE: f64 = 0.9;
/// Share of the grace period after which nothing is waited for; the rest is left for the process to
/// exit.
const DRAIN_SHARE: f64 = 0.94;
/// How long a new connection of a caller may wait for this VM: longer than the pauses of a processor
/// with a quota, and short enough that the caller still has time for another VM.
const MAX_ACCEPT_WAIT: Duration = Duration::from_millis(150);
/// The interval at which stale idle connections to servers are dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Serves callers until a stop signal arrives, then drains open requests.
///
/// # Errors
///
/// Fails if signals cannot be taken over, an address cannot be bound or logging cannot be started.
pub(crate) async fn serve<P, S, R>(
    settings: Settings,
    metrics: Rc<Metrics>,
    store: Rc<S>,
    runners: R,
    ready_path: &'static str,
) -> Result<(), Report<Fault>>
where
    P: Protocol,
    S: ConfigSource + ContainmentLog + Directory + Group + LeadershipClaims,
    R: RunnerControl,
{
    let signals = STOP_SIGNALS.into_iter().chain([RELOAD_SIGNAL]);
    let mut signals = ProcessSignals::take_over(signals).change_context(Fault::Signals)?;
    let log_buffer = BufferedLog::start().change_context(Fault::Logging)?;
    let callers = bind(settings.caller_address).await?;
    let readiness = bind(settings.ready_address).await?;
    let state = Rc::new(State::new(settings, metrics));
    let gossip = Gossip::bind(state.clone())
        .await
        .change_context(Fault::Bind)
        .attach_with(|| state.settings.peer_address.to_string())?;
    let settings = &state.settings;
    info!(vm = %settings.vm, zone = %settings.availability_zone, callers = %settings.caller_address, "started");

    let sync = SyncServer::new(state.clone());
    let listener = http::listen(settings.peer_address)
        .await
        .change_context(Fault::Bind)
        .attach_with(|| settings.peer_address.to_string())?;
    // Transfers between VMs do not count as open work: a VM that leaves does not wait for them.
    let never_closed = Rc::default();
    let limits = AcceptLimits::bounded(settings.sockets.max_transfers(), &state.peer_memory);
    let handler = move |request| sync.clone().handle(request);
    compio::runtime::spawn(http::serve_bounded(limits, listener, never_closed, handler)).detach();
    let watch = LogWatcher::new(state.clone(), store.clone());
    compio::runtime::spawn(watch.clone().follow_configuration()).detach();
    compio::runtime::spawn(watch.clone().recover_configuration()).detach();
    compio::runtime::spawn(watch.follow_directory()).detach();
    compio::runtime::spawn(StateMonitor::new(state.clone()).run()).detach();
    compio::runtime::spawn(gossip.clone().receive()).detach();
    compio::runtime::spawn(gossip.clone().send_prompts()).detach();
    compio::runtime::spawn(gossip.clone().send_stream_versions()).detach();
    compio::runtime::spawn(gossip.clone().send_version_queries()).detach();
    compio::runtime::spawn(gossip.send()).detach();
    let keeper = ContainmentKeeper::new(state.clone(), store.clone());
    compio::runtime::spawn(keeper.run()).detach();
    let election = LeaderElection::new(state.clone(), store, runners);
    compio::runtime::spawn(election.clone().keep_membership()).detach();
    compio::runtime::spawn(election.clone().lead()).detach();
    if let Some(address) = settings.metrics_address {
        let listener = bind(address).await?;
        compio::runtime::spawn(serve_readiness(listener, state.clone(), ready_path)).detach();
    }
    compio::runtime::spawn(serve_readiness(readiness, state.clone(), ready_path)).detach();
    let relay = Rc::new(Relay::<P>::new(state.clone()));
    serve_forwarded(&relay).await?;
    compio::runtime::spawn(probe_servers(state.clone())).detach();
    serve_callers(callers, relay);
    wait_for_stop(&mut signals).await;
    let stopped_at = Instant::now();
    info!("stopping");
    let grace = state.settings.bounds.grace;
    let last_answer_at = stopped_at + grace.mul_f64(ANSWER_SHARE);
    state.shutdown.leave_by(last_answer_at);
    state.peers.outbox.trigger_update_to_all();
    election.leave().await;
    drain(&state, stopped_at, last_answer_at).await;
    state.open_requests.end_all();
    info!(open = state.shutdown.open(), "stopped");
    log_buffer.flush();
    Ok(())
}

/// Handles the requests that other VMs forward. They count as open work, as callers' requests do.
async fn serve_forwarded<P: Protocol>(relay: &Rc<Relay<P>>) -> Result<(), Report<Fault>> {
    let state = &relay.state;
    let listener = bind(forward_address(state.settings.peer_address)).await?;
    let shutdown = state.shutdown.clone();
    let relay = relay.clone();
    let handler = move |request| relay.clone().handle_forwarded(request);
    let max_open = MAX_FORWARDED.min(state.settings.sockets.reserved);
    let limits = AcceptLimits::bounded(max_open, &state.client_memory);
    compio::runtime::spawn(http::serve_bounded(limits, listener, shutdown, handler)).detach();
    Ok(())
}

fn serve_callers<P: Protocol>(listener: TcpListener, relay: Rc<Relay<P>>) {
    let state = relay.state.clone();
    let cleanup_relay = relay.clone();
    compio::runtime::spawn(async move {
        loop {
            compio::time::sleep(CLEANUP_INTERVAL).await;
            let fleet = &cleanup_relay.state.fleet;
            let is_listed = |run: &Incarnation| fleet.run(run).is_some();
            let now = Instant::now();
            cleanup_relay.pool.remove_stale(is_listed, now);
            if cleanup_relay.state.is_cut_off() {
                cleanup_relay.pool.clear_all();
            }
            let mut limits = cleanup_relay.state.server_limits.borrow_mut();
            limits.prune_expired(is_listed, now);
        }
    })
    .detach();
    let shutdown = state.shutdown.clone();
    let limits = AcceptLimits {
        timeouts: state.client_timeouts.clone(),
        max_wait: MAX_ACCEPT_WAIT,
        max_open: state.settings.sockets.max_clients,
        max_refusals: state.settings.sockets.max_refusals(),
        memory: state.client_memory.clone(),
        closed_unread: state.metrics.closed_unread.clone(),
    };
    let refusing_relay = relay.clone();
    let refuse =
        move |head: &request::Parts, overload| refusing_relay.refuse_unserved(head, overload);
    let handler = move |request| relay.clone().handle(request);
    let serving = serve_within(limits, listener, shutdown, handler, refuse);
    compio::runtime::spawn(serving).detach();
}

fn metrics_response(state: &State) -> Response<Body> {
    let mut response = Response::new(Body::full(state.metrics_text()));
    let content_type = header::HeaderValue::from_static(METRICS_TYPE);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Serves readiness at `path` and the metrics.
async fn serve_readiness(listener: TcpListener, state: Rc<State>, path: &'static str) {
    let shutdown = Rc::default();
    let max_open = state.settings.sockets.max_operators();
    let limits = AcceptLimits::bounded(max_open, &state.peer_memory);
    let handler = move |request: Request<Incoming>| {
        let status = match request.uri().path() {
            METRICS_PATH => return std::future::ready(metrics_response(&state)),
            requested if requested != path => StatusCode::NOT_FOUND,
            _ if state.is_ready() => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(Body::empty());
        *response.status_mut() = status;
        std::future::ready(response)
    };
    http::serve_bounded(limits, listener, shutdown, handler).await;
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<Fault>> {
    http::listen_for_clients(address)
        .await
        .change_context(Fault::Bind)
        .attach_with(|| address.to_string())
}

/// Waits for a stop signal. SIGHUP is only logged, since values that may change at run time are
/// read again anyway.
async fn wait_for_stop(signals: &mut ProcessSignals) {
    while signals.next().await == RELOAD_SIGNAL {
        info!("settings changed");
    }
}

/// Accepts connections until no more can be expected, then waits for open requests to finish. Those
/// that have no answer at `last_answer_at` are refused.
async fn drain(state: &State, stopped_at: Instant, last_answer_at: Instant) {
    let limit = state.settings.bounds.grace.mul_f64(DRAIN_SHARE);
    let delay = DEREGISTRATION_DELAY.min(limit / 2);
    compio::time::sleep_until(stopped_at + delay).await;
    state.shutdown.close();
    let answering = last_answer_at.saturating_duration_since(Instant::now());
    if state.shutdown.drained(answering).await {
        return;
    }
    let given_up = state.open_requests.give_up_unanswered();
    info!(given_up, open = state.shutdown.open(), "last answers");
    let remaining = limit.saturating_sub(stopped_at.elapsed());
    state.shutdown.drained(remaining).await;
}
