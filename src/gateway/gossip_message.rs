//! The gossip messages between VMs.

use crate::callers::{SPAN_COUNT, URGENCY_COUNT, Usage, UsageReport};
use crate::gateway::crash_message::{ClearanceMessage, ContainedCauseMessage, CrashReportMessage};
use crate::gateway::directory_updates::DirectoryUpdate;
use crate::gateway::fleet::{Incarnation, Server};
use crate::gateway::plain_load::PlainLoadsPart;
use crate::gateway::runner_load::RunnerLoadsPart;
use crate::gateway::server_limits::LimitStatement;
use crate::gateway::server_speed::ServerSpeedsPart;
use crate::gateway::sighting_message::{LeaderSeen, ZoneVms};
use crate::gateway::stream_message::{BegunStream, OpenVersion, VersionQuery, VersionReply};
use prost::Message;
use std::time::Duration;

/// The maximum number of organisations in one message. Each takes some 35 bytes, so that they fit
/// one datagram.
const MAX_USAGES_PER_MESSAGE: usize = 30;

/// The maximum number of statements on rate limits in one message. Each takes some 30 bytes.
const MAX_STATEMENTS_PER_MESSAGE: usize = 16;

/// A gossip message from one VM.
///
/// A full digest replaces the earlier state of its sender; a partial one ([`Self::is_partial`])
/// only applies the fields that it carries.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Digest {
    /// Identifies the process of the sender.
    #[prost(uint64, tag = "1")]
    pub(super) boot: u64,
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "2")]
    pub(super) is_leaving: bool,
    /// The requests that the sender has in flight. Servers without any are left out.
    #[prost(message, repeated, tag = "3")]
    pub(super) loads: Vec<ServerRequests>,
    /// Whether this message carries demand. An empty list then means that there is none.
    #[prost(bool, tag = "12")]
    pub(super) has_demand: bool,
    /// Numbers the reports of the demand. All messages of one report have the same number.
    #[prost(uint32, tag = "14")]
    pub(super) demand_round: u32,
    /// Whether the demand continues in the next message.
    #[prost(bool, tag = "13")]
    pub(super) has_more: bool,
    /// The demand at the sender, sent to the leader.
    #[prost(message, repeated, tag = "4")]
    pub(super) demands: Vec<WeightsDemand>,
    /// What runners hold, sent by the leader.
    #[prost(message, repeated, tag = "5")]
    pub(super) holdings: Vec<ServerHoldings>,
    /// Requests of the sender that servers had not begun to answer when they crashed.
    #[prost(message, repeated, tag = "6")]
    pub(super) crashes: Vec<CrashReportMessage>,
    /// The fence that the sender leads with; 0 if it is not the leader.
    #[prost(uint64, tag = "8")]
    pub(super) fence: u64,
    /// Prompts that the sender has sent to runners since its last message about prompts.
    #[prost(message, repeated, tag = "9")]
    pub(super) prompts: Vec<SentPrompt>,
    /// The sender's availability zone.
    #[prost(string, tag = "10")]
    pub(super) availability_zone: String,
    /// The log positions of the sender, if it follows the log closely.
    #[prost(message, optional, tag = "11")]
    pub(super) followed_log: Option<FollowedLog>,
    /// The time until the next message to the same recipient, in milliseconds.
    #[prost(uint32, tag = "15")]
    pub(super) next_in_ms: u32,
    /// Some or all of the VMs that the sender knows.
    #[prost(message, repeated, tag = "16")]
    pub(super) vms: Vec<ZoneVms>,
    /// Whether the recipient is asked to reply with all VMs that it knows.
    #[prost(bool, tag = "17")]
    pub(super) requests_view: bool,
    /// Directory changes, forwarded to the zone of the sender.
    #[prost(message, optional, tag = "18")]
    pub(super) directory: Option<DirectoryUpdate>,
    /// What organisations were granted: at the sender, or, in messages to remote zones, in the
    /// whole zone of the sender.
    #[prost(message, optional, tag = "19")]
    pub(super) usage_report: Option<UsageReportPart>,
    /// The load of the zone of the sender. In a large fleet, messages to remote zones carry it
    /// instead of `loads`.
    #[prost(message, optional, tag = "20")]
    pub(super) zone_loads: Option<ZoneLoadSums>,
    /// Whether this partial message carries the load of the sender.
    #[prost(bool, tag = "21")]
    pub(super) has_loads: bool,
    /// The rate limits that servers stated, and the requests sent under them: by the sender, or, in
    /// messages to remote zones, by the whole zone of the sender.
    #[prost(message, optional, tag = "22")]
    pub(super) server_limits: Option<ServerLimitsPart>,
    /// Servers that have said that they are about to leave.
    #[prost(message, repeated, tag = "23")]
    pub(super) leaving: Vec<ServerRun>,
    /// Whether the sender has the directory and the configuration.
    #[prost(bool, tag = "24")]
    pub(super) has_state: bool,
    /// The leader, as the sender last heard of it.
    #[prost(message, optional, tag = "25")]
    pub(super) leader: Option<LeaderSeen>,
    /// Whether the recipient forwards this message to the other VMs of its zone.
    #[prost(bool, tag = "26")]
    pub(super) is_for_zone: bool,
    /// The processor time that the sender may use, in percent of a core.
    #[prost(uint32, tag = "27")]
    pub(super) cpu_percent: u32,
    /// Whether the sender takes requests that other VMs forward.
    #[prost(bool, tag = "28")]
    pub(super) accepts_forwarded: bool,
    /// Streams that began at the sender, with their software versions.
    #[prost(message, repeated, tag = "29")]
    pub(super) begun_streams: Vec<BegunStream>,
    /// Streams whose software version the sender asks for.
    #[prost(message, repeated, tag = "30")]
    pub(super) version_queries: Vec<VersionQuery>,
    /// Answers to such questions.
    #[prost(message, repeated, tag = "31")]
    pub(super) version_replies: Vec<VersionReply>,
    /// Services of which the sender has recently seen servers of several software versions.
    #[prost(string, repeated, tag = "32")]
    pub(super) mixed_services: Vec<String>,
    /// The versions of these services at which streams may begin, as far as the sender knows.
    #[prost(message, repeated, tag = "45")]
    pub(super) open_versions: Vec<OpenVersion>,
    /// What is no longer charged with crashes, since answers to requests of the sender have begun.
    #[prost(message, repeated, tag = "33")]
    pub(super) clearances: Vec<ClearanceMessage>,
    /// Parts of reported prompts with which answers began at the sender.
    #[prost(fixed64, repeated, tag = "34")]
    pub(super) begun_parts: Vec<u64>,
    /// What the sender contains because it crashes servers.
    #[prost(message, repeated, tag = "35")]
    pub(super) contained: Vec<ContainedCauseMessage>,
    /// The same as `lists_all_contained`, for VMs of earlier releases. Theirs may state it although nobody
    /// has told them, so that it isn't read.
    #[prost(bool, tag = "36")]
    pub(super) knows_contained: bool,
    /// Whether `contained` is all that is contained, as the sender was told.
    #[prost(bool, tag = "46")]
    pub(super) lists_all_contained: bool,
    /// How fast servers are: what the sender has seen, or, in messages to remote zones, all VMs of
    /// the zone of the sender.
    #[prost(message, optional, tag = "37")]
    pub(super) server_speeds: Option<ServerSpeedsPart>,
    /// The requests that wait for runners at the sender, the largest numbers first.
    #[prost(message, repeated, tag = "39")]
    pub(super) waiting: Vec<WaitingRequests>,
    /// The requests of other zones at runners, from what these stated to the sender; sent within a zone.
    #[prost(message, optional, tag = "44")]
    pub(super) runner_loads: Option<RunnerLoadsPart>,
    /// The version of the configuration in force at the sender. Sent only after the log was restored
    /// from a copy, which may contain an older one.
    #[prost(uint64, tag = "42")]
    pub(super) configuration_version: u64,
    /// Whether the sender knows that no later version was in force before the restore.
    #[prost(bool, tag = "43")]
    pub(super) is_configuration_checked: bool,
    /// The load of plain servers: as the sender was told, or, in messages to remote zones, any VM of
    /// the zone of the sender.
    #[prost(message, optional, tag = "41")]
    pub(super) plain_loads: Option<PlainLoadsPart>,
    /// Whether this message carries only some fields and does not replace the state of its sender.
    #[prost(bool, tag = "7")]
    pub(super) is_partial: bool,
}

