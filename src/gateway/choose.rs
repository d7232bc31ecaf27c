//! Choosing a backend server among those that can serve a request.

/// What another zone costs, in slots' worth of load: enough that equal servers are taken
/// from the own zone, too little to leave a busier one there.
const ZONE_PENALTY: f64 = 0.05;
/// Prompts that take so long to read, in milliseconds, weigh as much as a whole server's load:
/// prompts that wait hold up all streams there, streams hardly hold up each other.
///
/// At three quarters of what four runners read, one of them had prompts waiting that hold up
/// streams for over 150 ms in 18 % of the time by chance alone, in 0.5 % with 50 ms, in 0.3 %
/// with 10 ms (nine VMs, simulated in `tests/spreading.rs`).
const LOAD_MS: f64 = 10.0;
/// The most that chance adds to a load, in requests for each slot: as much as a whole server.
///
/// Requests in flight at other VMs are known as of up to 200 ms ago, in which a busy model
/// gets dozens of requests; VMs that all take the least loaded server of then pile their
/// prompts up on it where messages about them are lost. At half of what the runners read they
/// had prompts waiting that hold up streams in 17 % of the time with 0.1, in 0.1 % with 1.0.
const NOISE: f64 = 1.0;
/// The load up to which a runner takes requests, in requests for each slot: what waits there
/// beyond its slots comes late and holds up what is begun.
pub(crate) const FULL_LOAD: f64 = 1.1;
/// Puts full servers behind those with places, whatever chance adds.
const FULL_PENALTY: f64 = 10.0;
/// Puts servers that failed just now, or failed this very request, behind all others.
const FAILED_PENALTY: f64 = 1_000.0;

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
    /// Whether it failed a moment ago.
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

    /// What decides: the load with what speaks against the server.
    pub(crate) fn score(&self) -> f64 {
        let load = self.load();
        let zone = if self.is_near { 0.0 } else { ZONE_PENALTY };
        let full = if self.is_full() { FULL_PENALTY } else { 0.0 };
        let failed = if self.has_failed { FAILED_PENALTY } else { 0.0 };
        load + self.prompts_wait_ms / LOAD_MS + zone + full + failed
    }
}

/// The place of the least loaded candidate; `noise` draws numbers from 0 to 1.
pub(crate) fn choose(candidates: &[Candidate], mut noise: impl FnMut() -> f64) -> Option<usize> {
    let scored = candidates
        .iter()
        .map(|candidate| candidate.score() + noise() * NOISE);
    scored
        .enumerate()
        .min_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(place, _)| place)
}
