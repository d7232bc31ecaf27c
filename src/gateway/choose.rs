//! Chooses a backend server for a request by load, zone, connections, speed and failures.

/// Score added to a server in another zone, in units of load (requests per slot). It decides
/// between equally loaded servers in favour of the local zone, and is too small to keep
/// requests on a busier local server.
const REMOTE_ZONE_PENALTY: f64 = 0.05;
/// Score added to a server in another zone while load reports from other zones arrive late, in
/// units of load.
///
/// In a large fleet a VM exchanges loads with each VM of another zone only once in many gossip
/// rounds. A remote server that appears idle is then chosen by all zones at once, whereas the load
/// in the local zone is nearly current. Queued prompts are at most advertised within a zone.
/// With the smaller penalty, 29 instead of 23 of 100 requests reach a full runner at nine tenths
/// load (`tests/zones.rs`).
const STALE_ZONE_PENALTY: f64 = 0.6;
/// Score added to a server without an open idle connection, in units of load. Servers count new
/// connections and accept few at a time, so connected servers are preferred among equals.
const CONNECT_PENALTY: f64 = 0.3;
/// Prefill time of queued prompts, in milliseconds, that scores the same as a fully loaded server.
///
/// Queued prompts stall every stream on a runner, while streams barely slow each other down. At
/// three quarters of the prefill capacity, queued prompts stall streams for over 150 ms in 14 to
/// 22 % of the time by chance alone, and in 0.1 to 0.3 % with 10 ms (`tests/spreading.rs`).
const PREFILL_MS_PER_LOAD: f64 = 10.0;
/// Upper bound of the random number added to each score, in units of load: as much as a fully
/// loaded server.
///
/// The requests in flight at other VMs are known with a delay of up to 200 ms, in which a busy
/// model receives dozens of requests. If all VMs chose the server that looked least loaded, they
/// would queue their prompts on the same one whenever messages about these prompts are lost. At
/// half of the prefill capacity, queued prompts stall streams in 13 to 17 % of the time with a
/// bound of 0.1 and a `PREFILL_MS_PER_LOAD` of 50, and in 0.1 % with the present values.
const MAX_NOISE: f64 = 1.0;
/// Weight of a server's load in the score of a short call, relative to its weight for a stream.
///
/// Short calls end before other VMs learn of them, so the known load is outdated when it is used,
/// and VMs that all chose the least loaded server would fill one server after the other. With
/// 1.0, 22 of 100 calls are late at eight tenths load from 67 VMs, with 0.07 it is 1; at 0.02 the
/// slow servers fill up and it is 3 (`tests/brief.rs`).
const SHORT_CALL_LOAD_WEIGHT: f64 = 0.07;
/// Load at which a runner counts as full, in requests per slot. Requests queued beyond its slots
/// start late and delay those that are already running.
pub(crate) const FULL_LOAD: f64 = 1.1;
/// Share of the longest permitted pause that prefilling prompts may take up. The rest is left for
/// the steps of the streams and for prompts that other VMs have not advertised yet.
const PREFILL_PAUSE_SHARE: f64 = 0.6;
/// Load below which a local server is preferred to all remote ones, in requests per slot. Streams
/// barely slow each other down while only a quarter of the slots is in use.
const LIGHT_LOAD: f64 = 0.25;
/// Prefill time of queued prompts, in milliseconds, up to which they are ignored.
const NEGLIGIBLE_PREFILL_MS: f64 = 5.0;

/// Score added to a server that is twice as slow as the fastest one that can serve the request, in
/// units of load, while the fastest one has free slots (`tests/speed_play.rs`).
const SLOWNESS_PENALTY: f64 = 2.0;
/// The same for a short call. A route of plain calls has few servers, and the faster ones alone
/// cannot take all calls, whose load is known too late to spread them. With 0.6, 2 instead of 1 of
/// 100 calls are late at eight tenths load from 195 VMs (`tests/brief.rs`).
const SHORT_CALL_SLOWNESS_PENALTY: f64 = 0.15;
/// Upper bound of the score added for slowness, in units of load.
const MAX_SLOWNESS_PENALTY: f64 = 3.0;
/// Load below [`FULL_LOAD`] of the fastest server at which the score added for slowness begins to
/// decrease; it is zero when that server is full. Without it, requests that slower servers would
/// start at once queue at the fast ones (`docs/design/server-speed.md`).
const NEARLY_FULL_RANGE: f64 = 0.3;
/// Slowness relative to the fastest server up to which a lightly loaded local server is preferred to
/// all remote ones.
const SLIGHT_SLOWNESS: f64 = 1.25;

/// A backend server that can serve the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Requests in flight on the server from all VMs, as far as this VM knows.
    pub(crate) in_flight: u32,
    /// Requests that the server runs at a time.
    pub(crate) slots: u32,
    /// Prefill time of the prompts queued on the server, in milliseconds.
    pub(crate) queued_prefill_ms: f64,
    /// Whether the server is in this VM's availability zone.
    pub(crate) is_local: bool,
    /// Whether load reports from other zones arrive late.
    pub(crate) is_remote_load_stale: bool,
    /// Whether an idle connection to the server is open.
    pub(crate) is_connected: bool,
    /// Whether an earlier attempt of this request was sent to the server.
    pub(crate) was_tried: bool,
    /// Whether the request ends before other VMs learn of it, as calls to plain services do.
    pub(crate) is_short_call: bool,
    /// The time that the server takes for this request relative to a usual one, as far as it matters
    /// to the caller; 1.0 is usual.
    pub(crate) slowness: f64,
    /// Whether the server failed recently, or failed an earlier attempt of this request.
    pub(crate) has_failed: bool,
}

