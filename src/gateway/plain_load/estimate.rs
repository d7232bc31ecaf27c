//! Estimates when plain servers would answer a call, and decides from that.
//!
//! The figures of all VMs are nearly the same, and each call that was sent since they were stated is
//! missing in them. A VM therefore does not send to the server that looks best: it computes how many
//! of the calls that arrive meanwhile each server can take until all of them would answer equally
//! late, and sends to each in proportion ("interpreting" stale load, as Dahlin described it).

use std::time::Duration;

/// The share of a route's target up to which an estimated finish is as good as any earlier one.
const GOOD_SHARE: f64 = 0.5;
/// The share of a route's target up to which a call is worth sending. The estimate is a mean: the
/// work of single calls is up to half as long again.
const USEFUL_SHARE: f64 = 0.8;
/// The least level up to which a call is sent, relative to its work on the fastest server, so that
/// idle servers take calls whatever the target.
const MIN_LEVEL_OF_WORK: f64 = 1.5;
/// The shortest and the longest time for which calls are assumed to be missing in the figures.
const MIN_HORIZON: Duration = Duration::from_millis(50);
const MAX_HORIZON: Duration = Duration::from_millis(1_000);
/// The longest finish that is considered, in seconds.
const MAX_LEVEL_S: f64 = 60.0;
/// The number of bisections of the level: to less than a microsecond.
const BISECTIONS: u32 = 26;

/// A server as the decision sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlainServer {
    pub(crate) slots: f64,
    /// The requests that run and wait there.
    pub(crate) in_system: f64,
    /// The time that the work of one call takes there now, in seconds.
    pub(crate) work_s: f64,
    /// The requests from which it rejects more, if that is known.
    pub(crate) limit: Option<u32>,
    /// Whether the call was rejected there, or the server failed recently.
    pub(crate) is_avoided: bool,
    /// Whether the call was rejected there, so that the server was full a moment ago.
    pub(crate) has_rejected: bool,
}

impl PlainServer {
    /// Calls per second that the server completes while all slots are in use.
    fn rate(&self) -> f64 {
        self.slots / self.work_s
    }

    /// The number of calls that the server can take over a time and still answer within a level,
    /// both in seconds.
    fn room(&self, level_s: f64, horizon_s: f64) -> f64 {
        if self.work_s > level_s {
            return 0.0;
        }
        let places = self.slots * level_s / self.work_s;
        let places = self
            .limit
            .map_or(places, |limit| places.min(f64::from(limit)));
        (places + self.rate() * horizon_s - self.in_system).max(0.0)
    }

    /// The number of calls that the server can take over a time and still answer within a level or
    /// at once: a call is never refused while a slot is free.
    fn useful_room(&self, level_s: f64, horizon_s: f64) -> f64 {
        self.room(level_s.max(self.work_s), horizon_s)
    }

    /// The time until a call that is sent now would be answered, in seconds.
    pub(crate) fn finish_s(&self) -> f64 {
        self.work_s * ((self.in_system + 1.0) / self.slots).max(1.0)
    }

    /// Whether it would reject a call that is sent now, as far as known.
    fn is_full(&self) -> bool {
        self.limit
            .is_some_and(|limit| self.in_system + 1.0 > f64::from(limit))
    }
}

/// The calls that compete for the servers, and what a call of a route needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// Calls for the service at all VMs per second.
    pub(crate) calls_per_s: f64,
    /// The time in which calls were sent that the figures do not contain yet.
    pub(crate) horizon: Duration,
    /// The target of the route.
    pub(crate) target: Duration,
}

impl Demand {
    fn horizon_s(&self) -> f64 {
        self.horizon.clamp(MIN_HORIZON, MAX_HORIZON).as_secs_f64()
    }
}

/// How the calls that arrive meanwhile are divided among the servers.
#[derive(Clone, Debug)]
pub(crate) struct Division {
    /// The calls that each server can take.
    pub(crate) room: Vec<f64>,
    /// The finish at which all calls would be answered, in seconds.
    pub(crate) level_s: f64,
    /// The share of the calls that can be answered within the useful time.
    pub(crate) useful_share: f64,
}

