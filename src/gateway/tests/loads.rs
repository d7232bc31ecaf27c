//! Every VM knows the total load of all other VMs on a server, for fleets of different sizes.

use crate::gateway::gossip::INTERVAL;
use crate::gateway::gossip_message::{Digest, SentPrompt, ServerRequests, ZoneLoadSums};
use crate::gateway::gossip_targets::Targets;
use crate::gateway::peers::Peers;
use crate::gateway::sighting_message::zones_of;
use crate::gateway::tests::{address, index};
use crate::gateway::view::Sighting;
use crate::gateway::zone_loads::ZoneLoadSampler;
use crate::inventory::Name;
use crate::short_id::short_id;
use prost::Message;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ZONES: usize = 3;
const SERVERS: usize = 14;
/// The number of runners of a fleet of hundreds of VMs.
const MANY_SERVERS: usize = 300;

struct Vm {
    address: SocketAddr,
    zone: Name,
    peers: Peers,
    sampler: ZoneLoadSampler,
    /// The round of this VM; every VM starts with another one.
    round: usize,
    /// The requests that this VM has in flight at each server.
    own: Vec<u32>,
}

struct Fleet {
    vms: Vec<Vm>,
    now: Instant,
    /// The total bytes of zone sums in the messages sent so far.
    sum_bytes: usize,
}

fn server(index: usize) -> Name {
    format!("i-{index}").into()
}

fn loads_of(own: &[u32]) -> Vec<ServerRequests> {
    let loads = own.iter().enumerate().filter(|(_, count)| **count > 0);
    loads
        .map(|(index, count)| ServerRequests {
            server: server(index).to_string(),
            in_flight: *count,
            model: "m".to_owned(),
        })
        .collect()
}

impl Fleet {
    fn start(count: usize) -> Self {
        Self::with_servers(count, SERVERS)
    }

    fn with_servers(count: usize, servers: usize) -> Self {
        let now = Instant::now();
        let vms = (0..count).map(|index| {
            let address = address(index);
            let own = (0..servers).map(|server| u32::from((index + server) % 7 == 0));
            Vm {
                address,
                zone: format!("z{}", index % ZONES).into(),
                peers: Peers::new(address, now),
                sampler: ZoneLoadSampler::default(),
                round: index * 7_919,
                own: own.collect(),
            }
        });
        let fleet = Self {
            vms: vms.collect(),
            now,
            sum_bytes: 0,
        };
        // Every VM knows every other VM.
        let sightings = fleet.vms.iter().map(|vm| Sighting {
            address: vm.address,
            availability_zone: vm.zone.clone(),
            boot: 1,
            cpu_percent: 25,
            seen_at: now,
        });
        let all = Digest {
            vms: zones_of(&sightings.collect::<Vec<_>>(), now),
            ..Digest::default()
        };
        for vm in &fleet.vms {
            vm.peers.merge_sightings(&all, now);
        }
        fleet
    }

    fn deliver(&self, digest: &Digest, from: SocketAddr, targets: &[SocketAddr]) {
        for target in targets {
            let vm = &self.vms[index(*target)];
            vm.peers.apply_digest(from, digest, self.now);
        }
    }

    /// Runs one gossip round of each VM.
    fn round(&mut self) {
        for index in 0..self.vms.len() {
            let vm = &mut self.vms[index];
            let targets = vm.peers.targets(&vm.zone);
            let to_local = Digest {
                boot: 1,
                availability_zone: vm.zone.to_string(),
                next_in_ms: 5_000,
                loads: loads_of(&vm.own),
                ..Digest::default()
            };
            let mut to_remote = to_local.clone();
            if targets.remote_rounds() > 1 {
                let sums = vm.zone_loads(&targets, self.now);
                self.sum_bytes += sums.encoded_len();
                to_remote.loads.clear();
                to_remote.zone_loads = Some(sums);
            }
            vm.round += 1;
            let vm = &self.vms[index];
            self.deliver(&to_local, vm.address, &targets.local_part(vm.round));
            for (_, part) in targets.remote_part(vm.round) {
                self.deliver(&to_remote, vm.address, &part);
            }
        }
        self.now += INTERVAL;
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.round();
        }
    }

    /// The largest difference between the load that a VM knows and the true one, in requests.
    fn max_error(&self) -> u32 {
        self.errors().max().unwrap_or(0)
    }

    /// The difference between known and true load, in requests, for each VM and server.
    fn errors(&self) -> impl Iterator<Item = u32> {
        let servers = self.vms[0].own.len();
        (0..servers).flat_map(|index| {
            let all: u32 = self.vms.iter().map(|vm| vm.own[index]).sum();
            let server = server(index);
            self.vms.iter().map(move |vm| {
                let known = vm.own[index] + vm.peers.loads().in_flight(&server);
                all.abs_diff(known)
            })
        })
    }
}

