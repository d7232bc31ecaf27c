//! Numbered log events: one line for each decision, one row for each number.

use log::Level;
use std::fmt;

/// Everything that is logged.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// The process serves.
    Started,
    /// The process is leaving.
    Leaving,
    /// The process has ended its work.
    Stopped,
    /// A revision is in force on this VM.
    RevisionInForce,
    /// An operator's publication was accepted or lost.
    Published,
    /// A request was given to a runner.
    Routed,
    /// A request was refused.
    Refused,
    /// A request goes on on another runner.
    Resumed,
    /// A batch request gave its slot to urgent ones.
    Yielded,
    /// A request ended.
    Answered,
    /// A call was given to a plain service.
    CallRouted,
    /// A group of runners was taken over, or the try failed.
    GroupClaimed,
    /// A load was decided.
    LoadPlaced,
    /// An unload was decided.
    UnloadPlaced,
    /// An order was settled.
    OrderSettled,
    /// An engine started anew.
    RunnerReset,
    /// A runner's orders were given up, since it does not answer.
    RunnerDown,
    /// A runner does not hold a copy any more that nothing of ours unloaded.
    CopyLost,
    /// A runner is not answering, or answers again.
    RunnerHealth,
    /// A peer is not heard, or is heard again.
    PeerHealth,
    /// A record of the log could not be read.
    RecordUnreadable,
    /// Records were lost to retention, and no snapshot covers them.
    SnapshotMissing,
    /// A snapshot was written.
    SnapshotWritten,
    /// A peer's state was taken over, since the log did not help.
    StateTaken,
    /// A runner crashed with requests aboard.
    RunnerCrashed,
}

/// One row of the catalogue.
#[derive(Clone, Copy, Debug)]
pub struct EventRow {
    /// The event.
    pub event: Event,
    /// Its number, which never changes.
    pub number: u16,
    /// Its name in the log.
    pub name: &'static str,
    /// Its level.
    pub level: Level,
    /// What it says, with its fields.
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

/// The catalogue; docs/EVENTS.md shows the same.
pub const EVENTS: &[EventRow] = &[
    row(
        Event::Started,
        100,
        "started",
        Level::Info,
        "the VM serves: vm, addresses",
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
        "a publication was accepted or lost to another: revision, base",
    ),
    row(
        Event::Routed,
        300,
        "routed",
        Level::Info,
        "a request goes to a runner: request, model, runner, score, others",
    ),
    row(
        Event::Refused,
        301,
        "refused",
        Level::Info,
        "a request is refused: request, kind, reason",
    ),
    row(
        Event::Resumed,
        302,
        "resumed",
        Level::Warn,
        "a stream broke and goes on elsewhere: request, runner, token, cause",
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
        "a batch request gives its slot to urgent ones: request, runner, token",
    ),
    row(
        Event::CallRouted,
        304,
        "call_routed",
        Level::Info,
        "a call goes to a plain service: request, service, backend_server",
    ),
    row(
        Event::GroupClaimed,
        400,
        "group_claimed",
        Level::Info,
        "a planner takes a group: group, claim, accepted",
    ),
    row(
        Event::LoadPlaced,
        401,
        "load_placed",
        Level::Info,
        "a load is ordered: artifact, runner, reason, others",
    ),
    row(
        Event::UnloadPlaced,
        402,
        "unload_placed",
        Level::Info,
        "an unload is ordered: artifact, runner, reason",
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
        "an engine started anew: runner, boot",
    ),
    row(
        Event::RunnerDown,
        405,
        "runner_down",
        Level::Warn,
        "a runner does not answer, its open loads are given up: runner",
    ),
    row(
        Event::CopyLost,
        406,
        "copy_lost",
        Level::Warn,
        "a runner lost a copy that was not to be unloaded: artifact, runner",
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
        "a peer stopped or resumed being heard: vm, up",
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
        "records were lost to retention: stream, first",
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
        "the state was taken from a peer, since the log did not help: stream, offset",
    ),
    row(
        Event::RunnerCrashed,
        700,
        "runner_crashed",
        Level::Error,
        "a runner crashed with a request aboard: runner, boot, request, fingerprint",
    ),
];

impl Event {
    /// The event's row of the catalogue.
    ///
    /// ```
    /// use rattanjunction::Event;
    /// assert_eq!(Event::Routed.row().number, 300);
    /// ```
    pub fn row(self) -> &'static EventRow {
        EVENTS
            .iter()
            .find(|row| row.event == self)
            .expect("every event has a row, as tests/catalogues.rs shows")
    }
}

/// Logs an event with its fields.
pub(crate) fn emit(event: Event, fields: fmt::Arguments<'_>) {
    let row = event.row();
    log::log!(row.level, "E{} {} {fields}", row.number, row.name);
    crate::recent_decisions::keep(event, fields);
}
