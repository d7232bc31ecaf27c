//! Finds out from other VMs at which software version a stream began.
//!
//! In a small fleet each VM is told of each stream. In a large one a few VMs of each zone keep it,
//! chosen by the stream's key, so that any VM knows whom to ask: the loss of a zone leaves others.

use crate::gateway::gossip_targets::Targets;
use crate::gateway::stream_versions::StreamKey;
use crate::inventory::Name;
use crate::signal::Signal;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The largest fleet in which each VM is told of each stream.
const MAX_TOLD_VMS: usize = 12;
/// The number of VMs of each zone that keep a stream in a larger fleet.
const KEEPERS_PER_ZONE: usize = 2;
/// The number of VMs that have to say that a stream was not told.
const MIN_UNTOLD_ANSWERS: usize = 2;
/// The number of times that VMs are asked: a message may be lost.
const ATTEMPTS: usize = 3;
/// How long answers are waited for each time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

/// What one VM knows of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct VersionAnswer {
    /// The version at which the stream began, if the VM was told.
    pub(crate) version: Option<Name>,
    /// The version of the service, if the VM knows that streams have begun at no other one.
    pub(crate) only: Option<Name>,
    /// The version at which it began if no VM was told of it, as far as this VM can say.
    pub(crate) untold: Option<Name>,
    /// Whether the VM has not known the servers for as long as streams last.
    pub(crate) is_young: bool,
}

impl VersionAnswer {
    /// Whether the VM knows the version, whatever other VMs know.
    pub(crate) fn is_certain(&self) -> bool {
        self.version.is_some() || self.only.is_some()
    }
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

    /// Waits until a VM is certain of the version, all of `asked` have answered, or time is up; `ask` sends
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
        let is_known = answers.values().any(VersionAnswer::is_certain);
        is_known || asked.iter().all(|vm| answers.contains_key(vm))
    }
}

/// Decides at which version a stream began by the answers of the VMs that were `asked`, and by what
/// this VM itself knows; `None` if that leaves none or several. `is_named` says whether the caller
/// names the stream, so that VMs can have been told of it.
///
/// VMs that were told decide, then VMs that know of a single version. A stream that is named and was not
/// told otherwise may have begun at any version. One that is not named goes on at the version that was
/// the only one before, if two VMs say so, since a VM may have missed a message.
pub(crate) fn decide(
    answers: &[VersionAnswer],
    own: &VersionAnswer,
    asked: usize,
    is_named: bool,
) -> Option<Name> {
    let all = || answers.iter().chain([own]);
    let told = all().filter_map(|it| it.version.as_ref());
    if told.clone().count() > 0 {
        return only(told).cloned();
    }
    let certain = all().filter_map(|it| it.only.as_ref());
    if is_named || certain.clone().count() > 0 {
        return only(certain).cloned();
    }
    let has_old = all().any(|it| !it.is_young);
    let deciding = all().filter(|it| !(has_old && it.is_young));
    let versions: Vec<Option<&Name>> = deciding.map(|it| it.untold.as_ref()).collect();
    let has_ignorant_young = !has_old && versions.contains(&None);
    let version = only(versions.into_iter().flatten()).filter(|_| !has_ignorant_young)?;
    let confirmed = answers
        .iter()
        .filter(|it| it.untold.as_ref() == Some(version));
    (confirmed.count() >= asked.min(MIN_UNTOLD_ANSWERS)).then(|| version.clone())
}

/// The version, if there is exactly one.
fn only<'a>(mut versions: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    let first = versions.next()?;
    versions.all(|version| version == first).then_some(first)
}

/// The other VMs that are told of a stream, and asked for it. `own` is the VM that tells or asks; all
/// VMs with the same view name the same ones.
pub(crate) fn keepers(key: StreamKey, targets: &Targets, own: SocketAddr) -> Vec<SocketAddr> {
    if targets.all().count() < MAX_TOLD_VMS {
        return targets.all().collect();
    }
    let local = targets.local.iter().copied().chain([own]);
    let mut keepers = highest(key, local);
    for vms in targets.remote.values() {
        keepers.extend(highest(key, vms.iter().copied()));
    }
    keepers.retain(|vm| *vm != own);
    keepers
}

/// The VMs of a zone with the highest hash of their address and the key.
fn highest(key: StreamKey, vms: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let weight = |vm: &SocketAddr| {
        let bytes = match vm.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
            IpAddr::V6(ip) => ip.octets(),
        };
        xxh3_64_with_seed(&bytes, key.0 ^ u64::from(vm.port()))
    };
    let mut ranked: Vec<(u64, SocketAddr)> = vms.map(|vm| (weight(&vm), vm)).collect();
    if ranked.len() > KEEPERS_PER_ZONE {
        ranked.select_nth_unstable_by(KEEPERS_PER_ZONE, |left, right| right.cmp(left));
        ranked.truncate(KEEPERS_PER_ZONE);
    }
    ranked.into_iter().map(|(_, vm)| vm).collect()
}
