//! Choosing a server, the retry budget, suspects, routes, events and rates.

use crate::gateway::backlog::Backlog;
use crate::gateway::budget::{Allowance, RetryBudget};
use crate::gateway::choose::{Candidate, choose};
use crate::gateway::crash_suspects::CrashSuspects;
use crate::gateway::demand::Demand;
use crate::gateway::events::EventBuffer;
use crate::gateway::fleet::{Fleet, Taken};
use crate::gateway::load_limit::LoadRateLimit;
use crate::gateway::watch::retry_pause;
use crate::gateway::{
    Configuration, Entry, Holding, Limits, Route, RouteKind, ServerState, Target, Weights,
};
use crate::inventory::Name;
use std::time::{Duration, Instant};

fn candidate(in_flight: u32) -> Candidate {
    Candidate {
        in_flight,
        slots: 64,
        prompts_wait_ms: 0.0,
        is_near: true,
        is_far_late: false,
        is_connected: true,
        is_short_call: false,
        has_failed: false,
    }
}

#[test]
fn the_least_loaded_server_is_chosen_and_the_near_one_of_equals() {
    let far = Candidate {
        is_near: false,
        ..candidate(10)
    };
    assert_eq!(
        choose(&[candidate(40), candidate(10), candidate(30)], || 0.5),
        Some(1)
    );
    assert_eq!(choose(&[far, candidate(10)], || 0.5), Some(1));
    // The own zone is not worth a queue.
    assert_eq!(choose(&[far, candidate(40)], || 0.5), Some(0));
    assert_eq!(choose(&[], || 0.5), None);
}

#[test]
fn among_servers_alike_one_with_an_open_connection_is_chosen() {
    let unconnected = Candidate {
        is_connected: false,
        is_short_call: false,
        ..candidate(10)
    };
    assert_eq!(choose(&[unconnected, candidate(14)], || 0.5), Some(1));
    // A connection is not worth a queue.
    assert_eq!(choose(&[unconnected, candidate(40)], || 0.5), Some(0));
}

#[test]
fn a_server_that_failed_is_taken_only_where_there_is_no_other() {
    let failed = Candidate {
        has_failed: true,
        ..candidate(0)
    };
    assert_eq!(choose(&[failed, candidate(60)], || 0.5), Some(1));
    assert_eq!(choose(&[failed], || 0.5), Some(0));
}

#[test]
fn a_server_with_prompts_waiting_is_left_for_one_with_more_streams() {
    let reading = Candidate {
        prompts_wait_ms: 40.0,
        ..candidate(10)
    };
    assert_eq!(choose(&[reading, candidate(50)], || 0.5), Some(1));
}

