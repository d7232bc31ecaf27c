//! Decides which requests are admitted, and which batch requests yield their slots.

use crate::completion::Ask;
use crate::error::{Failure, Kind};
use crate::fleet::{Load, Runner};
use crate::inventory::{AdmissionRule, Name, Priority};
use crate::router::Router;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The interval between two checks for runners where requests of peers wait behind batch ones.
const YIELD_CHECK_INTERVAL: Duration = Duration::from_millis(250);

impl Router {
    /// Refuses a request that is not expected to meet its deadlines.
    ///
    /// # Errors
    ///
    /// Fails with [`Kind::Deadline`] and the number of seconds after which to retry.
    pub(crate) fn admit(&self, request: &Ask) -> Result<(), Failure> {
        let rule = self
            .control
            .with(|control| control.inventory.rules.admission);
        if rule == AdmissionRule::Unlimited {
            return Ok(());
        }
        let Some(wait) = self.expected_wait(request) else {
            return Ok(());
        };
        let now = Instant::now();
        let until_deadline = request.deadline.saturating_duration_since(now);
        let slack = until_deadline.saturating_sub(self.service_time(request));
        let slack = request
            .first_token_by
            .map_or(slack, |by| by.saturating_duration_since(now).min(slack));
        if wait <= slack {
            return Ok(());
        }
        let message = format!(
            "the expected wait for a slot is {} ms, {} ms longer than the deadlines allow",
            wait.as_millis(),
            (wait - slack).as_millis()
        );
        let retry_after_s = (wait - slack).as_secs_f64().ceil().max(1.0) as u32;
        Err(Failure::new(Kind::Deadline, message).retry_after_s(retry_after_s))
    }

    /// Returns how long a request is expected to wait for a slot; `None` while no runner can serve
    /// it, unless it is a batch request.
    fn expected_wait(&self, request: &Ask) -> Option<Duration> {
        if request.priority == Priority::Batch {
            return Some(self.batch_queue.expected_wait(&request.target.base.model));
        }
        let peers = self.membership.peer_loads();
        let service_s = self.service_time(request).as_secs_f64();
        let runners = self.scored_runners(&request.target, false);
        let waits = runners.iter().filter_map(|(_, runner)| {
            let slots = self.slots_of(runner)?;
            let load = total_load(runner, &peers);
            // Batch requests are not counted: they queue behind this one or yield to it.
            let ahead = (load.all - load.batch + 1).saturating_sub(slots);
            Some(f64::from(ahead) / f64::from(slots.max(1)) * service_s)
        });
        waits.min_by(f64::total_cmp).map(Duration::from_secs_f64)
    }

    fn slots_of(&self, runner: &Runner) -> Option<u32> {
        self.control.with(|control| {
            let server = control.inventory.backend_server(&runner.name)?;
            Some(server.slots)
        })
    }

    /// Asks one of this VM's batch requests on a runner to yield its slot if others wait for it.
    pub(crate) fn request_batch_yields(&self, runner: &Runner) {
        let peers = self.membership.peer_loads();
        if self.are_yields_enabled() && self.waiting_behind_batch(runner, &peers) > 0 {
            runner.want_yields(1);
        }
    }

    /// Periodically asks this VM's batch requests to yield to waiting requests, including those of
    /// peers, until the process ends.
    pub(crate) async fn run_batch_yields(self: Rc<Self>) {
        loop {
            compio::time::sleep(YIELD_CHECK_INTERVAL).await;
            if !self.are_yields_enabled() {
                continue;
            }
            let peers = self.membership.peer_loads();
            for runner in self.fleet.runners() {
                runner.want_yields(self.own_yield_share(&runner, &peers));
            }
        }
    }

    fn are_yields_enabled(&self) -> bool {
        self.control
            .with(|control| control.inventory.rules.batch_yields)
    }

    /// Counts the requests other than batch ones that wait on a runner while batch requests hold
    /// its slots.
    fn waiting_behind_batch(&self, runner: &Runner, peers: &HashMap<Name, Load>) -> u32 {
        let load = total_load(runner, peers);
        let slots = self.slots_of(runner).unwrap_or(u32::MAX);
        load.all.saturating_sub(slots).min(load.all - load.batch)
    }

    /// Returns this VM's share of the yields that a runner needs, in proportion to its batch
    /// requests there.
    fn own_yield_share(&self, runner: &Runner, peers: &HashMap<Name, Load>) -> u32 {
        let needed = f64::from(self.waiting_behind_batch(runner, peers));
        let batch = f64::from(total_load(runner, peers).batch.max(1));
        let share = needed * f64::from(runner.in_flight().batch) / batch;
        // The fraction is rounded up at random with its own probability: with many VMs, each share
        // may be below one, and rounding all of them down would yield nothing.
        (share + rand::random::<f64>()).floor() as u32
    }
}

/// Returns the requests in flight on a runner, from this VM and its peers.
fn total_load(runner: &Runner, peers: &HashMap<Name, Load>) -> Load {
    runner.in_flight() + peers.get(&runner.name).copied().unwrap_or_default()
}
