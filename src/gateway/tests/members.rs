//! Which VMs are members of the log's group, for fleets of different sizes.

use crate::gateway::election::members_interval;
use crate::gateway::gossip_message::Digest;
use crate::gateway::group_members::MEMBERS_PER_PARTITION;
use crate::gateway::peers::Peers;
use crate::gateway::sighting_message::zones_of;
use crate::gateway::tests::address;
use crate::gateway::view::{LIVENESS_TIMEOUT, Sighting};
use std::time::{Duration, Instant};

const ZONES: usize = 3;
const ROUND: Duration = Duration::from_millis(200);
/// A time after the start at which all VMs have found each other.
const LATER: Duration = Duration::from_secs(10);

/// The partitions that logs assign to members.
const PARTITIONS: usize = 12;
const MANY_PARTITIONS: usize = 24;
/// The processor time of most VMs and of the others, in cores.
const SMALL_CORES: f64 = 0.12;
const LARGE_CORES: f64 = 1.0;

/// Creates the peers of `count` VMs that all saw each other at `seen_at`, where the log has
/// `partitions`.
fn fleet_with(
    partitions: usize,
    count: usize,
    started_at: Instant,
    seen_at: Instant,
) -> Vec<Peers> {
    let fleet = fleet(count, started_at, seen_at);
    for peers in &fleet {
        let others = (0..partitions.min(count)).map(address);
        peers.set_members(others.collect(), count < partitions, partitions);
    }
    fleet
}

/// Creates the peers of `count` VMs that all saw each other at `seen_at`.
fn fleet(count: usize, started_at: Instant, seen_at: Instant) -> Vec<Peers> {
    let fleet: Vec<Peers> = (0..count)
        .map(|index| Peers::new(address(index), started_at).with_cpu_cores(SMALL_CORES))
        .collect();
    receive_sightings(&fleet, 0..count, seen_at);
    fleet
}

/// Creates the peers of `count` VMs, the first `large` of which have more processor time.
fn mixed_fleet(count: usize, large: usize, started_at: Instant, seen_at: Instant) -> Vec<Peers> {
    let cores = |index| {
        if index < large {
            LARGE_CORES
        } else {
            SMALL_CORES
        }
    };
    let fleet: Vec<Peers> = (0..count)
        .map(|index| Peers::new(address(index), started_at).with_cpu_cores(cores(index)))
        .collect();
    receive_mixed_sightings(&fleet, 0..count, large, seen_at);
    fleet
}

/// Delivers a sighting of the `alive` VMs to all VMs, and lets them remove silent VMs.
fn receive_sightings(fleet: &[Peers], alive: impl Iterator<Item = usize>, now: Instant) {
    receive_mixed_sightings(fleet, alive, 0, now);
}

fn receive_mixed_sightings(
    fleet: &[Peers],
    alive: impl Iterator<Item = usize>,
    large: usize,
    now: Instant,
) {
    let percent = |cores: f64| (cores * 100.0) as u8;
    let sightings = alive.map(|index| Sighting {
        address: address(index),
        availability_zone: format!("z{}", index % ZONES).into(),
        boot: 1,
        cpu_percent: percent(if index < large {
            LARGE_CORES
        } else {
            SMALL_CORES
        }),
        seen_at: now,
    });
    let digest = Digest {
        vms: zones_of(&sightings.collect::<Vec<_>>(), now),
        ..Digest::default()
    };
    for peers in fleet {
        peers.merge_sightings(&digest, now);
        peers.forget_silent(now);
    }
}

fn members(fleet: &[Peers], now: Instant) -> Vec<usize> {
    let all = fleet.iter().enumerate();
    let wanted = all.filter(|(_, peers)| peers.should_join_group(now));
    wanted.map(|(index, _)| index).collect()
}

#[test]
fn the_number_of_members_is_bounded_and_all_zones_have_some() {
    let now = Instant::now();
    let fleets =
        [9, 24, 76, 195, 410, 984].map(|count| [(count, PARTITIONS), (count, MANY_PARTITIONS)]);
    for (count, partitions) in fleets.into_iter().flatten() {
        let fleet = fleet_with(partitions, count, now, now + LATER);
        let members = members(&fleet, now + LATER);
        let most = partitions * MEMBERS_PER_PARTITION;
        assert_eq!(members.len(), count.min(most), "{count} VMs");
        for zone in 0..ZONES {
            let of_zone = members.iter().filter(|index| *index % ZONES == zone);
            assert!(of_zone.count() >= 3, "{count} VMs, zone {zone}");
        }
    }
}

