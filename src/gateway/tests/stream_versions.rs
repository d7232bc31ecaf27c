//! At which software version streams go on, with messages lost, VMs restarted and versions coming and
//! going at random.

use crate::gateway::gossip_targets::Targets;
use crate::gateway::software_versions::{STREAM_LIFETIME, SoftwareVersions};
use crate::gateway::stream_versions::{StreamKey, StreamVersions};
use crate::gateway::tests::{address, index};
use crate::gateway::version_search::{VersionAnswer, decide, keepers};
use crate::inventory::Name;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SERVICE: &str = "llm";
const ZONES: usize = 3;

fn listing(versions: &[&str]) -> HashMap<Name, BTreeSet<Name>> {
    let versions = versions.iter().map(|version| Name::from(*version));
    [(Name::from(SERVICE), versions.collect())].into()
}

fn answer(version: Option<&str>, untold: Option<&str>) -> VersionAnswer {
    VersionAnswer {
        version: version.map(Name::from),
        untold: untold.map(Name::from),
        is_young: false,
    }
}

fn young_answer(untold: Option<&str>) -> VersionAnswer {
    VersionAnswer {
        is_young: true,
        ..answer(None, untold)
    }
}

#[test]
fn nothing_is_told_while_a_service_has_had_one_version_for_as_long_as_streams_last() {
    let start = Instant::now();
    let mut versions = SoftwareVersions::default();
    versions.update(listing(&["v1"]), start);
    let settled = start + STREAM_LIFETIME;
    assert!(versions.must_tell(SERVICE, settled - Duration::from_millis(1)));
    assert!(!versions.must_tell(SERVICE, settled));
    versions.note_report(SERVICE.into(), settled);
    assert!(versions.must_tell(SERVICE, settled));
    let later = settled + Duration::from_secs(10);
    assert!(!versions.must_tell(SERVICE, later));
    versions.update(listing(&["v1", "v2"]), later);
    versions.update(listing(&["v2"]), later + Duration::from_secs(5));
    let v1_left = later + Duration::from_secs(5);
    assert!(versions.must_tell(
        SERVICE,
        v1_left + STREAM_LIFETIME - Duration::from_millis(1)
    ));
    assert!(!versions.must_tell(SERVICE, v1_left + STREAM_LIFETIME));
}

#[test]
fn a_stream_that_was_not_told_is_of_the_only_version_before_for_as_long_as_streams_last() {
    let start = Instant::now();
    let mut versions = SoftwareVersions::default();
    versions.update(listing(&["v1"]), start);
    let mixed_at = start + STREAM_LIFETIME * 2;
    versions.update(listing(&["v1", "v2"]), mixed_at);
    let untold = |at| versions.untold(SERVICE, at);
    assert_eq!(untold(mixed_at + Duration::from_secs(5)), Some("v1".into()));
    assert_eq!(untold(mixed_at + STREAM_LIFETIME), None);
}

#[test]
fn a_young_vm_names_the_only_version_that_any_vm_has_seen() {
    let start = Instant::now();
    let mut versions = SoftwareVersions::default();
    versions.update(listing(&["v2"]), start);
    assert!(versions.is_young(start));
    assert_eq!(versions.untold(SERVICE, start), Some("v2".into()));
    versions.note_report(SERVICE.into(), start);
    assert_eq!(versions.untold(SERVICE, start), None);
}

#[test]
fn a_vm_that_was_told_decides_and_contradictions_decide_nothing() {
    let told = answer(Some("v2"), Some("v1"));
    let old = answer(None, Some("v1"));
    let nothing = answer(None, None);
    let decided = |answers: &[&VersionAnswer]| {
        let answers: Vec<VersionAnswer> = answers.iter().map(|it| (*it).clone()).collect();
        decide(&answers, &young_answer(Some("v1")), 3, true).map(|version| version.to_string())
    };
    assert_eq!(decided(&[&old, &told, &nothing]).as_deref(), Some("v2"));
    assert_eq!(decided(&[&old, &old, &nothing]).as_deref(), Some("v1"));
    assert_eq!(decided(&[&old, &nothing]), None);
    assert_eq!(
        decide(std::slice::from_ref(&old), &old, 1, true),
        Some("v1".into())
    );
    assert_eq!(decide(&[], &old, 1, true), None);
    let (young, ignorant) = (young_answer(Some("v1")), young_answer(None));
    assert_eq!(decided(&[&old, &young]).as_deref(), Some("v1"));
    assert_eq!(decided(&[&old, &ignorant, &old]).as_deref(), Some("v1"));
    assert_eq!(
        decided(&[&old, &old, &young_answer(Some("v2"))]).as_deref(),
        Some("v1")
    );
    assert_eq!(decided(&[&young, &young]), None);
    assert_eq!(decided(&[&young, &young, &ignorant]), None);
    assert_eq!(decided(&[&young, &young, &young_answer(Some("v2"))]), None);
    assert_eq!(decided(&[&nothing]), None);
    assert_eq!(decided(&[]), None);
    assert_eq!(decided(&[&told, &answer(Some("v1"), None)]), None);
    assert_eq!(decided(&[&old, &answer(None, Some("v2"))]), None);
}

