//! Reports that this VM may go by an outdated state, and that its tasks run late.

use crate::gateway::state::State;
use crate::gateway::sync_message::Part;
use crate::gateway::unconfirmed_alarm::UnconfirmedAlarm;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Checks the state of a VM at regular intervals.
#[derive(Debug)]
pub(crate) struct StateMonitor {
    state: Rc<State>,
    directory: UnconfirmedAlarm,
    configuration: UnconfirmedAlarm,
}

impl StateMonitor {
    /// Creates a monitor of `state`.
    pub(crate) fn new(state: Rc<State>) -> Self {
        Self {
            state,
            directory: UnconfirmedAlarm::default(),
            configuration: UnconfirmedAlarm::default(),
        }
    }

    /// Checks the state until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            let due = Instant::now() + CHECK_INTERVAL;
            compio::time::sleep_until(due).await;
            let now = Instant::now();
            let task_delay = now.saturating_duration_since(due);
            let metrics = &self.state.metrics;
            metrics.task_delay.observe(task_delay.as_secs_f64());
            for part in [Part::Directory, Part::Configuration] {
                self.check(part, task_delay, now);
            }
        }
    }

    fn check(&mut self, part: Part, task_delay: Duration, now: Instant) {
        let Some(unconfirmed) = self.state.unconfirmed_time(part, now) else {
            return;
        };
        let max_delay = self.state.max_delay(part);
        let alarm = match part {
            Part::Directory => &mut self.directory,
            Part::Configuration => &mut self.configuration,
        };
        if !alarm.is_due(unconfirmed, max_delay) {
            return;
        }
        let end = self.state.synced_to(part).unwrap_or_default();
        warn!(
            part = part.name(),
            unconfirmed_ms = unconfirmed.as_millis() as u64,
            is_leading = self.state.fence.get() > 0,
            is_follower = self.state.follows_closely(now),
            peer_ahead = self
                .state
                .peer_ahead(part, end, now)
                .map(tracing::field::display),
            task_delay_ms = task_delay.as_millis() as u64,
            "state not confirmed"
        );
    }
}
