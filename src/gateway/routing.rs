//! Server selection for a request: which servers can serve it, which of them have free slots, and
//! how long the request is held until one has.

use crate::gateway::call::{Call, StreamVersion};
use crate::gateway::choose::{Candidate, choose};
use crate::gateway::failure::Failure;
use crate::gateway::fleet::Server;
use crate::gateway::peer_loads::PeerLoads;
use crate::gateway::relay::Relay;
use crate::gateway::server_speed::{Work, on_time_slowness};
use crate::gateway::waiting::{
    Need, QueuedRequest, Urgency, check_interval, need_id, reserved_slots, yield_limit,
};
use crate::gateway::{Protocol, Weights};
use crate::inventory::Name;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// The load from which a server counts as busy and may answer slowly, in requests per slot.
const BUSY_LOAD: f64 = 0.7;
/// The longest interval between two checks for a free slot.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// The longest interval between two checks for a server that has the model loaded; each change in
/// what servers have loaded triggers a check at once.
const MODEL_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The part of the drain time in which a server that said that it leaves is still used where no other
/// can serve the request.
const LEAVING_USE_SHARE: f64 = 0.5;

/// The selected server with the load figures that it was selected by.
#[derive(Clone)]
pub(super) struct Choice {
    server: Rc<Server>,
    candidate: Candidate,
    /// The number of eligible servers.
    candidates: usize,
    /// Whether calls were divided among the servers by their load.
    is_divided: bool,
}

impl Choice {
    /// Logs the selection with the figures that decided it.
    fn log(&self, call: &Call) {
        info!(
            request = %call.request.id,
            server = %self.server.id,
            software = %self.server.software_version(),
            model = %call.model(),
            organisation = call.organisation_name(),
            load = self.candidate.load(),
            is_near = self.candidate.is_local,
            is_far_late = self.candidate.is_remote_load_stale,
            is_connected = self.candidate.is_connected,
            prompts_wait_ms = self.candidate.queued_prefill_ms as u64,
            slowness = self.candidate.slowness,
            read_ms = call.cost.prefill_ms as u64,
            has_failed = self.candidate.has_failed,
            candidates = self.candidates,
            is_divided = self.is_divided,
            waited_ms = call.arrived.elapsed().as_millis() as u64,
            "routed"
        );
    }
}

/// What a request for a new stream waits for, and its place among others.
struct Place {
    need: Need,
    urgency: Urgency,
}

/// What a request waits for; `None` for requests to plain services.
pub(super) fn need(call: &Call) -> Option<Need> {
    Some(Need {
        service: call.service.clone(),
        weights: call.weights()?,
    })
}

/// Why a request cannot be sent yet.
pub(super) enum Obstacle {
    /// No server can serve the request.
    NoServer,
    /// All servers that can serve the request are full.
    Full,
    /// The free slots of all servers that can serve the request are reserved for more urgent ones.
    Reserved,
    /// The rate limits of all servers that can serve the request allow none now.
    RateLimited,
    /// All servers that can serve the request want none from this VM until then.
    Paused(Instant),
    /// The server has other prompts to prefill, or requests ahead in the queue wait for it.
    Prefilling(Choice),
}

impl Obstacle {
    /// Until when the request is held; requests to plain services are not held.
    pub(super) fn hold_limit(&self, call: &Call) -> Instant {
        if call.request.generation.is_none() {
            return call.arrived;
        }
        call.hold_until()
    }
}

impl<P: Protocol> Relay<P> {
    /// Whether an untried server is a better choice than a silent one: either the silent one is
    /// not busy, so that load does not explain its silence, or an untried one is not busy.
    pub(super) fn has_better_server(&self, call: &Call, silent: &Server) -> bool {
        let now = Instant::now();
        let mut others = self.eligible_servers(call, now);
        others.retain(|other| {
            let is_limited = self.state.rate_limit_per_s(other).is_some();
            other.id != silent.id && !call.tried.contains(&other.id) && !is_limited
        });
        !others.is_empty()
            && (!self.is_busy(silent) || others.iter().any(|other| !self.is_busy(other)))
    }