#[test]
fn young_vms_name_the_only_version_they_know_for_a_stream_that_its_caller_does_not_name() {
    let young = young_answer(Some("v1"));
    let decided = |answers: &[VersionAnswer]| decide(answers, &young, 3, false);
    let agreeing = [young.clone(), young.clone()];
    assert_eq!(decided(&agreeing), Some("v1".into()));
    assert_eq!(decide(&agreeing, &young, 3, true), None);
    for other in [young_answer(None), young_answer(Some("v2"))] {
        assert_eq!(decided(&[young.clone(), young.clone(), other]), None);
    }
}

/// The other VMs of a fleet whose VMs are spread over the zones, as one of them knows them.
fn targets(own: usize, vms: usize) -> Targets {
    let mut targets = Targets::default();
    for vm in (0..vms).filter(|vm| *vm != own) {
        if vm % ZONES == own % ZONES {
            targets.local.push(address(vm));
        } else {
            let zone = Name::from(format!("zone-{}", vm % ZONES));
            targets.remote.entry(zone).or_default().push(address(vm));
        }
    }
    targets
}

#[test]
fn a_vm_of_any_zone_asks_a_vm_that_was_told_also_where_views_differ() {
    for vms in [2, 6, 12, 67, 300, 1_000] {
        let mut asked_most = 0;
        for stream in 0..200 {
            let key = StreamKey::of(&format!("stream {stream}"));
            let origin = stream % vms;
            let told: BTreeSet<SocketAddr> = keepers(key, &targets(origin, vms), address(origin))
                .into_iter()
                .collect();
            let asker = (origin + 1 + stream % (vms - 1)) % vms;
            let mut view = targets(asker, vms);
            // The VM that began the stream is gone, and another VM is not known to this one.
            view.local.retain(|vm| *vm != address(origin));
            if view.local.len() > 2 {
                view.local.remove(stream % view.local.len());
            }
            let asked = keepers(key, &view, address(asker));
            asked_most = asked_most.max(asked.len());
            let is_found =
                told.contains(&address(asker)) || asked.iter().any(|vm| told.contains(vm));
            assert!(is_found, "{vms} VMs, stream {stream}");
        }
        assert!(asked_most <= 11, "{vms} VMs: {asked_most} asked");
    }
}

/// One VM of a simulated fleet.
#[derive(Default)]
struct Vm {
    software: SoftwareVersions,
    streams: StreamVersions,
}

impl Vm {
    fn answer(&self, key: StreamKey, now: Instant) -> VersionAnswer {
        VersionAnswer {
            version: self.streams.find(key),
            untold: self.software.untold(SERVICE, now),
            is_young: self.software.is_young(now),
        }
    }
}

/// A simulated fleet whose messages are lost at random.
struct SimulatedFleet {
    vms: Vec<Vm>,
    /// The versions that are listed now.
    listed: Vec<&'static str>,
    now: Instant,
    lost_percent: u32,
    draws: proptest::test_runner::TestRng,
}

impl SimulatedFleet {
    fn draw(&mut self, below: usize) -> usize {
        self.draws.random_range(0..below)
    }

    fn is_lost(&mut self) -> bool {
        self.draws.random_range(0..100) < self.lost_percent
    }