impl Candidate {
    /// Returns the load, in requests per slot.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots.max(1))
    }

    /// Whether all slots are taken and further requests are queued on the server.
    pub(crate) fn is_full(&self) -> bool {
        self.load() >= FULL_LOAD
    }

    /// Whether a prompt with a prefill time of `prefill_ms` should be held until queued prompts
    /// are processed. Sent now, it would make streams on the server pause for longer than
    /// `max_pause_ms` allows.
    pub(crate) fn defers_prompt(&self, prefill_ms: f64, max_pause_ms: f64) -> bool {
        let queued_ms = self.queued_prefill_ms;
        queued_ms > NEGLIGIBLE_PREFILL_MS
            && queued_ms + prefill_ms > max_pause_ms * PREFILL_PAUSE_SHARE
    }

    /// Returns the load plus all penalties, in requests per slot; lower is better. `slowness` is
    /// relative to the fastest candidate, `room` the share of the penalty for it that applies.
    fn score(&self, slowness: f64, room: f64) -> f64 {
        let zone = match (
            self.is_local,
            self.is_remote_load_stale && !self.is_short_call,
        ) {
            (true, _) => 0.0,
            (false, true) => STALE_ZONE_PENALTY,
            (false, false) => REMOTE_ZONE_PENALTY,
        };
        let connect = match self.is_connected {
            true => 0.0,
            false => CONNECT_PENALTY,
        };
        let load = match self.is_short_call {
            true => self.load() * SHORT_CALL_LOAD_WEIGHT,
            false => self.load(),
        };
        let penalty = match self.is_short_call {
            true => SHORT_CALL_SLOWNESS_PENALTY,
            false => SLOWNESS_PENALTY,
        };
        let slow = ((slowness - 1.0) * penalty).min(MAX_SLOWNESS_PENALTY) * room;
        load + self.queued_prefill_ms / PREFILL_MS_PER_LOAD + zone + connect + slow
    }

    /// Whether the server is local and so lightly loaded that no remote one would be faster.
    fn is_local_and_lightly_loaded(&self) -> bool {
        self.is_local && self.load() < LIGHT_LOAD && self.queued_prefill_ms < NEGLIGIBLE_PREFILL_MS
    }

    /// Returns the sort key that takes precedence over the score; lower is better.
    ///
    /// Servers that this request was sent to before come last, after others that failed recently:
    /// only the former are known to have failed this request. Then full ones come after those with
    /// free slots, whatever their scores. Lightly loaded local servers come first, because traffic
    /// between zones is charged and slower, unless others are much faster. For short calls only
    /// failures count: the rest is outdated by the time it is known.
    fn class(&self, slowness: f64) -> (bool, bool, bool, bool) {
        match self.is_short_call {
            true => (self.was_tried, self.has_failed, false, false),
            false => (
                self.was_tried,
                self.has_failed,
                self.is_full(),
                slowness > SLIGHT_SLOWNESS || !self.is_local_and_lightly_loaded(),
            ),
        }
    }
}

/// The fastest candidate that is not left for last.
///
/// Slowness counts relative to it: where all servers are equally slow, requests go where they would
/// go if all were fast.
struct Fastest {
    slowness: f64,
    room: f64,
}

impl Fastest {
    /// Returns the fastest candidate, the least loaded one of several.
    fn of(candidates: &[Candidate]) -> Self {
        let usable = candidates
            .iter()
            .filter(|it| !it.has_failed && (it.is_short_call || !it.is_full()));
        let fastest = usable.min_by(|left, right| {
            let by_slowness = left.slowness.total_cmp(&right.slowness);
            by_slowness.then(left.load().total_cmp(&right.load()))
        });
        let room = |it: &Candidate| match it.is_short_call {
            true => 1.0,
            false => ((FULL_LOAD - it.load()) / NEARLY_FULL_RANGE).clamp(0.0, 1.0),
        };
        Self {
            slowness: fastest.map_or(f64::INFINITY, |it| it.slowness),
            room: fastest.map_or(0.0, room),
        }
    }

    /// The slowness of a candidate relative to this one.
    fn relative(&self, candidate: &Candidate) -> f64 {
        (candidate.slowness / self.slowness).max(1.0)
    }
}

/// Returns the index of the best candidate; `noise` draws random numbers from 0 to 1.
pub(crate) fn choose(candidates: &[Candidate], mut noise: impl FnMut() -> f64) -> Option<usize> {
    let fastest = Fastest::of(candidates);
    let scored = candidates.iter().map(|candidate| {
        let slowness = fastest.relative(candidate);
        let score = candidate.score(slowness, fastest.room) + noise() * MAX_NOISE;
        (candidate.class(slowness), score)
    });
    scored
        .enumerate()
        .min_by(|(_, left), (_, right)| {
            let by_class = left.0.cmp(&right.0);
            by_class.then(left.1.total_cmp(&right.1))
        })
        .map(|(index, _)| index)
}
