//! What is left of one organisation's quota, as one VM knows it.

use crate::callers::Quota;
use crate::callers::usage::{ASKED_SPAN, SPAN_COUNT, Usage, spans};
use std::time::Duration;

/// The part of the margin above a quota that is granted; the rest covers what is granted unseen,
/// while messages are under way.
const MARGIN_SHARE: f64 = 0.3;
/// The part of that rest that covers growth which was not told yet.
const GROWTH_SHARE: f64 = 0.5;
/// The time in which what is left of a quota may be spent, in lags: with less, VMs that learn late
/// what others spent swing together between too much and too little.
const SPEND_LAGS: f64 = 3.0;

/// What one VM knows of an organisation's grants at all VMs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outlook {
    /// What the organisation may ask for.
    pub(super) quota: Quota,
    /// The window over which grants are counted.
    pub(super) window: Duration,
    /// What may be granted beyond the quota in a window.
    pub(super) margin: f64,
    /// What was asked for and granted at all VMs that are heard.
    pub(super) usage: Usage,
    /// The part of the fleet that is heard, this VM included.
    pub(super) heard_share: f64,
    /// The part of the window that the VMs heard remember: those that have started within it do
    /// not know what was granted at their place before.
    pub(super) memory: f64,
    /// How old that knowledge is.
    pub(super) lag: Duration,
}

impl Outlook {
    /// The amount a second that the part of the fleet that is heard may grant.
    fn rate_per_s(&self) -> f64 {
        self.quota.rate_per_s * self.heard_share
    }

    /// What was asked for a second.
    pub(super) fn asked_per_s(&self) -> f64 {
        self.usage.asked / ASKED_SPAN.as_secs_f64()
    }

    /// The margin of the part of the fleet that is heard, as far as its VMs remember what was
    /// granted: the rest may be spent already.
    fn sure_margin(&self) -> f64 {
        self.margin * self.heard_share * self.memory
    }

    /// The part of the margin that is not granted.
    fn reserve(&self) -> f64 {
        (1.0 - MARGIN_SHARE) * self.sure_margin()
    }

    /// What may have been granted within the window and is forgotten: after a restart of all, the
    /// whole quota of the window before.
    fn forgotten(&self) -> f64 {
        let whole = self.rate_per_s() * self.window.as_secs_f64();
        (whole + self.quota.burst * self.heard_share) * (1.0 - self.memory)
    }

    /// What is left for the part of the fleet that is heard: as much as each span allows, and not
    /// more than is allowed at once.
    pub(super) fn left(&self) -> f64 {
        let burst = self.quota.burst * self.heard_share;
        let at_once = burst + MARGIN_SHARE * self.sure_margin();
        let spans = spans(self.window).map(|span| span.as_secs_f64());
        let mut granted = self.usage.granted;
        granted[SPAN_COUNT - 1] += self.forgotten();
        let newest_per_s = granted[0] / spans[0];
        let lefts = spans.iter().zip(granted).map(|(span_s, granted)| {
            // What is told was true a moment ago; where grants grow, the sum is above it by now.
            let growth_per_s = (newest_per_s - granted / span_s).max(0.0);
            let growth = growth_per_s * self.lag.as_secs_f64();
            let unseen = (growth - GROWTH_SHARE * self.reserve()).max(0.0);
            self.rate_per_s() * span_s + at_once - granted - unseen
        });
        lefts.fold(at_once, f64::min)
    }

    /// Whether an amount is granted. Where more is asked for than may be spent, `draw` from 0 to 1
    /// decides, so that all VMs grant the same part of it.
    pub(super) fn admits(&self, amount: f64, draw: f64) -> bool {
        let left = self.left();
        let lag_s = self.lag.as_secs_f64();
        // What little is asked for until others hear of it is covered.
        let is_covered = self.asked_per_s() * lag_s <= self.reserve();
        let spendable_per_s = left / (lag_s * SPEND_LAGS) + self.rate_per_s();
        amount <= left && (is_covered || draw * self.asked_per_s() <= spendable_per_s)
    }

    /// When to come back: once what is missing may be there, and not while the same rush goes on.
    pub(super) fn wait(&self, amount: f64) -> Duration {
        let missing = (amount - self.left()).max(0.0);
        let refill = Duration::try_from_secs_f64(missing / self.rate_per_s());
        let rush = self.lag.mul_f64(SPEND_LAGS);
        refill.unwrap_or(Duration::MAX).max(rush)
    }
}
