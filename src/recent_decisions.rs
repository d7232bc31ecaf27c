//! The recent decisions of this VM, which operators query to find the reasons for its behaviour.

use crate::events::{Event, EventRow};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::time::SystemTime;

/// The maximum number of decisions kept; the oldest is dropped first.
const CAPACITY: usize = 4_096;
/// The numbers of the events that are decisions on requests, placement and orders.
const DECISION_NUMBERS: std::ops::Range<u16> = 300..500;

/// One decision, as it was logged.
#[derive(Clone, Debug)]
pub(crate) struct Decision {
    /// The time of the decision, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    /// The event's row in the event catalogue.
    pub(crate) row: &'static EventRow,
    /// The fields of the log line, as `key=value` pairs separated by spaces.
    pub(crate) fields: String,
}

thread_local! {
    static RECENT: RefCell<VecDeque<Decision>> = const { RefCell::new(VecDeque::new()) };
}

/// Keeps the event if it is a decision; other events are ignored.
pub(crate) fn keep(event: Event, fields: fmt::Arguments<'_>) {
    let row = event.row();
    if !DECISION_NUMBERS.contains(&row.number) {
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

/// Returns the kept decisions about a request id, a model, an adapter, a runner or a group.
pub(crate) fn about(subject: &str) -> Vec<Decision> {
    RECENT.with_borrow(|recent| {
        let matching = recent.iter().filter(|decision| decision.is_about(subject));
        matching.cloned().collect()
    })
}

impl Decision {
    /// Whether the value of a field is `subject`, or begins with it as in `model/adapter@version`.
    fn is_about(&self, subject: &str) -> bool {
        let values = self.fields.split(' ').filter_map(|field| {
            let (_, value) = field.split_once('=')?;
            value.strip_prefix(subject)
        });
        values
            .into_iter()
            .any(|rest| rest.is_empty() || rest.starts_with(['@', '/']))
    }
}
