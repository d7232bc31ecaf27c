//! The numbered log events and the catalogue that describes them.

use log::Level;
use std::fmt;

/// A kind of log event.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The process is ready to serve.
    Started,
    /// The process has begun to shut down.
    Leaving,
    /// The process has finished its shutdown.
    Stopped,
    /// A revision took effect on this VM.
    RevisionInForce,
    /// An operator's publication was accepted, or rejected because its base was outdated.
    Published,
    /// A request was routed to a runner.
    Routed,
    /// A request was refused.
    Refused,
    /// A broken stream continues on another runner.
    Resumed,
    /// A batch request gave up its slot to urgent requests.
    Yielded,
    /// A request ended.
    Answered,
    /// A call was routed to a backend server of a plain service.
    CallRouted,
    /// A planner claimed leadership of a group of runners, successfully or not.
    GroupClaimed,
    /// The planner decided to load an artifact.
    LoadPlaced,
    /// The planner decided to unload an artifact.
    UnloadPlaced,
    /// The outcome of an order was recorded.
    OrderSettled,
    /// A runner's engine restarted.
    RunnerReset,
    /// A runner's open loads were abandoned because it does not answer.
    RunnerDown,
    /// A runner lost a copy without an order to unload it.
    CopyLost,
    /// A runner stopped or resumed answering.
    RunnerHealth,
    /// Heartbeats from a peer stopped or resumed.
    PeerHealth,
    /// A log record could not be read.
    RecordUnreadable,
    /// Log records expired and no snapshot covers them.
    SnapshotMissing,
    /// A snapshot was appended to the log.
    SnapshotWritten,
    /// The state was copied from a peer because it could not be restored from the log.
    StateTaken,
    /// A runner crashed with a request in flight.
    RunnerCrashed,
}

/// An entry of the event catalogue.
#[derive(Clone, Copy, Debug)]
pub struct EventRow {
    /// The event.
    pub event: Event,
    /// The number of the event, which never changes.
    pub number: u16,
    /// The name of the event in the log.
    pub name: &'static str,
    /// The log level.
    pub level: Level,
    /// The description of the event and of its fields.
    pub text: &'static str,
}

const fn row(
    event: Event,
    number: u16,
    name: &'static str,
    level: Level,
    text: &'static str,
) -> EventRow {
    EventRow {
        event,
        number,
        name,
        level,
        text,
    }
}

/// The event catalogue, which docs/EVENTS.md repeats.
pub const EVENTS: &[EventRow] = &[
    row(
        Event::Started,
        100,
        "started",
        Level::Info,
        "the VM is ready to serve: vm, addresses",
    ),
    row(
        Event::Leaving,
        101,
        "leaving",
        Level::Info,
        "shutdown has begun: open connections",
    ),
    row(
        Event::Stopped,
        102,
        "stopped",
        Level::Info,
        "shutdown has ended: whether all work was done",
    ),
    row(
        Event::RevisionInForce,
        200,
        "revision_in_force",
        Level::Info,
        "an inventory took effect here: revision, models",
    ),
    row(
        Event::Published,
        201,
        "published",
        Level::Info,
        "a publication was accepted, or rejected since its base was outdated: revision, base",
    ),
    row(
        Event::Routed,
        300,
        "routed",
        Level::Info,
        "a request was routed to a runner: request, model, runner, score, others",
    ),
    row(
        Event::Refused,
        301,
        "refused",
        Level::Info,
        "a request was refused: request, kind, reason",
    ),
    row(
        Event::Resumed,
        302,
        "resumed",
        Level::Warn,
        "a broken stream continues on another runner: request, runner, token, cause",
    ),
    row(
        Event::Answered,
        303,
        "answered",
        Level::Debug,
        "a request ended: request, tokens, duration_ms",
    ),
    row(
        Event::Yielded,
        306,
        "yielded",
        Level::Info,
        "a batch request gave up its slot to urgent requests: request, runner, token",
    ),
    row(
        Event::CallRouted,
        304,
        "call_routed",
        Level::Info,
        "a call was routed to a plain service: request, service, backend_server",
    ),
    row(
        Event::GroupClaimed,
        400,
        "group_claimed",
        Level::Info,
        "a planner claimed leadership of a group: group, claim, accepted",
    ),
    row(
        Event::LoadPlaced,
        401,
        "load_placed",
        Level::Info,
        "a load was ordered: artifact, runner, reason, others",
    ),
    row(
        Event::UnloadPlaced,
        402,
        "unload_placed",
        Level::Info,
        "an unload was ordered: artifact, runner, reason",
    ),
    row(
        Event::OrderSettled,
        403,
        "order_settled",
        Level::Info,
        "an order ended: intent, runner, artifact, outcome, clean",
    ),
    row(
        Event::RunnerReset,
        404,
        "runner_reset",
        Level::Warn,
        "an engine restarted: runner, boot",
    ),
    row(
        Event::RunnerDown,
        405,
        "runner_down",
        Level::Warn,
        "a runner does not answer, so that its open loads were abandoned: runner",
    ),
    row(
        Event::CopyLost,
        406,
        "copy_lost",
        Level::Warn,
        "a runner lost a copy without an order to unload it: artifact, runner",
    ),
    row(
        Event::RunnerHealth,
        500,
        "runner_health",
        Level::Warn,
        "a runner stopped or resumed answering: runner, up",
    ),
    row(
        Event::PeerHealth,
        501,
        "peer_health",
        Level::Warn,
        "heartbeats from a peer stopped or resumed: vm, up",
    ),
    row(
        Event::RecordUnreadable,
        600,
        "record_unreadable",
        Level::Error,
        "a log record was skipped: stream, offset, error",
    ),
    row(
        Event::SnapshotMissing,
        601,
        "snapshot_missing",
        Level::Error,
        "log records expired and no snapshot covers them: stream, first",
    ),
    row(
        Event::SnapshotWritten,
        602,
        "snapshot_written",
        Level::Info,
        "a snapshot was appended: stream, offset",
    ),
    row(
        Event::StateTaken,
        603,
        "state_taken",
        Level::Warn,
        "the state was copied from a peer, since the log could not restore it: stream, offset",
    ),
    row(
        Event::RunnerCrashed,
        700,
        "runner_crashed",
        Level::Error,
        "a runner crashed with a request in flight: runner, boot, request, fingerprint",
    ),
];

impl Event {
    /// The catalogue entry of this event.
    ///
    /// ```
    /// use rattanjunction::Event;
    /// assert_eq!(Event::Routed.row().number, 300);
    /// ```
    pub fn row(self) -> &'static EventRow {
        EVENTS
            .iter()
            .find(|row| row.event == self)
            .expect("every event has a row in EVENTS")
    }
}

/// Logs an event with its fields and keeps it if it is a decision.
pub(crate) fn emit(event: Event, fields: fmt::Arguments<'_>) {
    let row = event.row();
    log::log!(row.level, "E{} {} {fields}", row.number, row.name);
    crate::recent_decisions::keep(event, fields);
}
