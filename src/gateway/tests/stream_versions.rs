//! At which software version streams go on, with messages lost, VMs cut off or restarted and versions
//! coming and going at random.

use crate::gateway::gossip_targets::Targets;
use crate::gateway::software_versions::{
    ListedVersions, MAX_KNOWLEDGE_AGE, OPENING_TIME, STREAM_LIFETIME, SoftwareVersions,
};
use crate::gateway::stream_versions::{StreamKey, StreamVersions};
use crate::gateway::tests::{address, index};
use crate::gateway::version_search::{VersionAnswer, decide, keepers};
use crate::inventory::Name;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SERVICE: &str = "llm";
const ZONES: usize = 3;

fn listing(versions: &[&str]) -> ListedVersions {
    let versions = versions.iter().map(|version| Name::from(*version));
    [(Name::from(SERVICE), versions.collect())].into()
}

/// Records the versions that are listed now; none has come and gone since the last time.
fn update(versions: &mut SoftwareVersions, listed: &[&str], now: Instant) {
    versions.update(listing(listed), &ListedVersions::new(), now);
}

fn answer(version: Option<&str>, untold: Option<&str>) -> VersionAnswer {
    VersionAnswer {
        version: version.map(Name::from),
        untold: untold.map(Name::from),
        ..VersionAnswer::default()
    }
}

