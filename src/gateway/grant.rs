//! A request's part of its organisation's quota, given back where the request does not run.

use crate::callers::Granted;
use crate::gateway::state::State;
use std::rc::Rc;

/// A request's part of its organisation's quota; given back when dropped, unless it may have run.
#[derive(Debug)]
pub(crate) struct Grant {
    state: Rc<State>,
    granted: Granted,
    /// Whether a server may run the request, or has.
    pub(crate) may_have_run: bool,
}

impl Grant {
    /// A grant of a request that no server has.
    pub(crate) fn new(state: Rc<State>, granted: Granted) -> Self {
        Self {
            state,
            granted,
            may_have_run: false,
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
