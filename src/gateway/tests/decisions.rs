//! Choosing a server, the retry budget, crash records, routes, events, demand and server entries.

use crate::gateway::backlog::Backlog;
use crate::gateway::budget::{Allowance, RetryBudget};
use crate::gateway::choose::{Candidate, choose};
use crate::gateway::demand::Demand;
use crate::gateway::events::EventBuffer;
use crate::gateway::fleet::{EntryChange, Fleet};
use crate::gateway::load_limit::{LoadRateLimit, LoadReservation};
use crate::gateway::removal::ReadContext;
use crate::gateway::watch::retry_pause;
use crate::gateway::{
    Configuration, Entry, Holding, Limits, Route, RouteKind, ServerState, Target, Weights,
};
use crate::inventory::Name;
use std::rc::Rc;
use std::time::{Duration, Instant};

fn candidate(in_flight: u32) -> Candidate {
    Candidate {
        in_flight,
        slots: 64,
        queued_prefill_ms: 0.0,
        is_local: true,
        is_remote_load_stale: false,
        is_connected: true,
        was_tried: false,
        is_short_call: false,
        has_failed: false,
        slowness: 1.0,
    }
}

#[test]
fn the_least_loaded_server_is_chosen_and_a_local_one_among_equals() {
    let remote = Candidate {
        is_local: false,
        ..candidate(10)
    };
    assert_eq!(
        choose(&[candidate(40), candidate(10), candidate(30)], || 0.5),
        Some(1)
    );
    assert_eq!(choose(&[remote, candidate(10)], || 0.5), Some(1));
    // The local zone does not outweigh a much higher load.
    assert_eq!(choose(&[remote, candidate(40)], || 0.5), Some(0));
    assert_eq!(choose(&[], || 0.5), None);
}

#[test]
fn a_connected_server_is_preferred_among_equals() {
    let disconnected = Candidate {
        is_connected: false,
        is_short_call: false,
        ..candidate(10)
    };
    assert_eq!(choose(&[disconnected, candidate(14)], || 0.5), Some(1));
    // An open connection does not outweigh a much higher load.
    assert_eq!(choose(&[disconnected, candidate(40)], || 0.5), Some(0));
}

#[test]
fn a_server_that_failed_is_chosen_only_if_there_is_no_other() {
    let failed = Candidate {
        has_failed: true,
        ..candidate(0)
    };
    assert_eq!(choose(&[failed, candidate(60)], || 0.5), Some(1));
    assert_eq!(choose(&[failed], || 0.5), Some(0));
}

#[test]
fn a_server_that_failed_this_request_is_chosen_after_one_that_failed_recently() {
    for is_short_call in [false, true] {
        let failed = Candidate {
            has_failed: true,
            is_short_call,
            ..candidate(60)
        };
        let tried = Candidate {
            was_tried: true,
            in_flight: 0,
            ..failed
        };
        assert_eq!(choose(&[tried, failed], || 0.5), Some(1));
        assert_eq!(choose(&[tried], || 0.5), Some(0));
    }
}

#[test]
fn a_server_with_more_streams_is_preferred_to_one_with_queued_prompts() {
    let prefilling = Candidate {
        queued_prefill_ms: 40.0,
        ..candidate(10)
    };
    assert_eq!(choose(&[prefilling, candidate(50)], || 0.5), Some(1));
}

#[test]
fn a_backlog_shrinks_as_time_passes() {
    let backlog = Backlog::default();
    let start = Instant::now();
    assert_eq!(backlog.wait_ms(start), 0.0);
    backlog.note(10.0, start);
    backlog.note(10.0, start + Duration::from_millis(5));
    let wait_ms = backlog.wait_ms(start + Duration::from_millis(5));
    assert!((wait_ms - 15.0).abs() < 0.01, "{wait_ms}");
    assert_eq!(backlog.wait_ms(start + Duration::from_millis(30)), 0.0);
}

#[test]
fn a_full_server_is_chosen_only_if_all_are_full() {
    // The noise favours the full server as much as possible.
    let mut draws = [0.0, 1.0].into_iter();
    let chosen = choose(&[candidate(71), candidate(60)], || draws.next().unwrap());
    assert_eq!(chosen, Some(1));
    assert_eq!(choose(&[candidate(71), candidate(80)], || 0.5), Some(0));
    // Queued prompts on the server with free slots make no difference.
    let prefilling = Candidate {
        queued_prefill_ms: 2_000.0,
        ..candidate(60)
    };
    assert_eq!(choose(&[candidate(71), prefilling], || 0.5), Some(1));
}

