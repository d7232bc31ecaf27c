//! The budget of retries, shared by all VMs without a message.
//!
//! All VMs together may send, in any window, a ratio of the requests of a service plus
//! some slack once more. Each VM keeps to the ratio of the requests that it has seen
//! itself and to its part of the slack, so that the sum holds whatever others know.

use crate::inventory::Name;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// The part of the allowance that is used: windows slide and VMs come and go.
const SAFETY: f64 = 0.7;

/// What the deployment allows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    /// Retries for each request.
    pub(crate) ratio: f64,
    /// Retries beyond the ratio, over all VMs.
    pub(crate) slack: f64,
    /// The window over which both are counted.
    pub(crate) window: Duration,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// One VM's part of the budget, by service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    allowance: Allowance,
    services: RefCell<HashMap<Name, Counts>>,
}

impl RetryBudget {
    /// A budget of which nothing is used.
    pub(crate) fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            services: RefCell::default(),
        }
    }

    /// Notes a request for a service.
    pub(crate) fn note_request(&self, service: &Name, now: Instant) {
        let mut services = self.services.borrow_mut();
        let counts = services.entry(service.clone()).or_default();
        counts.forget(now, self.allowance.window);
        counts.requests.push_back(now);
    }

    /// Takes one retry, if this VM's part among `vms` has one left; without their number it has
    /// no part of the slack.
    pub(crate) fn take(&self, service: &Name, vms: Option<usize>, now: Instant) -> bool {
        let mut services = self.services.borrow_mut();
        let counts = services.entry(service.clone()).or_default();
        counts.forget(now, self.allowance.window);
        let earned = self.allowance.ratio * counts.requests.len() as f64;
        let slack = vms.map_or(0.0, |vms| self.allowance.slack / vms.max(1) as f64);
        let allowed = (earned + slack) * SAFETY;
        if counts.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.retries.push_back(now);
        true
    }
}

impl Counts {
    fn forget(&mut self, now: Instant, window: Duration) {
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
