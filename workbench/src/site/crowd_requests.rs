//! Requests of clients that misbehave, and the answers of the servers behind them.

use super::events::{events, last_chunk, remaining_events_of};
use super::{HOST, ReceivedRequest, ScriptStep, signed_answer};
use std::time::Duration;

/// How long a server that does not answer keeps a connection.
const NO_ANSWER: Duration = Duration::from_secs(60);

/// Answers `/b/BYTES` with as many bytes, `/s/EVENTS/BYTES` with a stream, and `/wait/` never.
pub fn answer(request: &ReceivedRequest) -> Vec<ScriptStep> {
    let number = |place: usize| -> usize {
        let part = request.path.split('/').nth(place);
        part.and_then(|part| part.parse().ok()).unwrap_or(0)
    };
    let id = request.header("x-attempt-id");
    if request.path.starts_with("/wait/") {
        return vec![ScriptStep::Wait(NO_ANSWER), ScriptStep::Close];
    }
    if !request.path.starts_with("/s/") {
        let body = "b".repeat(number(2));
        return vec![ScriptStep::Write(signed_answer(id, 200, &body))];
    }
    let data = "e".repeat(number(3));
    match number(2) {
        // A stream that begins and goes on without an event.
        0 => [
            events(request, 1, 1, 0),
            vec![ScriptStep::Wait(NO_ANSWER), last_chunk()],
        ]
        .concat(),
        count => remaining_events_of(request, &data, count as u64, 0),
    }
}

/// The head of a request, with further header lines, without the empty line that ends it.
pub fn head(method: &str, path: &str, lines: &str) -> String {
    let id: u64 = rand::random();
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id:016x}\r\n{lines}")
}

/// A request without a body.
pub fn get(path: &str) -> String {
    head("GET", path, "\r\n")
}

/// A request for a stream.
pub fn ask_stream(events: u64, event_bytes: usize) -> String {
    let model = "X-Model: m0\r\nX-Token-Usage: 700,280\r\nX-Prompt-Prefix: 5c1e:100,91bd:600\r\n";
    let path = format!("/s/{events}/{event_bytes}");
    head(
        "POST",
        &path,
        &format!("{model}Content-Length: 5\r\n\r\nwrite"),
    )
}

/// A head that lacks its end.
pub fn endless_head(bytes: usize) -> String {
    head("GET", "/b/20", &format!("X-Long: {}", "h".repeat(bytes)))
}

/// A request that states a body and sends a part of it.
pub fn endless_body(stated_bytes: usize, sent_bytes: usize) -> String {
    let head = head(
        "POST",
        "/b/20",
        &format!("Content-Length: {stated_bytes}\r\n\r\n"),
    );
    head + &"b".repeat(sent_bytes)
}

/// A request whose body is in chunks and lacks its last one.
pub fn endless_chunks(bytes: usize) -> String {
    let head = head("POST", "/b/20", "Transfer-Encoding: chunked\r\n\r\n");
    let chunk = format!("400\r\n{}\r\n", "b".repeat(1_024));
    head + &chunk.repeat(bytes / 1_024)
}

/// A request for weights with a name of this length that no other request has, with hardly any time.
pub fn ask_for_unknown_weights(name_bytes: usize) -> String {
    let id: u64 = rand::random();
    let name = format!("{id:016x}{}", "n".repeat(name_bytes));
    let lines = format!("X-Model: m0/{name}\r\nX-Deadline-Ms: 20\r\n\r\n");
    head("GET", "/s/1/20", &lines)
}

/// A request that is refused at once, for a host that no other request names, with an id that is
/// longer by as much as stated.
pub fn ask_unknown_host(id_bytes: usize) -> String {
    let id: u64 = rand::random();
    let long_id = format!("{id:016x}{}", "i".repeat(id_bytes));
    format!("GET /b/20 HTTP/1.1\r\nHost: {id:016x}.example\r\nX-Attempt-Id: {long_id}\r\n\r\n")
}

/// A short stream for a prompt that shares no part with others.
pub fn ask_for_own_parts(parts: usize) -> String {
    let parts = (0..parts).map(|_| format!("{:x}:100", rand::random::<u64>()));
    let parts: Vec<String> = parts.collect();
    let parts = parts.join(",");
    let lines =
        format!("X-Model: m0\r\nX-Token-Usage: 700,280\r\nX-Prompt-Prefix: {parts}\r\n\r\n");
    head("GET", "/s/1/20", &lines)
}

/// A request that takes up a stream that no VM knows.
pub fn take_up_unknown_stream(id_bytes: usize) -> String {
    let id: u64 = rand::random();
    let long_id = format!("{id:016x}{}", "i".repeat(id_bytes));
    let lines = format!(
        "X-Model: m0\r\nLast-Event-Id: 3\r\nResumes: {long_id}\r\nX-Deadline-Ms: 100\r\n\r\n"
    );
    head("GET", "/s/5/20", &lines)
}
