//! Finding the server for a request: who can take it, who has a place, what is waited for.

use crate::gateway::Protocol;
use crate::gateway::call::Call;
use crate::gateway::choose::{Candidate, choose};
use crate::gateway::failure::Failure;
use crate::gateway::fleet::Server;
use crate::gateway::relay::Relay;
use crate::gateway::wait_queue::QueuedRequest;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// The load from which a server may be slow to answer, in requests for each slot.
const BUSY_LOAD: f64 = 0.7;
/// The longest time between two looks for a place.
const PLACE_POLL: Duration = Duration::from_millis(40);
/// The longest time between two looks for a server that holds the model; each change of what
/// servers hold brings one at once.
const MODEL_POLL: Duration = Duration::from_millis(250);

/// The least loaded server, with how it stands.
struct Choice {
    server: Rc<Server>,
    candidate: Candidate,
    /// Servers that there were to choose from.
    candidates: usize,
}

impl Choice {
    /// Tells what decided.
    fn log(&self, call: &Call) {
        info!(
            request = %call.ask.id,
            server = %self.server.id,
            model = %call.model(),
            organisation = call.organisation_name(),
            load = self.candidate.load(),
            is_near = self.candidate.is_near,
            is_far_late = self.candidate.is_far_late,
            is_connected = self.candidate.is_connected,
            prompts_wait_ms = self.candidate.prompts_wait_ms as u64,
            read_ms = call.cost.read_ms as u64,
            has_failed = self.candidate.has_failed,
            candidates = self.candidates,
            waited_ms = call.arrived.elapsed().as_millis() as u64,
            "routed"
        );
    }
}

/// Why a request is not sent now.
enum Obstacle {
    /// No server can serve it.
    NoServer,
    /// Those that can are full.
    Full,
    /// The server reads other prompts, or more urgent requests wait for it.
    Reading(Choice),
}

impl Obstacle {
    /// Until when the request is held.
    fn hold_limit(&self, call: &Call) -> Instant {
        if call.ask.generation.is_none() {
            return call.arrived;
        }
        call.hold_until()
    }

    /// What becomes of the request at the end of its hold.
    fn give_up(self, call: &Call) -> Result<Rc<Server>, Failure> {
        match self {
            Self::Reading(choice) => {
                choice.log(call);
                Ok(choice.server)
            }
            _ if call.runs > 0 => Err(Failure::Unknown),
            Self::NoServer => Err(Failure::NoServer),
            Self::Full => Err(Failure::Full),
        }
    }
}

impl<P: Protocol> Relay<P> {
    /// Whether a server that is silent is better left for another one: it is not just busy,
    /// or another one has places.
    pub(super) fn has_better(&self, call: &Call, silent: &Server) -> bool {
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

    /// The server to send to; waits for a place, for prompts that are read before, or for a
    /// model that is to be loaded.
    pub(crate) async fn server_for(&self, call: &Call) -> Result<Rc<Server>, Failure> {
        let mut waiting = None;
        let mut turn = None;
        loop {
            let changed = self.state.changed.wait();
            let obstacle = match self.look(call, turn.as_ref()) {
                Ok(server) => {
                    let waited = call.arrived.elapsed();
                    if turn.is_some() {
                        self.state.metrics.place_wait.observe(waited.as_secs_f64());
                    }
                    return Ok(server);
                }
                Err(obstacle) => obstacle,
            };
            let limit = obstacle.hold_limit(call);
            let left = limit.saturating_duration_since(Instant::now());
            // A VM that is about to end holds nothing that another one can serve.
            let is_leaving = self.state.shutdown.is_leaving();
            if left.is_zero() || is_leaving || self.is_hopeless(call, &obstacle) {
                return obstacle.give_up(call);
            }
            if let Some(weights) = call.weights() {
                let send_by = call.patience().send_by(call.read_time());
                turn.get_or_insert_with(|| self.turns.enqueue(&weights, send_by));
                if matches!(obstacle, Obstacle::NoServer) {
                    waiting.get_or_insert_with(|| self.state.wait_for(&weights));
                }
            }
            let poll = match obstacle {
                Obstacle::NoServer => MODEL_POLL,
                _ => PLACE_POLL.mul_f64(rand::random_range(0.5..1.0)),
            };
            // Whatever ends the wait, the next turn looks again.
            let _ = compio::time::timeout(left.min(poll), changed).await;
        }
    }

    /// The server that the request can be sent to now.
    fn look(&self, call: &Call, turn: Option<&QueuedRequest>) -> Result<Rc<Server>, Obstacle> {
        let choice = self.pick(call).ok_or(Obstacle::NoServer)?;
        let candidate = &choice.candidate;
        // A stream that was begun goes on even where others have to wait.
        let weights = call.weights().filter(|_| call.is_new());
        if let Some(weights) = weights {
            if candidate.is_full() {
                return Err(Obstacle::Full);
            }
            let max_pause_ms = call.route.max_pause_ms as f64;
            let now = Instant::now();
            let is_next = match turn {
                Some(turn) => turn.is_next(now),
                None => {
                    let send_by = call.patience().send_by(call.read_time());
                    self.turns.would_be_first(&weights, send_by, now)
                }
            };
            if !is_next || candidate.defers_prompt(call.cost.read_ms, max_pause_ms) {
                return Err(Obstacle::Reading(choice));
            }
        }
        choice.log(call);
        Ok(choice.server)
    }

    /// Whether more requests wait for full servers than these take in until the hold ends.
    fn is_hopeless(&self, call: &Call, obstacle: &Obstacle) -> bool {
        let (Obstacle::Full, Some(weights)) = (obstacle, call.weights()) else {
            return false;
        };
        let slots = self.able(call, Instant::now());
        let slots: u32 = slots.iter().map(|it| it.with(|entry| entry.slots)).sum();
        let taken_in = f64::from(slots) * call.hold_time().as_secs_f64() * 1_000.0
            / call.cost.stream_ms.max(1.0);
        let waiting = self.turns.count(&weights) * self.state.peers.vms();
        waiting as f64 > taken_in
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
    fn pick(&self, call: &Call) -> Option<Choice> {
        let now = Instant::now();
        let servers = self.able(call, now);
        let candidates: Vec<Candidate> = servers
            .iter()
            .map(|server| self.candidate(call, server, now))
            .collect();
        let place = choose(&candidates, rand::random)?;
        Some(Choice {
            server: servers[place].clone(),
            candidate: candidates[place],
            candidates: candidates.len(),
        })
    }

    fn candidate(&self, call: &Call, server: &Server, now: Instant) -> Candidate {
        let in_flight = server.in_flight() + self.state.peers.in_flight(&server.id);
        let zone = &self.state.settings.availability_zone;
        let is_connected = self.pool.has_idle(server, now);
        server.with(|entry| Candidate {
            in_flight,
            slots: entry.slots,
            prompts_wait_ms: server.backlog.wait_ms(now),
            is_near: entry.availability_zone == *zone,
            is_far_late: self.state.peers.is_far_late(),
            is_connected,
            is_short_call: call.ask.generation.is_none(),
            has_failed: server.is_passed_over(now) || call.tried.contains(&server.id),
        })
    }
}
