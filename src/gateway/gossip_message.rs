//! The messages between VMs.

use crate::callers::{SPANS, Tally, Usage};
use crate::gateway::directory_updates::DirectoryUpdate;
use crate::gateway::view::Sighting;
use crate::inventory::Name;
use prost::Message;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

/// Organisations that one message tells of at most, some 25 bytes each: they fit one datagram.
const MAX_USAGES: usize = 40;

/// What one VM tells the others.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Digest {
    /// The sender's process.
    #[prost(uint64, tag = "1")]
    pub(super) boot: u64,
    /// Whether the sender is about to leave.
    #[prost(bool, tag = "2")]
    pub(super) is_leaving: bool,
    /// The sender's requests in flight; servers without any are left out.
    #[prost(message, repeated, tag = "3")]
    pub(super) loads: Vec<ServerRequests>,
    /// Whether this message tells the demand at the sender.
    #[prost(bool, tag = "12")]
    pub(super) has_demand: bool,
    /// Grows with each telling of the demand, whose messages share it.
    #[prost(uint32, tag = "14")]
    pub(super) demand_round: u32,
    /// Whether more of that demand follows in the next message.
    #[prost(bool, tag = "13")]
    pub(super) has_more: bool,
    /// The demand at the sender, told to the VM that gives orders.
    #[prost(message, repeated, tag = "4")]
    pub(super) demands: Vec<WeightsDemand>,
    /// What runners hold, if the sender leads.
    #[prost(message, repeated, tag = "5")]
    pub(super) holdings: Vec<ServerHoldings>,
    /// Crashes with requests aboard that the sender saw lately.
    #[prost(message, repeated, tag = "6")]
    pub(super) crashes: Vec<Crashes>,
    /// The fence under which the sender gives orders; 0 if it gives none.
    #[prost(uint64, tag = "8")]
    pub(super) fence: u64,
    /// Prompts sent to runners since the last message about prompts.
    #[prost(message, repeated, tag = "9")]
    pub(super) prompts: Vec<SentPrompt>,
    /// The sender's availability zone.
    #[prost(string, tag = "10")]
    pub(super) availability_zone: String,
    /// What the sender read of the log, if it follows it closely.
    #[prost(message, optional, tag = "11")]
    pub(super) followed_log: Option<Followed>,
    /// After how long the receiver is told again.
    #[prost(uint32, tag = "15")]
    pub(super) next_in_ms: u32,
    /// VMs that the sender knows.
    #[prost(message, repeated, tag = "16")]
    pub(super) vms: Vec<ZoneVms>,
    /// Whether the receiver is to tell all VMs that it knows.
    #[prost(bool, tag = "17")]
    pub(super) requests_view: bool,
    /// Changes of the directory, passed on to the own zone.
    #[prost(message, optional, tag = "18")]
    pub(super) directory: Option<DirectoryUpdate>,
    /// What organisations were granted at the sender, or in its zone for VMs of other zones.
    #[prost(message, optional, tag = "19")]
    pub(super) tally: Option<TallyPart>,
    /// The load of the sender's zone, for VMs of other zones of a large fleet, in place of its own.
    #[prost(message, optional, tag = "20")]
    pub(super) zone_loads: Option<ToldZoneLoads>,
    /// Whether this message tells the sender's load by itself.
    #[prost(bool, tag = "21")]
    pub(super) has_loads: bool,
    /// Whether loads and demands are left out of this message.
    #[prost(bool, tag = "7")]
    pub(super) is_partial: bool,
}

/// What a VM that follows the log closely has read of it.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct Followed {
    /// The offset after the last change of the directory that others must know of at once.
    #[prost(uint64, tag = "1")]
    pub(super) directory_news: u64,
    /// The age of the last reading of the directory.
    #[prost(uint32, tag = "2")]
    pub(super) directory_age_ms: u32,
    /// The offset after the last change of the configuration.
    #[prost(uint64, tag = "3")]
    pub(super) configuration_news: u64,
    /// The age of the last reading of the configuration.
    #[prost(uint32, tag = "4")]
    pub(super) configuration_age_ms: u32,
    /// The offset up to which the directory was read.
    #[prost(uint64, tag = "5")]
    pub(super) directory_end: u64,
}

