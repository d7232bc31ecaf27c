//! Enforces quotas over all VMs without contacting another VM per request.
//!
//! Each VM reports the amounts that it recently granted, and admits requests by the sum over all
//! reports. Grants that other VMs do not know of yet, because the reports are still in flight, are
//! compensated for by granting less later; until then, the margin that the deployment allows above
//! quotas covers them. An even share of each quota is left to the VMs that do not report, so that
//! the partitions of a divided network together stay within the quota.

use crate::callers::peer_usage::PeerUsage;
use crate::callers::quota_estimate::QuotaEstimate;
use crate::callers::usage::{Usage, UsageHistory};
use crate::callers::{Charge, Quota, QuotaBounds, UsageReport};
use crate::inventory::Name;
use crate::short_id::short_id;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The age of reported figures when a report is received: the delay of messages on a loaded link,
/// and the age of the sender's own view of its zone.
const MIN_LAG: Duration = Duration::from_millis(600);
/// The time beyond the window for which an account without recent requests is still reported, so
/// that other VMs do not continue to count the amounts that they received last.
const REPORT_IDLE_FOR: Duration = Duration::from_millis(5_000);
/// The time for which a zone's report is not replaced by one that covers fewer VMs.
const WIDEST_REPORT_HOLD: Duration = Duration::from_millis(500);

/// The amounts that this VM granted under one quota.
#[derive(Debug)]
struct Account {
    quota: Quota,
    /// The time of the last request, granted or not.
    last_request_at: Instant,
    history: UsageHistory,
}

impl Account {
    /// Whether the account is still reported to other VMs.
    fn is_recent(&self, window: Duration, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.last_request_at);
        age < window + REPORT_IDLE_FOR
    }
}

/// A granted amount, kept so that it can be refunded.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GrantRecord {
    account: Name,
    amount: f64,
    granted_at: Instant,
}

/// The figures behind a refusal, for its log line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct QuotaCheck {
    /// The amount that the request counts as.
    pub(crate) amount: f64,
    /// The remaining quota of the VMs that report; negative after too much was granted.
    pub(crate) remaining: f64,
    /// The amount requested per second on all VMs that report.
    pub(crate) requested_per_s: f64,
    /// The part of it that more urgent requests ask for.
    pub(crate) more_urgent_per_s: f64,
    /// The share of the fleet's VMs that report, this VM included.
    pub(crate) reporting_share: f64,
    /// Whether the VMs that report can ever grant the amount: their part of the quota allows as
    /// much at once.
    pub(crate) is_attainable: bool,
}

/// The refusal of a request that exceeds its organisation's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OverQuota {
    /// The time after which the quota may allow the request.
    pub(crate) retry_after: Duration,
    /// The figures behind the refusal.
    pub(crate) check: QuotaCheck,
}

/// The grants of all VMs, as far as one VM knows them.
#[derive(Debug)]
pub(crate) struct Ledger {
    bounds: QuotaBounds,
    started_at: Instant,
    accounts: HashMap<Name, Account>,
    /// The last report of each VM in the local zone.
    local_vms: HashMap<SocketAddr, PeerUsage>,
    /// The last report on each remote zone.
    remote_zones: HashMap<Name, PeerUsage>,
}

impl Ledger {
    /// Creates a ledger without any grants.
    pub(crate) fn new(bounds: QuotaBounds, now: Instant) -> Self {
        Self {
            bounds,
            started_at: now,
            accounts: HashMap::new(),
            local_vms: HashMap::new(),
            remote_zones: HashMap::new(),
        }
    }