/// The requests that wait for the same at a VM.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WaitingRequests {
    /// Identifies what they wait for.
    #[prost(fixed32, tag = "1")]
    pub(super) need: u32,
    /// Their number by priority; the last one counts all less urgent ones too.
    #[prost(uint32, repeated, tag = "2")]
    pub(super) by_level: Vec<u32>,
}

/// How far a VM that follows the log closely has read it.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct FollowedLog {
    /// The offset after the last directory change that other VMs need at once.
    #[prost(uint64, tag = "1")]
    pub(super) directory_changed_to: u64,
    /// The time since the directory was last read, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub(super) directory_age_ms: u32,
    /// The offset after the last configuration change.
    #[prost(uint64, tag = "3")]
    pub(super) configuration_changed_to: u64,
    /// The time since the configuration was last read, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub(super) configuration_age_ms: u32,
    /// The offset up to which the directory has been read.
    #[prost(uint64, tag = "5")]
    pub(super) directory_end: u64,
}

/// The requests that all VMs of a zone have in flight at some servers.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ZoneLoadSums {
    /// The short names of the servers.
    #[prost(fixed32, repeated, tag = "1")]
    servers: Vec<u32>,
    /// The requests at each server, in the same order; 0 is sent as well.
    #[prost(uint32, repeated, tag = "2")]
    in_flight: Vec<u32>,
}

