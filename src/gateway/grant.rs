//! A request's part of its organisation's quota, given back where the request does not run.

use crate::callers::{Granted, Organisation, OverQuota};
use crate::gateway::CallerRequest;
use crate::gateway::failure::Failure;
use crate::gateway::state::State;
use std::rc::Rc;
use std::time::Instant;
use tracing::info;

/// A request's part of its organisation's quota; given back when dropped, unless it may have run.
#[derive(Debug)]
pub(crate) struct Grant {
    state: Rc<State>,
    granted: Granted,
    /// Whether a server may run the request, or has.
    pub(crate) may_have_run: bool,
}

impl Grant {
    /// Takes a request's part of its organisation's quota; `None` where that has none.
    ///
    /// # Errors
    ///
    /// Fails where the quota is spent.
    pub(crate) fn take(
        state: &Rc<State>,
        ask: &CallerRequest,
        organisation: Option<&Organisation>,
        now: Instant,
    ) -> Result<Option<Self>, Failure> {
        let Some(organisation) = organisation else {
            return Ok(None);
        };
        let vms = state.peers.fleet_size(now);
        let tokens = ask.token_count();
        let mut ledger = state.ledger.borrow_mut();
        match ledger.take(organisation, tokens, vms, rand::random(), now) {
            Ok(granted) => {
                let metrics = &state.metrics;
                metrics.note_organisation(&organisation.name, "granted");
                Ok(granted.map(|granted| Self {
                    state: state.clone(),
                    granted,
                    may_have_run: false,
                }))
            }
            Err(over) => Err(refuse(state, ask, organisation, vms, &over)),
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if !self.may_have_run {
            self.state.ledger.borrow_mut().take_back(&self.granted);
        }
    }
}

/// Tells why a request is beyond its organisation's quota.
fn refuse(
    state: &State,
    ask: &CallerRequest,
    organisation: &Organisation,
    vms: usize,
    over: &OverQuota,
) -> Failure {
    let standing = &over.standing;
    let metrics = &state.metrics;
    metrics.note_organisation(&organisation.name, "over_quota");
    info!(
        request = %ask.id,
        organisation = %organisation.name,
        amount = standing.amount,
        left = standing.left,
        asked_per_s = standing.asked_per_s,
        heard_share = standing.heard_share,
        vms,
        "over quota"
    );
    Failure::OverQuota(over.retry_after)
}
