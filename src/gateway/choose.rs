//! Choosing a backend server among those that can serve a request.

/// What another zone costs, in slots' worth of load: enough that equal servers are taken
/// from the own zone, too little to leave a busier one there.
const ZONE_PENALTY: f64 = 0.05;
/// The same in a fleet in which a VM speaks to each of another zone only once in many turns: what looks
/// free there is taken by all zones at once, while the own zone's load is known as of a moment ago, and
/// prompts are told within it at most.
///
/// With 195 VMs before 30 runners of 16 slots that are taken to six, eight and nine tenths, 2, 13 and
/// 23 of 100 requests met a full runner, with the small penalty 6, 21 and 29, with 0.3 in between
/// (`tests/zones.rs`).
const LATE_ZONE_PENALTY: f64 = 0.6;
/// What a new connection costs, in requests for each slot: servers make few of them at a time and
/// count them, so that among equal servers those go first to which one is open.
const CONNECT_PENALTY: f64 = 0.3;
/// Prompts that take so long to read, in milliseconds, weigh as much as a whole server's load:
/// prompts that wait hold up all streams there, streams hardly hold up each other.
///
/// At three quarters of what four runners read, a runner had prompts waiting that hold up
/// streams for over 150 ms in 14 to 22 % of the time by chance alone, in 0.4 to 0.5 % with
/// 50 ms, in 0.1 to 0.3 % with 10 ms (nine VMs, simulated in `tests/spreading.rs`).
const LOAD_MS: f64 = 10.0;
/// The most that chance adds to a load, in requests for each slot: as much as a whole server.
///
/// Requests in flight at other VMs are known as of up to 200 ms ago, in which a busy model
/// gets dozens of requests; VMs that all take the least loaded server of then pile their
/// prompts up on it where messages about them are lost. At half of what the runners read they
/// had prompts waiting that hold up streams in 13 to 17 % of the time with 0.1 and 50 ms, in
/// 0.1 % with 1.0 and 10 ms.
const NOISE: f64 = 1.0;
/// How much the load on a server says of it to a call that ends before other VMs hear of it, as a part
/// of what it says to a stream: what was known of the load is gone by the time that it is acted on,
/// and VMs that all take the least loaded server of then fill one after the other.
///
/// Five servers of six slots and 0.75 to 1.35 times the usual work, taken to eight tenths by 67 VMs:
/// of 100 calls 22 were late with 1.0, 10 with 0.3, 1 with 0.15 and 0.07, 3 with 0.02, where slow
/// servers fill; taken to nine tenths by 195 VMs 40, 37, 30, 6 and 7 (`tests/brief.rs`).
const BRIEF_LOAD_WEIGHT: f64 = 0.07;
/// The load up to which a runner takes requests, in requests for each slot: what waits there
/// beyond its slots comes late and holds up what is begun.
pub(crate) const FULL_LOAD: f64 = 1.1;
/// The part of the longest pause for which prompts may keep a runner reading: steps of the
/// streams take some of the rest, and what VMs have not told each other yet.
const PAUSE_SHARE: f64 = 0.6;
/// The load up to which a near server is taken before farther ones, in requests for each slot:
/// streams hardly hold up each other at a quarter of the slots.
const EASY_LOAD: f64 = 0.25;
/// Prompts that wait for no longer than this, in milliseconds, are as good as read.
const READING_MS: f64 = 5.0;

/// A backend server that can serve the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Requests on it, of all VMs as far as is known.
    pub(crate) in_flight: u32,
    /// Requests that it runs at a time.
    pub(crate) slots: u32,
    /// How long it takes to read the prompts that wait there, in milliseconds.
    pub(crate) prompts_wait_ms: f64,
    /// Whether it stands in this VM's availability zone.
    pub(crate) is_near: bool,
    /// Whether the load of VMs in other zones is known late.
    pub(crate) is_far_late: bool,
    /// Whether a connection to it is open and idle.
    pub(crate) is_connected: bool,
    /// Whether the request ends before other VMs hear of it, as plain calls do.
    pub(crate) is_short_call: bool,
    /// Whether it failed a moment ago, or failed this very request.
    pub(crate) has_failed: bool,
}

impl Candidate {
    /// The load, in requests for each slot.
    pub(crate) fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots.max(1))
    }

    /// Whether its places are taken and others wait there already.
    pub(crate) fn is_full(&self) -> bool {
        self.load() >= FULL_LOAD
    }

    /// Whether a prompt that takes `read_ms` had better wait until others are read there: with
    /// it, streams there would pause for longer than an answer in time may.
    pub(crate) fn defers_prompt(&self, read_ms: f64, max_pause_ms: f64) -> bool {
        let wait_ms = self.prompts_wait_ms;
        wait_ms > READING_MS && wait_ms + read_ms > max_pause_ms * PAUSE_SHARE
    }

    /// The load with what else speaks against the server.
    fn score(&self) -> f64 {
        let zone = match (self.is_near, self.is_far_late && !self.is_short_call) {
            (true, _) => 0.0,
            (false, true) => LATE_ZONE_PENALTY,
            (false, false) => ZONE_PENALTY,
        };
        let connect = match self.is_connected {
            true => 0.0,
            false => CONNECT_PENALTY,
        };
        let load = match self.is_short_call {
            true => self.load() * BRIEF_LOAD_WEIGHT,
            false => self.load(),
        };
        load + self.prompts_wait_ms / LOAD_MS + zone + connect
    }

    /// Whether it stands near and has so little to do that no farther one would be better.
    fn is_near_and_easy(&self) -> bool {
        self.is_near && self.load() < EASY_LOAD && self.prompts_wait_ms < READING_MS
    }

    /// What is compared first: a server that failed stands behind all others, a full one
    /// behind those with places, whatever their load, and those first that answer from nearby
    /// without delay: a byte from another zone costs, and comes later. Of a server for brief calls
    /// only the failures are known in time.
    fn class(&self) -> (bool, bool, bool) {
        match self.is_short_call {
            true => (self.has_failed, false, false),
            false => (self.has_failed, self.is_full(), !self.is_near_and_easy()),
        }
    }
}

/// The place of the least loaded candidate; `noise` draws numbers from 0 to 1.
pub(crate) fn choose(candidates: &[Candidate], mut noise: impl FnMut() -> f64) -> Option<usize> {
    let scored = candidates.iter().map(|candidate| {
        let score = candidate.score() + noise() * NOISE;
        (candidate.class(), score)
    });
    scored
        .enumerate()
        .min_by(|(_, left), (_, right)| {
            let by_class = left.0.cmp(&right.0);
            by_class.then(left.1.total_cmp(&right.1))
        })
        .map(|(place, _)| place)
}