    /// Whether most slots of a server are in use.
    pub(crate) fn is_busy(&self, server: &Server) -> bool {
        let peer_loads = self.state.peers.loads();
        let in_flight = self
            .state
            .known_in_flight(server, &peer_loads, Instant::now());
        f64::from(in_flight) >= BUSY_LOAD * server.with_entry(|entry| f64::from(entry.slots))
    }

    /// Selects the server to send to; waits for a free slot, for the prefill of queued prompts, or
    /// for the model to be loaded.
    pub(crate) async fn server_for(&self, call: &Call) -> Result<Rc<Server>, Failure> {
        let mut waiting = None;
        let mut queued = None;
        let place = self.place(call);
        loop {
            let changed = self.state.changed.wait();
            if self.state.is_contained(call) {
                return Err(match call.runs {
                    0 => Failure::Poison,
                    _ => Failure::Unknown,
                });
            }
            let obstacle = match self.try_select(call, place.as_ref(), queued.as_ref()) {
                Ok(server) => {
                    let waited = call.arrived.elapsed();
                    if queued.is_some() {
                        self.state.metrics.slot_wait.observe(waited.as_secs_f64());
                    }
                    self.note_end(call, place.as_ref(), true);
                    return Ok(server);
                }
                Err(obstacle) => obstacle,
            };
            let limit = obstacle.hold_limit(call);
            let left = limit.saturating_duration_since(Instant::now());
            // A VM that is shutting down holds no requests that another VM can serve.
            let is_leaving = self.state.shutdown.is_leaving();
            if matches!(obstacle, Obstacle::Reserved) && (left.is_zero() || is_leaving) {
                // The reservation has ended since.
                continue;
            }
            // No server will have weights that the configuration does not list.
            let is_hopeless = matches!(obstacle, Obstacle::NoServer) && !self.lists_weights(call);
            if left.is_zero()
                || is_leaving
                || is_hopeless
                || self.outlasts_hold(call, &obstacle, queued.is_some())
            {
                let result = self.resolve(obstacle, call);
                self.note_end(call, place.as_ref(), result.is_ok());
                return result;
            }
            if let Some(Place { need, urgency }) = &place {
                queued
                    .get_or_insert_with(|| self.state.wait_queues.enqueue(need.clone(), *urgency));
                if matches!(obstacle, Obstacle::NoServer) {
                    waiting.get_or_insert_with(|| self.state.count_waiting(&need.weights));
                }
            }
            let jitter = rand::random_range(0.5..1.0);
            let poll = match (&obstacle, &place) {
                (Obstacle::NoServer, _) => MODEL_POLL_INTERVAL,
                (Obstacle::Reserved, Some(Place { urgency, .. })) => {
                    let interval = check_interval(urgency.yields_until - urgency.arrived);
                    interval.max(SLOT_POLL_INTERVAL).mul_f64(jitter)
                }
                _ => SLOT_POLL_INTERVAL.mul_f64(jitter),
            };
            // Whether notified or timed out, the next iteration checks again.
            let _ = compio::time::timeout(left.min(poll), changed).await;
        }
    }

    /// Whether the configuration lists the weights that a request needs, if it needs any.
    fn lists_weights(&self, call: &Call) -> bool {
        let configuration = self.state.configuration();
        let needed = call.weights().zip(configuration);
        needed.is_none_or(|(weights, configuration)| configuration.lists(&weights))
    }

    /// The place of a request for a new stream among those that wait; `None` for plain calls and for
    /// streams that have started, which go on without waiting.
    fn place(&self, call: &Call) -> Option<Place> {
        let need = need(call).filter(|_| call.is_unstarted())?;
        let now = Instant::now();
        let priority = call.priority();
        let target = call.timing().target;
        let send_by = call.timing().send_by(call.prefill_time());
        let traffic = &self.state.traffic;
        let urgent_per_s = traffic.urgent_per_s(&need.service, priority, target, now);
        let yields_until = match urgent_per_s > 0.0 {
            true => yield_limit(call.arrived, send_by, call.hold_until()),
            false => call.arrived,
        };
        let urgency = Urgency {
            priority,
            arrived: call.arrived,
            send_by,
            yields_until,
            may_advance: traffic.may_advance(&need.service, priority, now),
        };
        Some(Place { need, urgency })
    }

