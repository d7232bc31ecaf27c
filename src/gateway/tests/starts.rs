//! Simulates the start of all VMs of a fleet at once: how many of them read the whole directory
//! from the log, and how long it takes until all have it.

use crate::gateway::peer_search::{PeerSearch, REGULAR_REQUESTS};
use crate::gateway::read_turn::ReadTurn;
use crate::gateway::sync_message::Part;
use crate::gateway::tests::{address, index};
use crate::gateway::transfer_slots::{MAX_TRANSFERS, TransferSlots};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ZONES: usize = 5;
const TICK: Duration = Duration::from_millis(50);
/// The bytes of the whole directory.
const DIRECTORY_BYTES: f64 = 1_500_000.0;
/// The link of a VM: 20 Mbit/s.
const LINK_BYTES_PER_S: f64 = 2_500_000.0;
/// What the store sends to all VMs together.
const STORE_BYTES_PER_S: f64 = 80_000_000.0;
/// The longest time after which a VM has heard of a state that another VM of its zone has.
const MAX_HEARING_DELAY: Duration = Duration::from_millis(1_600);
/// The time within which all VMs must have the state.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// What a VM is doing.
#[derive(Debug)]
enum Activity {
    Waiting,
    ReadingLog {
        missing_bytes: f64,
    },
    Searching {
        search: PeerSearch,
        next_at: Instant,
    },
    Receiving {
        from: usize,
        missing_bytes: f64,
    },
}

struct Vm {
    activity: Activity,
    has_state_at: Option<Instant>,
    slots: TransferSlots,
    /// How long after another VM has the state this one knows of it.
    hearing_delay: Duration,
}

struct Start {
    vms: Vec<Vm>,
    started_at: Instant,
    now: Instant,
    log_reads: usize,
    random: StdRng,
}

impl Start {
    /// All VMs start at once; those whose index is less than `with_state` already have the state.
    fn new(count: usize, with_state: usize) -> Self {
        let mut random = StdRng::seed_from_u64(11);
        let now = Instant::now();
        let vms = (0..count).map(|index| Vm {
            activity: Activity::Waiting,
            has_state_at: (index < with_state).then_some(now),
            slots: TransferSlots::default(),
            hearing_delay: MAX_HEARING_DELAY.mul_f64(random.random()),
        });
        Self {
            vms: vms.collect(),
            started_at: now,
            now,
            log_reads: 0,
            random: StdRng::seed_from_u64(12),
        }
    }

    fn zone_peers(&self, vm: usize) -> impl Iterator<Item = usize> {
        (vm % ZONES..self.vms.len())
            .step_by(ZONES)
            .filter(move |it| *it != vm)
    }

    /// A VM of the zone that is known to have the state.
    fn known_holder(&mut self, vm: usize) -> Option<usize> {
        let delay = self.vms[vm].hearing_delay;
        let is_known = |it: &usize| {
            let had_at = self.vms[*it].has_state_at;
            had_at.is_some_and(|at| self.now >= at + delay)
        };
        let known: Vec<usize> = self.zone_peers(vm).filter(is_known).collect();
        let draw: f64 = self.random.random();
        known.get((draw * known.len() as f64) as usize).copied()
    }

    fn step(&mut self) {
        let is_reading = |vm: &&Vm| matches!(vm.activity, Activity::ReadingLog { .. });
        let readers = self.vms.iter().filter(is_reading).count();
        let store_rate = LINK_BYTES_PER_S.min(STORE_BYTES_PER_S / readers.max(1) as f64);
        let seconds = TICK.as_secs_f64();
        for vm in 0..self.vms.len() {
            let activity = std::mem::replace(&mut self.vms[vm].activity, Activity::Waiting);
            let activity = match activity {
                Activity::Waiting => self.start_activity(vm),
                Activity::ReadingLog { missing_bytes } => {
                    let missing_bytes = missing_bytes - store_rate * seconds;
                    self.finish_or(vm, missing_bytes, |missing_bytes| Activity::ReadingLog {
                        missing_bytes,
                    })
                }
                Activity::Searching { search, next_at } if self.now < next_at => {
                    Activity::Searching { search, next_at }
                }
                Activity::Searching { search, .. } => self.ask(vm, search),
                Activity::Receiving {
                    from,
                    missing_bytes,
                } => {
                    let rate = LINK_BYTES_PER_S / MAX_TRANSFERS as f64;
                    let missing_bytes = missing_bytes - rate * seconds;
                    if missing_bytes <= 0.0 {
                        self.vms[from].slots.release();
                    }
                    self.finish_or(vm, missing_bytes, |missing_bytes| Activity::Receiving {
                        from,
                        missing_bytes,
                    })
                }
            };
            self.vms[vm].activity = activity;
        }
        self.now += TICK;
    }