impl ZoneLoadSums {
    /// Encodes pairs of server and requests in flight.
    pub(super) fn of(sums: impl Iterator<Item = (u32, u32)>) -> Self {
        let (servers, in_flight) = sums.unzip();
        Self { servers, in_flight }
    }

    /// The pairs of server and requests in flight.
    pub(super) fn sums(&self) -> impl Iterator<Item = (u32, u32)> {
        let in_flight = self.in_flight.iter().copied();
        self.servers.iter().copied().zip(in_flight)
    }
}

/// A part of a usage report: what some organisations were granted at one VM, or in a zone.
#[derive(Clone, PartialEq, Message)]
pub(super) struct UsageReportPart {
    /// The number of VMs that the report covers.
    #[prost(uint32, tag = "1")]
    pub(super) vms: u32,
    #[prost(message, repeated, tag = "2")]
    pub(super) usages: Vec<OrganisationUsage>,
    /// The number of covered VMs that have grants recorded for the whole quota window. A VM that
    /// started within the window counts as a fraction.
    #[prost(float, tag = "3")]
    pub(super) recorded_vms: f32,
}

/// What one organisation was granted.
#[derive(Clone, PartialEq, Message)]
pub(super) struct OrganisationUsage {
    /// The short name of the organisation.
    #[prost(fixed32, tag = "1")]
    pub(super) organisation: u32,
    /// The amount requested within the last second, granted or not.
    #[prost(uint64, tag = "2")]
    pub(super) requested: u64,
    /// The amount granted within each span of the quota window, the shortest first.
    #[prost(uint64, repeated, tag = "3")]
    pub(super) granted: Vec<u64>,
    /// The parts of `requested` by urgency, the most urgent first.
    #[prost(uint64, repeated, tag = "4")]
    pub(super) requested_by_urgency: Vec<u64>,
}

impl UsageReportPart {
    /// Splits a usage report into parts that fit one message each. A report without grants still
    /// yields one part, so that its VM is counted.
    pub(super) fn parts(report: &UsageReport) -> Vec<Self> {
        let usages: Vec<OrganisationUsage> =
            report.usages.iter().map(OrganisationUsage::of).collect();
        let part = |usages: &[OrganisationUsage]| Self {
            vms: report.vms,
            recorded_vms: report.recorded_vms as f32,
            usages: usages.to_vec(),
        };
        match usages.is_empty() {
            true => vec![part(&[])],
            false => usages.chunks(MAX_USAGES_PER_MESSAGE).map(part).collect(),
        }
    }

    /// Decodes the part.
    pub(super) fn report(&self) -> UsageReport {
        UsageReport {
            vms: self.vms,
            recorded_vms: f64::from(self.recorded_vms),
            usages: self.usages.iter().map(OrganisationUsage::usage).collect(),
        }
    }
}

impl OrganisationUsage {
    fn of((organisation, usage): &(u32, Usage)) -> Self {
        let mut by_urgency = usage.requested.map(|it| it.round() as u64).to_vec();
        while by_urgency.last() == Some(&0) {
            by_urgency.pop();
        }
        Self {
            organisation: *organisation,
            requested: usage.requested.iter().sum::<f64>().round() as u64,
            requested_by_urgency: by_urgency,
            granted: usage.granted.map(|it| it.round() as u64).to_vec(),
        }
    }

    fn usage(&self) -> (u32, Usage) {
        let mut granted = [0.0; SPAN_COUNT];
        for (span, amount) in granted.iter_mut().zip(&self.granted) {
            *span = *amount as f64;
        }
        let mut requested = [0.0; URGENCY_COUNT];
        for (class, amount) in requested.iter_mut().zip(&self.requested_by_urgency) {
            *class = *amount as f64;
        }
        // A VM of an earlier version does not state the urgency. Its demand counts as urgent, so
        // that no more is granted than with the urgency known.
        let stated: f64 = requested.iter().sum();
        requested[0] += (self.requested as f64 - stated).max(0.0);
        let usage = Usage { requested, granted };
        (self.organisation, usage)
    }
}

/// One run of a server's process.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ServerRun {
    #[prost(string, tag = "1")]
    server: String,
    /// When the process started, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    started_ms: u64,
}

impl ServerRun {
    pub(super) fn of(server: &Server) -> Self {
        Self {
            server: server.id.to_string(),
            started_ms: server.started_ms,
        }
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.server.as_str().into(),
            started_ms: self.started_ms,
        }
    }
}