    /// Records whether a request was sent, and in time.
    fn note_end(&self, call: &Call, place: Option<&Place>, is_sent: bool) {
        if let Some(Place { need, urgency }) = place {
            let now = Instant::now();
            let is_in_time = is_sent && now <= urgency.send_by;
            let traffic = &self.state.traffic;
            traffic.note_end(&need.service, call.priority(), is_in_time, now);
        }
    }

    /// Removes the servers whose free slots are all reserved for requests that are more urgent. A VM
    /// assumes that others receive as many of them as it does.
    fn leave_reserved(
        &self,
        servers: &mut Vec<Rc<Server>>,
        call: &Call,
        place: &Place,
        now: Instant,
    ) {
        let target = call.timing().target;
        let service = &place.need.service;
        let traffic = &self.state.traffic;
        let own_per_s = traffic.urgent_per_s(service, place.urgency.priority, target, now);
        let runners = self.state.fleet.of_service(service).len().max(1);
        let urgent_per_s = own_per_s * self.state.peers.vms() as f64 / runners as f64;
        let peer_loads = self.state.peers.loads();
        servers.retain(|server| {
            let in_flight = self.state.known_in_flight(server, &peer_loads, now);
            let slots = server.with_entry(|entry| entry.slots);
            let reserved = reserved_slots(urgent_per_s, slots);
            reserved == 0 || in_flight < slots.saturating_sub(reserved)
        });
    }

    /// Whether more urgent requests wait at other VMs for what a server has loaded. The order in a VM's
    /// own queue does not see them.
    fn has_more_urgent(&self, place: &Place, server: &Server, now: Instant) -> bool {
        let need = |model: &Name, adapter: Option<&Name>| {
            need_id(&Need {
                service: place.need.service.clone(),
                weights: Weights {
                    model: model.clone(),
                    adapter: adapter.cloned(),
                },
            })
        };
        let mut needs = Vec::new();
        server.with_holdings(now, |holdings| {
            for holding in holdings {
                needs.push(need(&holding.model, None));
                let adapters = holding.adapters.iter();
                needs.extend(adapters.map(|adapter| need(&holding.model, Some(adapter))));
            }
        });
        let priority = place.urgency.effective_priority(now);
        self.state.peers.has_more_urgent(&needs, priority)
    }

    /// Decides what happens to the request when its hold ends: it is sent even if prompts are
    /// queued at the server, else it fails.
    fn resolve(&self, obstacle: Obstacle, call: &Call) -> Result<Rc<Server>, Failure> {
        match obstacle {
            Obstacle::Prefilling(choice)
                if self.state.take_rate_limit(&choice.server, Instant::now()) =>
            {
                choice.log(call);
                Ok(choice.server)
            }
            _ if call.runs > 0 => Err(Failure::Unknown),
            Obstacle::NoServer => Err(Failure::NoServer(
                self.return_after(call, &Obstacle::NoServer),
            )),
            Obstacle::Paused(until) => {
                let left = until.saturating_duration_since(Instant::now());
                Err(Failure::Paused(left))
            }
            Obstacle::Full | Obstacle::Reserved => {
                Err(Failure::Full(self.return_after(call, &Obstacle::Full)))
            }
            Obstacle::Prefilling(_) | Obstacle::RateLimited => {
                let after = self.return_after(call, &Obstacle::RateLimited);
                Err(Failure::RateLimited(after))
            }
        }
    }

