//! The demand for one model against its copies, and what a copy more or less is worth.

/// The demand that one copy answers in time, in runners: beyond a quarter of a runner's time
/// prompts queue behind each other and hold up the streams beside them.
const IN_TIME: f64 = 0.25;
/// The demand that one copy answers at all beside other models, in runners.
const AT_ALL: f64 = 0.6;
/// What an answer counts that comes late.
const LATE_VALUE: f64 = 0.3;
/// What one copy of a model that nobody asks for now is worth, in runners of demand: little,
/// since a runner loads it anew from its own disk within a second.
const REACH: f64 = 0.08;
/// What one copy of a model that is asked for is worth beside the demand that it answers:
/// requests for rare models are to be served as well as those for busy ones.
const ASKED: f64 = 0.2;
/// What a request that waits for a model counts, in runners of demand.
const WAITING: f64 = 0.05;

/// The demand for one model and how many copies answer it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pressure {
    /// Demand, in runners that it keeps busy.
    pub(super) runners: f64,
    /// Requests that wait for a copy.
    pub(super) waiting: u32,
    /// Copies, those on their way included.
    pub(super) copies: usize,
}

impl Pressure {
    /// The demand for each copy, in runners.
    pub(super) fn each(&self) -> f64 {
        self.demand() / self.copies.max(1) as f64
    }

    /// The demand with what waits, in runners.
    pub(super) fn demand(&self) -> f64 {
        self.runners + f64::from(self.waiting) * WAITING
    }

    /// What so many copies are worth: the demand that they answer, late answers less.
    fn answered(&self, copies: usize) -> f64 {
        let reach = match (copies, self.demand() > 0.0) {
            (0, _) => 0.0,
            (_, false) => REACH,
            (_, true) => ASKED,
        };
        let in_time = self.demand().min(copies as f64 * IN_TIME);
        let at_all = self.demand().min(copies as f64 * AT_ALL);
        reach + in_time + (at_all - in_time) * LATE_VALUE
    }

    /// What one more copy gains.
    pub(super) fn gain(&self) -> f64 {
        self.answered(self.copies + 1) - self.answered(self.copies)
    }

    /// What one copy less loses.
    pub(super) fn loss(&self) -> f64 {
        self.answered(self.copies) - self.answered(self.copies.saturating_sub(1))
    }
}
