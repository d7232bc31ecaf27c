//! Which entries of a removed server show that it is alive.

use crate::gateway::directory_updates::ServerUpdate;
use crate::gateway::fleet::{Entry, EntryChange, Fleet, ServerState};
use crate::gateway::removal::{ReadContext, Removal, RunAddress};
use crate::gateway::{Position, ServerChange};
use crate::inventory::Name;
use std::collections::HashSet;
use std::time::{Duration, Instant};

const SERVER: &str = "i-1";
const INTERVAL: Duration = Duration::from_millis(1_200);
/// A position in a log that was restored once.
const POSITION: Position = Position {
    era: 1,
    offset: 100,
};
/// The time between two reads of the directory.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// An entry of a server with a number.
pub(super) fn entry(sequence: u64) -> Entry {
    Entry {
        id: SERVER.into(),
        started_ms: 0,
        sequence,
        service: "s".into(),
        software_version: "v1".into(),
        address: "10.1.0.9:1".parse().expect("an address"),
        availability_zone: "a".into(),
        slots: 4,
        state: ServerState::Ready,
        holdings: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

/// A VM that follows the directory, with a server that it knows for long.
struct Vm {
    fleet: Fleet,
    began: Instant,
}

impl Vm {
    /// A VM that read the entry with a number at the beginning.
    fn with_entry(entry: Entry) -> Self {
        let vm = Self {
            fleet: Fleet::new(Some(INTERVAL)),
            began: Instant::now(),
        };
        vm.read(entry, 0.0);
        vm
    }

    fn at(&self, seconds: f64) -> ReadContext {
        let now = self.began + Duration::from_secs_f64(seconds);
        ReadContext {
            position: POSITION.to_u64(),
            written_after: Some(now - READ_INTERVAL),
            ..ReadContext::at(now)
        }
    }

    fn read(&self, entry: Entry, seconds: f64) -> EntryChange {
        self.fleet.apply_entry(entry, false, &self.at(seconds))
    }

    fn remove(&self, seconds: f64) -> Removal {
        let read = self.at(seconds);
        let removal = self.fleet.apply_removal(&SERVER.into(), &read);
        self.fleet.purge_removed(Duration::ZERO, read.now);
        removal
    }

    fn is_listed(&self) -> bool {
        let server = self.fleet.server(SERVER);
        server.is_some_and(|it| !it.is_marked_removed())
    }
}

/// Guards against a run that left and that a write of before revives, whatever its number.
#[test]
fn late_entries_of_a_run_that_left_never_count() {
    for sequences in [&[3][..], &[6], &[3, 4], &[6, 7], &[1, 2, 3, 4, 6]] {
        let vm = Vm::with_entry(entry(5));
        vm.remove(0.9);
        for (index, sequence) in sequences.iter().enumerate() {
            vm.read(entry(*sequence), 1.0 + index as f64);
            assert!(!vm.is_listed(), "{sequences:?}");
        }
    }
}

/// Guards against late writes in rising order that revive a server which had fallen silent, and against a
/// lapsed server that stays out although it goes on.
#[test]
fn a_lapsed_server_is_back_with_a_number_that_it_cannot_have_reached_before() {
    for sequences in [&[6, 7, 8, 9][..], &[9], &[4, 5, 6], &[3, 4], &[1, 2, 3]] {
        let vm = Vm::with_entry(entry(5));
        vm.remove(3.6);
        for (index, sequence) in sequences.iter().enumerate() {
            let seconds = 4.5 + 0.5 * index as f64;
            assert_eq!(vm.read(entry(*sequence), seconds), EntryChange::Unproven);
            // The same entry again, as another VM or a read of the whole directory brings it.
            let again = vm.read(entry(*sequence), seconds + 0.1);
            assert_eq!(again, EntryChange::Renewed);
            assert!(!vm.is_listed(), "{sequences:?}");
        }
        assert_eq!(vm.read(entry(10), 6.5), EntryChange::Revived);
        assert!(vm.is_listed());
    }
}

/// Guards against a number that was itself executed late, and from which the server seems to have reached
/// less than it has.
#[test]
fn an_entry_that_was_executed_late_does_not_lower_what_the_server_has_reached() {
    let vm = Vm::with_entry(entry(5));
    // The server is at 9 by then, and at 10 when it is removed.
    vm.read(entry(6), 5.3);
    vm.remove(6.3);
    for sequence in [7, 8, 9, 10] {
        vm.read(entry(sequence), 7.0 + 0.1 * sequence as f64);
        assert!(!vm.is_listed(), "{sequence}");
    }
    vm.read(entry(12), 8.8);
    assert!(vm.is_listed());
}

/// Guards against the entries of all servers that stay out after an outage of the log, and against late
/// writes of before that outage.
#[test]
fn a_removal_in_an_outage_of_the_log_may_be_a_lapse() {
    let after_outage = |vm: &Vm, entry: Entry| {
        let read = ReadContext {
            written_after: Some(vm.at(1.0).now),
            unavailable_at: Some(vm.at(8.7).now),
            ..vm.at(9.0)
        };
        // The entries that were read before say by when they were written.
        vm.fleet.apply_entry(entry, false, &vm.at(0.5));
        vm.fleet.apply_removal(&SERVER.into(), &read)
    };
    let vm = Vm::with_entry(entry(5));
    assert_eq!(after_outage(&vm, entry(5)).returning_sequence, Some(11));
    for late in [6, 8, 10] {
        vm.read(entry(late), 9.0 + 0.01 * late as f64);
        assert!(!vm.is_listed(), "{late}");
    }
    vm.read(entry(12), 9.6);
    assert!(vm.is_listed());
    // What the server announced itself holds on.
    let vm = Vm::with_entry(entry(5));
    let draining = Entry {
        state: ServerState::Draining,
        ..entry(6)
    };
    assert_eq!(after_outage(&vm, draining).returning_sequence, None);
    // The log was read meanwhile.
    let vm = Vm::with_entry(entry(5));
    let read = ReadContext {
        unavailable_at: Some(vm.at(5.0).now),
        ..vm.at(6.0)
    };
    let removal = vm.fleet.apply_removal(&SERVER.into(), &read);
    assert_eq!(removal.returning_sequence, None);
}

/// Guards against a second removal by which the first one seems to be of before the start of the VM.
#[test]
fn a_removal_that_comes_twice_does_not_end_the_time_in_which_writes_are_pending() {
    let vm = Vm::with_entry(entry(5));
    vm.fleet
        .set_removals_unknown_for(Duration::from_secs(8), vm.began);
    vm.remove(20.0);
    vm.remove(20.5);
    vm.read(entry(6), 21.0);
    assert!(!vm.is_listed());
    // The late entry lapses, and another late write follows.
    vm.remove(24.6);
    vm.read(entry(4), 25.0);
    assert!(!vm.is_listed());
}

/// Guards against a living server that stays out for good, since a removal was not its own.
#[test]
fn a_server_that_goes_on_is_back_after_a_removal_that_no_silence_explains() {
    let vm = Vm::with_entry(entry(1));
    // The removal of the run before it is done late.
    vm.remove(0.3);
    let mut back_at_s = None;
    for report in 2..12 {
        let seconds = 1.2 * (report - 1) as f64;
        vm.read(entry(report), seconds);
        if vm.is_listed() {
            back_at_s = back_at_s.or(Some(seconds));
        }
    }
    assert!(back_at_s.is_some_and(|it| it < 5.0), "{back_at_s:?}");
}

/// Guards against a server that starts again under its id and stays out, with numbers that begin anew.
#[test]
fn a_server_that_starts_again_is_back_at_once_or_when_no_late_write_is_left() {
    let started = |started_ms, sequence| Entry {
        started_ms,
        ..entry(sequence)
    };
    let vm = Vm::with_entry(started(1_000, 50));
    vm.remove(0.9);
    vm.read(started(900, 99), 2.0);
    assert!(!vm.is_listed());
    vm.read(started(2_000, 1), 2.1);
    assert!(vm.is_listed());

    // A number that is older than any pending write shows that the numbers began anew.
    let vm = Vm::with_entry(entry(50));
    vm.remove(0.9);
    vm.read(entry(1), 1.2);
    assert!(vm.is_listed());

    let vm = Vm::with_entry(entry(10));
    vm.remove(0.9);
    for report in 1..=6 {
        vm.read(entry(report), 1.0 + report as f64 * 1.2);
        assert!(!vm.is_listed(), "{report}");
    }
    vm.read(entry(7), 9.5);
    assert!(vm.is_listed());

    let vm = Vm::with_entry(entry(1 << 50));
    vm.remove(0.9);
    vm.read(entry(4), 1.2);
    assert!(vm.is_listed(), "the number of the earlier entry was wrong");
}

/// Guards against an entry that is kept alive but whose renewals this VM does not get.
#[test]
fn an_entry_that_the_log_keeps_counts_in_the_end() {
    let vm = Vm::with_entry(entry(5));
    vm.remove(0.9);
    vm.read(entry(6), 2.0);
    let restored = |seconds| vm.fleet.restore_kept(vm.at(seconds).now);
    // The store may be late to remove the entry of a silent server.
    assert!(restored(2.0 + 8.0).is_empty());
    // Until 8 s after the removal, another late write may have renewed the entry.
    assert!(restored(0.9 + 8.0 + 3.6).is_empty());
    assert_eq!(restored(0.9 + 8.0 + 4.8), [SERVER]);
    assert!(vm.is_listed());

    // The log has removed the late entry again.
    for is_told in [true, false] {
        let vm = Vm::with_entry(entry(5));
        vm.remove(0.9);
        vm.read(entry(6), 2.0);
        match is_told {
            true => drop(vm.remove(5.6)),
            false => vm.fleet.drop_unlisted_candidates(&HashSet::new()),
        }
        assert!(vm.fleet.restore_kept(vm.at(60.0).now).is_empty());
    }
}

/// Guards against VMs that judge a late entry by less than the VM knows that saw the removal.
#[test]
fn another_vm_judges_as_the_one_that_saw_the_removal() {
    let follower = Vm::with_entry(entry(1));
    for report in 2..=5 {
        follower.read(entry(report), 1.2 * (report - 1) as f64);
    }
    let removal = follower.remove(5.5);
    let change = ServerChange::RemovedRun(SERVER.into(), removal.clone());
    let told = ServerUpdate::from_change(&change).into_change();
    let Some(ServerChange::RemovedRun(id, told)) = told else {
        panic!("{told:?}");
    };
    assert_eq!(told.run, Some(RunAddress::of(&entry(1))));
    assert_eq!(told.position, removal.position);
    // One VM lists the server by its first entry, the other one has never heard of it.
    let listing = Vm::with_entry(entry(1));
    let started = Vm::with_entry(Entry {
        id: "i-2".into(),
        ..entry(1)
    });
    for vm in [listing, started] {
        let told = told.clone();
        assert!(
            vm.fleet
                .apply_removal_notice(&id, told, vm.at(5.6).now)
                .is_some()
        );
        for (sequence, seconds) in [(3, 6.0), (6, 7.0)] {
            vm.read(entry(sequence), seconds);
            assert!(!vm.is_listed());
        }
    }
    // A later run stays listed.
    let later = Vm::with_entry(Entry {
        started_ms: 2_000,
        ..entry(1)
    });
    let earlier = Removal::of_unknown(
        Some(RunAddress::of(&Entry {
            started_ms: 1_000,
            ..entry(9)
        })),
        later.began,
        0,
    );
    assert!(
        later
            .fleet
            .apply_removal_notice(&id, earlier, later.began)
            .is_none()
    );
    assert!(later.is_listed());
}

/// Guards against a VM that has just started and takes a late entry for a new server.
#[test]
fn an_unknown_server_counts_at_once_only_if_removals_are_known() {
    let vm = Vm::with_entry(Entry {
        id: "i-2".into(),
        ..entry(1)
    });
    let fleet = &vm.fleet;
    fleet.set_removals_unknown_for(Duration::from_secs(8), vm.began);
    assert_eq!(vm.read(entry(4), 1.0), EntryChange::Unproven);
    assert_eq!(vm.read(entry(5), 2.2), EntryChange::Unproven);
    // No server that is not new writes its first entry.
    let new = Entry {
        id: "i-4".into(),
        ..entry(1)
    };
    assert_eq!(vm.read(new, 2.3), EntryChange::Revived);
    // No write of before the start is pending any more.
    assert_eq!(vm.read(entry(6), 8.6), EntryChange::Revived);
    let other = Entry {
        id: "i-3".into(),
        ..entry(4)
    };
    assert_eq!(vm.read(other, 8.5), EntryChange::AvailabilityChanged);
}

/// Guards against a late write that revives each server once many others were removed.
#[test]
fn the_latest_removals_are_remembered_when_there_are_very_many() {
    let vm = Vm::with_entry(entry(5));
    for index in 0..10_000 {
        let id = Name::from(format!("old-{index}"));
        vm.fleet.apply_removal(&id, &vm.at(0.0));
    }
    vm.remove(0.9);
    vm.read(entry(3), 1.5);
    assert!(!vm.is_listed());
}

/// Guards against a VM that has no proof and does not take over that of another one, and against one that
/// believes another VM which does not know of the removal.
#[test]
fn what_another_vm_knows_counts_if_it_has_read_past_the_removal() {
    let after = POSITION.to_u64();
    for (position, is_listed) in [(after, true), (after - 1, false)] {
        let vm = Vm::with_entry(entry(5));
        vm.remove(0.9);
        vm.read(entry(6), 1.5);
        let read = ReadContext {
            position,
            ..vm.at(1.6)
        };
        let change = ServerChange::Revived(entry(6));
        let told = ServerUpdate::from_change(&change).into_change();
        let Some(ServerChange::Revived(told)) = told else {
            panic!("{told:?}");
        };
        vm.fleet.apply_revival(told, &read);
        assert_eq!(vm.is_listed(), is_listed);
    }
}
