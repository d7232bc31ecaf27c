//! Predicts how long a request for a stream waits for a slot; refuses it if that is too long, and
//! tells its caller when to come again.

use crate::gateway::call::Call;
use crate::gateway::fleet::Server;
use crate::gateway::relay::Relay;
use crate::gateway::routing::{Obstacle, need};
use crate::gateway::waiting::{ExpectedStarts, FleetWaiting, Need, Refused, Room, need_id};
use crate::gateway::{Protocol, Weights};
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
        let Some(starts) = self.expected_starts(call, obstacle) else {
            return false;
        };
        let fleet = self.fleet_waiting(&need, is_queued.then(|| call.priority()));
        let wait = fleet.wait(call.priority(), &starts);
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
            starts_per_s = starts.per_s,
            coming = starts.coming.len(),
            first_ready_ms = starts.first_ready().map(|it| it.as_millis() as u64),
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

    /// The requests like this one that all servers start which can serve it now, or once they have
    /// loaded the model; `None` if the obstacle does not depend on that.
    fn expected_starts(&self, call: &Call, obstacle: &Obstacle) -> Option<ExpectedStarts> {
        let now = Instant::now();
        let servers = self.eligible_servers(call, now);
        let starts_per_s = |server: &Rc<Server>| {
            let slots = server.with_entry(|entry| f64::from(entry.slots));
            slots * 1_000.0 / call.cost.stream_duration_ms.max(1.0)
        };
        let rate_limits = || servers.iter().map(|it| self.state.rate_limit_per_s(it));
        match obstacle {
            Obstacle::Full => Some(ExpectedStarts {
                per_s: servers.iter().map(starts_per_s).sum(),
                coming: self.coming_starts(call, starts_per_s, now),
            }),
            Obstacle::RateLimited => Some(ExpectedStarts::steady(rate_limits().flatten().sum())),
            // A stream that has started is held for as long as possible: it cannot come again.
            Obstacle::NoServer if call.is_unstarted() => {
                let coming = self.coming_starts(call, starts_per_s, now);
                let starts = ExpectedStarts { per_s: 0.0, coming };
                (!starts.coming.is_empty()).then_some(starts)
            }
            Obstacle::NoServer
            | Obstacle::Paused(_)
            | Obstacle::Prefilling(_)
            | Obstacle::Reserved => None,
        }
    }

    /// The copies being loaded that will serve the request, with the time until each is ready and
    /// the requests that it starts per second.
    fn coming_starts(
        &self,
        call: &Call,
        starts_per_s: impl Fn(&Rc<Server>) -> f64,
        now: Instant,
    ) -> Vec<(Duration, f64)> {
        let Some(weights) = call.weights() else {
            return Vec::new();
        };
        let servers = self.state.fleet.of_service(&call.service);
        let model = Weights {
            adapter: None,
            ..weights.clone()
        };
        // An adapter follows onto the first copy of its model; where another copy is loaded, it may
        // not be loaded onto the new one.
        if weights.adapter.is_some() && servers.iter().any(|it| it.holds(&model, now)) {
            return Vec::new();
        }
        let mut coming = Vec::new();
        for server in servers.iter().filter(|server| server.accepts_requests()) {
            let copy = server.coming(now).filter(|it| it.model == weights.model);
            if let Some(copy) = copy {
                let after = copy.ready_at.saturating_duration_since(now);
                coming.push((after, starts_per_s(server)));
            }
        }
        coming
    }

    /// When the caller of a refused request for a stream should come again: once the requests that
    /// wait have been started.
    pub(super) fn return_after(&self, call: &Call, obstacle: &Obstacle) -> Option<Duration> {
        let need = need(call)?;
        let starts = self.expected_starts(call, obstacle);
        let fleet = self.fleet_waiting(&need, None);
        let wait = starts.as_ref().map(|it| fleet.wait(call.priority(), it));
        let after = wait.unwrap_or_default();
        let room = Room {
            after,
            starts_per_s: starts.map(|it| it.rate_at(after) / fleet.vms.max(1) as f64),
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
