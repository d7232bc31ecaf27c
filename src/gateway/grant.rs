//! A request's share of its organisation's quota, refunded if the request does not run.

use crate::callers::{GrantRecord, Organisation, OverQuota, Urgency};
use crate::gateway::CallerRequest;
use crate::gateway::configuration::Route;
use crate::gateway::failure::Failure;
use crate::gateway::state::State;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// A request's share of its organisation's quota. Refunded on drop, unless the request may have
/// run.
#[derive(Debug)]
pub(crate) struct Grant {
    state: Rc<State>,
    record: GrantRecord,
    /// Whether a server may be running the request or may have run it.
    pub(crate) may_have_run: bool,
}

impl Grant {
    /// Charges a request to its organisation's quota, with the urgency of its route; `None` if there
    /// is no organisation, or it has
    /// no quota.
    ///
    /// # Errors
    ///
    /// Fails if the quota is exhausted.
    pub(crate) fn take(
        state: &Rc<State>,
        request: &CallerRequest,
        organisation: Option<&Organisation>,
        route: &Route,
        now: Instant,
    ) -> Result<Option<Self>, Failure> {
        let Some(organisation) = organisation else {
            return Ok(None);
        };
        let name = &organisation.name;
        let Some(quota) = organisation.quota else {
            state.metrics.note_organisation(name, "granted");
            return Ok(None);
        };
        let vms = state.peers.fleet_size(now);
        let priority = organisation.priority.unwrap_or(route.priority);
        let target = Duration::from_millis(route.target_latency_ms);
        let urgency = Urgency::of(priority, target);
        let charge = quota.charge(request.token_count()).with_urgency(urgency);
        let mut ledger = state.ledger.borrow_mut();
        match ledger.try_grant(name, charge, vms, rand::random(), now) {
            Ok(record) => {
                state.metrics.note_organisation(name, "granted");
                Ok(Some(Self {
                    state: state.clone(),
                    record,
                    may_have_run: false,
                }))
            }
            Err(over) => Err(refuse(state, request, organisation, vms, &over)),
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if !self.may_have_run {
            self.state.ledger.borrow_mut().refund(&self.record);
        }
    }
}

/// Logs and counts a request that exceeds its organisation's quota, and returns its failure.
fn refuse(
    state: &State,
    request: &CallerRequest,
    organisation: &Organisation,
    vms: usize,
    over: &OverQuota,
) -> Failure {
    let check = &over.check;
    let metrics = &state.metrics;
    metrics.note_organisation(&organisation.name, "over_quota");
    info!(
        request = %request.id,
        organisation = %organisation.name,
        amount = check.amount,
        left = check.remaining,
        asked_per_s = check.requested_per_s,
        more_urgent_per_s = check.more_urgent_per_s,
        heard_share = check.reporting_share,
        vms,
        "over quota"
    );
    Failure::OverQuota(over.retry_after)
}