#[test]
fn all_vms_together_stay_within_the_retry_budget_in_any_window() {
    const VMS: usize = 9;
    let allowance = Allowance {
        ratio: 0.2,
        slack: 58.0,
        window: Duration::from_secs(10),
    };
    let budgets: Vec<RetryBudget> = (0..VMS).map(|_| RetryBudget::new(allowance)).collect();
    let service = Name::from("s");
    let start = Instant::now();
    let mut retries = Vec::new();
    // Every request needs a retry, spread unevenly over the VMs, for half a minute.
    for step in 0..3_000_u64 {
        let now = start + Duration::from_millis(step * 10);
        let budget = &budgets[(step * step) as usize % VMS];
        budget.note_request(&service, now);
        if budget.take(&service, Some(VMS), now) {
            retries.push(step);
        }
    }
    for begin in (0..2_000).step_by(50) {
        let in_window = |step: &&u64| (begin..begin + 1_000).contains(*step);
        let count = retries.iter().filter(in_window).count();
        assert!(count as f64 <= 0.2 * 1_000.0 + 58.0, "{count} from {begin}");
    }
    assert!(retries.len() > 300, "{}", retries.len());
}

fn route(name: &str, prefix: &str) -> Route {
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        is_public: false,
        resumable: false,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        max_pause_ms: 0,
        max_attempts: 2,
        priority: 0,
        targets: vec![target("most", 90), target("some", 10)],
    }
}

#[test]
fn the_longest_prefix_wins_and_targets_get_their_shares() {
    let routes = vec![route("short", "/a/"), route("long", "/a/b/")];
    let configuration = Configuration::new(3, routes, Vec::new(), Limits::default());
    let name = |path: &str| configuration.route("h", path).map(|it| it.name.to_string());
    assert_eq!(name("/a/x").as_deref(), Some("short"));
    assert_eq!(name("/a/b/x").as_deref(), Some("long"));
    assert_eq!(name("/a/bx").as_deref(), Some("short"));
    assert_eq!(name("/b/"), None);
    assert!(configuration.route("other", "/a/x").is_none());
    let route = configuration.route("h", "/a/x").expect("the route exists");
    let target = |point| route.pick_target(point).map(Name::to_string);
    assert_eq!(target(0.0).as_deref(), Some("most"));
    assert_eq!(target(0.89).as_deref(), Some("most"));
    assert_eq!(target(0.91).as_deref(), Some("some"));
    assert_eq!(target(1.0).as_deref(), Some("some"));
}

#[test]
fn events_are_parsed_whole_wherever_the_bytes_are_split() {
    let text = b"id: 1\ndata: a\n\nx-version: 2\nid: 2\ndata: b\n\ndata: none\n\nid: 3\nda";
    for split in 0..text.len() {
        let mut buffer = EventBuffer::default();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();
        for piece in [&text[..split], &text[split..]] {
            assert!(buffer.push(piece));
            while let Some(event) = buffer.next() {
                ids.push(event.id);
                bytes.extend(event.bytes);
            }
        }
        assert_eq!(ids, [Some(1), Some(2), None]);
        assert_eq!(bytes, text[..text.len() - 8]);
        assert!(!buffer.is_empty());
    }
}

#[test]
fn demand_decays() {
    let demand = Demand::default();
    let weights = Weights {
        model: "m".into(),
        adapter: None,
    };
    let start = Instant::now();
    for step in 0..100 {
        demand.note(&weights, 1_000.0, start + Duration::from_millis(step * 100));
    }
    let rate = |after_s| {
        let rates = demand.rates(start + Duration::from_secs(after_s));
        rates.first().map_or(0.0, |(_, rate)| rate.busy_ms_per_s)
    };
    // Ten requests per second, each of which takes one second.
    assert!((8_000.0..12_000.0).contains(&rate(10)), "{}", rate(10));
    assert!(rate(13) < 2_000.0, "{}", rate(13));
    assert!(demand.rates(start + Duration::from_secs(60)).is_empty());
}

/// Applies an entry that was read now.
/// Applies the entry of a removed server that another VM knows to be alive.
fn revive(fleet: &Fleet, entry: Entry) -> EntryChange {
    fleet.apply_revival(entry, &ReadContext::at(Instant::now()))
}

fn apply(fleet: &Fleet, entry: Entry) -> EntryChange {
    fleet.apply_entry(entry, false, &ReadContext::at(Instant::now()))
}

/// The entry of a server with a number.
fn numbered(id: &str, sequence: u64) -> Entry {
    Entry {
        sequence,
        ..entry(id, ServerState::Ready)
    }
}

