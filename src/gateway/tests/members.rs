//! Which VMs are members of the log's group, at any size of the fleet.

use crate::gateway::gossip_message::{Digest, zones_of};
use crate::gateway::peers::{GROUP_MEMBERS, Peers};
use crate::gateway::tests::address;
use crate::gateway::view::{LIVENESS_TIMEOUT, Sighting};
use std::time::{Duration, Instant};

const ZONES: usize = 3;
const TURN: Duration = Duration::from_millis(200);
/// Long after the start of all.
const LATER: Duration = Duration::from_secs(10);

/// All VMs, each knowing all others as seen at `seen_at`.
fn fleet(count: usize, started_at: Instant, seen_at: Instant) -> Vec<Peers> {
    let fleet: Vec<Peers> = (0..count)
        .map(|index| Peers::new(address(index), started_at))
        .collect();
    hear(&fleet, 0..count, seen_at);
    fleet
}

/// All VMs hear of some, and forget those that they have not heard of for long.
fn hear(fleet: &[Peers], heard: impl Iterator<Item = usize>, now: Instant) {
    let sightings = heard.map(|index| Sighting {
        address: address(index),
        availability_zone: format!("z{}", index % ZONES).into(),
        boot: 1,
        seen_at: now,
    });
    let told = Digest {
        vms: zones_of(&sightings.collect::<Vec<_>>(), now),
        ..Digest::default()
    };
    for peers in fleet {
        peers.merge_sightings(&told, now);
        peers.forget_silent(now);
    }
}

fn members(fleet: &[Peers], now: Instant) -> Vec<usize> {
    let all = fleet.iter().enumerate();
    let wanted = all.filter(|(_, peers)| peers.should_join_group(now));
    wanted.map(|(index, _)| index).collect()
}

#[test]
fn members_are_as_many_at_any_size_and_in_all_zones() {
    let now = Instant::now();
    for count in [9, 24, 76, 195, 410] {
        let fleet = fleet(count, now, now + LATER);
        let members = members(&fleet, now + LATER);
        assert_eq!(members.len(), count.min(GROUP_MEMBERS), "{count} VMs");
        for zone in 0..ZONES {
            let of_zone = members.iter().filter(|index| *index % ZONES == zone);
            assert!(of_zone.count() >= 3, "{count} VMs, zone {zone}");
        }
    }
}

#[test]
fn a_vm_that_has_just_started_is_a_member() {
    let now = Instant::now();
    let fleet = fleet(76, now, now);
    assert_eq!(members(&fleet, now).len(), 76);
}

#[test]
fn others_take_the_place_of_members_that_are_gone() {
    let now = Instant::now();
    let fleet = fleet(76, now, now + LATER);
    let before = members(&fleet, now + LATER);
    let is_alive = |index: usize| !index.is_multiple_of(ZONES);
    // A zone falls silent; the others go on hearing each other.
    let mut later = now + LATER;
    while later < now + LATER + LIVENESS_TIMEOUT + TURN {
        hear(&fleet, (0..76).filter(|index| is_alive(*index)), later);
        later += TURN;
    }
    let after = members(&fleet, later);
    let living = after.iter().filter(|index| is_alive(**index)).count();
    assert_eq!(living, GROUP_MEMBERS);
    let kept = before.iter().filter(|index| is_alive(**index));
    assert!(kept.clone().all(|index| after.contains(index)));
    assert!(kept.count() >= 12, "as many as the log deals partitions to");
}
