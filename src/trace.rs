//! One request's log lines from several VMs, in order, with what changed around it.

use crate::error::Fault;
use error_stack::{Report, ResultExt};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Lines about servers and models this long before the request's first line are shown: a
/// model that moved takes some seconds.
const BEFORE_MS: i64 = 10_000;

/// One line of a log.
#[derive(Debug)]
struct Line {
    /// The VM that wrote it: the text before the object, or the file's name.
    vm: String,
    /// Milliseconds since midnight.
    at_ms: i64,
    time: String,
    message: String,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// What the line is about beside the request.
    fn subjects(&self) -> impl Iterator<Item = &str> {
        ["server", "model"]
            .into_iter()
            .filter_map(|field| self.text(field))
            .filter(|subject| !subject.is_empty())
    }
}

/// The lines of a request, and of the servers and models that it met, oldest first.
///
/// # Errors
///
/// Fails when a file cannot be read or no line names the request.
pub(crate) fn trace(id: &str, files: &[PathBuf]) -> Result<String, Report<Fault>> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .change_context(Fault::Settings)
            .attach_with(|| format!("{} cannot be read", file.display()))?;
        lines.extend(text.lines().filter_map(|line| parse(line, file)));
    }
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    let of_request: Vec<&Line> = lines
        .iter()
        .filter(|line| line.text("request") == Some(id))
        .collect();
    let (Some(first), Some(last)) = (of_request.first(), of_request.last()) else {
        return Err(Report::new(Fault::Settings).attach(format!("no line names request {id}")));
    };
    let window = first.at_ms - BEFORE_MS..=last.at_ms;
    let subjects: BTreeSet<&str> = of_request.iter().flat_map(|it| it.subjects()).collect();
    let shown = lines.iter().filter(|line| {
        let is_around = line.text("request").is_none()
            && window.contains(&line.at_ms)
            && line.subjects().any(|subject| subjects.contains(subject));
        line.text("request") == Some(id) || is_around
    });
    let mut output = String::new();
    for line in shown {
        let mark = if line.text("request") == Some(id) {
            '*'
        } else {
            ' '
        };
        let _ = write!(output, "{mark} {} {} {}", line.time, line.vm, line.message);
        for (field, value) in &line.fields {
            if field != "request" {
                let _ = write!(output, " {field}={value}");
            }
        }
        output.push('\n');
    }
    Ok(output)
}

/// Reads a line: a JSON object, perhaps after a time and the VM's name.
fn parse(line: &str, file: &Path) -> Option<Line> {
    let begin = line.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(&line[begin..]).ok()?;
    let time = fields.remove("timestamp")?.as_str()?.to_owned();
    let message = fields.remove("message")?.as_str()?.to_owned();
    fields.remove("level");
    let before = line[..begin].split_whitespace().last();
    let name = file
        .file_stem()
        .map(|name| name.to_string_lossy().into_owned());
    Some(Line {
        vm: before.map(str::to_owned).or(name).unwrap_or_default(),
        at_ms: millis_of_day(&time)?,
        time,
        message,
        fields,
    })
}

/// The milliseconds since midnight of an RFC 3339 time.
fn millis_of_day(time: &str) -> Option<i64> {
    let (_, clock) = time.split_once('T')?;
    let mut parts = clock.trim_end_matches('Z').split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some((hours * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64)
}
