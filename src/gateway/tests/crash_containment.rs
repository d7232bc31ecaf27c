//! Tests of what is contained because it crashes servers.

use crate::gateway::PromptPart;
use crate::gateway::crash_containment::CrashContainment;
use crate::gateway::crash_report::{CrashCause, CrashReport, ServerRunId, Witness};
use std::time::{Duration, Instant};

const FIRST: PromptPart = PromptPart(1);
const BAD: PromptPart = PromptPart(100);
const OTHER: PromptPart = PromptPart(200);

/// A VM, with a clock and fingerprints of its own.
struct Vm {
    containment: CrashContainment,
    now: Instant,
    requests: u64,
}

impl Vm {
    /// A VM at which many answers have begun, with the first part and various others.
    fn experienced() -> Self {
        let mut vm = Self::new();
        for index in 0..100 {
            vm.begin(&[FIRST, PromptPart(1_000 + index % 50)]);
        }
        vm
    }

    fn new() -> Self {
        Self {
            containment: CrashContainment::default(),
            now: Instant::now(),
            requests: 0,
        }
    }

    fn pass(&mut self, time_ms: u64) {
        self.now += Duration::from_millis(time_ms);
    }

    /// Lets an answer begin to a new request with these parts, sent now.
    fn begin(&mut self, parts: &[PromptPart]) -> Vec<(CrashCause, Vec<ServerRunId>)> {
        self.requests += 1;
        let request = 1_000_000 + self.requests;
        self.pass(1);
        self.containment
            .record_begun_answer(request, parts, self.now)
    }

    fn crash(&mut self, run: u64, request: u64, parts: &[PromptPart]) {
        let report = report(run, request, parts);
        self.containment.record_crash(&report, self.now);
        self.containment.update(self.now);
    }

    /// Lets a server crash now that has had a copy of a request for a time.
    fn crash_with_copy(&mut self, run: u64, request: u64, in_flight_ms: u64) {
        let report = CrashReport {
            in_flight: Duration::from_millis(in_flight_ms),
            ..report(run, request, &[])
        };
        self.containment.record_crash(&report, self.now);
        self.containment.update(self.now);
    }

    fn is_contained(&mut self, parts: &[PromptPart]) -> bool {
        let cause = self.containment.cause_of(77, parts, self.now);
        cause.is_some()
    }

    fn is_request_contained(&mut self, request: u64) -> bool {
        self.containment.cause_of(request, &[], self.now).is_some()
    }
}

fn report(run: u64, request: u64, parts: &[PromptPart]) -> CrashReport {
    CrashReport {
        run: ServerRunId(run),
        request,
        parts: parts.to_vec(),
        in_flight: Duration::ZERO,
        since_break: Duration::ZERO,
        witness: None,
    }
}

/// A report of another VM, at which some answers had begun before.
fn report_of(vm: u64, begun_answers: u64, run: u64, parts: &[PromptPart]) -> CrashReport {
    CrashReport {
        witness: Some(Witness { vm, begun_answers }),
        ..report(run, run, parts)
    }
}

#[test]
fn the_answers_that_reporting_vms_have_seen_count_once_for_each_vm() {
    let now = Instant::now();
    let part = PromptPart(77);
    for (vms, is_contained) in [([1, 2, 3, 4], true), ([1, 1, 1, 1], false)] {
        let mut containment = CrashContainment::default();
        for (run, vm) in vms.into_iter().enumerate() {
            let report = report_of(vm, 5, run as u64 + 1, &[part]);
            containment.record_crash(&report, now);
        }
        containment.update(now);
        let cause = containment.cause_of(99, &[part], now);
        assert_eq!(cause.is_some(), is_contained, "{vms:?}");
    }
}

#[test]
fn a_request_is_refused_after_crashes_observed_by_several_vms() {
    let mut vm = Vm::new();
    vm.crash(1, 7, &[]);
    assert!(!vm.is_request_contained(7));
    // Another VM saw the same server crash with it: one crash.
    vm.crash(1, 7, &[]);
    assert!(!vm.is_request_contained(7));
    // A peer reports one more.
    vm.crash(2, 7, &[]);
    assert!(vm.is_request_contained(7));
    assert!(!vm.is_request_contained(8));
}

