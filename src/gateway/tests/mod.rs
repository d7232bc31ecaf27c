//! Unit tests of the serving role that need no network.

mod accept_queue;
mod attempt;
mod brief;
mod bulk_reads;
mod change_history;
mod containment_play;
mod crash_containment;
mod decisions;
mod directory_updates;
mod early_answers;
mod events;
mod first_read;
mod flowing_bodies;
mod forwarding;
mod gossip_sender;
mod idle_connections;
mod large_fleet;
mod late_reads;
mod loads;
mod log_follower;
mod members;
mod order_dispatch;
mod packed_document;
mod pages;
mod panics;
mod plain_load;
mod plain_play;
mod planning;
mod quota_play;
mod quota_ways;
mod quotas;
mod reachability;
mod removal;
mod removal_histories;
mod restored_log;
mod return_play;
mod runner_load;
mod server_limits;
mod server_speed;
mod sockets;
mod source_selector;
mod speed_play;
mod speeds;
mod spreading;
mod starts;
mod stream_versions;
mod swaps;
mod unconfirmed_alarm;
mod views;
mod waiting;
mod waiting_play;
mod zones;

use crate::gateway::state::State;
use crate::gateway::{Bounds, Metrics, Settings};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Creates the state of a VM whose settings contain only placeholders for the bounds.
fn state() -> State {
    state_at("10.1.0.1:7380".parse().expect("an address"))
}

/// Creates the same for the VM with an address.
fn state_at(address: SocketAddr) -> State {
    let settings = Settings {
        vm: "vm".into(),
        availability_zone: "a".into(),
        caller_address: address,
        ready_address: address,
        metrics_address: None,
        peer_address: address,
        log_address: address,
        cpu_cores: 1.0,
        client_memory_bytes: 64_000_000,
        client_min_wait: Duration::from_secs(1),
        link_bytes_per_s: None,
        report_interval: None,
        sockets: crate::socket_limits::SocketLimits::of_descriptors(4_096),
        bounds: Bounds {
            quota: crate::callers::QuotaBounds::default(),
            grace: Duration::ZERO,
            drain: Duration::from_millis(3_000),
            configuration_delay: Duration::from_millis(3_000),
            retry_ratio: 0.0,
            retry_window: Duration::ZERO,
            retry_slack: 0.0,
            is_fenced: true,
            lease: Duration::ZERO,
            load_window: Duration::ZERO,
            min_member_ttl: Duration::ZERO,
        },
    };
    State::new(settings, Rc::new(Metrics::new()))
}

/// Returns the address of the VM with an index.
fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (index / 256) as u8, (index % 256) as u8], 7_380))
}

/// Returns the index of the VM with an address that [`address`] returned.
fn index(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else {
        panic!("{address} is not the address of a VM");
    };
    let [_, _, high, low] = ip.octets();
    usize::from(high) * 256 + usize::from(low)
}
