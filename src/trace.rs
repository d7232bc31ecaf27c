//! Merges the log lines of one request from several VMs, together with the lines about its servers
//! and models.

use crate::error::Fault;
use error_stack::{Report, ResultExt};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// How long before the request's first line the lines about its servers and models are shown, in
/// milliseconds. Loading a model takes some seconds.
const CONTEXT_MS: i64 = 10_000;

/// A parsed log line.
#[derive(Debug)]
struct LogLine {
    /// The VM that wrote the line: the word before the JSON object, or else the file's name.
    vm: String,
    /// Milliseconds since midnight.
    at_ms: i64,
    time: String,
    message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// The server and the model that the line is about.
    fn subjects(&self) -> impl Iterator<Item = &str> {
        ["server", "model"]
            .into_iter()
            .filter_map(|field| self.text(field))
            .filter(|subject| !subject.is_empty())
    }
}

/// Returns the log lines of a request and the lines about its servers and models shortly before or
/// during it, oldest first. Lines of the request are marked with `*`.
///
/// # Errors
///
/// Fails if a file cannot be read or no line belongs to the request.
pub(crate) fn trace(id: &str, files: &[PathBuf]) -> Result<String, Report<Fault>> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .change_context(Fault::Settings)
            .attach_with(|| format!("{} cannot be read", file.display()))?;
        lines.extend(text.lines().filter_map(|line| parse(line, file)));
    }
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    let request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.text("request") == Some(id))
        .collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Err(
            Report::new(Fault::Settings).attach(format!("no log line belongs to request {id}"))
        );
    };
    let window = first.at_ms - CONTEXT_MS..=last.at_ms;
    let subjects: BTreeSet<&str> = request_lines.iter().flat_map(|it| it.subjects()).collect();
    let shown = lines.iter().filter(|line| {
        let is_context = line.text("request").is_none()
            && window.contains(&line.at_ms)
            && line.subjects().any(|subject| subjects.contains(subject));
        line.text("request") == Some(id) || is_context
    });
    let mut output = String::new();
    for line in shown {
        let marker = if line.text("request") == Some(id) {
            '*'
        } else {
            ' '
        };
        let _ = write!(
            output,
            "{marker} {} {} {}",
            line.time, line.vm, line.message
        );
        for (field, value) in &line.fields {
            if field != "request" {
                let _ = write!(output, " {field}={value}");
            }
        }
        output.push('\n');
    }
    Ok(output)
}

/// Parses a line: a JSON object, optionally after a timestamp and the VM's name; `None` for other
/// lines.
fn parse(line: &str, file: &Path) -> Option<LogLine> {
    let json_start = line.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(&line[json_start..]).ok()?;
    let time = fields.remove("timestamp")?.as_str()?.to_owned();
    let message = fields.remove("message")?.as_str()?.to_owned();
    fields.remove("level");
    let vm = line[..json_start].split_whitespace().last();
    let file_name = file
        .file_stem()
        .map(|name| name.to_string_lossy().into_owned());
    Some(LogLine {
        vm: vm.map(str::to_owned).or(file_name).unwrap_or_default(),
        at_ms: millis_of_day(&time)?,
        time,
        message,
        fields,
    })
}

/// Returns the milliseconds since midnight of an RFC 3339 time in UTC.
fn millis_of_day(time: &str) -> Option<i64> {
    let (_, clock) = time.split_once('T')?;
    let mut parts = clock.trim_end_matches('Z').split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64)
}
