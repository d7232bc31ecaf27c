//! One VM's process in the serving role, from start to end.

use crate::error::Fault;
use crate::gateway::election::LeaderElection;
use crate::gateway::fleet::Incarnation;
use crate::gateway::gossip::Gossip;
use crate::gateway::journal::BufferedLog;
use crate::gateway::relay::Relay;
use crate::gateway::state::State;
use crate::gateway::watch::LogWatcher;
use crate::gateway::{
    Claims, ConfigSource, Directory, Group, Metrics, Protocol, RunnerControl, Settings,
};
use crate::http::{self, Body, serve_patiently};
use compio::net::TcpListener;
use error_stack::{Report, ResultExt};
use futures_util::future::{Either, select};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// Where metrics are served, beside readiness.
const METRICS_PATH: &str = "/metrics";
/// The format of metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// SIGTERM and SIGINT begin a graceful end.
const STOP_SIGNALS: [i32; 2] = [15, 2];
/// SIGHUP tells that the settings file has changed.
const RELOAD_SIGNAL: i32 = 1;
/// How long new connections may still arrive after readiness failed: it is asked for once
/// a second, and two failures take a VM out. Requests taken later may not end in time.
const ROTATION: Duration = Duration::from_millis(2_400);
/// The part of the grace that waits for open requests; the rest is for ending.
const DRAIN_SHARE: f64 = 0.94;
/// How much longer than the operator's limit a caller's connection may be idle, so that a
/// request on its way meets no closing.
const IDLE_SLACK: Duration = Duration::from_millis(2_000);
/// The time between two clean-ups of idle connections.
const CLEAN_INTERVAL: Duration = Duration::from_millis(1_000);

/// Serves until a signal asks to stop, then drains.
///
/// # Errors
///
/// Fails when an address cannot be bound or the log cannot be started.
pub(crate) async fn serve<P, S, R>(
    settings: Settings,
    metrics: Rc<Metrics>,
    store: Rc<S>,
    runners: R,
    ready_path: &'static str,
) -> Result<(), Report<Fault>>
where
    P: Protocol,
    S: ConfigSource + Directory + Group + Claims,
    R: RunnerControl,
{
    let journal = BufferedLog::start().change_context(Fault::Logging)?;
    let callers = bind(settings.caller_address).await?;
    let ready = bind(settings.ready_address).await?;
    let state = Rc::new(State::new(settings, metrics));
    let gossip = Gossip::bind(state.clone())
        .await
        .change_context(Fault::Bind)
        .attach_with(|| state.settings.peer_address.to_string())?;
    let settings = &state.settings;
    info!(vm = %settings.vm, zone = %settings.availability_zone, callers = %settings.caller_address, "started");

    let watch = LogWatcher::new(state.clone(), store.clone());
    compio::runtime::spawn(watch.clone().follow_configuration()).detach();
    compio::runtime::spawn(watch.follow_directory()).detach();
    compio::runtime::spawn(gossip.clone().receive()).detach();
    compio::runtime::spawn(gossip.clone().send_prompts()).detach();
    compio::runtime::spawn(gossip.send()).detach();
    let leading = LeaderElection::new(state.clone(), store, runners);
    compio::runtime::spawn(leading.clone().keep_membership()).detach();
    compio::runtime::spawn(leading.clone().lead()).detach();
    if let Some(address) = settings.metrics_address {
        let listener = bind(address).await?;
        compio::runtime::spawn(serve_ready(listener, state.clone(), ready_path)).detach();
    }
    compio::runtime::spawn(serve_ready(ready, state.clone(), ready_path)).detach();
    serve_callers::<P>(callers, state.clone());
    stop_signal().await;
    let stopped_at = Instant::now();
    info!("stopping");
    state.shutdown.leave();
    state.peers.trigger_update_to_all();
    leading.leave().await;
    drain(&state, stopped_at).await;
    info!(open = state.shutdown.open(), "stopped");
    journal.flush();
    Ok(())
}

fn serve_callers<P: Protocol>(listener: TcpListener, state: Rc<State>) {
    let relay = Rc::new(Relay::<P>::new(state.clone()));
    let cleaned = relay.clone();
    compio::runtime::spawn(async move {
        loop {
            compio::time::sleep(CLEAN_INTERVAL).await;
            let fleet = &cleaned.state.fleet;
            let is_listed = |run: &Incarnation| fleet.run(run).is_some();
            cleaned.pool.remove_stale(is_listed, Instant::now());
        }
    })
    .detach();
    let limits = state.clone();
    let head_timeout = move || {
        let configuration = limits.configuration();
        let limits = configuration.map(|it| it.limits).unwrap_or_default();
        Duration::from_millis(limits.idle_timeout_ms) + IDLE_SLACK
    };
    let shutdown = state.shutdown.clone();
    compio::runtime::spawn(serve_patiently(
        listener,
        shutdown,
        head_timeout,
        move |request| relay.clone().handle(request),
    ))
    .detach();
}

fn metrics_answer(state: &State) -> Response<Body> {
    let mut response = Response::new(Body::full(state.metrics_text()));
    let kind = header::HeaderValue::from_static(METRICS_TYPE);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

async fn serve_ready(listener: TcpListener, state: Rc<State>, path: &'static str) {
    let shutdown = Rc::default();
    let answer = move |request: Request<Incoming>| {
        let status = match request.uri().path() {
            METRICS_PATH => return std::future::ready(metrics_answer(&state)),
            asked if asked != path => StatusCode::NOT_FOUND,
            _ if state.is_ready() => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(Body::empty());
        *response.status_mut() = status;
        std::future::ready(response)
    };
    http::serve(listener, shutdown, answer).await;
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Report<Fault>> {
    http::listen(address)
        .await
        .change_context(Fault::Bind)
        .attach_with(|| address.to_string())
}

/// Waits for a signal to stop; a reload needs nothing, since what may change is read anew.
async fn stop_signal() {
    compio::runtime::spawn(async {
        while compio::signal::unix::signal(RELOAD_SIGNAL).await.is_ok() {
            info!("settings changed");
        }
    })
    .detach();
    let [terminate, interrupt] = STOP_SIGNALS.map(|signal| {
        Box::pin(async move {
            // Without a handler the signal ends the process by itself.
            let _ = compio::signal::unix::signal(signal).await;
        })
    });
    match select(terminate, interrupt).await {
        Either::Left(_) | Either::Right(_) => {}
    }
}

/// Serves new connections while they can still arrive, then waits for open requests.
async fn drain(state: &State, stopped_at: Instant) {
    let limit = state.settings.bounds.grace.mul_f64(DRAIN_SHARE);
    let rotation = ROTATION.min(limit / 2);
    compio::time::sleep_until(stopped_at + rotation).await;
    state.shutdown.close();
    let left = limit.saturating_sub(stopped_at.elapsed());
    let drained = pin!(state.shutdown.drained(left));
    drained.await;
}
