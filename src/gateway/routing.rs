//! Finding the server for a request: who can take it, who has a place, what is waited for.

use crate::gateway::Protocol;
use crate::gateway::call::Call;
use crate::gateway::choose::{Candidate, choose};
use crate::gateway::failure::Failure;
use crate::gateway::fleet::Server;
use crate::gateway::relay::Relay;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// How long a request waits at least for a model that no runner holds: about the time in
/// which one is loaded from a runner's own disk.
const MODEL_WAIT: Duration = Duration::from_millis(1_000);
/// The longest wait for a model that no runner holds.
const MAX_MODEL_WAIT: Duration = Duration::from_millis(2_500);
/// The load from which a server may be slow to answer, in requests for each slot.
const BUSY_LOAD: f64 = 0.7;
/// The part of a route's target that a request waits for a place on a full runner.
const PLACE_WAIT_SHARE: f64 = 0.4;
/// The time between two looks for a place.
const PLACE_POLL: Duration = Duration::from_millis(40);

impl<P: Protocol> Relay<P> {
    /// Whether a server that is silent is better left for another one: it is not just busy,
    /// or another one has places.
    pub(crate) fn has_better(&self, call: &Call, silent: &Server) -> bool {
        let now = Instant::now();
        let mut others = self.able(call, now);
        others.retain(|other| other.id != silent.id && !call.tried.contains(&other.id));
        !others.is_empty()
            && (!self.is_loaded(silent) || others.iter().any(|other| !self.is_loaded(other)))
    }

    /// Whether most places of a server are taken.
    pub(crate) fn is_loaded(&self, server: &Server) -> bool {
        let in_flight = server.in_flight() + self.state.peers.in_flight(&server.id);
        f64::from(in_flight) >= BUSY_LOAD * server.with(|entry| f64::from(entry.slots))
    }

    /// The server to send to; waits for a place, or for a model that is to be loaded.
    pub(crate) async fn server_for(&self, call: &Call) -> Result<Rc<Server>, Failure> {
        let mut waiting = None;
        let began = Instant::now();
        loop {
            let changed = self.state.changed.wait();
            let why = match self.pick(call) {
                Ok(server) => {
                    let waited = began.elapsed();
                    if waited >= PLACE_POLL {
                        self.state.metrics.place_wait.observe(waited.as_secs_f64());
                    }
                    return Ok(server);
                }
                Err(why) => why,
            };
            let until = (call.arrived + Self::wait_limit(call, why)).min(call.deadline);
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(if call.runs > 0 { Failure::Unknown } else { why });
            }
            if let (Failure::NoServer, Some(weights)) = (why, call.weights()) {
                waiting.get_or_insert_with(|| self.state.wait_for(&weights));
            }
            let pause = match why {
                Failure::Full => left.min(PLACE_POLL),
                _ => left,
            };
            // Whatever ends the wait, the next turn looks again.
            let _ = compio::time::timeout(pause, changed).await;
        }
    }

    /// How long a request waits for a server, from its arrival.
    fn wait_limit(call: &Call, why: Failure) -> Duration {
        let target = Duration::from_millis(call.route.target_latency_ms);
        match why {
            Failure::Full => target.mul_f64(PLACE_WAIT_SHARE),
            _ if call.ask.generation.is_some() => target.clamp(MODEL_WAIT, MAX_MODEL_WAIT),
            _ => Duration::ZERO,
        }
    }

    /// The servers that can serve the request.
    fn able(&self, call: &Call, now: Instant) -> Vec<Rc<Server>> {
        let weights = call.weights();
        let mut servers = self.state.fleet.of_service(&call.service);
        servers.retain(|server| {
            server.is_listed_ready()
                && weights
                    .as_ref()
                    .is_none_or(|weights| server.holds(weights, now))
        });
        servers
    }

    /// The least loaded server that can serve the request.
    fn pick(&self, call: &Call) -> Result<Rc<Server>, Failure> {
        let now = Instant::now();
        let servers = self.able(call, now);
        let candidates: Vec<Candidate> = servers
            .iter()
            .map(|server| self.candidate(call, server, now))
            .collect();
        let place = choose(&candidates, rand::random).ok_or(Failure::NoServer)?;
        let chosen = candidates[place];
        // A stream that was begun goes on even where others have to wait.
        if call.ask.generation.is_some() && call.runs == 0 && chosen.is_full() {
            return Err(Failure::Full);
        }
        info!(
            request = %call.ask.id,
            server = %servers[place].id,
            model = %call.model(),
            load = chosen.load(),
            prompts_wait_ms = chosen.prompts_wait_ms as u64,
            has_failed = chosen.has_failed,
            candidates = candidates.len(),
            "routed"
        );
        Ok(servers[place].clone())
    }

    fn candidate(&self, call: &Call, server: &Server, now: Instant) -> Candidate {
        let in_flight = server.in_flight() + self.state.peers.in_flight(&server.id);
        let zone = &self.state.settings.availability_zone;
        server.with(|entry| Candidate {
            in_flight,
            slots: entry.slots,
            prompts_wait_ms: server.backlog.wait_ms(now),
            is_near: entry.availability_zone == *zone,
            has_failed: server.is_passed_over(now) || call.tried.contains(&server.id),
        })
    }
}
