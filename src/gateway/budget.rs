//! The retry budget, which all VMs share without exchanging messages.
//!
//! In any window, all VMs together may retry a fixed ratio of the requests for a service, plus some
//! slack. Each VM applies the ratio to the requests that it received itself and takes an equal
//! share of the slack, so that the total holds without knowledge of other VMs' retries.

use crate::inventory::Name;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Share of the allowance that is used. The rest covers windows that slide and VMs that join or
/// leave.
const USED_SHARE: f64 = 0.7;

/// Retries that the deployment allows for each service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    /// Retries per request.
    pub(crate) ratio: f64,
    /// Retries per window in addition to the ratio, over all VMs.
    pub(crate) slack: f64,
    /// The window over which both are counted.
    pub(crate) window: Duration,
}

#[derive(Debug, Default)]
struct History {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// One VM's share of the retry budget, by service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    allowance: Allowance,
    services: RefCell<HashMap<Name, History>>,
}

impl RetryBudget {
    /// Creates a budget with no requests and no retries counted.
    pub(crate) fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            services: RefCell::default(),
        }
    }

    /// Counts a request for a service.
    pub(crate) fn note_request(&self, service: &Name, now: Instant) {
        let mut services = self.services.borrow_mut();
        let history = services.entry(service.clone()).or_default();
        history.remove_expired(now, self.allowance.window);
        history.requests.push_back(now);
    }

    /// Takes back the count of a request, which another VM counts.
    pub(crate) fn forget_request(&self, service: &Name, noted_at: Instant) {
        let mut services = self.services.borrow_mut();
        let Some(history) = services.get_mut(service) else {
            return;
        };
        let noted = history.requests.iter().position(|at| *at == noted_at);
        if let Some(index) = noted {
            history.requests.remove(index);
        }
    }

    /// Takes one retry from this VM's share of the budget and returns whether there was one left.
    /// `vms` is the number of VMs that share the slack; if it is unknown, this VM gets no slack.
    pub(crate) fn take(&self, service: &Name, vms: Option<usize>, now: Instant) -> bool {
        let mut services = self.services.borrow_mut();
        let history = services.entry(service.clone()).or_default();
        history.remove_expired(now, self.allowance.window);
        let earned = self.allowance.ratio * history.requests.len() as f64;
        let slack = vms.map_or(0.0, |vms| self.allowance.slack / vms.max(1) as f64);
        let allowed = (earned + slack) * USED_SHARE;
        if history.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        history.retries.push_back(now);
        true
    }
}

impl History {
    fn remove_expired(&mut self, now: Instant, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.duration_since(*at) > window)
            {
                times.pop_front();
            }
        }
    }
}
