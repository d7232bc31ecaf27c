//! Finds out from other VMs at which software version a stream began.
//!
//! In a small fleet each VM is told of each stream. In a large one a few VMs keep it, chosen by the
//! stream's key, so that any VM knows whom to ask: several of the zone in which the stream began,
//! since callers mostly come back there, and one of each other zone.

use crate::gateway::gossip_targets::Targets;
use crate::gateway::software_versions::CandidateVersions;
use crate::gateway::stream_versions::StreamKey;
use crate::inventory::Name;
use crate::signal::Signal;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The largest fleet in which each VM is told of each stream.
const MAX_TOLD_VMS: usize = 12;
/// The number of VMs of the own zone that keep a stream in a larger fleet.
const LOCAL_KEEPERS: usize = 3;
/// The same for each other zone.
const REMOTE_KEEPERS: usize = 1;
/// The number of times that VMs are asked: a message may be lost.
const ATTEMPTS: usize = 3;
/// How long answers are waited for each time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// What one VM knows of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct VersionAnswer {
    /// The version at which the stream began, if the VM was told.
    pub(crate) version: Option<Name>,
    /// The versions at which it can have begun if it was not told to the VM.
    pub(crate) candidates: CandidateVersions,
}

/// A search for the version of one stream.
#[derive(Debug, Default)]
pub(crate) struct VersionSearch {
    answers: RefCell<HashMap<SocketAddr, VersionAnswer>>,
    answered: Signal,
}

impl VersionSearch {
    /// Records the answer of a VM.
    pub(crate) fn record(&self, vm: SocketAddr, answer: VersionAnswer) {
        self.answers.borrow_mut().insert(vm, answer);
        self.answered.notify();
    }

    /// Waits until a VM knows the version, all of `asked` have answered, or time is up; `ask` sends
    /// the question.
    pub(crate) async fn wait(&self, asked: &[SocketAddr], ask: impl Fn()) {
        for _ in 0..ATTEMPTS {
            ask();
            let all_answered = async {
                loop {
                    let answered = self.answered.wait();
                    if self.is_over(asked) {
                        return;
                    }
                    answered.await;
                }
            };
            if compio::time::timeout(ANSWER_TIMEOUT, all_answered)
                .await
                .is_ok()
            {
                return;
            }
        }
    }

    /// The answers so far.
    pub(crate) fn answers(&self) -> Vec<VersionAnswer> {
        self.answers.borrow().values().cloned().collect()
    }

    fn is_over(&self, asked: &[SocketAddr]) -> bool {
        let answers = self.answers.borrow();
        let is_known = answers.values().any(|answer| answer.version.is_some());
        is_known || asked.iter().all(|vm| answers.contains_key(vm))
    }
}

/// Decides at which version a stream began by what VMs know; `None` if it may have been more than one.
///
/// A VM that was told decides. Otherwise the stream began while nothing had to be told, and only VMs
/// that have known the servers for long enough can name all versions of that time.
pub(crate) fn decide(answers: &[VersionAnswer]) -> Option<Name> {
    let told: BTreeSet<&Name> = answers
        .iter()
        .filter_map(|it| it.version.as_ref())
        .collect();
    if !told.is_empty() {
        return told
            .first()
            .filter(|_| told.len() == 1)
            .map(|it| (*it).clone());
    }
    let has_complete = answers.iter().any(|it| !it.candidates.is_incomplete);
    let candidates = answers.iter().map(|it| &it.candidates);
    let usable = candidates.filter(|it| !(has_complete && it.is_incomplete));
    let versions: BTreeSet<&Name> = usable.flat_map(|it| &it.versions).collect();
    versions
        .first()
        .filter(|_| versions.len() == 1)
        .map(|it| (*it).clone())
}

/// The VMs that are told of a stream, and asked for it.
pub(crate) fn keepers(key: StreamKey, targets: &Targets) -> Vec<SocketAddr> {
    if targets.all().count() < MAX_TOLD_VMS {
        return targets.all().collect();
    }
    let mut keepers = highest(key, &targets.local, LOCAL_KEEPERS);
    let remote = targets.remote.values();
    keepers.extend(remote.flat_map(|vms| highest(key, vms, REMOTE_KEEPERS)));
    keepers
}

/// The `count` VMs with the highest hash of their address and the key.
fn highest(key: StreamKey, vms: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let weight = |vm: &SocketAddr| {
        let bytes = match vm.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
            IpAddr::V6(ip) => ip.octets(),
        };
        xxh3_64_with_seed(&bytes, key.0 ^ u64::from(vm.port()))
    };
    let mut ranked: Vec<(u64, SocketAddr)> = vms.iter().map(|vm| (weight(vm), *vm)).collect();
    if ranked.len() > count {
        ranked.select_nth_unstable_by(count, |left, right| right.cmp(left));
        ranked.truncate(count);
    }
    ranked.into_iter().map(|(_, vm)| vm).collect()
}