/// VMs of one availability zone.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ZoneVms {
    #[prost(string, tag = "1")]
    pub(super) availability_zone: String,
    #[prost(message, repeated, tag = "2")]
    pub(super) vms: Vec<VmSeen>,
}

/// A VM and when it was heard, by whoever told of it.
#[derive(Clone, PartialEq, Message)]
pub(super) struct VmSeen {
    /// The octets of its IP address, four or sixteen.
    #[prost(bytes = "vec", tag = "1")]
    pub(super) ip: Vec<u8>,
    #[prost(uint32, tag = "2")]
    pub(super) port: u32,
    /// Names its process.
    #[prost(fixed64, tag = "3")]
    pub(super) boot: u64,
    /// How long ago it was heard.
    #[prost(uint32, tag = "4")]
    pub(super) age_ms: u32,
}

impl VmSeen {
    /// Where its messages arrive; `None` if that is no address.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        let port = u16::try_from(self.port).ok()?;
        let ip = match <[u8; 4]>::try_from(self.ip.as_slice()) {
            Ok(octets) => IpAddr::from(octets),
            Err(_not_v4) => IpAddr::from(<[u8; 16]>::try_from(self.ip.as_slice()).ok()?),
        };
        Some(SocketAddr::new(ip, port))
    }
}

/// VMs as messages tell of them, by zone.
pub(super) fn zones_of(sightings: &[Sighting], now: Instant) -> Vec<ZoneVms> {
    let mut zones: BTreeMap<&Name, Vec<VmSeen>> = BTreeMap::new();
    for it in sightings {
        let age = now.saturating_duration_since(it.seen_at);
        zones
            .entry(&it.availability_zone)
            .or_default()
            .push(VmSeen {
                ip: match it.address.ip() {
                    IpAddr::V4(ip) => ip.octets().to_vec(),
                    IpAddr::V6(ip) => ip.octets().to_vec(),
                },
                port: u32::from(it.address.port()),
                boot: it.boot,
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            });
    }
    let zones = zones.into_iter();
    zones
        .map(|(zone, vms)| ZoneVms {
            availability_zone: zone.to_string(),
            vms,
        })
        .collect()
}

/// The VMs that a message tells of.
pub(super) fn sightings_of(zones: &[ZoneVms], now: Instant) -> impl Iterator<Item = Sighting> {
    zones.iter().flat_map(move |zone| {
        let availability_zone = Name::from(zone.availability_zone.as_str());
        zone.vms.iter().filter_map(move |vm| {
            let age = Duration::from_millis(u64::from(vm.age_ms));
            Some(Sighting {
                address: vm.address()?,
                availability_zone: availability_zone.clone(),
                boot: vm.boot,
                seen_at: now.checked_sub(age)?,
            })
        })
    })
}

/// Requests in flight of all VMs of a zone, for some servers.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ToldZoneLoads {
    /// The servers by their short names.
    #[prost(fixed32, repeated, tag = "1")]
    servers: Vec<u32>,
    /// The requests on each; none is told as well.
    #[prost(uint32, repeated, tag = "2")]
    in_flight: Vec<u32>,
}

impl ToldZoneLoads {
    /// Tells of some servers.
    pub(super) fn of(sums: impl Iterator<Item = (u32, u32)>) -> Self {
        let (servers, in_flight) = sums.unzip();
        Self { servers, in_flight }
    }

    /// The servers with the requests on each.
    pub(super) fn sums(&self) -> impl Iterator<Item = (u32, u32)> {
        let in_flight = self.in_flight.iter().copied();
        self.servers.iter().copied().zip(in_flight)
    }
}

