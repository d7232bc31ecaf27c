//! The stream that a scripted model runner sends.

use super::{ReceivedRequest, ScriptStep};
use std::time::Duration;

/// The head of a stream and events from `first` on, `count` in all, with a pause after each.
pub fn events(call: &ReceivedRequest, first: u64, count: u64, pause_ms: u64) -> Vec<ScriptStep> {
    let id = call.header("x-attempt-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: sig\r\n\
         X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let mut acts = vec![ScriptStep::Write(head.into_bytes())];
    for number in first..first + count {
        acts.push(ScriptStep::Write(chunk(&text(number, 1))));
        acts.push(ScriptStep::Wait(Duration::from_millis(pause_ms)));
    }
    acts
}

/// What is left of a stream of `count` events after the last one that the caller names.
pub fn remaining_events(call: &ReceivedRequest, count: u64, pause_ms: u64) -> Vec<ScriptStep> {
    let last: u64 = call.header("last-event-id").parse().unwrap_or(0);
    let mut acts = events(call, last + 1, count - last, pause_ms);
    acts.push(last_chunk());
    acts
}

/// The end of a whole stream.
pub fn last_chunk() -> ScriptStep {
    ScriptStep::Write(b"0\r\n\r\n".to_vec())
}

/// The events as their caller reads them.
pub fn text(first: u64, count: u64) -> String {
    (first..first + count)
        .map(|number| format!("id: {number}\ndata: word{number}\n\n"))
        .collect()
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}
