//! The recent decisions of this VM, kept for operators who ask why.

use crate::events::{Event, EventRow};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::time::SystemTime;

/// Decisions kept at most.
const CAPACITY: usize = 4_096;
/// Numbers of the events that are decisions on requests, placement and orders.
const DECISIONS: std::ops::Range<u16> = 300..500;

/// One decision, as it was logged.
#[derive(Clone, Debug)]
pub(crate) struct Decision {
    /// When it was made, in milliseconds since the epoch.
    pub(crate) at_ms: u64,
    /// The event's row of the catalogue.
    pub(crate) row: &'static EventRow,
    /// The fields of the log line.
    pub(crate) fields: String,
}

thread_local! {
    static RECENT: RefCell<VecDeque<Decision>> = const { RefCell::new(VecDeque::new()) };
}

/// Keeps a decision; other events are left out.
pub(crate) fn keep(event: Event, fields: fmt::Arguments<'_>) {
    let row = event.row();
    if !DECISIONS.contains(&row.number) {
        return;
    }
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let decision = Decision {
        at_ms: now.map_or(0, |now| now.as_millis() as u64),
        row,
        fields: fields.to_string(),
    };
    RECENT.with_borrow_mut(|recent| {
        if recent.len() == CAPACITY {
            recent.pop_front();
        }
        recent.push_back(decision);
    });
}

/// The decisions about a request id, a model, an adapter, a runner or a group.
pub(crate) fn about(what: &str) -> Vec<Decision> {
    RECENT.with_borrow(|recent| {
        let about = recent.iter().filter(|decision| decision.is_about(what));
        about.cloned().collect()
    })
}

impl Decision {
    fn is_about(&self, what: &str) -> bool {
        let values = self.fields.split(' ').filter_map(|field| {
            let (_, value) = field.split_once('=')?;
            value.strip_prefix(what)
        });
        values
            .into_iter()
            .any(|rest| rest.is_empty() || rest.starts_with(['@', '/']))
    }
}