fn entry(id: &str, state: ServerState) -> Entry {
    Entry {
        id: id.into(),
        started_ms: 1_000,
        sequence: 1,
        service: "s".into(),
        software_version: "v1".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        availability_zone: "a".into(),
        slots: 4,
        state,
        holdings: vec![Holding {
            model: "m".into(),
            version: 1,
            adapters: vec!["a1".into()],
        }],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

#[test]
fn a_lapsed_entry_is_restored_only_within_the_time_limit() {
    let fleet = Fleet::default();
    let now = Instant::now();
    let limit = Duration::from_secs(2);
    assert_eq!(
        apply(&fleet, entry("i", ServerState::Ready)),
        EntryChange::AvailabilityChanged
    );
    let server = fleet.server("i").expect("the entry was just added");
    fleet.mark_removed("i", now);
    assert!(!server.accepts_requests());
    assert!(
        fleet
            .purge_removed(limit, now + Duration::from_secs(1))
            .is_empty()
    );
    for sequence in [2, 3] {
        apply(&fleet, numbered("i", sequence));
        assert!(!server.accepts_requests());
    }
    revive(&fleet, numbered("i", 4));
    assert!(server.accepts_requests());
    fleet.mark_removed("i", now);
    let gone = fleet.purge_removed(limit, now + Duration::from_secs(3));
    assert_eq!(gone, ["i"]);
    assert!(fleet.server("i").is_none());
}

#[test]
fn a_run_whose_entry_comes_back_after_its_removal_is_still_leaving() {
    let fleet = Fleet::default();
    let now = Instant::now();
    apply(&fleet, entry("i", ServerState::Ready));
    let server = fleet.server("i").expect("the entry was just added");
    assert!(server.note_leaving(now));
    assert!(!server.note_leaving(now));
    fleet.mark_removed("i", now);
    fleet.purge_removed(Duration::ZERO, now);
    apply(&fleet, numbered("i", 2));
    let change = revive(&fleet, numbered("i", 3));
    assert_eq!(change, EntryChange::Revived);
    let server = fleet.server("i").expect("the entry is back");
    assert!(!server.accepts_requests());
    let grace = Duration::from_secs(1);
    assert!(server.has_begun_leaving(grace, now));
    assert!(!server.has_begun_leaving(grace, now + grace));
    // Another run under the id knows nothing of it.
    apply(
        &fleet,
        Entry {
            started_ms: 9_000,
            ..entry("i", ServerState::Ready)
        },
    );
    let server = fleet.server("i").expect("the entry is newer");
    assert!(server.accepts_requests());
}

#[test]
fn the_pause_that_a_server_asked_for_is_not_shortened_by_a_later_answer_or_an_absent_entry() {
    let fleet = Fleet::default();
    let now = Instant::now();
    apply(&fleet, entry("i", ServerState::Ready));
    let server = fleet.server("i").expect("the entry was just added");
    server.note_pause(Duration::from_secs(3), now);
    server.note_pause(Duration::from_secs(1), now);
    let until = now + Duration::from_secs(3);
    assert_eq!(server.paused_until(now), Some(until));
    fleet.mark_removed("i", now);
    fleet.purge_removed(Duration::ZERO, now);
    revive(&fleet, numbered("i", 3));
    let server = fleet.server("i").expect("the entry is back");
    assert_eq!(server.paused_until(now), Some(until));
    assert_eq!(server.paused_until(until), None);
    server.note_pause(Duration::MAX, now);
    assert!(server.paused_until(until).is_some());
}

#[test]
fn weights_reported_missing_are_not_requested_from_a_server_for_a_while() {
    let fleet = Fleet::default();
    let now = Instant::now();
    apply(&fleet, entry("i", ServerState::Ready));
    let server = fleet.server("i").expect("the entry was just added");
    let adapter = Weights {
        model: "m".into(),
        adapter: Some("a1".into()),
    };
    assert!(server.holds(&adapter, now));
    server.note_missing(adapter.clone(), now);
    assert!(!server.holds(&adapter, now));
    assert!(server.holds(&adapter, now + Duration::from_secs(2)));
}

/// Returns the highest number of loads that start in any window if every leader starts as many as
/// it is allowed to.
fn max_loads_in_window(on_takeover: impl Fn(&LoadRateLimit, Instant)) -> usize {
    let window = Duration::from_secs(5);
    let start = Instant::now();
    let mut started = Vec::new();
    // Leadership passes from the first leader to a second and a third at the worst moments.
    for leader in 0..3_u64 {
        let rate_limit = LoadRateLimit::new(window);
        if leader > 0 {
            on_takeover(&rate_limit, start + Duration::from_millis(leader * 5_500));
        }
        for step in 0..55 {
            let now = start + Duration::from_millis(leader * 5_500 + step * 100);
            // The first leader starts all its loads at the end, the later ones as soon as possible.
            let may_start = leader > 0 || step > 50;
            while may_start && rate_limit.left(1.6, now) > 0 {
                rate_limit.note(now);
                started.push(now);
            }
        }
    }
    let in_window = |from: &Instant| {
        let until = *from + window;
        started
            .iter()
            .filter(|at| (*from..=until).contains(*at))
            .count()
    };
    started.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn a_planned_load_counts_until_a_window_after_its_beginning() {
    // Counted from the plan only, loads that waited for unloads began together with later ones.
    let window = Duration::from_secs(5);
    let limit = Rc::new(LoadRateLimit::new(window));
    let start = Instant::now();
    let planned: Vec<LoadReservation> = (0..8).map(|_| limit.reserve()).collect();
    assert_eq!(limit.left(1.6, start), 0);
    let begun = start + Duration::from_secs(6);
    assert_eq!(limit.left(1.6, begun), 0);
    planned.iter().for_each(|load| load.note_started(begun));
    assert_eq!(limit.left(1.6, begun + Duration::from_secs(4)), 0);
    // A load counts once, whether it was noted before it is dropped or not.
    drop(planned);
    assert_eq!(limit.left(1.6, begun + Duration::from_secs(6)), 8);
}

#[test]
fn successive_leaders_stay_within_the_load_rate_limit() {
    // 1.6 per second over 5 s, plus a tenth of that, plus three, rounded down.
    let allowed = 11;
    assert!(
        max_loads_in_window(|_, _| ()) > allowed,
        "without the limit after a takeover"
    );
    assert!(max_loads_in_window(LoadRateLimit::note_takeover) <= allowed);
}

#[test]
fn a_vm_that_cannot_serve_asks_the_log_on_at_the_first_pace() {
    let first = retry_pause(1, true);
    assert!(retry_pause(4, true) > first);
    assert_eq!(retry_pause(4, true), retry_pause(9, true));
    assert_eq!(retry_pause(9, false), first);
    // A change still takes effect within 2 s if a read fails after 0.7 s.
    assert!(retry_pause(99, true) <= Duration::from_secs(1));
}

#[test]
fn a_restarted_server_keeps_no_state_of_its_previous_run() {
    let fleet = Fleet::default();
    let now = Instant::now();
    apply(&fleet, entry("i", ServerState::Ready));
    let before = fleet.server("i").expect("the entry was just added");
    let leader_view = [Holding {
        model: "m".into(),
        version: 1,
        adapters: Vec::new(),
    }];
    before.note_leader_view(leader_view.to_vec(), now);
    before.backlog.note(50.0, now);
    let _in_flight = before.track_in_flight("m".into());
    let restarted = Entry {
        started_ms: 2_000,
        holdings: Vec::new(),
        ..entry("i", ServerState::Ready)
    };
    assert_eq!(
        apply(&fleet, restarted),
        EntryChange::AvailabilityChanged,
        "a restarted server is a new one"
    );
    let after = fleet.server("i").expect("the new run was added");
    assert_eq!(after.in_flight(), 0);
    assert_eq!(after.backlog.wait_ms(now), 0.0);
    let model = Weights {
        model: "m".into(),
        adapter: None,
    };
    assert!(!after.holds(&model, now));
    assert!(fleet.run(&before.incarnation()).is_none());
}

#[test]
fn older_entries_of_a_server_never_replace_newer_ones() {
    let fleet = Fleet::default();
    let now = Instant::now();
    let draining = Entry {
        started_ms: 2_000,
        sequence: 7,
        ..entry("i", ServerState::Draining)
    };
    apply(&fleet, draining.clone());
    // A delayed entry of the same run, and one of the previous run with a higher sequence number.
    for (started_ms, sequence) in [(2_000, 6), (1_000, 90)] {
        let outdated = Entry {
            started_ms,
            sequence,
            ..entry("i", ServerState::Ready)
        };
        assert_eq!(apply(&fleet, outdated), EntryChange::Renewed);
        let server = fleet.server("i").expect("the server is listed");
        assert!(!server.accepts_requests());
    }
    fleet.mark_removed("i", now);
    fleet.purge_removed(Duration::ZERO, now);
    // The same holds after the server has been removed.
    apply(&fleet, entry("i", ServerState::Ready));
    assert!(fleet.server("i").is_none());
    apply(&fleet, draining.clone());
    assert!(fleet.server("i").is_none());
    apply(
        &fleet,
        Entry {
            started_ms: 3_000,
            ..draining
        },
    );
    assert!(fleet.server("i").is_some());
}