    /// Selects the server that the request can be sent to now, and counts the request towards the
    /// server's rate limit.
    fn try_select(
        &self,
        call: &Call,
        place: Option<&Place>,
        queued: Option<&QueuedRequest>,
    ) -> Result<Rc<Server>, Obstacle> {
        let now = Instant::now();
        let mut servers = self.eligible_servers(call, now);
        let may_yield = now < call.hold_until() && !self.state.shutdown.is_leaving();
        let yielding = place.filter(|it| may_yield && it.urgency.yields(now));
        if !servers.is_empty()
            && let Some(place) = yielding
        {
            self.leave_reserved(&mut servers, call, place, now);
            if servers.is_empty() {
                return Err(Obstacle::Reserved);
            }
        }
        let mut is_rate_limited = false;
        loop {
            let Some(choice) = self.pick(call, &servers, now) else {
                return Err(match self.earliest_pause_end(call, now) {
                    _ if is_rate_limited => Obstacle::RateLimited,
                    Some(until) => Obstacle::Paused(until),
                    None => Obstacle::NoServer,
                });
            };
            self.check_readiness(call, &choice, place, queued)?;
            if yielding.is_some_and(|it| self.has_more_urgent(it, &choice.server, now)) {
                return Err(Obstacle::Reserved);
            }
            if self.state.take_rate_limit(&choice.server, now) {
                choice.log(call);
                return Ok(choice.server);
            }
            servers.retain(|server| server.id != choice.server.id);
            is_rate_limited = true;
        }
    }

    /// Checks whether the chosen server has room for the request, and whether it is the request's
    /// turn.
    fn check_readiness(
        &self,
        call: &Call,
        choice: &Choice,
        place: Option<&Place>,
        queued: Option<&QueuedRequest>,
    ) -> Result<(), Obstacle> {
        let candidate = &choice.candidate;
        // A stream that has already started continues without waiting, even where others wait.
        if let Some(place) = place {
            if candidate.is_full() {
                return Err(Obstacle::Full);
            }
            let max_pause_ms = call.route.max_pause_ms as f64;
            let now = Instant::now();
            let is_served = |need: &Need| {
                need.service == place.need.service && choice.server.holds(&need.weights, now)
            };
            let ahead = match queued {
                Some(queued) => queued.ahead(is_served, now),
                None => {
                    self.state
                        .wait_queues
                        .ahead_of_new(&place.need, place.urgency, is_served, now)
                }
            };
            // Requests for other weights come first only where there is no slot for both.
            let free = candidate.slots.saturating_sub(candidate.in_flight) as usize;
            let is_next =
                ahead.same_weights == 0 && (ahead.other_weights == 0 || ahead.other_weights < free);
            if !is_next || candidate.defers_prompt(call.cost.prefill_ms, max_pause_ms) {
                return Err(Obstacle::Prefilling(choice.clone()));
            }
        }
        Ok(())
    }

    /// The servers that accept requests from this VM and, for a generation request, have the weights
    /// loaded. If there are none, those that have only just said that they leave: they still serve
    /// for a while.
    pub(super) fn eligible_servers(&self, call: &Call, now: Instant) -> Vec<Rc<Server>> {
        let mut servers = self.capable_servers(call, now);
        servers.retain(|server| server.paused_until(now).is_none());
        servers.retain(|server| !call.silent_servers.contains(&server.id));
        let has_accepting = servers.iter().any(|server| server.accepts_requests());
        let grace = self.state.settings.bounds.drain.mul_f64(LEAVING_USE_SHARE);
        servers.retain(|server| match has_accepting {
            true => server.accepts_requests(),
            false => server.has_begun_leaving(grace, now),
        });
        servers
    }

    /// Whether a server takes requests, at least where no other can serve them.
    pub(super) fn takes_requests(&self, server: &Server, now: Instant) -> bool {
        let grace = self.state.settings.bounds.drain.mul_f64(LEAVING_USE_SHARE);
        server.accepts_requests() || server.has_begun_leaving(grace, now)
    }