/// What organisations were granted at one VM, or in a zone.
#[derive(Clone, PartialEq, Message)]
pub(super) struct TallyPart {
    /// How many VMs it sums up.
    #[prost(uint32, tag = "1")]
    pub(super) vms: u32,
    #[prost(message, repeated, tag = "2")]
    pub(super) usages: Vec<ToldUsage>,
    /// How many of them remember the whole window.
    #[prost(float, tag = "3")]
    pub(super) remembering_vms: f32,
}

/// What one organisation was granted.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ToldUsage {
    /// Names the organisation.
    #[prost(fixed32, tag = "1")]
    pub(super) organisation: u32,
    #[prost(uint64, tag = "2")]
    pub(super) asked: u64,
    /// By span, the shortest first.
    #[prost(uint64, repeated, tag = "3")]
    pub(super) granted: Vec<u64>,
}

impl TallyPart {
    /// The tellings of a tally, each short enough for a message; one of a VM without any grant
    /// tells that it is there.
    pub(super) fn parts(tally: &Tally) -> Vec<Self> {
        let usages: Vec<ToldUsage> = tally.usages.iter().map(ToldUsage::of).collect();
        let part = |usages: &[ToldUsage]| Self {
            vms: tally.vms,
            remembering_vms: tally.remembering_vms as f32,
            usages: usages.to_vec(),
        };
        match usages.is_empty() {
            true => vec![part(&[])],
            false => usages.chunks(MAX_USAGES).map(part).collect(),
        }
    }

    /// The tally that it tells.
    pub(super) fn tally(&self) -> Tally {
        Tally {
            vms: self.vms,
            remembering_vms: f64::from(self.remembering_vms),
            usages: self.usages.iter().map(ToldUsage::usage).collect(),
        }
    }
}

impl ToldUsage {
    fn of((organisation, usage): &(u32, Usage)) -> Self {
        Self {
            organisation: *organisation,
            asked: usage.asked.round() as u64,
            granted: usage.granted.map(|it| it.round() as u64).to_vec(),
        }
    }

    fn usage(&self) -> (u32, Usage) {
        let mut granted = [0.0; SPANS];
        for (span, told) in granted.iter_mut().zip(&self.granted) {
            *span = *told as f64;
        }
        let usage = Usage {
            asked: self.asked as f64,
            granted,
        };
        (self.organisation, usage)
    }
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct ServerRequests {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    #[prost(uint32, tag = "2")]
    pub(super) in_flight: u32,
    /// The model that they ask for; empty for plain calls.
    #[prost(string, tag = "3")]
    pub(super) model: String,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WeightsDemand {
    #[prost(string, tag = "1")]
    pub(super) model: String,
    #[prost(string, optional, tag = "2")]
    pub(super) adapter: Option<String>,
    /// What it takes of runners' time, in microseconds a second.
    #[prost(uint32, tag = "3")]
    pub(super) busy_us_per_s: u32,
    /// Requests in a thousand seconds.
    #[prost(uint32, tag = "5")]
    pub(super) requests_per_1000_s: u32,
    /// Requests that wait for a runner that holds the weights.
    #[prost(uint32, tag = "4")]
    pub(super) waiting: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct ServerHoldings {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    /// When the server's process started, in Unix milliseconds.
    #[prost(uint64, tag = "3")]
    pub(super) started_ms: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) models: Vec<ModelHolding>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct ModelHolding {
    #[prost(string, tag = "1")]
    pub(super) model: String,
    #[prost(uint64, tag = "2")]
    pub(super) version: u64,
    #[prost(string, repeated, tag = "3")]
    pub(super) adapters: Vec<String>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct Crashes {
    #[prost(fixed64, tag = "1")]
    pub(super) fingerprint: u64,
    #[prost(uint32, tag = "2")]
    pub(super) crashes: u32,
}

/// A prompt that the sender has just sent to a runner.
#[derive(Clone, PartialEq, Message)]
pub(super) struct SentPrompt {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    /// How long the runner takes to read it, in microseconds.
    #[prost(uint32, tag = "2")]
    pub(super) prefill_us: u32,
}