    /// Grants a charge to an account, or refuses it with the time after which to
    /// retry. `vms` is the number of VMs in the fleet, whether they report or not; `draw`, a random
    /// number from 0 to 1, selects the requests that are granted while demand exceeds the quota.
    ///
    /// # Errors
    ///
    /// Fails if the quota is exhausted.
    pub(crate) fn try_grant(
        &mut self,
        name: &Name,
        charge: Charge,
        vms: usize,
        draw: f64,
        now: Instant,
    ) -> Result<GrantRecord, OverQuota> {
        let Charge {
            quota,
            amount,
            urgency,
        } = charge;
        let window = self.bounds.window;
        let account = self.account(name, quota, now);
        account.last_request_at = now;
        account.history.record_request(amount, urgency, now);
        let mut usage = account.history.usage(window, now);
        self.add_peer_usage(&mut usage, short_id(name), now);
        let (reporting_vms, coverage) = self.reporting_vms(now);
        let estimate = QuotaEstimate {
            quota,
            window,
            margin: self.margin(&quota),
            usage,
            reporting_share: (reporting_vms / vms.max(1) as f64).min(1.0),
            coverage,
            lag: self.lag(now),
        };
        if !estimate.admits(amount, urgency, draw) {
            return Err(OverQuota {
                retry_after: estimate.retry_delay(amount),
                check: QuotaCheck {
                    amount,
                    remaining: estimate.remaining(),
                    requested_per_s: estimate.requested_per_s(),
                    more_urgent_per_s: estimate.usage.requested_per_s(urgency).1,
                    reporting_share: estimate.reporting_share,
                    is_attainable: amount <= estimate.at_once(),
                },
            });
        }
        Ok(self.record_grant(name, charge, now))
    }

    /// Records a charge as granted, whether its quota allows it or not.
    pub(crate) fn record_grant(
        &mut self,
        name: &Name,
        Charge { quota, amount, .. }: Charge,
        now: Instant,
    ) -> GrantRecord {
        let account = self.account(name, quota, now);
        account.history.record_grant(amount, now);
        GrantRecord {
            account: name.clone(),
            amount,
            granted_at: now,
        }
    }

    /// Refunds the grant of a request that did not run.
    pub(crate) fn refund(&mut self, grant: &GrantRecord) {
        if let Some(account) = self.accounts.get_mut(&grant.account) {
            account.history.refund(grant.amount, grant.granted_at);
        }
    }

    /// Returns the account with a name; rescales it if the quota changed.
    fn account(&mut self, name: &Name, quota: Quota, now: Instant) -> &mut Account {
        let account = self
            .accounts
            .entry(name.clone())
            .or_insert_with(|| Account {
                quota,
                last_request_at: now,
                history: UsageHistory::default(),
            });
        if account.quota != quota {
            // Scales past grants down, so that those made under a higher quota do not exhaust the
            // lower one.
            let factor = quota.rate_per_s / account.quota.rate_per_s;
            account.history.scale(factor.min(1.0));
            account.quota = quota;
        }
        account
    }

    /// Returns the amount that may be granted beyond a quota in a window.
    fn margin(&self, quota: &Quota) -> f64 {
        let whole = quota.rate_per_s * self.bounds.window.as_secs_f64() + quota.burst;
        self.bounds.overage * whole + self.bounds.slack
    }

    /// Adds the usage of an organisation that other VMs reported.
    fn add_peer_usage(&self, sum: &mut Usage, id: u32, now: Instant) {
        for peer in self.local_vms.values().chain(self.remote_zones.values()) {
            if let Some((weight, usage)) = peer.figures(id, self.bounds.window, now) {
                sum.add(usage, weight);
            }
        }
    }

    /// Returns the average age of the reported figures, estimated from the reports of the local
    /// zone.
    fn lag(&self, now: Instant) -> Duration {
        let fresh = self.local_vms.values().filter(|peer| peer.is_fresh(now));
        let ages = fresh.map(|peer| now.saturating_duration_since(peer.received_at));
        let (count, sum) = ages.fold((0, Duration::ZERO), |(count, sum), age| {
            (count + 1, sum + age)
        });
        MIN_LAG + sum / count.max(1)
    }

