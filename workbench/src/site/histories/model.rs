//! The model of how requests may end beside changes.

use super::exchange::{DEADLINE, Response};
use super::history::{ConfigPlan, Kind, RequestPlan, Run};
use crate::site::events::events_text;
use std::time::{Duration, Instant};

/// Events of a whole stream.
pub(super) const EVENTS: u64 = 8;
/// The body of a whole plain answer.
pub(super) const PLAIN_BODY: &str = "the whole answer";
/// How long an older configuration may be in force after a newer one was published.
const APPLY_LIMIT: Duration = Duration::from_millis(2_500);
/// How much longer it may be in force at VMs with little processor time.
const STRETCH: Duration = Duration::from_millis(5_000);
/// How long after the deadline a request may end.
const SLACK: Duration = Duration::from_millis(500);
/// How long before the deadline it may count as reached.
const ROUNDING: Duration = Duration::from_millis(50);
/// How long after SIGTERM a VM reads what its callers send.
const INTAKE: Duration = Duration::from_millis(1_800);
/// How long after SIGTERM a VM that leaves may still be at work.
const MAX_WORK: Duration = Duration::from_secs(5);
/// How long a VM that gets SIGTERM may take.
pub(super) const GRACE: Duration = Duration::from_secs(6);

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub(super) id: String,
    pub(super) vm: usize,
    pub(super) plan: RequestPlan,
    /// Since when the connection had been idle.
    pub(super) idle_since: Option<Instant>,
    pub(super) sent_at: Instant,
    pub(super) ended_at: Instant,
    pub(super) response: Response,
    /// Whether the VM logged something of the request.
    pub(super) is_logged: bool,
    /// How many servers ran the request.
    pub(super) runs: usize,
}

impl SentRequest {
    fn is_whole(&self) -> bool {
        let expected = match self.plan.kind.is_stream() {
            true => events_text(1, EVENTS),
            false => PLAIN_BODY.to_owned(),
        };
        self.response.body == expected
    }
}

/// What happened that may excuse how a request ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Model {
    /// The configurations, with the times when they were published.
    pub(super) versions: Vec<(Instant, ConfigPlan)>,
    /// When VMs got a SIGTERM.
    pub(super) stops: Vec<(usize, Instant)>,
    /// Whether VMs have little processor time: they may close new connections unread.
    pub(super) has_slow_vms: bool,
    /// Whether retries may be denied.
    pub(super) has_few_retries: bool,
}

impl Model {
    /// The configurations that may have been in force at some time from `from` to `to`.
    pub(super) fn in_force(
        &self,
        from: Instant,
        to: Instant,
    ) -> impl Iterator<Item = &ConfigPlan> + Clone {
        let apply_limit = match self.has_slow_vms {
            true => APPLY_LIMIT + STRETCH,
            false => APPLY_LIMIT,
        };
        let versions = self.versions.iter().enumerate();
        versions.filter_map(move |(index, (published_at, config))| {
            let next = self.versions.get(index + 1);
            let is_over = next.is_some_and(|(at, _)| *at + apply_limit < from);
            (*published_at <= to && !is_over).then_some(config)
        })
    }

    /// Returns what is wrong with how a request ended.
    pub(super) fn finding(&self, sent: &SentRequest) -> Option<String> {
        let fault = self.fault(sent)?;
        Some(format!("{fault}: {}", self.describe(sent)))
    }

    /// Describes how a request ended.
    pub(super) fn describe(&self, sent: &SentRequest) -> String {
        let response = &sent.response;
        let stops = self.stops.iter().filter(|(vm, _)| *vm == sent.vm);
        let since_stops: Vec<_> = stops
            .map(|(_, at)| sent.sent_at.checked_duration_since(*at))
            .collect();
        format!(
            "{} at vm-{}, {:?}, complete {}, {:?}, {} runs, after {:?}, idle for {:?}, sent after \
             SIGTERM {since_stops:?}: {:?}",
            sent.id,
            sent.vm,
            response.status,
            response.is_complete,
            response.error,
            sent.runs,
            sent.ended_at - sent.sent_at,
            sent.idle_since.map(|at| sent.sent_at - at),
            sent.plan,
        )
    }

