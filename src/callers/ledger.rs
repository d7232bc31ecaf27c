//! Whether a request is within its organisation's quota, over all VMs, without asking any.
//!
//! Each VM tells what it granted of late, and admits by the sum of what all tell. What is spent
//! unseen, while messages are under way, is made up for by what is granted after; the margin that
//! the deployment allows above quotas covers it meanwhile. VMs that are not heard are left their
//! even part of each quota, so that the parts of a divided fleet together keep to it.

use crate::callers::peer_usage::Told;
use crate::callers::quota_estimate::Outlook;
use crate::callers::usage::{History, Usage};
use crate::callers::{Organisation, Quota, QuotaBounds, UsageReport};
use crate::inventory::Name;
use crate::short_id::short_id;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How old a telling is beyond its time at this VM: the way of messages over a loaded link, and
/// the sender's own view of its zone.
const MIN_LAG: Duration = Duration::from_millis(600);
/// For how long an organisation that was granted nothing of late is told of, so that others do not
/// go on counting what they heard last.
const TELL_EMPTY_FOR: Duration = Duration::from_millis(5_000);
/// How long the telling that covers most VMs of a zone goes before others of it.
const PREFERRED_FOR: Duration = Duration::from_millis(500);

/// What one organisation was granted at this VM.
#[derive(Debug)]
struct Account {
    quota: Quota,
    /// When it was asked for last.
    asked_at: Instant,
    history: History,
}

/// An amount that was granted.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Granted {
    organisation: Name,
    amount: f64,
    at: Instant,
}

/// What a decision rested on, for its log line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Standing {
    /// What the request counts as.
    pub(crate) amount: f64,
    /// What is left of the quota for this part of the fleet; below 0 after too much was granted.
    pub(crate) left: f64,
    /// What was asked for a second, at all VMs that are heard.
    pub(crate) asked_per_s: f64,
    /// The part of the fleet that is heard, this VM included.
    pub(crate) heard_share: f64,
}

/// A request that is beyond its organisation's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OverQuota {
    /// When the quota may allow it.
    pub(crate) retry_after: Duration,
    /// What the decision rested on.
    pub(crate) standing: Standing,
}

/// The grants of all VMs, as far as one VM knows.
#[derive(Debug)]
pub(crate) struct Ledger {
    bounds: QuotaBounds,
    started_at: Instant,
    accounts: HashMap<Name, Account>,
    /// What each VM of the own zone tells of itself.
    near: HashMap<SocketAddr, Told>,
    /// What VMs of other zones tell of their whole zone.
    far: HashMap<Name, Told>,
}

impl Ledger {
    /// A ledger without any grant.
    pub(crate) fn new(bounds: QuotaBounds, now: Instant) -> Self {
        Self {
            bounds,
            started_at: now,
            accounts: HashMap::new(),
            near: HashMap::new(),
            far: HashMap::new(),
        }
    }

    /// Grants a request, or tells when to come back. `vms` are all VMs of the fleet, heard or not;
    /// `draw` from 0 to 1 decides who is served while more is asked for than the quota allows.
    ///
    /// # Errors
    ///
    /// Fails where the quota is spent.
    pub(crate) fn take(
        &mut self,
        organisation: &Organisation,
        tokens: Option<f64>,
        vms: usize,
        draw: f64,
        now: Instant,
    ) -> Result<Option<Granted>, OverQuota> {
        let Some(quota) = organisation.quota else {
            return Ok(None);
        };
        let amount = quota.amount(tokens);
        let window = self.bounds.window;
        let account = self.account(&organisation.name, quota, now);
        account.asked_at = now;
        account.history.note_asked(amount, now);
        let mut usage = account.history.usage(window, now);
        self.add_told(&mut usage, short_id(&organisation.name), now);
        let (heard_vms, memory) = self.heard(now);
        let outlook = Outlook {
            quota,
            window,
            margin: self.margin(&quota),
            usage,
            heard_share: (heard_vms / vms.max(1) as f64).min(1.0),
            memory,
            lag: self.lag(now),
        };
        if !outlook.admits(amount, draw) {
            return Err(OverQuota {
                retry_after: outlook.wait(amount),
                standing: Standing {
                    amount,
                    left: outlook.left(),
                    asked_per_s: outlook.asked_per_s(),
                    heard_share: outlook.heard_share,
                },
            });
        }
        let account = self.account(&organisation.name, quota, now);
        account.history.note_granted(amount, now);
        Ok(Some(Granted {
            organisation: organisation.name.clone(),
            amount,
            at: now,
        }))
    }

    /// Takes back a grant of a request that did not run.
    pub(crate) fn take_back(&mut self, granted: &Granted) {
        if let Some(account) = self.accounts.get_mut(&granted.organisation) {
            account.history.take_back(granted.amount, granted.at);
        }
    }

