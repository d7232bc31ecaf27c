//! Opens connections to backend servers while it is in doubt whether this VM reaches any.

use crate::client::Connection;
use crate::gateway::exchange::{CONNECT_TIMEOUT, UNACKED_LIMIT};
use crate::gateway::fleet::Server;
use crate::gateway::state::State;
use futures_util::future::join_all;
use rand::seq::SliceRandom;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Servers that are probed at a time.
const PROBED_SERVERS: usize = 2;
/// Time between two rounds of probes while it is not yet decided that this VM reaches no server.
pub(crate) const DOUBT_PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two rounds of probes while this VM reaches no server.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Probes servers whenever that is in doubt, until the process ends.
pub(crate) async fn probe_servers(state: Rc<State>) {
    loop {
        let doubted = state.reachability_doubted.wait();
        if !state.is_reachability_doubted() {
            doubted.await;
            continue;
        }
        probe_some(&state).await;
        let interval = match state.is_cut_off() {
            true => PROBE_INTERVAL,
            false => DOUBT_PROBE_INTERVAL,
        };
        compio::time::sleep(interval).await;
    }
}

async fn probe_some(state: &State) {
    let servers = probed_servers(state);
    join_all(servers.iter().map(|server| probe(state, server))).await;
}

/// Draws servers, first among those to which no connection has failed since one last opened.
fn probed_servers(state: &State) -> Vec<Rc<Server>> {
    let mut servers = state.fleet.servers();
    servers.retain(|server| !server.is_marked_removed());
    servers.shuffle(&mut rand::rng());
    servers.sort_by_key(|server| state.has_unreached(server));
    servers.truncate(PROBED_SERVERS);
    servers
}

async fn probe(state: &State, server: &Server) {
    let begun_at = Instant::now();
    let opened = Connection::open_abort_on_drop(server.address, CONNECT_TIMEOUT, UNACKED_LIMIT);
    match opened.await {
        Ok(_) => state.record_server_reached(Instant::now()),
        Err(_) => state.record_server_unreached(server, begun_at),
    }
}
