//! Decides which plain server gets a call, when a call is refused because it cannot be answered in
//! time to be useful, and what happens to a call that a server rejected.
//!
//! Load that this addresses: plain servers run 6 calls at a time, queue 24 more and reject further
//! ones. Five of them rejected 2,291 of 11,874 calls on a busy day. They share their machines with
//! other work, so that calls take 2.5 times as long for about 0.6 s at a time, a seventh of the
//! time. Each of some 60 VMs sends a server less than one call per second, so that what a VM itself
//! has seen of the server is outdated when it sends the next call. VMs therefore share what servers
//! state in their responses.
//!
//! Nothing is decided here about servers that do not state their load.

mod estimate;
mod figures;
mod message;

pub(crate) use estimate::{
    AfterRejection, Demand, Division, PlainServer, after_rejection, recovery,
};
pub(crate) use figures::{Figure, Known};
pub(super) use message::PlainLoadsPart;

use crate::gateway::fleet::Incarnation;
use crate::gateway::server_speed::run_id;
use crate::inventory::Name;
use crate::short_id::short_id;
use figures::Figures;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Instant;

/// The load of plain servers as this VM and others were told.
#[derive(Debug, Default)]
pub(crate) struct PlainLoads {
    figures: RefCell<Figures>,
}

impl PlainLoads {
    /// Records what a server stated in a response; `is_rejected` tells whether it rejected the call.
    pub(crate) fn note(&self, run: &Incarnation, figure: Figure, is_rejected: bool) {
        self.figures
            .borrow_mut()
            .note(run_id(run), figure, is_rejected);
    }

    /// Records the arrival of a call at this VM.
    pub(crate) fn note_arrival(&self, service: &Name, now: Instant) {
        let mut figures = self.figures.borrow_mut();
        figures.note_arrival(short_id(service), now);
    }

    /// Returns what is known of a run of a server; `None` if no VM has heard of it recently.
    pub(crate) fn known(&self, run: &Incarnation, now: Instant) -> Option<Known> {
        self.figures.borrow().known(run_id(run), now)
    }

    /// Returns the calls for a service that arrive at all VMs per second, as far as known.
    pub(crate) fn calls_per_s(&self, service: &Name, now: Instant) -> f64 {
        self.figures.borrow().calls_per_s(short_id(service), now)
    }

    /// Drops what is too old.
    pub(crate) fn expire(&self, now: Instant) {
        self.figures.borrow_mut().expire(now);
    }

    /// Drops what a VM stated that is gone.
    pub(crate) fn forget_vm(&self, sender: &SocketAddr) {
        self.figures.borrow_mut().forget_vm(sender);
    }

    /// What this VM was told, for the VMs of its zone.
    pub(super) fn own_part(&self, now: Instant) -> Option<PlainLoadsPart> {
        let (figures, calls) = self.figures.borrow().of_vm(now);
        PlainLoadsPart::of(&figures, &calls, now)
    }

    /// What the VMs of this zone were told, for other zones.
    pub(super) fn zone_part(&self, now: Instant) -> Option<PlainLoadsPart> {
        let (figures, calls) = self.figures.borrow().of_zone(now);
        PlainLoadsPart::of(&figures, &calls, now)
    }

    /// Applies what another VM of this zone states.
    pub(super) fn apply_vm(&self, sender: SocketAddr, part: &PlainLoadsPart, now: Instant) {
        let mut figures = self.figures.borrow_mut();
        figures.apply_vm(sender, part.statement(now));
    }

    /// Applies what another zone states.
    pub(super) fn apply_zone(&self, zone: &Name, part: &PlainLoadsPart, now: Instant) {
        let mut figures = self.figures.borrow_mut();
        figures.apply_zone(zone, part.statement(now));
    }
}