#[test]
fn an_answer_that_begins_clears_the_request() {
    let mut vm = Vm::new();
    vm.crash(1, 7, &[]);
    vm.pass(1);
    vm.containment.record_begun_answer(7, &[], vm.now);
    vm.crash(2, 7, &[]);
    assert!(!vm.is_request_contained(7));
    vm.crash(3, 7, &[]);
    assert!(vm.is_request_contained(7));
}

/// Guards against equal requests of many callers being refused because two servers ended at once.
#[test]
fn copies_at_servers_that_crash_at_the_same_moment_convict_no_request() {
    let mut vm = Vm::new();
    vm.crash_with_copy(1, 7, 900);
    vm.pass(200);
    vm.crash_with_copy(2, 7, 1_900);
    vm.crash_with_copy(3, 7, 300);
    assert!(!vm.is_request_contained(7));
    vm.pass(5_000);
    vm.containment.update(vm.now);
    assert!(!vm.is_request_contained(7));
}

/// Guards against the same where reports are delayed by different checks.
#[test]
fn the_moment_of_a_crash_is_when_the_connection_broke() {
    let mut vm = Vm::new();
    vm.crash_with_copy(1, 7, 50);
    vm.pass(800);
    let late = CrashReport {
        in_flight: Duration::from_millis(100),
        since_break: Duration::from_millis(790),
        ..report(2, 7, &[])
    };
    vm.containment.record_crash(&late, vm.now);
    vm.containment.update(vm.now);
    assert!(!vm.is_request_contained(7));
}

/// Guards against equal requests of many callers being refused because servers ended one by one.
#[test]
fn an_answer_to_a_copy_that_was_sent_before_the_crashes_clears_the_request() {
    let mut vm = Vm::new();
    let sent_at = vm.now;
    vm.pass(1_000);
    vm.crash_with_copy(1, 7, 900);
    vm.pass(600);
    vm.crash_with_copy(2, 7, 900);
    assert!(vm.is_request_contained(7));
    vm.pass(100);
    let cleared = vm.containment.record_begun_answer(7, &[], sent_at);
    assert_eq!(cleared.len(), 1);
    vm.containment.update(vm.now);
    assert!(!vm.is_request_contained(7));
}

/// Guards against a request that crashes servers staying in use because another copy was sent while
/// the first server was silent.
#[test]
fn copies_that_crash_servers_at_the_same_age_convict_the_request() {
    let mut vm = Vm::new();
    vm.crash_with_copy(1, 7, 400);
    vm.pass(150);
    vm.crash_with_copy(2, 7, 410);
    assert!(vm.is_request_contained(7));
}

/// Guards against the same where copies of different ages crash servers together.
#[test]
fn a_copy_sent_after_servers_crashed_together_convicts_the_request() {
    let mut vm = Vm::new();
    for run in 1..=4 {
        vm.crash_with_copy(run, 7, run * 60);
    }
    assert!(!vm.is_request_contained(7));
    vm.pass(60);
    vm.crash_with_copy(5, 7, 60);
    assert!(vm.is_request_contained(7));
}

/// Guards against the same where its copies wait long at servers before they run.
#[test]
fn copies_that_crash_servers_half_a_second_apart_convict_the_request() {
    let mut vm = Vm::new();
    vm.crash_with_copy(1, 7, 5_000);
    vm.pass(500);
    vm.crash_with_copy(2, 7, 1_000);
    assert!(vm.is_request_contained(7));
}

#[test]
fn a_part_that_no_two_equal_requests_share_is_contained_after_two_crashes() {
    let mut vm = Vm::experienced();
    vm.crash(1, 11, &[FIRST, BAD]);
    assert!(!vm.is_contained(&[FIRST, BAD]));
    vm.crash(2, 12, &[FIRST, BAD]);
    assert!(vm.is_contained(&[FIRST, BAD]));
    assert!(vm.is_contained(&[OTHER, BAD]), "in any prompt");
    assert!(!vm.is_contained(&[FIRST, OTHER]));
}