    /// VMs read the directory, some of them later than others.
    fn read_directory(&mut self, is_late: bool) {
        for vm in 0..self.vms.len() {
            if !is_late || self.draw(2) == 0 {
                self.vms[vm]
                    .software
                    .update(listing(&self.listed), self.now);
            }
        }
        for vm in 0..self.vms.len() {
            let mixed = self.vms[vm].software.mixed_services(self.now);
            for other in 0..self.vms.len() {
                // Several messages are sent in the time of one step.
                if other != vm && !(self.is_lost() && self.is_lost() && self.is_lost()) {
                    for service in &mixed {
                        self.vms[other]
                            .software
                            .note_report(service.clone(), self.now);
                    }
                }
            }
        }
    }

    /// Begins a stream at a VM, at a version that the VM knows.
    fn begin(&mut self, id: usize) -> (StreamKey, Name) {
        let origin = self.draw(self.vms.len());
        let untold = self.vms[origin].software.untold(SERVICE, self.now);
        let version =
            match untold.filter(|_| !self.vms[origin].software.must_tell(SERVICE, self.now)) {
                Some(only) => only,
                None => {
                    let drawn = self.draw(self.listed.len());
                    self.listed[drawn].into()
                }
            };
        let key = StreamKey::of(&id.to_string());
        let now = self.now;
        self.vms[origin].streams.record(key, version.clone(), now);
        if self.vms[origin].software.must_tell(SERVICE, now) {
            for vm in keepers(key, &targets(origin, self.vms.len()), address(origin)) {
                // Streams are told twice.
                if !(self.is_lost() && self.is_lost()) {
                    let vm = index(vm);
                    self.vms[vm].streams.record(key, version.clone(), now);
                }
            }
        }
        (key, version)
    }

    /// Takes a stream up at a VM that reaches the others or none.
    fn take_up(&mut self, key: StreamKey) -> Option<Name> {
        let vm = self.draw(self.vms.len());
        let own = self.vms[vm].answer(key, self.now);
        if own.version.is_some() {
            return own.version;
        }
        if self.vms[vm].software.is_settled(SERVICE, self.now) {
            return own.untold;
        }
        let mut answers = Vec::new();
        let asked = keepers(key, &targets(vm, self.vms.len()), address(vm));
        for asked in &asked {
            // VMs are asked up to three times.
            if !(self.is_lost() && self.is_lost() && self.is_lost()) {
                answers.push(self.vms[index(*asked)].answer(key, self.now));
            }
        }
        decide(&answers, &own, asked.len(), true)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]
    #[test]
    fn no_stream_goes_on_at_another_version_than_it_began(
        vms in 2..24_usize,
        lost_percent in 0..10_u32,
        steps in proptest::collection::vec(0..11_u8, 20..80),
        seed in any::<[u8; 16]>(),
    ) {
        let draws = proptest::test_runner::TestRng::from_seed(
            proptest::test_runner::RngAlgorithm::XorShift,
            &seed,
        );
        let mut fleet = SimulatedFleet {
            vms: (0..vms).map(|_| Vm::default()).collect(),
            listed: vec!["v1"],
            now: Instant::now(),
            lost_percent,
            draws,
        };
        fleet.read_directory(false);
        let mut begun: BTreeMap<usize, (StreamKey, Name, Instant)> = BTreeMap::new();
        for (id, step) in steps.into_iter().enumerate() {
            fleet.now += Duration::from_millis(500);
            match step {
                0 => {
                    fleet.read_directory(false);
                    fleet.now += STREAM_LIFETIME * 2;
                }
                1 => fleet.listed = vec!["v1", "v2"],
                2 => fleet.listed = vec!["v2"],
                3 => {
                    let vm = fleet.draw(vms);
                    fleet.vms[vm] = Vm::default();
                }
                10 => fleet.vms = (0..vms).map(|_| Vm::default()).collect(),
                _ => {
                    let (key, version) = fleet.begin(id);
                    begun.insert(id, (key, version, fleet.now));
                }
            }
            fleet.read_directory(step == 1);
            begun.retain(|_, (_, _, at)| fleet.now - *at < STREAM_LIFETIME);
            let streams: Vec<(StreamKey, Name)> =
                begun.values().map(|(key, version, _)| (*key, version.clone())).collect();
            for (key, version) in streams {
                if let Some(taken_up) = fleet.take_up(key) {
                    prop_assert_eq!(taken_up, version);
                }
            }
        }
    }
}
