//! Applies the decisions on the load of plain servers (`plain_load`) to calls: which servers a call
//! may be sent to, whether it is sent at all, and what happens to it after a rejection.

use crate::gateway::Protocol;
use crate::gateway::call::Call;
use crate::gateway::exchange::Exchange;
use crate::gateway::failure::Failure;
use crate::gateway::fleet::Server;
use crate::gateway::plain_load::{
    AfterRejection, Demand, Division, Figure, PlainServer, after_rejection, recovery,
};
use crate::gateway::relay::Relay;
use crate::gateway::server_speed::{Verdict, Work};
use crate::gateway::waiting::{Refused, Room};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// The servers of a call as far as their load is known, and the calls that compete for them.
struct PlainView {
    servers: Vec<PlainServer>,
    demand: Demand,
}

impl<P: Protocol> Relay<P> {
    /// Records what a plain server stated in a response. A server that is stuck on the same counts is
    /// believed when it rejects a call: full servers state the same each time.
    pub(super) fn note_plain_load(&self, call: &Call, exchange: &Exchange, now: Instant) {
        let Some(load) = exchange.reply.stated_load else {
            return;
        };
        let run = exchange.server.incarnation();
        let speeds = &self.state.server_speeds;
        let is_rejected = exchange.reply.is_not_executed && load.running >= load.slots;
        let is_used = match speeds.stated_verdict(&run) {
            Some(Verdict::Used) => true,
            Some(Verdict::Stuck) => is_rejected,
            Some(Verdict::Absurd) | None => false,
        };
        if call.request.generation.is_some() || !is_used {
            return;
        }
        let slowness_percent = match speeds.has_false_slowness(&run) {
            true => None,
            false => load.slowness_percent,
        };
        let figure = Figure {
            in_system: load.running + load.waiting,
            slowness_percent,
            limit: None,
            at: now,
        };
        self.state.plain_loads.note(&run, figure, is_rejected);
    }

    /// What is known of servers that can serve a call; `None` for streams, if no VM has heard of the
    /// load of any of them recently, or if it is not known how long such calls take.
    fn plain_view(&self, call: &Call, servers: &[Rc<Server>], now: Instant) -> Option<PlainView> {
        if call.request.generation.is_some() || self.state.is_cut_off() {
            return None;
        }
        let speeds = &self.state.server_speeds;
        let usual_time = speeds.usual_time(&Work::Call(call.route.name.clone()))?;
        let loads = &self.state.plain_loads;
        let peer_loads = self.state.peers.loads();
        let (mut ages, mut known_servers) = (Duration::ZERO, 0);
        let servers = servers.iter().map(|server| {
            let run = server.incarnation();
            let known = loads.known(&run, now);
            if let Some(known) = known {
                ages += known.age;
                known_servers += 1;
            }
            let own = f64::from(server.in_flight());
            let in_system = known.map_or_else(
                || own + f64::from(peer_loads.in_flight(&server.id)),
                |it| it.in_system.max(own),
            );
            let slowness = speeds.slowness(&run) * known.map_or(1.0, |it| it.slowness);
            PlainServer {
                slots: server.with_entry(|entry| f64::from(entry.slots.max(1))),
                in_system,
                work_s: usual_time.as_secs_f64() * slowness,
                limit: known.and_then(|it| it.limit),
                is_avoided: server.is_in_backoff(now) || call.tried.contains(&server.id),
                has_rejected: !server.is_in_backoff(now) && call.tried.contains(&server.id),
            }
        });
        let servers: Vec<PlainServer> = servers.collect();
        (known_servers > 0).then(|| PlainView {
            servers,
            demand: Demand {
                calls_per_s: loads.calls_per_s(&call.service, now),
                horizon: ages / known_servers,
                target: Duration::from_millis(call.route.target_latency_ms),
            },
        })
    }

    /// The servers that a plain call may be sent to, in proportion to what each can take; `None` if
    /// their load is not known.
    pub(super) fn divided_servers(
        &self,
        call: &Call,
        servers: &[Rc<Server>],
        now: Instant,
    ) -> Option<Vec<Rc<Server>>> {
        let view = self.plain_view(call, servers, now)?;
        let division = Division::of(&view.servers, &view.demand)?;
        let kept = servers.iter().zip(division.kept(rand::random));
        let kept = kept
            .filter(|(_, is_kept)| *is_kept)
            .map(|(server, _)| server.clone());
        Some(kept.collect())
    }