impl Division {
    /// Divides the calls among the servers; `None` if there is no server.
    pub(crate) fn of(servers: &[PlainServer], demand: &Demand) -> Option<Self> {
        // Where all servers are avoided, calls are sent to them all the same.
        let has_other = servers.iter().any(|it| !it.is_avoided);
        let usable = |it: &&PlainServer| !it.is_avoided || !has_other;
        let works = servers.iter().filter(usable).map(|it| it.work_s);
        let fastest = works.reduce(f64::min)?;
        let horizon_s = demand.horizon_s();
        let expected = demand.calls_per_s * horizon_s + 1.0;
        let sum = |level_s: f64| -> f64 {
            let usable = servers.iter().filter(usable);
            usable.map(|it| it.room(level_s, horizon_s)).sum()
        };
        let target_s = demand.target.as_secs_f64();
        let floor = fastest * MIN_LEVEL_OF_WORK;
        let good_s = (target_s * GOOD_SHARE).max(floor);
        let useful_s = (target_s * USEFUL_SHARE).max(floor);
        let (mut low, mut high) = (good_s, MAX_LEVEL_S.max(good_s));
        if sum(low) >= expected {
            high = low;
        } else {
            for _ in 0..BISECTIONS {
                let middle = f64::midpoint(low, high);
                match sum(middle) >= expected {
                    true => high = middle,
                    false => low = middle,
                }
            }
        }
        let useful = servers.iter().filter(usable);
        let useful: f64 = useful.map(|it| it.useful_room(useful_s, horizon_s)).sum();
        let room = servers.iter().map(|it| match usable(&it) {
            true => it.room(high, horizon_s),
            false => 0.0,
        });
        Some(Self {
            room: room.collect(),
            level_s: high,
            useful_share: match high <= useful_s {
                true => 1.0,
                false => (useful / expected).min(1.0),
            },
        })
    }

    /// Which servers a call may be sent to. Each is left out with the probability by which it has less
    /// room than the one with the most; where all have the same room, all are kept. `draw` returns
    /// random numbers from 0 to 1.
    pub(crate) fn kept(&self, mut draw: impl FnMut() -> f64) -> Vec<bool> {
        let most = self.room.iter().copied().fold(0.0, f64::max);
        let kept = self.room.iter().map(|room| match most > 0.0 {
            true => *room >= most || draw() * most < *room,
            false => true,
        });
        kept.collect()
    }

    /// Whether a call is sent, given a random number from 0 to 1: as many as can be answered within
    /// the useful time.
    pub(crate) fn admits(&self, draw: f64) -> bool {
        draw < self.useful_share
    }
}

/// What happens to a call that a server rejected without running it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AfterRejection {
    /// It is sent to another server at once.
    TryOther,
    /// It is held for this time and then sent to the server with the most room.
    Hold(Duration),
    /// It is refused.
    Refuse,
}

/// Decides what happens to a call that was rejected. `target_left` is the time until its target and
/// `time_left` until its deadline.
pub(crate) fn after_rejection(
    servers: &[PlainServer],
    target_left: Duration,
    time_left: Duration,
) -> AfterRejection {
    let others = servers.iter().filter(|it| !it.is_avoided && !it.is_full());
    let finish_s = others.map(PlainServer::finish_s).reduce(f64::min);
    if finish_s.is_some_and(|finish_s| finish_s <= time_left.as_secs_f64()) {
        return AfterRejection::TryOther;
    }
    // The time until a server has completed as many calls as it has slots: less is taken by others.
    // A server that has rejected the call is full, whatever was stated before.
    let left_s = target_left.min(time_left).as_secs_f64();
    let usable = servers
        .iter()
        .filter(|it| !it.is_avoided || it.has_rejected);
    let held = usable.filter_map(|server| {
        let limit = f64::from(server.limit?);
        let in_system = match server.has_rejected {
            true => server.in_system.max(limit),
            false => server.in_system,
        };
        let excess = (in_system + server.slots - limit).max(0.0);
        let wait_s = excess / server.rate();
        let queue_s = server.work_s * (limit / server.slots).max(1.0);
        (wait_s + queue_s <= left_s).then_some(wait_s)
    });
    match held.reduce(f64::min) {
        Some(wait_s) => AfterRejection::Hold(Duration::from_secs_f64(wait_s)),
        None => AfterRejection::Refuse,
    }
}

/// The time until the servers would answer a call within the useful time again, and the calls that
/// they then complete per second.
pub(crate) fn recovery(servers: &[PlainServer], target: Duration) -> (Duration, f64) {
    let rate: f64 = servers.iter().map(PlainServer::rate).sum();
    let excess = servers.iter().map(|it| {
        let level_s = (target.as_secs_f64() * USEFUL_SHARE).max(it.work_s * MIN_LEVEL_OF_WORK);
        (it.in_system - it.rate() * level_s).max(0.0)
    });
    let after_s = excess.sum::<f64>() / rate.max(f64::MIN_POSITIVE);
    (Duration::from_secs_f64(after_s.min(MAX_LEVEL_S)), rate)
}