fn certain_answer(only: &str) -> VersionAnswer {
    VersionAnswer {
        only: Some(only.into()),
        ..answer(None, Some(only))
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
    update(&mut versions, &["v1"], start);
    let settled = start + STREAM_LIFETIME;
    assert!(versions.must_tell(SERVICE, settled - Duration::from_millis(1)));
    assert!(!versions.must_tell(SERVICE, settled));
    versions.note_report(SERVICE.into(), settled);
    assert!(versions.must_tell(SERVICE, settled));
    let later = settled + Duration::from_secs(10);
    assert!(!versions.must_tell(SERVICE, later));
    update(&mut versions, &["v1", "v2"], later);
    update(&mut versions, &["v2"], later + Duration::from_secs(5));
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
    update(&mut versions, &["v1"], start);
    let mixed_at = start + STREAM_LIFETIME * 2;
    update(&mut versions, &["v1", "v2"], mixed_at);
    let untold = |at| versions.untold(SERVICE, at);
    assert_eq!(untold(mixed_at + Duration::from_secs(5)), Some("v1".into()));
    assert_eq!(untold(mixed_at + STREAM_LIFETIME), None);
}

#[test]
fn a_young_vm_names_the_only_version_that_any_vm_has_seen() {
    let start = Instant::now();
    let mut versions = SoftwareVersions::default();
    update(&mut versions, &["v2"], start);
    assert!(versions.is_young(start));
    assert_eq!(versions.untold(SERVICE, start), Some("v2".into()));
    versions.note_report(SERVICE.into(), start);
    assert_eq!(versions.untold(SERVICE, start), None);
}

#[test]
fn a_vm_that_was_told_decides_and_contradictions_decide_nothing() {
    let told = answer(Some("v2"), Some("v1"));
    let certain = certain_answer("v1");
    let (old, nothing) = (answer(None, Some("v1")), answer(None, None));
    let young = young_answer(Some("v1"));
    let decided = |answers: &[&VersionAnswer]| {
        let answers: Vec<VersionAnswer> = answers.iter().map(|it| (*it).clone()).collect();
        decide(&answers, &young, 3, true).map(|version| version.to_string())
    };
    assert_eq!(decided(&[&old, &told, &nothing]).as_deref(), Some("v2"));
    assert_eq!(decided(&[&certain, &told]).as_deref(), Some("v2"));
    assert_eq!(decided(&[&certain]).as_deref(), Some("v1"));
    assert_eq!(
        decided(&[&nothing, &certain, &certain]).as_deref(),
        Some("v1")
    );
    assert_eq!(decide(&[], &certain, 1, true), Some("v1".into()));
    assert_eq!(decided(&[&told, &answer(Some("v1"), None)]), None);
    assert_eq!(decided(&[&certain, &certain_answer("v2")]), None);
}

#[test]
fn vms_that_may_have_missed_a_version_say_nothing_of_a_stream_that_its_caller_names() {
    let (old, young) = (answer(None, Some("v1")), young_answer(Some("v1")));
    for (others, own) in [(&old, &old), (&old, &young), (&young, &young)] {
        let answers = vec![others.clone(); 4];
        assert_eq!(decide(&answers, own, 4, true), None);
    }
    assert_eq!(decide(&[], &old, 1, true), None);
}

#[test]
fn a_stream_that_its_caller_does_not_name_goes_on_at_the_version_that_two_old_vms_name() {
    let (old, nothing) = (answer(None, Some("v1")), answer(None, None));
    let (young, ignorant) = (young_answer(Some("v1")), young_answer(None));
    let decided = |answers: &[&VersionAnswer]| {
        let answers: Vec<VersionAnswer> = answers.iter().map(|it| (*it).clone()).collect();
        decide(&answers, &young, 3, false).map(|version| version.to_string())
    };
    assert_eq!(decided(&[&old, &old, &nothing]).as_deref(), Some("v1"));
    assert_eq!(decided(&[&old, &nothing]), None);
    assert_eq!(
        decide(std::slice::from_ref(&old), &old, 1, false),
        Some("v1".into())
    );
    assert_eq!(decide(&[], &old, 1, false), None);
    assert_eq!(decided(&[&old, &young]).as_deref(), Some("v1"));
    assert_eq!(decided(&[&old, &ignorant, &old]).as_deref(), Some("v1"));
    assert_eq!(
        decided(&[&old, &old, &young_answer(Some("v2"))]).as_deref(),
        Some("v1")
    );
    assert_eq!(decided(&[&nothing]), None);
    assert_eq!(decided(&[]), None);
    assert_eq!(decided(&[&old, &answer(None, Some("v2"))]), None);
}

#[test]
fn streams_begin_at_a_version_that_joins_once_no_vm_can_have_missed_it() {
    let start = Instant::now();
    let mut versions = SoftwareVersions::default();
    update(&mut versions, &["v1"], start);
    let is_open = |versions: &SoftwareVersions, at| versions.is_open(SERVICE, "v2", at);
    assert!(versions.is_open(SERVICE, "v1", start));
    let joined = start + STREAM_LIFETIME;
    update(&mut versions, &["v1", "v2"], joined);
    assert!(versions.is_open(SERVICE, "v1", joined));
    assert!(!is_open(
        &versions,
        joined + OPENING_TIME - Duration::from_millis(1)
    ));
    assert!(is_open(&versions, joined + OPENING_TIME));
    // It leaves before it was open, and comes back.
    let mut left = SoftwareVersions::default();
    update(&mut left, &["v1"], start);
    update(&mut left, &["v1", "v2"], joined);
    update(&mut left, &["v1"], joined + OPENING_TIME / 2);
    let back = joined + OPENING_TIME;
    update(&mut left, &["v1", "v2"], back);
    assert!(!is_open(&left, back + OPENING_TIME / 2));
    assert!(is_open(&left, back + OPENING_TIME));
    // Another VM has opened it.
    left.note_open(SERVICE.into(), "v2".into(), back);
    assert!(is_open(&left, back));
}

#[test]
fn a_vm_that_starts_opens_a_single_version_at_once_and_of_several_none() {
    let start = Instant::now();
    let mut single = SoftwareVersions::default();
    update(&mut single, &["v1"], start);
    assert!(single.is_open(SERVICE, "v1", start));
    let mut several = SoftwareVersions::default();
    update(&mut several, &["v1", "v2"], start);
    for version in ["v1", "v2"] {
        assert!(!several.is_open(SERVICE, version, start));
        assert!(several.is_open(SERVICE, version, start + OPENING_TIME));
    }
    assert!(!single.is_waiting_to_open(start));
    assert!(several.is_waiting_to_open(start));
    assert!(!several.is_waiting_to_open(start + OPENING_TIME));
}

#[test]
fn a_version_that_has_come_and_gone_between_two_reads_counts_as_recent() {
    let start = Instant::now();
    let mut versions = SoftwareVersions::default();
    update(&mut versions, &["v1"], start);
    let read = start + STREAM_LIFETIME * 2;
    assert_eq!(versions.only(SERVICE, read), Some("v1".into()));
    versions.update(listing(&["v1"]), &listing(&["v1", "v2"]), read);
    assert_eq!(versions.only(SERVICE, read), None);
    let later = read + STREAM_LIFETIME;
    assert_eq!(versions.only(SERVICE, later), Some("v1".into()));
    versions.forget_age(later);
    assert_eq!(versions.only(SERVICE, later), None);
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
    /// The streams that began there and that no other VM was told of.
    held: Vec<(StreamKey, Name)>,
    /// The versions at the last read of the directory, and when that was.
    listed: Vec<&'static str>,
    read_at: Option<Instant>,
    /// The versions that were listed since.
    passed: BTreeSet<&'static str>,
    /// Until when it reaches neither the store nor other VMs.
    cut_until: Option<Instant>,
}

impl Vm {
    fn is_cut(&self, now: Instant) -> bool {
        self.cut_until.is_some_and(|until| now < until)
    }

    fn answer(&self, key: StreamKey, now: Instant) -> VersionAnswer {
        let is_current = self.read_at.is_some_and(|at| now - at < MAX_KNOWLEDGE_AGE);
        VersionAnswer {
            version: self.streams.find(key),
            only: self.software.only(SERVICE, now).filter(|_| is_current),
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

    /// Whether a message that is sent so often arrives.
    fn arrives(&mut self, from: usize, to: usize, times: usize) -> bool {
        let is_cut = self.vms[from].is_cut(self.now) || self.vms[to].is_cut(self.now);
        !is_cut && !(0..times).all(|_| self.is_lost())
    }

    /// VMs read the directory, some of them later than others.
    fn read_directory(&mut self) {
        let now = self.now;
        for vm in 0..self.vms.len() {
            let is_read = self.draw(3) > 0;
            let listed = self.listed.clone();
            let vm = &mut self.vms[vm];
            vm.passed.extend(listed.iter().copied());
            if is_read && !vm.is_cut(now) {
                let passed: Vec<&str> = std::mem::take(&mut vm.passed).into_iter().collect();
                vm.software.update(listing(&listed), &listing(&passed), now);
                vm.listed = listed;
                vm.read_at = Some(now);
            }
        }
    }

    /// VMs tell each other of services with several versions, and of the streams that they held.
    fn gossip(&mut self) {
        let now = self.now;
        for vm in 0..self.vms.len() {
            let mixed = self.vms[vm].software.mixed_services(now);
            let open = self.vms[vm].software.open_versions(now);
            for other in (0..self.vms.len()).filter(|other| *other != vm) {
                if !self.arrives(vm, other, 3) {
                    continue;
                }
                let software = &mut self.vms[other].software;
                for service in &mixed {
                    software.note_report(service.clone(), now);
                }
                for (service, version) in &open {
                    software.note_open(service.clone(), version.clone(), now);
                }
            }
            if self.vms[vm].software.must_tell(SERVICE, now) {
                for (key, version) in std::mem::take(&mut self.vms[vm].held) {
                    self.tell(vm, key, &version);
                }
            }
        }
    }

    fn tell(&mut self, origin: usize, key: StreamKey, version: &Name) {
        for vm in keepers(key, &targets(origin, self.vms.len()), address(origin)) {
            let vm = index(vm);
            // Streams are told twice.
            if self.arrives(origin, vm, 2) {
                self.vms[vm].streams.record(key, version.clone(), self.now);
            }
        }
    }

    /// Begins a stream at a VM, at a version that is listed and open there.
    fn begin(&mut self, id: usize) -> Option<(StreamKey, Name)> {
        let origin = self.draw(self.vms.len());
        let now = self.now;
        let vm = &self.vms[origin];
        let is_usable = |version: &&str| {
            vm.listed.contains(version) && vm.software.is_open(SERVICE, version, now)
        };
        let usable: Vec<&str> = self.listed.iter().copied().filter(is_usable).collect();
        if usable.is_empty() {
            return None;
        }
        let version = Name::from(usable[self.draw(usable.len())]);
        let key = StreamKey::of(&id.to_string());
        let vm = &mut self.vms[origin];
        vm.streams.record(key, version.clone(), now);
        match vm.software.must_tell(SERVICE, now) {
            true => self.tell(origin, key, &version),
            false => vm.held.push((key, version.clone())),
        }
        Some((key, version))
    }

    /// Takes a stream up at a VM that reaches the others or none.
    fn take_up(&mut self, key: StreamKey) -> Option<Name> {
        let vm = self.draw(self.vms.len());
        let own = self.vms[vm].answer(key, self.now);
        if let Some(known) = own.version.clone().or(own.only.clone()) {
            return Some(known);
        }
        let mut answers = Vec::new();
        let asked = keepers(key, &targets(vm, self.vms.len()), address(vm));
        for asked in &asked {
            // VMs are asked up to three times.
            if self.arrives(vm, index(*asked), 3) {
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
        steps in proptest::collection::vec(0..13_u8, 20..80),
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
        let mut begun: BTreeMap<usize, (StreamKey, Name, Instant)> = BTreeMap::new();
        for (id, step) in steps.into_iter().enumerate() {
            fleet.now += Duration::from_millis(500);
            match step {
                0 => {
                    // A long time passes, in which nothing else happens.
                    for _ in 0..3 {
                        fleet.read_directory();
                        fleet.gossip();
                        fleet.now += STREAM_LIFETIME;
                    }
                }
                1 => fleet.listed = vec!["v1", "v2"],
                2 => fleet.listed = vec!["v2"],
                3 => {
                    let vm = fleet.draw(vms);
                    fleet.vms[vm] = Vm::default();
                }
                10 => fleet.vms = (0..vms).map(|_| Vm::default()).collect(),
                11 | 12 => {
                    let vm = fleet.draw(vms);
                    let steps = 1 + fleet.draw(12) as u32;
                    fleet.vms[vm].cut_until = Some(fleet.now + Duration::from_millis(500) * steps);
                }
                _ => {}
            }
            fleet.read_directory();
            fleet.gossip();
            if let Some((key, version)) = fleet.begin(id) {
                begun.insert(id, (key, version, fleet.now));
            }
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
