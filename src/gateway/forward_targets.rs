//! Selects the VM to which a request is forwarded while this VM reaches no server.

use crate::gateway::fleet::Server;
use crate::gateway::forwarding::forward_address;
use crate::gateway::state::State;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// The number of VMs that a request is offered to.
const MAX_ATTEMPTS: usize = 3;

/// A VM that takes forwarded requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ForwardCandidate {
    /// The address at which it receives messages.
    pub(crate) address: SocketAddr,
    /// Whether it is in the availability zone of this VM.
    pub(crate) is_local: bool,
}

/// Returns the index of the VM to forward to: of two drawn ones, in the local zone if there are
/// any, the one with fewer of this VM's requests. `draws` are random numbers from 0 to 1.
pub(crate) fn choose_target(
    candidates: &[ForwardCandidate],
    in_flight: impl Fn(&ForwardCandidate) -> u32,
    draws: [f64; 2],
) -> Option<usize> {
    let has_local = candidates.iter().any(|it| it.is_local);
    let preferred = candidates.iter().enumerate();
    let preferred: Vec<usize> = preferred
        .filter(|(_, it)| it.is_local == has_local)
        .map(|(index, _)| index)
        .collect();
    let drawn = draws.map(|draw| (draw * preferred.len() as f64) as usize);
    let drawn = drawn.iter().filter_map(|index| preferred.get(*index));
    drawn
        .copied()
        .min_by_key(|index| in_flight(&candidates[*index]))
}

/// The VMs that this VM has forwarded requests to.
#[derive(Debug, Default)]
pub(crate) struct ForwardTargets {
    vms: RefCell<HashMap<SocketAddr, Rc<Server>>>,
}

impl ForwardTargets {
    /// Picks a VM that was not tried before; `None` if there is none, or enough were tried.
    pub(crate) fn pick(&self, state: &State, tried: &[SocketAddr]) -> Option<Rc<Server>> {
        if tried.len() >= MAX_ATTEMPTS {
            return None;
        }
        let mut candidates = state
            .peers
            .forward_candidates(&state.settings.availability_zone);
        let mut vms = self.vms.borrow_mut();
        let addresses = candidates.iter().map(|it| forward_address(it.address));
        let addresses: HashSet<SocketAddr> = addresses.collect();
        vms.retain(|address, vm| vm.in_flight() > 0 || addresses.contains(address));
        candidates.retain(|it| !tried.contains(&forward_address(it.address)));
        let in_flight = |it: &ForwardCandidate| {
            let vm = vms.get(&forward_address(it.address));
            vm.map_or(0, |vm| vm.in_flight())
        };
        let draws = [rand::random(), rand::random()];
        let index = choose_target(&candidates, in_flight, draws)?;
        let address = forward_address(candidates[index].address);
        let vm = vms.entry(address);
        Some(vm.or_insert_with(|| Server::of_vm(address)).clone())
    }
}