    /// Returns the share of the window for which this VM's process has been running.
    fn vm_coverage(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started_at);
        (age.as_secs_f64() / self.bounds.window.as_secs_f64()).min(1.0)
    }

    /// Returns the number of VMs that report, this one included, and the average share of the
    /// window for which they have grants recorded.
    fn reporting_vms(&self, now: Instant) -> (f64, f64) {
        let peers = self.local_vms.values().chain(self.remote_zones.values());
        let fresh = peers.filter(|peer| peer.is_fresh(now));
        let own = (1.0, self.vm_coverage(now));
        let (vms, recorded_vms) = fresh.fold(own, |(vms, recorded_vms), peer| {
            let vms = vms + f64::from(peer.vms);
            (vms, recorded_vms + peer.recorded_vms)
        });
        (vms, recorded_vms / vms)
    }

    /// Returns the report on this VM's grants, for the VMs of its zone.
    pub(crate) fn vm_report(&mut self, now: Instant) -> UsageReport {
        let window = self.bounds.window;
        let recorded_vms = self.vm_coverage(now);
        let accounts = self.accounts.iter_mut();
        let reported = accounts.filter(|(_, account)| account.is_recent(window, now));
        let usages = reported.map(|(name, it)| (short_id(name), it.history.usage(window, now)));
        UsageReport {
            vms: 1,
            recorded_vms,
            usages: usages.collect(),
        }
    }

    /// Returns the report on the grants of this VM's whole zone, for the VMs of remote zones.
    pub(crate) fn zone_report(&mut self, now: Instant) -> UsageReport {
        let own = self.vm_report(now);
        let fresh = || self.local_vms.values().filter(|peer| peer.is_fresh(now));
        let vms = own.vms + fresh().map(|peer| peer.vms).sum::<u32>();
        let reported = fresh().map(|peer| peer.recorded_vms).sum::<f64>();
        let recorded_vms = own.recorded_vms + reported;
        let mut usages: HashMap<u32, Usage> = own.usages.into_iter().collect();
        let window = self.bounds.window;
        for peer in self.local_vms.values() {
            for id in peer.usages.keys() {
                if let Some((weight, usage)) = peer.figures(*id, window, now) {
                    usages.entry(*id).or_default().add(usage, weight);
                }
            }
        }
        UsageReport {
            vms,
            recorded_vms,
            usages: usages.into_iter().collect(),
        }
    }

    /// Applies the report of a VM of the local zone, which will send the next one after `next_in`.
    pub(crate) fn apply_vm_report(
        &mut self,
        sender: SocketAddr,
        report: UsageReport,
        next_in: Duration,
        now: Instant,
    ) {
        let peer = self
            .local_vms
            .entry(sender)
            .or_insert_with(|| PeerUsage::empty(now));
        peer.apply(report, next_in, now);
    }

    /// Applies a VM's report on its remote zone. A report that covers fewer VMs than the previous
    /// one does not replace it within [`WIDEST_REPORT_HOLD`]: its sender receives reports from only
    /// a part of the zone.
    pub(crate) fn apply_zone_report(&mut self, zone: &Name, report: UsageReport, now: Instant) {
        let peer = self
            .remote_zones
            .entry(zone.clone())
            .or_insert_with(|| PeerUsage::empty(now));
        let age = now.saturating_duration_since(peer.received_at);
        if report.vms >= peer.vms || age >= WIDEST_REPORT_HOLD {
            peer.apply(report, Duration::ZERO, now);
        }
    }

    /// Drops reports that no longer count, and accounts without recent requests.
    pub(crate) fn prune_expired(&mut self, now: Instant) {
        let window = self.bounds.window;
        self.accounts
            .retain(|_, account| account.is_recent(window, now));
        self.local_vms.retain(|_, peer| peer.prune(window, now));
        self.remote_zones.retain(|_, peer| peer.prune(window, now));
    }
}
