//! On the platform: status reports that the store executes late, after their server has left, beside a
//! server whose entry lapsed and that comes back.

use googletest::prelude::*;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use workbench::cluster::block_on;
use workbench::site::{Caller, CallerRequest, Node, ServerStandIn, Site, plain, route};

/// How often servers report.
const REPORT_INTERVAL_S: f64 = 1.2;
/// After how many intervals of silence the store removes an entry.
const EXPIRY_INTERVALS: f64 = 3.0;
/// When the entry of the leaving server is removed.
const REMOVED_AT_S: f64 = 6.9;
/// How long VMs may take to send no more requests to a server that has left.
const DRAIN_S: f64 = 2.0;
/// When the server that lapsed was heard last, and when it reports again.
const SILENT_FROM_S: f64 = 2.4;
const BACK_AT_S: f64 = 7.2;
/// By when it gets requests again.
const SERVES_BY_S: f64 = BACK_AT_S + 4.0;
/// When the store drops its history, if it does.
const COMPACTED_AT_S: f64 = 7.6;
/// When a play ends.
const END_S: f64 = 14.0;
/// The callers of each VM, and the pause of each between two requests.
const CALLERS: usize = 6;
const CALLER_PAUSE: Duration = Duration::from_millis(50);

const LEAVING: usize = 2;
const LAPSING: usize = 3;
const TOPIC: &str = "keyed.servers";

/// What happens to the VMs between the removal and the late write.
#[derive(Clone, Copy, Debug, PartialEq)]
enum VmFault {
    Nothing,
    KillOne,
    KillAllInTurn,
    KillAllAtOnce,
    StopOne,
    CutOneOff,
}

/// One play.
#[derive(Clone, Copy, Debug)]
struct Play {
    zones: usize,
    /// The time at which the late report is sent. It is one of the times at which servers report.
    sent_at_s: f64,
    /// The time at which the store executes it.
    done_at_s: f64,
    /// Whether the server reports `draining` before its entry is removed.
    has_announced: bool,
    /// Whether entries say when their runs started.
    states_start: bool,
    /// Whether the log is reset to the newest records before the late write.
    is_compacted: bool,
    vm_fault: VmFault,
    /// When the first VM is killed, if any is.
    killed_at_s: f64,
    /// Whether the server that lapsed starts again before it reports again.
    is_restarted: bool,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            zones: 3,
            sent_at_s: 3.6,
            done_at_s: 9.4,
            has_announced: false,
            states_start: true,
            is_compacted: false,
            vm_fault: VmFault::Nothing,
            killed_at_s: 7.5,
            is_restarted: false,
        }
    }
}

/// What the servers saw.
#[derive(Debug)]
struct Outcome {
    /// The requests that reached the leaving server later than allowed after its removal, in seconds
    /// of the play.
    late_s: Vec<f64>,
    /// The requests that reached the server that came back.
    returned_s: Vec<f64>,
}

