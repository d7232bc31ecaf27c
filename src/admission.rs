//! Which requests are taken, and which batch requests give up their slots.

use crate::completion::CompletionRequest;
use crate::error::{Failure, Kind};
use crate::fleet::{InFlightCounts, Runner};
use crate::inventory::{AdmissionRule, Name, Priority};
use crate::router::Router;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time between two looks for runners that peers' urgent requests wait on.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

impl Router {
    /// Refuses a request that is not expected to meet its deadlines.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the same request would be taken.
    pub(crate) fn admit(&self, ask: &CompletionRequest) -> Result<(), Failure> {
        let rule = self
            .control
            .with(|control| control.inventory.rules.admission);
        if rule == AdmissionRule::Unlimited {
            return Ok(());
        }
        let Some(wait) = self.expected_wait(ask) else {
            return Ok(());
        };
        let now = Instant::now();
        let whole = ask.deadline.saturating_duration_since(now);
        let left = whole.saturating_sub(self.service_time(ask));
        let left = ask
            .first_token_by
            .map_or(left, |by| by.saturating_duration_since(now).min(left));
        if wait <= left {
            return Ok(());
        }
        let message = format!(
            "the answer is expected to begin in {} ms, {} ms too late",
            wait.as_millis(),
            (wait - left).as_millis()
        );
        let retry_after_s = (wait - left).as_secs_f64().ceil().max(1.0) as u32;
        Err(Failure::new(Kind::Deadline, message).retry_after_s(retry_after_s))
    }

    /// How long a request would wait for a slot; `None` while no runner serves its model.
    fn expected_wait(&self, ask: &CompletionRequest) -> Option<Duration> {
        if ask.priority == Priority::Batch {
            return Some(self.batch_queue.expected_wait(&ask.target.base.model));
        }
        let peers = self.membership.peer_loads();
        let service_s = self.service_time(ask).as_secs_f64();
        let runners = self.scored(&ask.target, false);
        let waits = runners.iter().filter_map(|(_, runner)| {
            let slots = self.slots_of(runner)?;
            let load = total(runner, &peers);
            // Batch requests wait behind this one, or give way to it.
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

    /// Lets own batch requests give way on a runner where an urgent one found no slot.
    pub(crate) fn request_batch_yields(&self, runner: &Runner) {
        let peers = self.membership.peer_loads();
        if self.batch_yields() && self.urgent_waiting(runner, &peers) > 0 {
            runner.request_yields(1);
        }
    }

    /// Lets own batch requests give way to peers' urgent ones, until the process ends.
    pub(crate) async fn run_batch_yields(self: Rc<Self>) {
        loop {
            compio::time::sleep(LOOK_INTERVAL).await;
            if !self.batch_yields() {
                continue;
            }
            let peers = self.membership.peer_loads();
            for runner in self.fleet.runners() {
                runner.request_yields(self.share_of_yields(&runner, &peers));
            }
        }
    }

    fn batch_yields(&self) -> bool {
        self.control
            .with(|control| control.inventory.rules.batch_yields)
    }

    /// Urgent requests that wait on a runner because of batch ones.
    fn urgent_waiting(&self, runner: &Runner, peers: &HashMap<Name, InFlightCounts>) -> u32 {
        let load = total(runner, peers);
        let slots = self.slots_of(runner).unwrap_or(u32::MAX);
        load.all.saturating_sub(slots).min(load.all - load.batch)
    }

    /// This VM's part of the yields that a runner needs, in proportion to its batch requests.
    fn share_of_yields(&self, runner: &Runner, peers: &HashMap<Name, InFlightCounts>) -> u32 {
        let needed = f64::from(self.urgent_waiting(runner, peers));
        let batch = f64::from(total(runner, peers).batch.max(1));
        let share = needed * f64::from(runner.in_flight().batch) / batch;
        // The rest is drawn, so that small shares are not lost over many VMs.
        (share + rand::random::<f64>()).floor() as u32
    }
}

/// Requests in flight on a runner, of this VM and its peers.
fn total(runner: &Runner, peers: &HashMap<Name, InFlightCounts>) -> InFlightCounts {
    runner.in_flight() + peers.get(&runner.name).copied().unwrap_or_default()
}