#[test]
fn a_backlog_is_read_in_the_time_that_it_tells() {
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
fn a_full_server_is_taken_only_where_all_are_full() {
    // Chance speaks for the full one as loudly as it can.
    let mut draws = [0.0, 1.0].into_iter();
    let chosen = choose(&[candidate(71), candidate(60)], || draws.next().unwrap());
    assert_eq!(chosen, Some(1));
    assert_eq!(choose(&[candidate(71), candidate(80)], || 0.5), Some(0));
    // Nor do prompts that wait at the one with places.
    let reading = Candidate {
        prompts_wait_ms: 2_000.0,
        ..candidate(60)
    };
    assert_eq!(choose(&[candidate(71), reading], || 0.5), Some(1));
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
    // Every request wants to be sent again, at an uneven load, for half a minute.
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

#[test]
fn a_request_is_refused_after_the_crashes_that_all_vms_saw() {
    let suspects = CrashSuspects::default();
    let now = Instant::now();
    assert_eq!(suspects.record_crash(7, now), 1);
    assert!(!suspects.is_poison(7, now));
    // A peer tells of one more.
    suspects.merge_crashes(7, 2, now);
    assert!(suspects.is_poison(7, now));
    assert!(!suspects.is_poison(8, now));
    suspects.clear(7);
    assert!(!suspects.is_poison(7, now));
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
fn the_longest_prefix_decides_and_shares_are_kept() {
    let routes = vec![route("short", "/a/"), route("long", "/a/b/")];
    let configuration = Configuration::new(3, routes, Vec::new(), Limits::default());
    let name = |path: &str| configuration.route("h", path).map(|it| it.name.to_string());
    assert_eq!(name("/a/x").as_deref(), Some("short"));
    assert_eq!(name("/a/b/x").as_deref(), Some("long"));
    assert_eq!(name("/a/bx").as_deref(), Some("short"));
    assert_eq!(name("/b/"), None);
    assert!(configuration.route("other", "/a/x").is_none());
    let route = configuration.route("h", "/a/x").expect("it is there");
    let target = |point| route.pick_target(point).map(Name::to_string);
    assert_eq!(target(0.0).as_deref(), Some("most"));
    assert_eq!(target(0.89).as_deref(), Some("most"));
    assert_eq!(target(0.91).as_deref(), Some("some"));
    assert_eq!(target(1.0).as_deref(), Some("some"));
}

#[test]
fn events_are_cut_out_whole_wherever_the_bytes_are_split() {
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
fn demand_fades() {
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
    // Ten requests of a second each, every second.
    assert!((8_000.0..12_000.0).contains(&rate(10)), "{}", rate(10));
    assert!(rate(13) < 2_000.0, "{}", rate(13));
    assert!(demand.rates(start + Duration::from_secs(60)).is_empty());
}

fn entry(id: &str, state: ServerState) -> Entry {
    Entry {
        id: id.into(),
        started_ms: 1_000,
        sequence: 1,
        service: "s".into(),
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
fn an_entry_that_lapsed_counts_again_only_if_it_comes_back_in_time() {
    let fleet = Fleet::default();
    let now = Instant::now();
    let limit = Duration::from_secs(2);
    assert_eq!(fleet.take(entry("i", ServerState::Ready)), Taken::News);
    let server = fleet.server("i").expect("it was just entered");
    fleet.lapse("i", now);
    assert!(!server.is_listed_ready());
    assert!(
        fleet
            .forget_lapsed(limit, now + Duration::from_secs(1))
            .is_empty()
    );
    fleet.take(entry("i", ServerState::Ready));
    assert!(server.is_listed_ready());
    fleet.lapse("i", now);
    let gone = fleet.forget_lapsed(limit, now + Duration::from_secs(3));
    assert_eq!(gone, ["i"]);
    assert!(fleet.server("i").is_none());
}

#[test]
fn what_a_server_says_it_lacks_is_not_asked_of_it_for_a_while() {
    let fleet = Fleet::default();
    let now = Instant::now();
    fleet.take(entry("i", ServerState::Ready));
    let server = fleet.server("i").expect("it was just entered");
    let adapter = Weights {
        model: "m".into(),
        adapter: Some("a1".into()),
    };
    assert!(server.holds(&adapter, now));
    server.note_missing(adapter.clone(), now);
    assert!(!server.holds(&adapter, now));
    assert!(server.holds(&adapter, now + Duration::from_secs(2)));
}

/// The most loads that begin in any window, if every holder begins all that it may.
fn most_loads(takes_over: impl Fn(&LoadRateLimit, Instant)) -> usize {
    let window = Duration::from_secs(5);
    let start = Instant::now();
    let mut begun = Vec::new();
    // The first holder gives way to another at the worst moment, and that one to a third.
    for holder in 0..3_u64 {
        let ceiling = LoadRateLimit::new(window);
        if holder > 0 {
            takes_over(&ceiling, start + Duration::from_millis(holder * 5_500));
        }
        for step in 0..55 {
            let now = start + Duration::from_millis(holder * 5_500 + step * 100);
            // Nothing at first, then all at once: the latest moment of each holder.
            let may_begin = holder > 0 || step > 50;
            while may_begin && ceiling.left(1.6, now) > 0 {
                ceiling.note(now);
                begun.push(now);
            }
        }
    }
    let in_window = |from: &Instant| {
        let until = *from + window;
        begun
            .iter()
            .filter(|at| (*from..=until).contains(*at))
            .count()
    };
    begun.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn holders_that_follow_each_other_stay_below_the_ceiling_on_loads() {
    // 1.6 a second over 5 s, a tenth more, and three.
    let allowed = 11;
    assert!(most_loads(|_, _| ()) > allowed, "without the allowance");
    assert!(most_loads(LoadRateLimit::note_takeover) <= allowed);
}

#[test]
fn a_vm_that_cannot_serve_asks_the_log_on_at_the_first_pace() {
    let first = retry_pause(1, true);
    assert!(retry_pause(4, true) > first);
    assert_eq!(retry_pause(4, true), retry_pause(9, true));
    assert_eq!(retry_pause(9, false), first);
    // With a read that fails after 0.7 s a change is still in force within 2 s.
    assert!(retry_pause(99, true) <= Duration::from_secs(1));
}

#[test]
fn a_server_that_starts_again_under_its_id_holds_nothing_of_before() {
    let fleet = Fleet::default();
    let now = Instant::now();
    fleet.take(entry("i", ServerState::Ready));
    let before = fleet.server("i").expect("it was just entered");
    let told = [Holding {
        model: "m".into(),
        version: 1,
        adapters: Vec::new(),
    }];
    before.note_leader_view(told.to_vec(), now);
    before.backlog.note(50.0, now);
    let _in_flight = before.enter("m".into());
    let again = Entry {
        started_ms: 2_000,
        holdings: Vec::new(),
        ..entry("i", ServerState::Ready)
    };
    assert_eq!(fleet.take(again), Taken::News, "a new run is a new server");
    let after = fleet.server("i").expect("it was entered anew");
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
fn what_a_server_wrote_before_never_replaces_what_it_wrote_since() {
    let fleet = Fleet::default();
    let now = Instant::now();
    let leaving = Entry {
        started_ms: 2_000,
        sequence: 7,
        ..entry("i", ServerState::Draining)
    };
    fleet.take(leaving.clone());
    // A late one of the same run, and a late one of the run before with a higher count.
    for (started_ms, sequence) in [(2_000, 6), (1_000, 90)] {
        let late = Entry {
            started_ms,
            sequence,
            ..entry("i", ServerState::Ready)
        };
        assert_eq!(fleet.take(late), Taken::Renewed);
        let server = fleet.server("i").expect("it is listed");
        assert!(!server.is_listed_ready());
    }
    fleet.lapse("i", now);
    fleet.forget_lapsed(Duration::ZERO, now);
    // Also once it is gone.
    fleet.take(entry("i", ServerState::Ready));
    assert!(fleet.server("i").is_none());
    fleet.take(leaving);
    assert!(fleet.server("i").is_some());
}