    /// Counts a plain call that has arrived, and refuses it if it cannot be answered in time to be
    /// useful.
    pub(super) fn admit_plain(&self, call: &Call) -> Result<(), Failure> {
        if self.state.is_cut_off() || call.has_arrived() {
            return Ok(());
        }
        let now = Instant::now();
        self.state.plain_loads.note_arrival(&call.service, now);
        let servers = self.eligible_servers(call, now);
        let view = self.plain_view(call, &servers, now);
        let division = view.and_then(|it| {
            let division = Division::of(&it.servers, &it.demand)?;
            Some((it.demand, division))
        });
        let Some((demand, division)) = division else {
            return Ok(());
        };
        if division.admits(rand::random()) {
            return Ok(());
        }
        self.state.metrics.note_plain_decision("refused");
        info!(
            request = %call.request.id,
            route = %call.route.name,
            servers = servers.len(),
            calls_per_s = demand.calls_per_s,
            figures_age_ms = demand.horizon.as_millis() as u64,
            finish_ms = (division.level_s * 1_000.0) as u64,
            target_ms = call.route.target_latency_ms,
            useful_share = division.useful_share,
            "call would be answered too late"
        );
        Err(Failure::Full(self.plain_return_after(call)))
    }

    /// Decides what happens to a call that a server has just rejected: returns when it is to be sent
    /// again, or fails.
    pub(super) async fn settle_rejected(&self, call: &mut Call) -> Result<(), Failure> {
        let now = Instant::now();
        let servers = self.eligible_servers(call, now);
        let rejecting = call.tried.last();
        let rejecting = servers.iter().position(|it| rejecting == Some(&it.id));
        // Servers also reject calls for other reasons than their load.
        let is_full =
            |view: &PlainView| rejecting.is_some_and(|it| view.servers[it].limit.is_some());
        let view = self.plain_view(call, &servers, now);
        let Some(view) = view.filter(|it| call.runs == 0 && is_full(it)) else {
            return Ok(());
        };
        let target = Duration::from_millis(call.route.target_latency_ms);
        let target_left = target.saturating_sub(call.arrived.elapsed());
        let decision = after_rejection(&view.servers, target_left, call.time_left());
        let is_leaving = self.state.shutdown.is_leaving();
        let (name, hold) = match decision {
            AfterRejection::TryOther => ("tried_other", None),
            // Without a retry the call could not be sent after the hold.
            AfterRejection::Hold(hold) if !is_leaving && self.reserve_retry(call) => {
                ("held", Some(hold))
            }
            AfterRejection::Hold(_) | AfterRejection::Refuse => ("given_up", None),
        };
        self.state.metrics.note_plain_decision(name);
        info!(
            request = %call.request.id,
            decision = name,
            hold_ms = hold.map(|it| it.as_millis() as u64),
            target_left_ms = target_left.as_millis() as u64,
            refused = call.refused,
            servers = servers.len(),
            "rejected call settled"
        );
        match (decision, hold) {
            (AfterRejection::TryOther, _) => Ok(()),
            (_, Some(hold)) => {
                compio::time::sleep(hold).await;
                // The servers that rejected the call have room again.
                call.tried.clear();
                Ok(())
            }
            _ => Err(self.final_failure(call)),
        }
    }

    /// When the caller of a plain call that is refused should come again: once servers answer in
    /// time again. `None` if their load is not known.
    pub(super) fn plain_return_after(&self, call: &Call) -> Option<Duration> {
        let now = Instant::now();
        let servers = self.eligible_servers(call, now);
        let view = self.plain_view(call, &servers, now)?;
        let (after, calls_per_s) = recovery(&view.servers, view.demand.target);
        let room = Room {
            after,
            starts_per_s: Some(calls_per_s / self.state.peers.vms().max(1) as f64),
        };
        let refused = Refused {
            service: &call.service,
            is_urgent: call.priority() == 0,
            time_left: call.time_left(),
        };
        let returns = &self.state.returns;
        Some(returns.assign(refused, room, rand::random(), now))
    }
}