#[test]
fn requests_sent_from_one_crash_into_the_next_convict_no_part_of_their_own() {
    let mut vm = Vm::experienced();
    for run in 1..=3 {
        vm.crash(run, 50, &[FIRST, OTHER]);
        vm.crash(run, 10 + run, &[FIRST, BAD]);
    }
    assert!(vm.is_contained(&[BAD]));
    assert!(!vm.is_contained(&[OTHER]));
    assert!(!vm.is_request_contained(50), "its crashes are explained");
}

#[test]
fn what_crashed_and_sound_requests_share_is_never_contained() {
    let mut vm = Vm::experienced();
    for run in 1..=40 {
        vm.pass(100);
        vm.crash(run, run, &[FIRST, PromptPart(1_000 + run % 50)]);
        vm.begin(&[FIRST, PromptPart(1_000 + (run + 7) % 50)]);
        vm.containment.update(vm.now);
        assert!(!vm.is_contained(&[FIRST]), "run {run}");
    }
}

#[test]
fn a_total_outage_contains_nothing_that_was_sound_before() {
    let mut vm = Vm::experienced();
    for run in 1..=9 {
        vm.crash(run, run, &[FIRST, PromptPart(1_000 + run)]);
    }
    vm.pass(2_000);
    vm.containment.update(vm.now);
    assert_eq!(vm.containment.contained_count(), 0);
}

/// Guards against requests of a session being refused because an outage ended two servers with
/// requests of this session among many others.
#[test]
fn a_new_part_is_not_contained_for_the_outage_of_many_servers() {
    let mut vm = Vm::experienced();
    vm.crash(1, 1, &[FIRST, BAD]);
    vm.crash(2, 2, &[FIRST, BAD]);
    vm.crash(2, 3, &[FIRST, PromptPart(1_009)]);
    for run in 3..=8 {
        vm.pass(30);
        vm.crash(run, 10 + run, &[FIRST, PromptPart(1_000 + run)]);
    }
    assert!(!vm.is_contained(&[FIRST, BAD]));
    vm.pass(5_000);
    vm.containment.update(vm.now);
    assert_eq!(vm.containment.contained_count(), 0);
}

/// Guards against a part that crashes servers staying in use because an outage came at the same time.
#[test]
fn a_part_that_goes_on_crashing_servers_after_an_outage_is_contained() {
    let mut vm = Vm::experienced();
    for run in 1..=8 {
        vm.crash(run, 10 + run, &[FIRST, PromptPart(1_000 + run)]);
    }
    vm.crash(9, 1, &[FIRST, BAD]);
    for run in 10..=11 {
        vm.pass(1_000);
        vm.crash(run, run, &[FIRST, BAD]);
    }
    assert!(vm.is_contained(&[BAD]));
}

#[test]
fn a_vm_that_has_just_started_takes_no_part_for_new() {
    let mut vm = Vm::new();
    for run in 1..=3 {
        vm.crash(run, run, &[FIRST]);
    }
    assert!(!vm.is_contained(&[FIRST]));
}

#[test]
fn a_part_that_turns_bad_is_contained_while_others_are_answered() {
    let mut vm = Vm::experienced();
    let turned = PromptPart(1_000);
    for run in 1..=4 {
        vm.crash(run, run, &[FIRST, turned]);
        for index in 1..=5 {
            vm.begin(&[FIRST, PromptPart(1_000 + index)]);
        }
        vm.containment.update(vm.now);
    }
    assert!(vm.is_contained(&[turned]));
    assert!(!vm.is_contained(&[FIRST]));
}

#[test]
fn the_first_part_is_contained_if_nothing_with_it_is_answered_any_more() {
    let mut vm = Vm::experienced();
    for index in 0..10 {
        vm.begin(&[OTHER, PromptPart(3_000 + index)]);
    }
    for run in 1..=5 {
        vm.crash(run, run, &[FIRST, PromptPart(1_000 + run)]);
        for index in 0..5 {
            vm.begin(&[OTHER, PromptPart(3_000 + index)]);
        }
        vm.containment.update(vm.now);
    }
    assert!(vm.is_contained(&[FIRST, PromptPart(1_020)]));
    assert!(!vm.is_contained(&[OTHER]));
}

