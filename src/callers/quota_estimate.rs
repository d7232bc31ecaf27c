//! The remaining quota of one organisation, as estimated by one VM.

use crate::callers::usage::{REQUESTED_SPAN, SPAN_COUNT, Usage, spans};
use crate::callers::{Quota, Urgency};
use std::time::Duration;

/// The share of the margin above a quota that may be granted. The rest is a reserve for grants of
/// other VMs whose reports are still in flight.
const GRANTABLE_MARGIN_SHARE: f64 = 0.3;
/// The share of the reserve that covers growth of the grant rate which is not reported yet.
const GROWTH_RESERVE_SHARE: f64 = 0.5;
/// The time over which the remaining quota may be spent, in multiples of the lag. With less, VMs
/// learn too late what the others granted, and oscillate together between granting too much and
/// too little.
const SPEND_TIME_LAGS: f64 = 3.0;

/// The largest share of the amount that may be granted at once which is kept for more urgent
/// requests.
const MAX_KEPT_SHARE: f64 = 0.5;

/// One VM's estimate of what all VMs have granted to an organisation.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaEstimate {
    /// The quota of the organisation.
    pub(super) quota: Quota,
    /// The window over which grants are counted.
    pub(super) window: Duration,
    /// The amount that may be granted beyond the quota in a window.
    pub(super) margin: f64,
    /// The amounts requested and granted on all VMs that report.
    pub(super) usage: Usage,
    /// The share of the fleet's VMs that report, this VM included.
    pub(super) reporting_share: f64,
    /// The share of the window for which the VMs that report have grants recorded, on average: a VM
    /// that started within the window does not know what it granted before.
    pub(super) coverage: f64,
    /// The average age of the reported figures.
    pub(super) lag: Duration,
}

impl QuotaEstimate {
    /// Returns the amount per second that the VMs that report may grant.
    fn rate_per_s(&self) -> f64 {
        self.quota.rate_per_s * self.reporting_share
    }

    /// Returns the amount requested per second.
    pub(super) fn requested_per_s(&self) -> f64 {
        self.usage.requested.iter().sum::<f64>() / REQUESTED_SPAN.as_secs_f64()
    }

    /// Returns the margin of the VMs that report, in proportion to the share of the window for
    /// which they have grants recorded: the rest of the margin may be spent already.
    fn usable_margin(&self) -> f64 {
        self.margin * self.reporting_share * self.coverage
    }

    /// Returns the part of the margin that is kept back.
    fn reserve(&self) -> f64 {
        (1.0 - GRANTABLE_MARGIN_SHARE) * self.usable_margin()
    }

    /// Returns the amount that may have been granted within the window without being recorded:
    /// after a restart of all VMs, the whole quota of the window before.
    fn unrecorded(&self) -> f64 {
        let whole = self.rate_per_s() * self.window.as_secs_f64();
        (whole + self.quota.burst * self.reporting_share) * (1.0 - self.coverage)
    }

    /// Returns the amount that the VMs that report may grant at once.
    pub(super) fn at_once(&self) -> f64 {
        let burst = self.quota.burst * self.reporting_share;
        burst + GRANTABLE_MARGIN_SHARE * self.usable_margin()
    }

    /// Returns the remaining quota of the VMs that report: the minimum over all spans, and at most
    /// the amount that may be granted at once.
    pub(super) fn remaining(&self) -> f64 {
        let at_once = self.at_once();
        let spans = spans(self.window).map(|span| span.as_secs_f64());
        let mut granted = self.usage.granted;
        granted[SPAN_COUNT - 1] += self.unrecorded();
        let newest_per_s = granted[0] / spans[0];
        let remaining_by_span = spans.iter().zip(granted).map(|(span_s, granted)| {
            // Reported figures are as old as the lag. While the grant rate increases, the current
            // sum is higher than the reported one.
            let growth_per_s = (newest_per_s - granted / span_s).max(0.0);
            let growth = growth_per_s * self.lag.as_secs_f64();
            let unreported = (growth - GROWTH_RESERVE_SHARE * self.reserve()).max(0.0);
            self.rate_per_s() * span_s + at_once - granted - unreported
        });
        remaining_by_span.fold(at_once, f64::min)
    }

    /// Returns whether an amount is granted. While demand exceeds what may be spent, `draw`, a
    /// random number from 0 to 1, decides, so that all VMs grant the same share of their requests.
    /// What may be spent goes to the most urgent requests first, so that one class is granted in
    /// part, the more urgent ones whole, and the others not at all.
    pub(super) fn admits(&self, amount: f64, urgency: Urgency, draw: f64) -> bool {
        let remaining = self.remaining();
        let lag_s = self.lag.as_secs_f64();
        // Demand needs no draw while the reserve or the remaining quota covers it until other VMs
        // learn of the grants.
        let is_covered = self.requested_per_s() * lag_s <= self.reserve().max(remaining);
        let spendable_per_s = remaining / (lag_s * SPEND_TIME_LAGS) + self.rate_per_s();
        let (own_per_s, more_urgent_per_s) = self.usage.requested_per_s(urgency);
        if is_covered {
            return amount <= remaining;
        }
        // More urgent requests find what they ask for until other VMs learn of the grants, but a
        // request that the quota allows at once is granted after a pause, whatever its urgency.
        let at_once = self.at_once();
        let kept = (more_urgent_per_s * lag_s)
            .min(MAX_KEPT_SHARE * at_once)
            .min((at_once - amount).max(0.0));
        amount + kept <= remaining && draw * own_per_s <= spendable_per_s - more_urgent_per_s
    }

    /// Returns the time after which to retry: once the missing amount may be available again, but
    /// not before the current burst of requests may have ended.
    pub(super) fn retry_delay(&self, amount: f64) -> Duration {
        let missing = (amount - self.remaining()).max(0.0);
        let refill = Duration::try_from_secs_f64(missing / self.rate_per_s());
        let min_delay = self.lag.mul_f64(SPEND_TIME_LAGS);
        refill.unwrap_or(Duration::MAX).max(min_delay)
    }
}
