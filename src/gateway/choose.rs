//! Choosing a backend server among those that can serve a request.

/// What another zone costs, in slots' worth of load: enough that equal servers are taken
/// from the own zone, too little to leave a busier one there.
const ZONE_PENALTY: f64 = 0.05;
/// Loads closer than this count as equal, and one of them is drawn: VMs that know the
/// same would otherwise choose alike.
const NOISE: f64 = 0.04;
/// Puts servers that failed just now, or failed this very request, behind all others.
const FAILED_PENALTY: f64 = 1_000.0;

/// A backend server that can serve the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// Requests on it, of all VMs as far as is known.
    pub(crate) in_flight: u32,
    /// Requests that it runs at a time.
    pub(crate) slots: u32,
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

    /// What decides: the load with what speaks against the server.
    pub(crate) fn score(&self) -> f64 {
        let load = self.load();
        let zone = if self.is_near { 0.0 } else { ZONE_PENALTY };
        let failed = if self.has_failed { FAILED_PENALTY } else { 0.0 };
        load + zone + failed
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