#[test]
fn the_list_of_members_stays_full_while_any_one_of_them_is_gone() {
    let now = Instant::now();
    for partitions in [PARTITIONS, MANY_PARTITIONS] {
        let fleet = fleet_with(partitions, 984, now, now + LATER);
        let members = members(&fleet, now + LATER).len();
        assert!(
            members > partitions,
            "{members} members, {partitions} partitions"
        );
    }
}

#[test]
fn vms_with_more_processor_time_are_members_first_and_are_replaced_by_others() {
    let now = Instant::now();
    let later = now + LATER;
    let fleet = mixed_fleet(984, 60, now, later);
    for peers in &fleet {
        peers.set_members(Vec::new(), false, MANY_PARTITIONS);
    }
    let before = members(&fleet, later);
    assert_eq!(before.len(), MANY_PARTITIONS * MEMBERS_PER_PARTITION);
    assert!(before.iter().all(|index| *index < 60));
    // A leader among the others hands over; one that is a member doesn't.
    assert!(fleet[500].should_hand_over(later));
    assert!(!fleet[before[0]].should_hand_over(later));
    // All of them are lost at once.
    let mut now = later;
    while now < later + LIVENESS_TIMEOUT + ROUND {
        receive_mixed_sightings(&fleet, 60..984, 60, now);
        now += ROUND;
    }
    let after = members(&fleet[60..], now);
    assert_eq!(after.len(), MANY_PARTITIONS * MEMBERS_PER_PARTITION);
    assert!(!fleet[500].should_hand_over(now));
}

#[test]
fn a_leader_of_a_fleet_of_equal_vms_does_not_hand_over() {
    let now = Instant::now();
    let fleet = fleet_with(PARTITIONS, 300, now, now + LATER);
    assert!(
        fleet
            .iter()
            .all(|peers| !peers.should_hand_over(now + LATER))
    );
}

#[test]
fn the_rate_at_which_a_fleet_reads_the_list_of_members_is_bounded() {
    for vms in [3, 76, 984, 2_000] {
        let reads_per_s = vms as f64 / members_interval(vms).as_secs_f64();
        assert!(reads_per_s <= 10.0, "{vms} VMs: {reads_per_s}");
    }
}

#[test]
fn a_vm_that_has_just_started_is_a_member() {
    let now = Instant::now();
    let fleet = fleet(76, now, now);
    assert_eq!(members(&fleet, now).len(), 76);
}

#[test]
fn members_that_are_gone_are_replaced() {
    let now = Instant::now();
    let fleet = fleet_with(PARTITIONS, 76, now, now + LATER);
    let before = members(&fleet, now + LATER);
    let is_alive = |index: usize| !index.is_multiple_of(ZONES);
    // One zone stops sending; the VMs of the other zones still receive sightings of each other.
    let mut later = now + LATER;
    while later < now + LATER + LIVENESS_TIMEOUT + ROUND {
        receive_sightings(&fleet, (0..76).filter(|index| is_alive(*index)), later);
        later += ROUND;
    }
    let after = members(&fleet, later);
    let living = after.iter().filter(|index| is_alive(**index)).count();
    assert_eq!(living, PARTITIONS * MEMBERS_PER_PARTITION);
    let kept = before.iter().filter(|index| is_alive(**index));
    assert!(kept.clone().all(|index| after.contains(index)));
    assert!(
        kept.count() >= 12,
        "as many as the log assigns partitions to"
    );
}

#[test]
fn a_vm_that_hears_few_of_the_listed_members_does_not_know_the_size_of_the_fleet() {
    let now = Instant::now();
    let later = now + LATER;
    let alone = Peers::new(address(0), now);
    assert_eq!(alone.peak_vms(later), Some(1));
    assert_eq!(
        alone.confirmed_peak_vms(later),
        None,
        "the list of members was not read"
    );
    alone.set_members((1..12).map(address).collect(), false, PARTITIONS);
    assert_eq!(
        alone.peak_vms(later),
        None,
        "11 of 300 VMs are listed and none is heard"
    );
    let fleet = fleet(300, now, later);
    fleet[0].set_members((1..12).map(address).collect(), false, PARTITIONS);
    assert_eq!(fleet[0].confirmed_peak_vms(later), Some(300));
    // It still does once it is cut off.
    receive_sightings(&fleet[..1], 0..1, later + LIVENESS_TIMEOUT);
    assert_eq!(fleet[0].peak_vms(later + LIVENESS_TIMEOUT), Some(300));
    let only = Peers::new(address(0), now);
    only.set_members(Vec::new(), true, PARTITIONS);
    assert_eq!(only.confirmed_peak_vms(now), Some(1));
}