impl Vm {
    fn zone_loads(&mut self, targets: &Targets, now: Instant) -> ZoneLoadSums {
        let of_others = self.peers.zone_in_flight(&self.zone);
        let own = self.own.iter().enumerate();
        let sums = own.map(|(index, own)| {
            let server = server(index);
            let others = of_others.get(&server).copied().unwrap_or(0);
            (short_id(&server), own + others)
        });
        let message_interval = INTERVAL * targets.remote_rounds() as u32;
        let vms = targets.local.len();
        let part = self
            .sampler
            .part(sums.collect(), self.round, message_interval, vms, now);
        ZoneLoadSums::of(part.into_iter())
    }
}

#[test]
fn every_vm_knows_the_total_load_within_two_seconds() {
    for count in [9, 67, 195, 410] {
        let mut fleet = Fleet::start(count);
        fleet.run(Duration::from_secs(2));
        assert_eq!(fleet.max_error(), 0, "{count} VMs");
        for vm in &mut fleet.vms {
            vm.own.rotate_left(1);
        }
        fleet.run(Duration::from_secs(2));
        assert_eq!(fleet.max_error(), 0, "{count} VMs, after a change");
    }
}

#[test]
fn with_many_servers_nearly_all_load_is_known_at_a_bounded_cost() {
    let mut bytes = Vec::new();
    for count in [76, 195] {
        let mut fleet = Fleet::with_servers(count, MANY_SERVERS);
        fleet.run(Duration::from_secs(4));
        for vm in &mut fleet.vms {
            vm.own.rotate_left(1);
        }
        fleet.sum_bytes = 0;
        let time = Duration::from_secs(4);
        fleet.run(time);
        let known = fleet.errors().filter(|error| *error == 0).count();
        let all = count * MANY_SERVERS;
        assert!(known * 100 >= all * 95, "{count} VMs: {known} of {all}");
        bytes.push(fleet.sum_bytes / count / time.as_secs() as usize);
    }
    // One sum per server from each of two remote zones, once per second, five bytes each. The bound
    // below leaves half as much again for the overhead of messages.
    let needed = 2 * MANY_SERVERS * 5;
    for bytes in bytes {
        assert!(
            bytes <= needed * 3 / 2,
            "{bytes} bytes per second per VM, {needed} needed"
        );
    }
}

#[test]
fn a_sum_of_zero_is_sent_only_for_a_while_after_requests() {
    let now = Instant::now();
    let mut sampler = ZoneLoadSampler::default();
    let mut part = |in_flight, now| sampler.part(vec![(1, in_flight)], 0, INTERVAL, 9, now);
    assert_eq!(part(0, now), []);
    assert_eq!(part(2, now), [(1, 2)]);
    assert_eq!(part(0, now + INTERVAL), [(1, 0)]);
    assert_eq!(part(0, now + Duration::from_secs(60)), []);
}

#[test]
fn the_load_of_a_zone_expires_without_messages_from_it() {
    let mut fleet = Fleet::start(67);
    fleet.run(Duration::from_secs(2));
    let vm = &fleet.vms[0];
    let before = vm.peers.loads().in_flight(&server(0));
    vm.peers.forget_silent(fleet.now + Duration::from_secs(2));
    assert!(vm.peers.loads().in_flight(&server(0)) < before);
}

#[test]
fn a_reported_prompt_counts_as_load_until_the_next_digest() {
    let now = Instant::now();
    let peers = Peers::new(address(1), now);
    let prompts = [SentPrompt {
        server: server(0).to_string(),
        prefill_us: 10_000,
    }];
    peers.apply_prompts(address(2), &prompts);
    assert_eq!(
        peers.loads().in_flight(&server(0)),
        0,
        "the sender is not known"
    );
    let digest = Digest {
        availability_zone: "z1".to_owned(),
        loads: loads_of(&[3]),
        ..Digest::default()
    };
    peers.apply_digest(address(2), &digest, now);
    peers.apply_prompts(address(2), &prompts);
    assert_eq!(peers.loads().in_flight(&server(0)), 4);
    assert_eq!(peers.zone_in_flight(&"z1".into())[&server(0)], 4);
    peers.apply_digest(address(2), &digest, now);
    assert_eq!(
        peers.loads().in_flight(&server(0)),
        3,
        "the digest replaces the load"
    );
}

#[test]
fn the_load_of_a_vm_is_not_added_to_the_sum_of_its_zone() {
    let now = Instant::now();
    let peers = Peers::new(address(1), now);
    let single = Digest {
        availability_zone: "z1".to_owned(),
        loads: loads_of(&[3]),
        ..Digest::default()
    };
    peers.apply_digest(address(2), &single, now);
    assert_eq!(peers.loads().in_flight(&server(0)), 3);
    let sums = [(short_id(&server(0)), 5)];
    let of_zone = Digest {
        availability_zone: "z1".to_owned(),
        zone_loads: Some(ZoneLoadSums::of(sums.into_iter())),
        ..Digest::default()
    };
    peers.apply_digest(address(3), &of_zone, now);
    assert_eq!(peers.loads().in_flight(&server(0)), 5);
    // The load by model, which plans use, still comes from the report of the single VM.
    assert_eq!(peers.in_flight_by_model()[&server(0)][&Name::from("m")], 3);
}