/// The next change that the play makes to the store or to a VM.
#[derive(Clone, Debug)]
enum Step {
    Report(usize, &'static str),
    LateReport,
    Remove(usize),
    Restart(usize),
    StartFault,
    StartVm(usize),
    KillVm(usize),
    EndFault,
    Compact,
}

/// The steps of a play, each with its time.
fn steps(play: &Play) -> Vec<(f64, Step)> {
    let mut steps = Vec::new();
    let reports = (END_S / REPORT_INTERVAL_S) as usize;
    for index in 1..=reports {
        let at = index as f64 * REPORT_INTERVAL_S;
        for server in [0, 1] {
            steps.push((at, Step::Report(server, "ready")));
        }
        let is_silent = (SILENT_FROM_S + 0.1..BACK_AT_S - 0.1).contains(&at);
        if !is_silent {
            steps.push((at, Step::Report(LAPSING, "ready")));
        }
        let is_late = (at - play.sent_at_s).abs() < 0.1;
        let is_last = at + REPORT_INTERVAL_S > REMOVED_AT_S;
        if at < REMOVED_AT_S && !is_late {
            let state = match is_last && play.has_announced {
                true => "draining",
                false => "ready",
            };
            steps.push((at, Step::Report(LEAVING, state)));
        }
    }
    let expiry = EXPIRY_INTERVALS * REPORT_INTERVAL_S;
    steps.push((SILENT_FROM_S + expiry, Step::Remove(LAPSING)));
    steps.push((REMOVED_AT_S, Step::Remove(LEAVING)));
    steps.push((play.done_at_s, Step::LateReport));
    steps.push((play.done_at_s + expiry, Step::Remove(LEAVING)));
    if play.is_compacted {
        steps.push((COMPACTED_AT_S, Step::Compact));
    }
    if play.is_restarted {
        steps.push((BACK_AT_S - 0.1, Step::Restart(LAPSING)));
    }
    let killed_at = play.killed_at_s;
    match play.vm_fault {
        VmFault::Nothing => {}
        VmFault::KillOne => {
            steps.extend([
                (killed_at, Step::KillVm(0)),
                (killed_at + 0.3, Step::StartVm(0)),
            ]);
        }
        VmFault::KillAllInTurn => {
            for vm in 0..3 {
                let at = killed_at + 0.6 * vm as f64;
                steps.extend([(at, Step::KillVm(vm)), (at + 0.1, Step::StartVm(vm))]);
            }
        }
        VmFault::KillAllAtOnce => {
            for vm in 0..3 {
                steps.extend([
                    (killed_at, Step::KillVm(vm)),
                    (killed_at + 0.3, Step::StartVm(vm)),
                ]);
            }
        }
        VmFault::StopOne | VmFault::CutOneOff => {
            steps.extend([(6.0, Step::StartFault), (8.8, Step::EndFault)]);
        }
    }
    steps.sort_by(|(left, _), (right, _)| left.total_cmp(right));
    steps
}

async fn run(play: Play) -> Outcome {
    let mut site = Site::start(vec![("books", vec![]); 4]).await;
    site.zones = play.zones;
    if !play.states_start {
        site.servers.iter().for_each(|server| server.hide_start());
    }
    site.configure(
        json!([route("/", "safe", "books")]),
        json!([plain("books")]),
    );
    let network = match play.vm_fault {
        VmFault::CutOneOff => Some(site.start_vms_in_network(3).await),
        _ => {
            site.start_vms(3);
            None
        }
    };
    site.wait_ready().await;
    let is_over = Rc::new(Cell::new(false));
    for vm in 0..3 {
        for _ in 0..CALLERS {
            let (front, is_over) = (site.front(vm), is_over.clone());
            compio::runtime::spawn(async move {
                while !is_over.get() {
                    let request = CallerRequest::get("/books");
                    Caller::default().request(front, &request).await;
                    compio::time::sleep(CALLER_PAUSE).await;
                }
            })
            .detach();
        }
    }
    let began = Instant::now();
    let mut late: Option<Value> = None;
    for (at, step) in steps(&play) {
        let at = began + Duration::from_secs_f64(at);
        if late.is_none() && at >= began + Duration::from_secs_f64(play.sent_at_s) {
            late = Some(site.servers[LEAVING].entry("ready"));
        }
        compio::time::sleep_until(at).await;
        match step {
            Step::Report(server, state) => site.put_entry(&site.servers[server], state),
            Step::LateReport => {
                let late = late.as_ref().expect("it was sent before");
                site.store.put(TOPIC, &site.servers[LEAVING].id, late);
            }
            Step::Remove(server) => site.remove(&site.servers[server]),
            Step::Restart(server) => site.servers[server].restart(),
            Step::KillVm(vm) => site.vms[vm].kill(),
            Step::StartVm(vm) => site.restart_vm(vm),
            Step::StartFault => match &network {
                Some(network) => {
                    let others = [Node::Store, Node::Vm(1), Node::Vm(2)];
                    network.cut_off(0, &others, true, true);
                }
                None => site.vms[0].signal(Signal::SIGSTOP),
            },
            Step::EndFault => match &network {
                Some(network) => network.heal_vm(0),
                None => site.vms[0].signal(Signal::SIGCONT),
            },
            Step::Compact => site.store.compact(TOPIC),
        }
    }
    compio::time::sleep_until(began + Duration::from_secs_f64(END_S)).await;
    is_over.set(true);
    let seconds = |server: &Rc<ServerStandIn>, from: f64| -> Vec<f64> {
        let arrivals = server.arrivals().into_iter();
        let arrivals =
            arrivals.filter_map(|at| Some(at.checked_duration_since(began)?.as_secs_f64()));
        arrivals.filter(|at| *at > from).collect()
    };
    Outcome {
        late_s: seconds(&site.servers[LEAVING], REMOVED_AT_S + DRAIN_S),
        returned_s: seconds(&site.servers[LAPSING], BACK_AT_S),
    }
}

/// Plays and checks that the server that left gets no requests, and the one that came back does in time.
fn expect_no_late_requests(play: Play) {
    let outcome = block_on(run(play));
    let late = outcome.late_s.len();
    println!(
        "{play:?}: {late} requests late, back at {:?}",
        outcome.returned_s.first()
    );
    expect_that!(outcome.late_s, is_empty(), "{play:?}");
    let serves = outcome.returned_s.iter().filter(|at| **at <= SERVES_BY_S);
    expect_that!(
        serves.count(),
        gt(0),
        "{play:?}: {:?}",
        outcome.returned_s.first()
    );
}

/// Guards against a removed server that an older report revives.
#[googletest::test]
fn a_report_of_before_the_last_one_does_not_revive_a_removed_server() {
    expect_no_late_requests(Play::default());
}

/// Guards against a removed server that its last report revives, whose number nobody has read.
#[googletest::test]
fn the_last_report_does_not_revive_a_removed_server() {
    for zones in [1, 3] {
        expect_no_late_requests(Play {
            zones,
            sent_at_s: 6.0,
            ..Play::default()
        });
    }
}

/// Guards against VMs that do not read the log themselves and know an old number of the run.
#[googletest::test]
fn a_late_report_does_not_revive_a_server_at_vms_that_are_told_of_changes() {
    expect_no_late_requests(Play {
        zones: 1,
        ..Play::default()
    });
}

/// Guards against a late report within the time in which a removed server is still known.
#[googletest::test]
fn a_report_that_comes_just_after_the_removal_does_not_revive_a_server() {
    expect_no_late_requests(Play {
        sent_at_s: 2.4,
        done_at_s: 7.3,
        ..Play::default()
    });
}

/// Guards against a late `ready` after `draining`.
#[googletest::test]
fn a_server_that_announced_its_leaving_is_not_ready_again() {
    for sent_at_s in [3.6, 4.8] {
        expect_no_late_requests(Play {
            sent_at_s,
            has_announced: true,
            ..Play::default()
        });
    }
}

/// Guards against entries that do not say when their run started.
#[googletest::test]
fn a_late_report_without_a_start_time_does_not_revive_a_server() {
    for sent_at_s in [3.6, 6.0] {
        expect_no_late_requests(Play {
            sent_at_s,
            states_start: false,
            ..Play::default()
        });
    }
}

/// Guards against a VM that starts after the removal and takes the late report for a new server.
#[googletest::test]
fn a_vm_that_starts_after_the_removal_does_not_revive_a_server() {
    for (zones, sent_at_s) in [(3, 3.6), (1, 3.6), (3, 6.0)] {
        expect_no_late_requests(Play {
            zones,
            sent_at_s,
            vm_fault: VmFault::KillOne,
            ..Play::default()
        });
    }
}

/// Guards against VMs that start after the late write and find it among the newest entries.
#[googletest::test]
fn vms_that_start_after_the_late_write_do_not_revive_a_server() {
    for vm_fault in [VmFault::KillOne, VmFault::KillAllAtOnce] {
        expect_no_late_requests(Play {
            vm_fault,
            killed_at_s: 10.0,
            ..Play::default()
        });
    }
}

/// Guards against a server that stays out after it started again under its id.
#[googletest::test]
fn a_server_that_starts_again_under_its_id_is_back_in_time() {
    for states_start in [true, false] {
        expect_no_late_requests(Play {
            states_start,
            is_restarted: true,
            ..Play::default()
        });
    }
}

/// Guards against VMs that all start after the removal, one after another.
#[googletest::test]
fn vms_that_start_in_turn_after_the_removal_do_not_revive_a_server() {
    for zones in [1, 3] {
        expect_no_late_requests(Play {
            zones,
            vm_fault: VmFault::KillAllInTurn,
            ..Play::default()
        });
    }
}

/// Guards against VMs that all start after the removal, so that only the log knows of it.
#[googletest::test]
fn vms_that_all_start_after_the_removal_do_not_revive_a_server() {
    for (sent_at_s, is_compacted) in [(3.6, false), (6.0, false), (3.6, true)] {
        expect_no_late_requests(Play {
            sent_at_s,
            is_compacted,
            vm_fault: VmFault::KillAllAtOnce,
            ..Play::default()
        });
    }
}

/// Guards against a VM that was stopped or cut off from the store at the removal.
#[googletest::test]
fn a_vm_that_did_not_see_the_removal_in_time_does_not_revive_a_server() {
    for vm_fault in [VmFault::StopOne, VmFault::CutOneOff] {
        for sent_at_s in [3.6, 6.0] {
            expect_no_late_requests(Play {
                sent_at_s,
                vm_fault,
                ..Play::default()
            });
        }
    }
}
