//! Which changes of the directory a VM sends to one that missed some.

use crate::gateway::ServerChange;
use crate::gateway::change_history::ChangeHistory;

fn removed(id: &str) -> ServerChange {
    ServerChange::Removed(id.into())
}

/// The servers in the changes since an offset, with the offset after them.
fn since(history: &ChangeHistory, offset: u64) -> Option<(Vec<String>, u64)> {
    let changes = history.since(offset)?;
    let ids = changes.items.iter().map(|change| match change {
        ServerChange::Lost(id)
        | ServerChange::Removed(id)
        | ServerChange::RemovedRun(id, _)
        | ServerChange::Unreadable(id) => id.to_string(),
        ServerChange::Upserted(entry)
        | ServerChange::Restored(entry)
        | ServerChange::Revived(entry) => entry.id.to_string(),
    });
    Some((ids.collect(), changes.next_offset))
}

#[test]
fn changes_since_an_offset_include_ranges_that_end_after_it() {
    let mut history = ChangeHistory::default();
    history.restart(100);
    history.push(100, 110, vec![removed("a")]);
    history.extend_to(115);
    history.push(115, 120, vec![removed("b"), removed("c")]);
    let expected = |ids: &[&str]| Some((ids.iter().map(ToString::to_string).collect(), 120));
    assert_eq!(since(&history, 100), expected(&["a", "b", "c"]));
    assert_eq!(since(&history, 105), expected(&["a", "b", "c"]));
    assert_eq!(since(&history, 110), expected(&["b", "c"]));
    assert_eq!(since(&history, 120), expected(&[]));
    assert_eq!(since(&history, 99), None);
}

#[test]
fn a_gap_or_too_many_changes_shorten_the_history() {
    let mut history = ChangeHistory::default();
    history.restart(0);
    history.push(0, 10, vec![removed("a")]);
    // The changes from 10 to 20 are not known.
    history.push(20, 30, vec![removed("b")]);
    assert_eq!(since(&history, 10), None);
    assert_eq!(since(&history, 20), Some((vec!["b".to_owned()], 30)));
    for offset in 30..3_000 {
        history.push(offset, offset + 1, vec![removed("c")]);
    }
    assert_eq!(since(&history, 30), None);
    assert_eq!(since(&history, 2_990).map(|(ids, _)| ids.len()), Some(10));
}