    /// The servers that have what the request needs, whether they accept requests or not.
    fn capable_servers(&self, call: &Call, now: Instant) -> Vec<Rc<Server>> {
        let mut servers = self.state.fleet.of_service(&call.service);
        match &call.stream_version {
            StreamVersion::Bound(version) => {
                servers.retain(|server| server.software_version() == *version);
            }
            StreamVersion::Any if call.route.is_resumable() => {
                let versions = self.state.software_versions.borrow();
                let is_open = |version: &str| versions.is_open(&call.service, version, now);
                servers.retain(|server| is_open(&server.software_version()));
            }
            StreamVersion::Any | StreamVersion::Unresolved => {}
        }
        if let Some(weights) = call.weights() {
            servers.retain(|server| server.holds(&weights, now));
        }
        servers
    }

    /// When the first server that could serve the request takes requests from this VM again; `None`
    /// if none of them has asked for a pause.
    fn earliest_pause_end(&self, call: &Call, now: Instant) -> Option<Instant> {
        let mut servers = self.capable_servers(call, now);
        servers.retain(|server| server.accepts_requests());
        let ends = servers.iter().filter_map(|server| server.paused_until(now));
        ends.min()
    }

    /// Picks the best candidate among servers, by load and penalties.
    fn pick(&self, call: &Call, servers: &[Rc<Server>], now: Instant) -> Option<Choice> {
        let peer_loads = self.state.peers.loads();
        let divided = self.divided_servers(call, servers, now);
        let kept = divided.as_deref().unwrap_or(servers);
        let candidates: Vec<Candidate> = kept
            .iter()
            .map(|server| self.candidate(call, server, &peer_loads, now))
            .collect();
        // Load and speed have decided already which servers are kept.
        let compared = candidates.iter().map(|it| match divided {
            Some(_) => Candidate {
                in_flight: 0,
                slowness: 1.0,
                ..*it
            },
            None => *it,
        });
        let compared: Vec<Candidate> = compared.collect();
        let index = choose(&compared, rand::random)?;
        Some(Choice {
            server: kept[index].clone(),
            candidate: candidates[index],
            candidates: servers.len(),
            is_divided: divided.is_some(),
        })
    }

    fn candidate(
        &self,
        call: &Call,
        server: &Server,
        peer_loads: &PeerLoads<'_>,
        now: Instant,
    ) -> Candidate {
        let in_flight = self.state.known_in_flight(server, peer_loads, now);
        // Requests of VMs whose messages are lost or late are known to the server alone.
        let speeds = &self.state.server_speeds;
        let stated = speeds.stated_in_flight(&server.incarnation(), now);
        let in_flight = in_flight.max(stated.unwrap_or(0));
        let zone = &self.state.settings.availability_zone;
        let is_connected = self.pool.has_idle(server, now);
        let was_tried = call.tried.contains(&server.id);
        server.with_entry(|entry| Candidate {
            in_flight,
            slots: entry.slots,
            queued_prefill_ms: server.backlog.wait_ms(now),
            is_local: entry.availability_zone == *zone,
            is_remote_load_stale: self.state.peers.is_remote_load_stale(),
            is_connected,
            was_tried,
            is_short_call: call.request.generation.is_none(),
            slowness: self.relevant_slowness(call, server, now),
            has_failed: server.is_in_backoff(now) || was_tried,
        })
    }

    /// The slowness of a server as far as it matters for a request: a server at which the request
    /// would be on time counts as one that is only just fast enough for that.
    fn relevant_slowness(&self, call: &Call, server: &Server, now: Instant) -> f64 {
        let speeds = &self.state.server_speeds;
        let slowness = speeds.current_slowness(&server.incarnation(), now);
        let (work, limit_ms) = match call.request.generation {
            Some(_) => (Work::Event(call.model()), call.route.max_pause_ms),
            None => (
                Work::Call(call.route.name.clone()),
                call.route.target_latency_ms,
            ),
        };
        let usual_time = speeds.usual_time(&work);
        slowness.max(usual_time.map_or(0.0, |usual_time| {
            on_time_slowness(usual_time, Duration::from_millis(limit_ms))
        }))
    }
}