/// A part of what one VM knows of the rate limits of servers.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ServerLimitsPart {
    /// The requests sent to servers with a limit, by the short name of the server.
    #[prost(message, optional, tag = "1")]
    pub(super) usage: Option<UsageReportPart>,
    #[prost(message, repeated, tag = "2")]
    pub(super) statements: Vec<RateLimitStatement>,
}

/// What a server stated about its rate limit.
#[derive(Clone, PartialEq, Message)]
pub(super) struct RateLimitStatement {
    #[prost(string, tag = "1")]
    server: String,
    /// When the process of the server started, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    started_ms: u64,
    /// The limit in requests per second over all VMs; absent if the server states none.
    #[prost(double, optional, tag = "3")]
    rate_per_s: Option<f64>,
    /// The time since the response that stated it, in milliseconds.
    #[prost(uint32, tag = "4")]
    age_ms: u32,
}

impl RateLimitStatement {
    fn of(statement: &LimitStatement) -> Self {
        Self {
            server: statement.server.id.to_string(),
            started_ms: statement.server.started_ms,
            rate_per_s: statement.rate_per_s,
            age_ms: u32::try_from(statement.age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Decodes the statement; `None` if its limit is no valid rate.
    pub(super) fn statement(&self) -> Option<LimitStatement> {
        let is_valid = |rate_per_s: f64| rate_per_s.is_finite() && rate_per_s >= 0.0;
        self.rate_per_s
            .is_none_or(is_valid)
            .then(|| LimitStatement {
                server: Incarnation {
                    id: self.server.as_str().into(),
                    started_ms: self.started_ms,
                },
                rate_per_s: self.rate_per_s,
                age: Duration::from_millis(u64::from(self.age_ms)),
            })
    }
}

impl ServerLimitsPart {
    /// Splits a usage report and statements into parts that fit one message each.
    pub(super) fn parts(report: &UsageReport, statements: &[LimitStatement]) -> Vec<Self> {
        let usages = UsageReportPart::parts(report).into_iter().map(Some);
        let statements: Vec<RateLimitStatement> =
            statements.iter().map(RateLimitStatement::of).collect();
        let mut statements = statements.chunks(MAX_STATEMENTS_PER_MESSAGE);
        let mut parts: Vec<Self> = usages
            .map(|usage| Self {
                usage,
                statements: statements.next().unwrap_or_default().to_vec(),
            })
            .collect();
        parts.extend(statements.map(|statements| Self {
            usage: None,
            statements: statements.to_vec(),
        }));
        parts
    }
}

/// Requests in flight at one server for one model.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ServerRequests {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    #[prost(uint32, tag = "2")]
    pub(super) in_flight: u32,
    /// The model of the requests; empty for requests to plain services.
    #[prost(string, tag = "3")]
    pub(super) model: String,
}

/// The demand for a model or an adapter.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WeightsDemand {
    #[prost(string, tag = "1")]
    pub(super) model: String,
    #[prost(string, optional, tag = "2")]
    pub(super) adapter: Option<String>,
    /// The runner time that the demand takes, in microseconds per second.
    #[prost(uint32, tag = "3")]
    pub(super) busy_us_per_s: u32,
    /// Requests per thousand seconds.
    #[prost(uint32, tag = "5")]
    pub(super) requests_per_1000_s: u32,
    /// Requests that wait for a runner with the weights loaded.
    #[prost(uint32, tag = "4")]
    pub(super) waiting: u32,
}

/// What one runner holds.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ServerHoldings {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    /// When the process of the server started, in Unix milliseconds.
    #[prost(uint64, tag = "3")]
    pub(super) started_ms: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) models: Vec<ModelHolding>,
    /// The model that the runner is loading.
    #[prost(message, optional, tag = "4")]
    pub(super) loading: Option<LoadingModel>,
}

/// A model that a runner is loading.
#[derive(Clone, PartialEq, Message)]
pub(super) struct LoadingModel {
    #[prost(string, tag = "1")]
    pub(super) model: String,
    /// The time until it is expected to be loaded, in milliseconds; negative if it is late.
    #[prost(sint32, tag = "2")]
    pub(super) ready_in_ms: i32,
}

/// A model that a runner holds, with the loaded adapters.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ModelHolding {
    #[prost(string, tag = "1")]
    pub(super) model: String,
    #[prost(uint64, tag = "2")]
    pub(super) version: u64,
    #[prost(string, repeated, tag = "3")]
    pub(super) adapters: Vec<String>,
}

/// A prompt that the sender has just sent to a runner.
#[derive(Clone, PartialEq, Message)]
pub(super) struct SentPrompt {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    /// The time that the runner takes to prefill the prompt, in microseconds.
    #[prost(uint32, tag = "2")]
    pub(super) prefill_us: u32,
}