#[test]
fn two_bad_parts_at_a_time_and_a_bad_request_are_told_apart() {
    let mut vm = Vm::experienced();
    for run in 0..3 {
        vm.crash(10 + run, run, &[FIRST, BAD]);
        vm.crash(20 + run, 100 + run, &[OTHER, PromptPart(300)]);
        vm.crash(30 + run, 500, &[FIRST, PromptPart(1_003)]);
        vm.begin(&[FIRST, PromptPart(1_004)]);
        vm.begin(&[OTHER, PromptPart(1_005)]);
    }
    vm.containment.update(vm.now);
    assert!(vm.is_contained(&[BAD]));
    assert!(vm.is_contained(&[PromptPart(300)]));
    assert!(vm.is_request_contained(500));
    assert!(!vm.is_contained(&[FIRST, PromptPart(1_003)]));
    assert!(!vm.is_contained(&[OTHER]));
}

#[test]
fn what_another_vm_has_seen_answered_needs_more_evidence() {
    let mut vm = Vm::experienced();
    vm.crash(1, 1, &[FIRST, OTHER]);
    vm.containment.record_begun_elsewhere(OTHER);
    vm.crash(2, 2, &[FIRST, OTHER]);
    assert!(!vm.is_contained(&[OTHER]));
}

#[test]
fn a_part_contained_by_mistake_is_freed_by_what_other_vms_know() {
    let mut vm = Vm::experienced();
    vm.crash(1, 1, &[FIRST, OTHER]);
    vm.crash(2, 2, &[FIRST, OTHER]);
    assert!(vm.is_contained(&[OTHER]));
    vm.containment.record_begun_elsewhere(OTHER);
    vm.containment.update(vm.now);
    assert!(!vm.is_contained(&[OTHER]));
}

#[test]
fn a_confirmed_part_stays_contained_and_is_told_to_other_vms() {
    let mut vm = Vm::experienced();
    vm.crash(1, 1, &[FIRST, BAD]);
    vm.crash(2, 2, &[FIRST, BAD]);
    assert!(vm.containment.confirmed(vm.now).is_empty());
    vm.pass(1_000);
    vm.containment.update(vm.now);
    let confirmed = vm.containment.confirmed(vm.now);
    assert_eq!(confirmed.len(), 1);
    let mut started = Vm::new();
    started.now = vm.now;
    for (cause, idle) in confirmed {
        assert!(started.containment.contain(cause, idle, started.now));
        assert!(!started.containment.contain(cause, idle, started.now));
    }
    assert!(started.is_contained(&[FIRST, BAD]));
    started.pass(60_000);
    started.containment.update(started.now);
    assert!(started.is_contained(&[FIRST, BAD]));
}

#[test]
fn a_contained_part_is_forgotten_long_after_the_last_refusal() {
    let mut vm = Vm::experienced();
    vm.crash(1, 1, &[FIRST, BAD]);
    vm.crash(2, 2, &[FIRST, BAD]);
    vm.pass(1_000);
    vm.containment.update(vm.now);
    for _ in 0..20 {
        vm.pass(500_000);
        vm.containment.update(vm.now);
        assert!(vm.is_contained(&[BAD]));
    }
    vm.pass(601_000);
    vm.containment.update(vm.now);
    assert!(!vm.is_contained(&[BAD]));
}

#[test]
fn many_reports_push_out_nothing_that_is_contained() {
    let mut vm = Vm::experienced();
    vm.crash(1, 1, &[FIRST, BAD]);
    vm.crash(2, 2, &[FIRST, BAD]);
    vm.pass(1_000);
    vm.containment.update(vm.now);
    for run in 10..2_000 {
        let report = report(run, run, &[FIRST, PromptPart(10_000 + run)]);
        vm.containment.record_crash(&report, vm.now);
    }
    vm.containment.update(vm.now);
    assert!(vm.is_contained(&[BAD]));
    assert!(!vm.is_contained(&[FIRST]));
}

#[test]
fn a_suspect_is_a_part_that_was_in_a_crash_and_in_no_answer() {
    let mut vm = Vm::experienced();
    vm.crash(1, 1, &[FIRST, BAD]);
    assert!(vm.containment.has_suspect(&[FIRST, BAD]));
    assert!(!vm.containment.has_suspect(&[FIRST, OTHER]));
    vm.containment.record_begun_elsewhere(BAD);
    assert!(!vm.containment.has_suspect(&[FIRST, BAD]));
}
