//! How messages between VMs list VMs: which are alive, and which one leads.

use crate::gateway::leader_view::LeaderSighting;
use crate::gateway::view::Sighting;
use crate::inventory::Name;
use prost::Message;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

/// Known VMs of one availability zone that receive messages at the same port.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ZoneVms {
    #[prost(string, tag = "1")]
    pub(super) availability_zone: String,
    #[prost(uint32, tag = "3")]
    pub(super) port: u32,
    /// VMs with IPv4 addresses, [`VM_BYTES`] each: the address, the number of the process, its
    /// processor time in percent of a core, and the time since any VM received a message from it, in
    /// units of [`AGE_UNIT`].
    #[prost(bytes = "vec", tag = "4")]
    pub(super) vms: Vec<u8>,
    /// The same for VMs with IPv6 addresses, [`VM_V6_BYTES`] each.
    #[prost(bytes = "vec", tag = "5")]
    pub(super) vms_v6: Vec<u8>,
}

/// The size of a VM with an IPv4 address in a message.
const VM_BYTES: usize = 4 + BOOT_BYTES + 2;
/// The size of a VM with an IPv6 address in a message.
const VM_V6_BYTES: usize = 16 + BOOT_BYTES + 2;
/// The size of the number that identifies the process of a VM.
const BOOT_BYTES: usize = 4;
/// The unit of ages. The largest age that a byte holds is longer than a silent VM is kept.
const AGE_UNIT: Duration = Duration::from_millis(40);

/// Encodes the age of a sighting, rounded up so that it does not become younger on its way.
fn age_units(age: Duration) -> u8 {
    let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
    u8::try_from(units).unwrap_or(u8::MAX)
}

/// Encodes sightings, grouped by zone and port.
pub(super) fn zones_of(sightings: &[Sighting], now: Instant) -> Vec<ZoneVms> {
    let mut zones: BTreeMap<(&Name, u16), ZoneVms> = BTreeMap::new();
    for it in sightings {
        let port = it.address.port();
        let zone = zones.entry((&it.availability_zone, port));
        let zone = zone.or_insert_with(|| ZoneVms {
            availability_zone: it.availability_zone.to_string(),
            port: u32::from(port),
            ..ZoneVms::default()
        });
        let bytes = match it.address.ip() {
            IpAddr::V4(_) => &mut zone.vms,
            IpAddr::V6(_) => &mut zone.vms_v6,
        };
        bytes.extend(octets(it.address.ip()));
        bytes.extend((it.boot as u32).to_be_bytes());
        bytes.push(it.cpu_percent);
        bytes.push(age_units(now.saturating_duration_since(it.seen_at)));
    }
    zones.into_values().collect()
}

/// Decodes the VMs in a message. Bytes after the last whole VM are ignored.
pub(super) fn sightings_of(zones: &[ZoneVms], now: Instant) -> impl Iterator<Item = Sighting> {
    zones.iter().flat_map(move |zone| {
        let availability_zone = Name::from(zone.availability_zone.as_str());
        let v4 = zone.vms.chunks_exact(VM_BYTES);
        let v6 = zone.vms_v6.chunks_exact(VM_V6_BYTES);
        v4.chain(v6).filter_map(move |vm| {
            let (ip, rest) = vm.split_at(vm.len() - BOOT_BYTES - 2);
            let (boot, rest) = rest.split_at(BOOT_BYTES);
            let boot = u32::from_be_bytes(boot.try_into().ok()?);
            let &[cpu_percent, age] = rest else {
                return None;
            };
            let age = AGE_UNIT * u32::from(age);
            Some(Sighting {
                cpu_percent,
                address: address_of(ip, zone.port)?,
                availability_zone: availability_zone.clone(),
                boot: u64::from(boot),
                seen_at: now.checked_sub(age)?,
            })
        })
    })
}

/// The leader and when a message from it was last received, as one VM reports it to another.
#[derive(Clone, PartialEq, Message)]
pub(super) struct LeaderSeen {
    /// The octets of the IP address of the leader, four or sixteen.
    #[prost(bytes = "vec", tag = "1")]
    ip: Vec<u8>,
    #[prost(uint32, tag = "2")]
    port: u32,
    #[prost(uint64, tag = "3")]
    pub(super) fence: u64,
    /// The time since any VM received a message from it, in milliseconds.
    #[prost(uint32, tag = "4")]
    age_ms: u32,
}

impl LeaderSeen {
    /// Encodes a sighting of the leader.
    pub(super) fn of(leader: &LeaderSighting, now: Instant) -> Self {
        let age = now.saturating_duration_since(leader.seen_at);
        Self {
            ip: octets(leader.address.ip()),
            port: u32::from(leader.address.port()),
            fence: leader.fence,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Decodes the sighting; `None` if its address is malformed.
    pub(super) fn sighting(&self, now: Instant) -> Option<LeaderSighting> {
        let age = Duration::from_millis(u64::from(self.age_ms));
        Some(LeaderSighting {
            address: address_of(&self.ip, self.port)?,
            fence: self.fence,
            seen_at: now.checked_sub(age)?,
        })
    }
}

fn octets(ip: IpAddr) -> Vec<u8> {
    match ip {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    }
}

fn address_of(ip: &[u8], port: u32) -> Option<SocketAddr> {
    let port = u16::try_from(port).ok()?;
    let ip = match <[u8; 4]>::try_from(ip) {
        Ok(octets) => IpAddr::from(octets),
        Err(_not_v4) => IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
    };
    Some(SocketAddr::new(ip, port))
}
