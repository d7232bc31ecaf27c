//! Histories: what callers send, what servers do with it, and what changes meanwhile.

use crate::site::{plain, route, runner_service};
use proptest::collection::vec;
use proptest::prelude::*;
use serde_json::{Value, json};

/// The VMs of a site.
pub(super) const VMS: usize = 2;
/// The servers of each service that has requests at first.
pub(super) const SERVERS: usize = 4;
/// The servers that leave at times, by their indexes; two of each service stay.
const LEAVING_SERVERS: std::ops::Range<usize> = 0..4;
/// So many retries that none is denied.
pub(super) const ENOUGH_RETRIES: u32 = 10_000;
/// The further routes of a large configuration, which has about a megabyte.
const MANY_ROUTES: usize = 4_500;

/// A whole history.
#[derive(Clone, Debug)]
pub struct History {
    /// The quota of each VM, in percent of a core; without one, VMs run as they can.
    pub(super) quota_percent: Option<u32>,
    /// The retries allowed beyond a fraction of the requests.
    pub(super) retry_slack: u32,
    pub(super) first: ConfigPlan,
    pub(super) callers: Vec<CallerPlan>,
    pub(super) steps: Vec<Step>,
}

impl History {
    /// Returns the strategy that draws histories.
    pub fn strategy() -> impl Strategy<Value = Self> {
        let callers = prop_oneof![
            3 => vec(CallerPlan::strategy(), 50..90),
            1 => vec(CallerPlan::strategy(), 150..250),
        ];
        let steps = vec(Step::strategy(), 3..16);
        let quota_percent = prop_oneof![2 => Just(None), 1 => (12..40_u32).prop_map(Some)];
        let retry_slack = prop_oneof![2 => Just(ENOUGH_RETRIES), 1 => 0..60_u32];
        let vms = (quota_percent, retry_slack);
        (vms, ConfigPlan::strategy(), callers, steps).prop_map(
            |((quota_percent, retry_slack), first, callers, steps)| Self {
                quota_percent,
                retry_slack,
                first,
                callers,
                steps,
            },
        )
    }
}

/// The kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    Safe,
    Unsafe,
    Resumable,
    Stream,
}

impl Kind {
    pub(super) const ALL: [Self; 4] = [Self::Safe, Self::Unsafe, Self::Resumable, Self::Stream];

    pub(super) fn prefix(self) -> &'static str {
        match self {
            Self::Safe => "/safe/",
            Self::Unsafe => "/unsafe/",
            Self::Resumable => "/resumable/",
            Self::Stream => "/stream/",
        }
    }

    pub(super) fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }

    fn strategy() -> impl Strategy<Value = Self> {
        proptest::sample::select(Self::ALL.to_vec())
    }
}

/// A configuration.
#[derive(Clone, Debug)]
pub(super) struct ConfigPlan {
    /// The kind that has no route.
    pub(super) dropped: Option<Kind>,
    /// The weight of the second service of each kind, of 100.
    pub(super) moved_weight: u32,
    pub(super) timeout_ms: u64,
    pub(super) idle_timeout_ms: u64,
    pub(super) max_head_bytes: usize,
    pub(super) max_body_bytes: usize,
    pub(super) further_routes: usize,
}

impl ConfigPlan {
    pub(super) fn strategy() -> impl Strategy<Value = Self> {
        let dropped = prop_oneof![3 => Just(None), 1 => Kind::strategy().prop_map(Some)];
        let moved = prop_oneof![3 => Just(0), 1 => Just(50), 1 => Just(100)];
        let timeout_ms = prop_oneof![2 => Just(5_000_u64), 1 => 900..5_000_u64];
        let idle_timeout_ms = prop_oneof![1 => 300..1_500_u64, 1 => Just(10_000)];
        let max_head_bytes = prop_oneof![4 => Just(16_384), 1 => Just(4_096)];
        let max_body_bytes = prop_oneof![4 => Just(1_048_576), 1 => Just(50_000)];
        let further = prop_oneof![3 => Just(0), 1 => Just(MANY_ROUTES)];
        let limits = (idle_timeout_ms, max_head_bytes, max_body_bytes);
        (dropped, moved, timeout_ms, limits, further).prop_map(
            |(dropped, moved_weight, timeout_ms, limits, further_routes)| Self {
                dropped,
                moved_weight,
                timeout_ms,
                idle_timeout_ms: limits.0,
                max_head_bytes: limits.1,
                max_body_bytes: limits.2,
                further_routes,
            },
        )
    }

    pub(super) fn routes(&self) -> Value {
        let kinds = Kind::ALL.into_iter().filter(|it| Some(*it) != self.dropped);
        let routes = kinds.map(|kind| {
            let (name, services) = match kind {
                Kind::Safe => ("safe", ["books", "spare"]),
                Kind::Unsafe => ("unsafe", ["books", "spare"]),
                Kind::Resumable | Kind::Stream => ("streaming", ["llm", "other"]),
            };
            let mut route = route(kind.prefix(), name, services[0]);
            route["timeout_ms"] = json!(self.timeout_ms);
            route["resumable"] = json!(kind == Kind::Resumable);
            if self.moved_weight > 0 {
                route["service"] = Value::Null;
                route["traffic_split"] = json!([
                    {"service": services[0], "weight": 100 - self.moved_weight},
                    {"service": services[1], "weight": self.moved_weight},
                ]);
            }
            route
        });
        let further = |index| route(&format!("/further-{index}/"), "safe", "books");
        routes
            .chain((0..self.further_routes).map(further))
            .collect()
    }