    fn account(&mut self, organisation: &Name, quota: Quota, now: Instant) -> &mut Account {
        let account = self
            .accounts
            .entry(organisation.clone())
            .or_insert_with(|| Account {
                quota,
                asked_at: now,
                history: History::default(),
            });
        if account.quota != quota {
            // What was granted under a higher quota is not held against the lower one.
            let part = quota.rate_per_s / account.quota.rate_per_s;
            account.history.scale(part.min(1.0));
            account.quota = quota;
        }
        account
    }

    /// What may be granted beyond a quota in a window.
    fn margin(&self, quota: &Quota) -> f64 {
        let whole = quota.rate_per_s * self.bounds.window.as_secs_f64() + quota.burst;
        self.bounds.overage * whole + self.bounds.slack
    }

    /// Adds what other VMs told of an organisation.
    fn add_told(&self, sum: &mut Usage, id: u32, now: Instant) {
        for told in self.near.values().chain(self.far.values()) {
            if let Some((part, usage)) = told.figures(id, self.bounds.window, now) {
                sum.add(usage, part);
            }
        }
    }

    /// How old what other VMs tell is by now.
    fn lag(&self, now: Instant) -> Duration {
        let fresh = self.near.values().filter(|told| told.is_fresh(now));
        let ages = fresh.map(|told| now.saturating_duration_since(told.at));
        let (count, sum) = ages.fold((0, Duration::ZERO), |(count, sum), age| {
            (count + 1, sum + age)
        });
        MIN_LAG + sum / count.max(1)
    }

    /// The part of the window that this VM's process has lived through.
    fn own_memory(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started_at);
        (age.as_secs_f64() / self.bounds.window.as_secs_f64()).min(1.0)
    }

    /// How many VMs are heard, this one included, and which part of the window these remember.
    fn heard(&self, now: Instant) -> (f64, f64) {
        let told = self.near.values().chain(self.far.values());
        let fresh = told.filter(|told| told.is_fresh(now));
        let own = (1.0, self.own_memory(now));
        let (vms, remembering_vms) = fresh.fold(own, |(vms, remembering_vms), told| {
            let vms = vms + f64::from(told.vms);
            (vms, remembering_vms + told.remembering_vms)
        });
        (vms, remembering_vms / vms)
    }

    /// What this VM granted, to tell its zone.
    pub(crate) fn vm_report(&mut self, now: Instant) -> UsageReport {
        let window = self.bounds.window;
        let remembering_vms = self.own_memory(now);
        let accounts = self.accounts.iter_mut();
        let told = accounts.filter(|(_, account)| {
            let age = now.saturating_duration_since(account.asked_at);
            age < window + TELL_EMPTY_FOR
        });
        let usages = told.map(|(name, it)| (short_id(name), it.history.usage(window, now)));
        UsageReport {
            vms: 1,
            remembering_vms,
            usages: usages.collect(),
        }
    }

    /// What this VM and its zone granted, to tell other zones.
    pub(crate) fn zone_report(&mut self, now: Instant) -> UsageReport {
        let own = self.vm_report(now);
        let fresh = || self.near.values().filter(|told| told.is_fresh(now));
        let vms = own.vms + fresh().map(|told| told.vms).sum::<u32>();
        let remembering = fresh().map(|told| told.remembering_vms).sum::<f64>();
        let remembering_vms = own.remembering_vms + remembering;
        let mut usages: HashMap<u32, Usage> = own.usages.into_iter().collect();
        let window = self.bounds.window;
        for told in self.near.values() {
            for id in told.usages.keys() {
                if let Some((part, usage)) = told.figures(*id, window, now) {
                    usages.entry(*id).or_default().add(usage, part);
                }
            }
        }
        UsageReport {
            vms,
            remembering_vms,
            usages: usages.into_iter().collect(),
        }
    }

    /// Takes over what a VM of the own zone tells of itself, and will tell again after `next_in`.
    pub(crate) fn apply_vm_report(
        &mut self,
        sender: SocketAddr,
        tally: UsageReport,
        next_in: Duration,
        now: Instant,
    ) {
        let told = self
            .near
            .entry(sender)
            .or_insert_with(|| Told::nothing(now));
        told.take(tally, next_in, now);
    }

    /// Takes over what a VM of another zone tells of that zone. A VM there that hears few others
    /// does not stand for all that a better one told a moment ago.
    pub(crate) fn apply_zone_report(&mut self, zone: &Name, tally: UsageReport, now: Instant) {
        let told = self
            .far
            .entry(zone.clone())
            .or_insert_with(|| Told::nothing(now));
        let age = now.saturating_duration_since(told.at);
        if tally.vms >= told.vms || age >= PREFERRED_FOR {
            told.take(tally, Duration::ZERO, now);
        }
    }

    /// Forgets what counts no more.
    pub(crate) fn prune_expired(&mut self, now: Instant) {
        let window = self.bounds.window;
        self.near.retain(|_, told| told.prune(window, now));
        self.far.retain(|_, told| told.prune(window, now));
    }
}