    fn fault(&self, sent: &SentRequest) -> Option<&'static str> {
        let versions = self.in_force(sent.sent_at, sent.ended_at);
        let took = sent.ended_at - sent.sent_at;
        let limits = versions.clone().map(|it| {
            let timeout = Duration::from_millis(it.timeout_ms);
            timeout.min(DEADLINE)
        });
        let longest = limits.clone().max().unwrap_or(DEADLINE);
        let shortest = limits.min().unwrap_or(DEADLINE);
        let may_be_over = took + ROUNDING >= shortest;
        let is_repeatable = matches!(sent.plan.kind, Kind::Safe | Kind::Resumable);
        if !is_repeatable && sent.runs > 1 {
            return Some("TWICE");
        }
        if took > longest + SLACK {
            return Some("LATE");
        }
        let is_broken_off = matches!(sent.plan.run, Run::BreaksOff { .. })
            && (!is_repeatable || sent.plan.is_refused_later || self.has_few_retries);
        let Some(status) = sent.response.status else {
            return (!self.may_be_closed(sent)).then_some("LOST");
        };
        if !sent.response.is_complete {
            let is_allowed = is_broken_off || may_be_over || self.is_late_for_stop(sent);
            return (!is_allowed).then_some("CUT");
        }
        let is_allowed = match status {
            200 => return (!sent.is_whole()).then_some("MIXED"),
            404 => versions
                .clone()
                .any(|it| it.dropped == Some(sent.plan.kind)),
            413 => versions
                .clone()
                .any(|it| it.max_body_bytes < sent.plan.body_bytes),
            431 => versions
                .clone()
                .any(|it| it.max_head_bytes < sent.plan.padding_bytes),
            408 | 421 | 429 | 503 => return (sent.runs > 0).then_some("REFUSED, ran"),
            502 | 504 => is_broken_off || may_be_over,
            _ => false,
        };
        (!is_allowed).then_some("STATUS")
    }

    /// Whether the VM may end the connection without any answer.
    fn may_be_closed(&self, sent: &SentRequest) -> bool {
        let mut stops = self.stops.iter().filter(|(vm, _)| *vm == sent.vm);
        let is_unread = stops.any(|(_, at)| {
            sent.runs == 0 && sent.sent_at > *at + INTAKE && sent.sent_at < *at + GRACE
        });
        let is_new = sent.idle_since.is_none() && sent.runs == 0 && !sent.is_logged;
        let is_overload = self.has_slow_vms && is_new;
        is_unread || is_overload || self.is_late_for_stop(sent) || self.has_rested_too_long(sent)
    }

    /// Whether the VM leaves before it has to have answered.
    fn is_late_for_stop(&self, sent: &SentRequest) -> bool {
        let mut stops = self.stops.iter().filter(|(vm, _)| *vm == sent.vm);
        stops.any(|(_, at)| sent.ended_at > *at + MAX_WORK && sent.sent_at < *at + GRACE)
    }

    /// Returns what is wrong with the close of an idle connection that its caller now sees.
    pub(super) fn early_close(&self, vm: usize, idle_since: Option<Instant>) -> Option<String> {
        let (since, now) = (idle_since?, Instant::now());
        let mut stops = self.stops.iter().filter(|(of, _)| *of == vm);
        let is_stopped = stops.any(|(_, at)| *at + GRACE > since);
        let is_over = self.is_over_idle_limit(since, now);
        let is_early = !is_stopped && !is_over;
        is_early.then(|| {
            format!(
                "EARLY: vm-{vm} closed a connection idle for {:?}",
                now - since
            )
        })
    }

    /// Whether a connection may have been idle for too long.
    fn is_over_idle_limit(&self, since: Instant, now: Instant) -> bool {
        let limits = self.in_force(since, now).map(|it| it.idle_timeout_ms);
        now - since >= Duration::from_millis(limits.min().unwrap_or(0))
    }

    /// Whether the connection had been idle for longer than some configuration allows.
    fn has_rested_too_long(&self, sent: &SentRequest) -> bool {
        let is_over = |since| self.is_over_idle_limit(since, sent.sent_at);
        sent.runs == 0 && sent.idle_since.is_some_and(is_over)
    }
}