    fn finish_or(
        &mut self,
        vm: usize,
        missing_bytes: f64,
        activity: impl FnOnce(f64) -> Activity,
    ) -> Activity {
        if missing_bytes > 0.0 {
            return activity(missing_bytes);
        }
        self.vms[vm].has_state_at = Some(self.now);
        Activity::Waiting
    }

    fn start_activity(&mut self, vm: usize) -> Activity {
        if self.vms[vm].has_state_at.is_some() {
            return Activity::Waiting;
        }
        if let Some(holder) = self.known_holder(vm) {
            return Activity::Searching {
                search: PeerSearch::new(address(holder)),
                next_at: self.now,
            };
        }
        let turn = ReadTurn {
            rank: vm / ZONES,
            is_fleet_small: false,
            uptime: Duration::ZERO,
            failures: 0,
        };
        if self.now < self.started_at + turn.delay() {
            return Activity::Waiting;
        }
        self.log_reads += 1;
        Activity::ReadingLog {
            missing_bytes: DIRECTORY_BYTES,
        }
    }

    fn ask(&mut self, vm: usize, mut search: PeerSearch) -> Activity {
        let Some(peer) = search.next(self.random.random()) else {
            return Activity::Waiting;
        };
        let holder = &mut self.vms[index(peer)];
        if holder.has_state_at.is_none() {
            search.note_lacking(peer);
        } else {
            match holder.slots.take(Part::Directory, address(vm), self.now) {
                Ok(()) => {
                    let slots = &mut holder.slots;
                    slots.note_receiver(Part::Directory, address(vm), self.now);
                    return Activity::Receiving {
                        from: index(peer),
                        missing_bytes: DIRECTORY_BYTES,
                    };
                }
                Err(referrals) => {
                    search.note_busy(referrals.into_iter().filter(|it| *it != address(vm)));
                }
            }
        }
        let pause = PeerSearch::pause(REGULAR_REQUESTS, self.random.random());
        Activity::Searching {
            search,
            next_at: self.now + pause,
        }
    }

    /// Runs until all VMs have the state; returns how long that took.
    fn run(&mut self) -> Duration {
        while self.vms.iter().any(|vm| vm.has_state_at.is_none()) {
            assert!(self.now - self.started_at < READY_WITHIN * 3, "not ready");
            self.step();
        }
        self.now - self.started_at
    }
}

/// Starts `count` VMs at once, of which `with_state` already have the state, and checks that all
/// have it soon; returns the number of reads of the log.
fn log_reads(count: usize, with_state: usize) -> usize {
    let mut start = Start::new(count, with_state);
    let took = start.run();
    println!(
        "{count} VMs, {with_state} with the state: all have it after {took:?}, {} log reads",
        start.log_reads
    );
    assert!(took <= READY_WITHIN, "{count} VMs: {took:?}");
    start.log_reads
}

#[test]
fn all_vms_that_start_at_once_have_the_state_soon_with_few_reads_of_the_log() {
    for count in [30, 300, 1_000, 2_000] {
        // Some VMs of each zone read before the first one is known to have the state.
        let reads = log_reads(count, 0);
        assert!(reads <= 20 * ZONES, "{count} VMs: {reads} reads");
    }
}

#[test]
fn vms_that_start_while_others_have_the_state_do_not_read_the_log() {
    for (count, with_state) in [(30, 15), (300, 30), (1_000, 450), (2_000, 20)] {
        assert_eq!(log_reads(count, with_state), 0, "{count} VMs");
    }
}

#[test]
fn vms_are_referred_to_receivers_of_the_same_part_and_not_to_themselves() {
    let now = Instant::now();
    let mut slots = TransferSlots::default();
    let vm = |index: usize| -> SocketAddr { address(index) };
    for index in 0..MAX_TRANSFERS {
        assert_eq!(slots.take(Part::Directory, vm(index), now), Ok(()));
        slots.note_receiver(Part::Directory, vm(index), now);
    }
    slots.note_receiver(Part::Configuration, vm(9), now);
    let all: Vec<SocketAddr> = (0..MAX_TRANSFERS).rev().map(vm).collect();
    assert_eq!(slots.take(Part::Directory, vm(7), now), Err(all));
    assert_eq!(slots.take(Part::Directory, vm(1), now), Err(vec![vm(0)]));
    slots.release();
    assert_eq!(slots.take(Part::Directory, vm(7), now), Ok(()));
    let later = now + Duration::from_secs(60);
    assert_eq!(slots.take(Part::Directory, vm(8), later), Err(Vec::new()));
}
