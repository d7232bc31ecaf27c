//! Predicts how long a request for a stream waits for a slot; refuses it if that is too long, and
//! tells its caller when to come again.

use crate::gateway::Protocol;
use crate::gateway::call::Call;
use crate::gateway::fleet::Server;
use crate::gateway::relay::Relay;
use crate::gateway::routing::{Obstacle, need};
use crate::gateway::waiting::{FleetWaiting, Need, Refused, Room, need_id};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

impl<P: Protocol> Relay<P> {
    /// Whether the obstacle is known to last until the hold ends: the servers pause for longer, or
    /// more requests wait for them than they can start until then.
    pub(super) fn outlasts_hold(&self, call: &Call, obstacle: &Obstacle, is_queued: bool) -> bool {
        if let Obstacle::Paused(until) = obstacle {
            return *until >= obstacle.hold_limit(call);
        }
        let Some(need) = need(call) else {
            return false;
        };
        let Some(starts_per_s) = self.starts_per_s(call, obstacle) else {
            return false;
        };
        let fleet = self.fleet_waiting(&need, is_queued.then(|| call.priority()));
        let wait = fleet.wait(call.priority(), starts_per_s);
        let hold = call.hold_time();
        if !is_queued {
            let predicted = &self.state.metrics.predicted_wait;
            predicted.observe(wait.as_secs_f64());
        }
        if wait <= hold {
            return false;
        }
        info!(
            request = %call.request.id,
            priority = call.priority(),
            waiting = fleet.known.total(),
            ahead = fleet.known.ahead_of(call.priority()),
            reporting = fleet.reporting,
            vms = fleet.vms,
            starts_per_s,
            predicted_wait_ms = wait.as_millis() as u64,
            hold_ms = hold.as_millis() as u64,
            "predicted wait exceeds the hold"
        );
        true
    }

    /// The requests that wait for the same at all VMs, without one of a priority at this VM.
    fn fleet_waiting(&self, need: &Need, without: Option<u32>) -> FleetWaiting {
        let peers = &self.state.peers;
        let (mut known, reporting) = peers.waiting(need_id(need));
        let mut own = self.state.wait_queues.count(need);
        if let Some(priority) = without {
            own.remove_one(priority);
        }
        known.add(own);
        FleetWaiting {
            known,
            reporting,
            vms: peers.vms(),
        }
    }

    /// How many requests like this one all servers that can serve it start per second; `None` if the
    /// obstacle does not depend on that.
    fn starts_per_s(&self, call: &Call, obstacle: &Obstacle) -> Option<f64> {
        let servers = self.eligible_servers(call, Instant::now());
        let starts_per_s = |server: &Rc<Server>| {
            let slots = server.with_entry(|entry| f64::from(entry.slots));
            slots * 1_000.0 / call.cost.stream_duration_ms.max(1.0)
        };
        let rate_limits = || servers.iter().map(|it| self.state.rate_limit_per_s(it));
        match obstacle {
            Obstacle::Full => Some(servers.iter().map(starts_per_s).sum()),
            Obstacle::RateLimited => Some(rate_limits().flatten().sum()),
            Obstacle::NoServer
            | Obstacle::Paused(_)
            | Obstacle::Prefilling(_)
            | Obstacle::Reserved => None,
        }
    }

    /// When the caller of a refused request for a stream should come again: once the requests that
    /// wait have been started.
    pub(super) fn return_after(&self, call: &Call, obstacle: &Obstacle) -> Option<Duration> {
        let need = need(call)?;
        let starts_per_s = self.starts_per_s(call, obstacle);
        let fleet = self.fleet_waiting(&need, None);
        let wait = starts_per_s.map(|rate| fleet.wait(call.priority(), rate));
        let room = Room {
            after: wait.unwrap_or_default(),
            starts_per_s: starts_per_s.map(|rate| rate / fleet.vms.max(1) as f64),
        };
        let refused = Refused {
            service: &call.service,
            is_urgent: call.priority() == 0,
            time_left: call.time_left(),
        };
        let returns = &self.state.returns;
        Some(returns.assign(refused, room, rand::random(), Instant::now()))
    }
}
