//! The event stream that a scripted model runner sends.

use super::{ReceivedRequest, ScriptStep};
use std::time::Duration;

/// The response head and `count` events numbered from `first`, with a pause after each event.
/// The stream stays open until [`last_chunk`] is sent.
pub fn events(request: &ReceivedRequest, first: u64, count: u64, pause_ms: u64) -> Vec<ScriptStep> {
    let id = request.header("x-attempt-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: sig\r\n\
         X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let mut steps = vec![ScriptStep::Write(head.into_bytes())];
    for number in first..first + count {
        steps.push(ScriptStep::Write(chunk(&events_text(number, 1))));
        steps.push(ScriptStep::Wait(Duration::from_millis(pause_ms)));
    }
    steps
}

/// The response to a resume request: the events of a stream of `count` that follow the one named
/// in `Last-Event-Id`, and the end of the stream.
pub fn remaining_events(request: &ReceivedRequest, count: u64, pause_ms: u64) -> Vec<ScriptStep> {
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let mut steps = events(request, last + 1, count - last, pause_ms);
    steps.push(last_chunk());
    steps
}

/// Like [`remaining_events`], with the same data in each event.
pub fn remaining_events_of(
    request: &ReceivedRequest,
    data: &str,
    count: u64,
    pause_ms: u64,
) -> Vec<ScriptStep> {
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let mut steps = events(request, last + 1, 0, 0);
    for number in last + 1..=count {
        let event = format!("id: {number}\ndata: {data}\n\n");
        steps.push(ScriptStep::Write(chunk(&event)));
        steps.push(ScriptStep::Wait(Duration::from_millis(pause_ms)));
    }
    steps.push(last_chunk());
    steps
}

/// The zero-length chunk that completes a stream.
pub fn last_chunk() -> ScriptStep {
    ScriptStep::Write(b"0\r\n\r\n".to_vec())
}

/// The decoded body that a caller reads for `count` events numbered from `first`.
pub fn events_text(first: u64, count: u64) -> String {
    (first..first + count)
        .map(|number| format!("id: {number}\ndata: word{number}\n\n"))
        .collect()
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}