    pub(super) fn services() -> Value {
        let models = [("m0", 0)];
        json!([
            runner_service("llm", &models),
            runner_service("other", &models),
            plain("books"),
            plain("spare"),
        ])
    }
}

/// The requests of one caller, one after the other.
#[derive(Clone, Debug)]
pub(super) struct CallerPlan {
    pub(super) vm: usize,
    pub(super) requests: Vec<RequestPlan>,
}

impl CallerPlan {
    fn strategy() -> impl Strategy<Value = Self> {
        let requests = vec(RequestPlan::strategy(), 2..6);
        (0..VMS, requests).prop_map(|(vm, requests)| Self { vm, requests })
    }
}

/// A request, and what the first server does that gets it.
#[derive(Clone, Debug)]
pub(super) struct RequestPlan {
    pub(super) kind: Kind,
    pub(super) body_bytes: usize,
    /// The size of a header that nobody reads.
    pub(super) padding_bytes: usize,
    pub(super) is_chunked: bool,
    /// The pause before each piece of the body.
    pub(super) piece_pause_ms: u64,
    /// How long a kept connection rests before the request, in percent of the idle timeout; `None`
    /// opens a new connection.
    pub(super) rest_percent: Option<u64>,
    pub(super) run: Run,
    /// Whether servers after the first one refuse the request.
    pub(super) is_refused_later: bool,
}

impl RequestPlan {
    fn strategy() -> impl Strategy<Value = Self> {
        let body_bytes = prop_oneof![Just(0_usize), 1..2_000_usize, 2_000..200_000_usize];
        let padding_bytes = prop_oneof![4 => Just(0_usize), 1 => Just(6_000)];
        let piece_pause_ms = prop_oneof![2 => Just(0_u64), 1 => 1..60_u64];
        let rest_percent = prop_oneof![
            2 => Just(None),
            1 => Just(Some(0)),
            2 => (1..=80_u64).prop_map(Some),
        ];
        let sent = (body_bytes, padding_bytes, any::<bool>(), piece_pause_ms);
        (
            Kind::strategy(),
            sent,
            rest_percent,
            Run::strategy(),
            any::<bool>(),
        )
            .prop_map(|(kind, sent, rest_percent, run, is_refused_later)| Self {
                kind,
                body_bytes: sent.0,
                padding_bytes: sent.1,
                is_chunked: sent.2,
                piece_pause_ms: sent.3,
                rest_percent,
                run,
                is_refused_later,
            })
    }
}

/// What the first server does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Run {
    Answers,
    Refuses,
    /// It falls silent at a point of the answer, in percent of its steps, and goes on.
    FallsSilent {
        at_percent: usize,
        silence_ms: u64,
    },
    /// It closes the connection.
    BreaksOff {
        at_percent: usize,
    },
}

impl Run {
    fn strategy() -> impl Strategy<Value = Self> {
        let silent = (0..100_usize, 300..2_000_u64);
        prop_oneof![
            12 => Just(Self::Answers),
            2 => Just(Self::Refuses),
            5 => silent.prop_map(|(at_percent, silence_ms)| Self::FallsSilent {
                at_percent,
                silence_ms,
            }),
            1 => (0..100_usize).prop_map(|at_percent| Self::BreaksOff { at_percent }),
        ]
    }
}

/// A change, and the time since the one before.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) after_ms: u64,
    pub(super) change: Change,
}

impl Step {
    fn strategy() -> impl Strategy<Value = Self> {
        // Half of the changes come in series.
        let after_ms = prop_oneof![0..100_u64, 100..1_000_u64];
        (after_ms, Change::strategy()).prop_map(|(after_ms, change)| Self { after_ms, change })
    }
}

/// A change.
#[derive(Clone, Debug)]
pub(super) enum Change {
    Configure(ConfigPlan),
    HangUp {
        vm: usize,
        signals: usize,
    },
    /// SIGTERM, and a new process once the VM has ended.
    Stop {
        vm: usize,
    },
    /// A server leaves the directory, and comes back with another software version or the same.
    Leave {
        server: usize,
        away_ms: u64,
        has_new_software: bool,
    },
}

impl Change {
    fn strategy() -> impl Strategy<Value = Self> {
        let leave = (LEAVING_SERVERS, 100..2_000_u64, any::<bool>());
        prop_oneof![
            8 => ConfigPlan::strategy().prop_map(Self::Configure),
            2 => (0..VMS, 1..20_usize).prop_map(|(vm, signals)| Self::HangUp { vm, signals }),
            2 => (0..VMS).prop_map(|vm| Self::Stop { vm }),
            2 => leave.prop_map(|(server, away_ms, has_new_software)| Self::Leave {
                server,
                away_ms,
                has_new_software,
            }),
        ]
    }
}
