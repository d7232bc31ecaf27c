//! Validation of JSON files that reports every problem at once, each with its field and line.
//!
//! The deserializer stops at the first error. The invalid part is therefore replaced by a valid
//! placeholder and the document deserialized again, until no error is left.

use crate::error::Fault;
use crate::inventory::Problem;
use crate::reference::FIELDS;
use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::path::Path;

/// The maximum number of deserialization errors reported for one file.
const MAX_PROBLEMS: usize = 100;

/// Reads a JSON file and validates it with `validate`.
///
/// # Errors
///
/// Fails if the file cannot be read or is not valid; the report has a line for each problem.
pub(crate) fn load<T: DeserializeOwned>(
    path: &Path,
    validate: impl Fn(&T) -> Vec<Problem>,
) -> Result<T, Report<Fault>> {
    let text = std::fs::read_to_string(path)
        .change_context(Fault::Settings)
        .attach_with(|| format!("{} cannot be read", path.display()))?;
    parse(&text, validate).map_err(|problems| {
        let lines: Vec<String> = problems
            .iter()
            .map(|problem| {
                let line = line_of_field(&text, &problem.field);
                format!("{}:{line}: {problem}", path.display())
            })
            .collect();
        Report::new(Fault::Settings).attach(lines.join("\n  "))
    })
}

/// Deserializes and validates a JSON text, or returns every problem with it.
fn parse<T: DeserializeOwned>(
    text: &str,
    validate: impl Fn(&T) -> Vec<Problem>,
) -> Result<T, Vec<Problem>> {
    let mut value: Value =
        serde_json::from_str(text).map_err(|error| vec![Problem::new("", error.to_string())])?;
    let mut problems = Vec::new();
    while problems.len() < MAX_PROBLEMS {
        let error = match serde_path_to_error::deserialize(value.clone()) {
            Ok(parsed) if problems.is_empty() => {
                problems = validate(&parsed);
                return if problems.is_empty() {
                    Ok(parsed)
                } else {
                    Err(problems)
                };
            }
            Ok(_) => break,
            Err(error) => error,
        };
        let path = error.path().to_string();
        let path = if path == "." { String::new() } else { path };
        let message = error.into_inner().to_string();
        // With this error out of the way, the next pass finds the next one.
        let repaired = repair(&mut value, &path, &message);
        problems.push(Problem::new(repaired.as_deref().unwrap_or(&path), message));
        if repaired.is_none() {
            break;
        }
    }
    Err(problems)
}

/// Replaces the part of `value` that caused an error by a valid one and returns the path of the
/// field; `None` if that is not possible. The kind of error is known from serde's message.
fn repair(value: &mut Value, path: &str, message: &str) -> Option<String> {
    let quoted = message.split('`').nth(1);
    if message.starts_with("missing field") {
        let object = value_at(value, path)?.as_object_mut()?;
        object.insert(quoted?.to_owned(), placeholder(quoted?)?);
        return Some(path.to_owned());
    }
    if message.starts_with("unknown field") {
        let parent = path.strip_suffix(quoted?).unwrap_or(path);
        let parent = parent.trim_end_matches('.');
        let object = value_at(value, parent)?.as_object_mut()?;
        object.remove(quoted?)?;
        return Some(join(parent, quoted?));
    }
    let last = path.rsplit('.').next()?;
    let field = last.split('[').next()?;
    let replaced = if last.ends_with(']') && field_is_list_of_objects(field) {
        Value::Object(serde_json::Map::new())
    } else {
        placeholder(field).filter(|_| !last.ends_with(']'))?
    };
    *value_at(value, path)? = replaced;
    Some(path.to_owned())
}

/// Whether the elements of a list field are objects.
fn field_is_list_of_objects(field: &str) -> bool {
    let row = FIELDS.iter().find(|row| row.field == field);
    row.is_some_and(|row| row.allowed.starts_with("list of") && !row.allowed.contains("name"))
}

fn join(parent: &str, field: &str) -> String {
    if parent.is_empty() {
        field.to_owned()
    } else {
        format!("{parent}.{field}")
    }
}

/// Returns a valid value for a field.
fn placeholder(field: &str) -> Option<Value> {
    let row = FIELDS.iter().find(|row| row.field == field)?;
    if !row.default.is_empty() {
        return serde_json::from_str(row.default).ok();
    }
    Some(match row.allowed {
        allowed if allowed.starts_with("IP") => "127.0.0.1:1".into(),
        allowed if allowed.starts_with("MiB") => 1.into(),
        allowed if allowed.starts_with("list") => Value::Array(Vec::new()),
        allowed if allowed.starts_with("runner") => "runner".into(),
        _ => "text".into(),
    })
}

/// One segment of a field path: a field name or a list index.
enum Segment<'a> {
    Field(&'a str),
    Index(usize),
}

/// Splits a path such as `models[3].name`.
fn segments(path: &str) -> impl Iterator<Item = Segment<'_>> {
    path.split(['.', '['])
        .filter(|part| !part.is_empty())
        .map(|part| {
            part.strip_suffix(']')
                .and_then(|index| index.parse().ok())
                .map_or(Segment::Field(part), Segment::Index)
        })
}

/// Returns the value at a path.
fn value_at<'a>(value: &'a mut Value, path: &str) -> Option<&'a mut Value> {
    segments(path).try_fold(value, |value, segment| match segment {
        Segment::Field(field) => value.get_mut(field),
        Segment::Index(index) => value.get_mut(index),
    })
}

/// Returns the line on which a field's value begins, or that of the nearest enclosing value if the
/// field is missing. Lines are counted from 1; for malformed JSON it is the line of the error.
fn line_of_field(text: &str, path: &str) -> usize {
    let Ok(mut raw) = serde_json::from_str::<&RawValue>(text) else {
        let error = serde_json::from_str::<Value>(text).err();
        return error.map_or(1, |error| error.line());
    };
    for segment in segments(path) {
        let inner = match segment {
            Segment::Field(field) => serde_json::from_str::<BTreeMap<String, &RawValue>>(raw.get())
                .ok()
                .and_then(|fields| fields.get(field).copied()),
            Segment::Index(index) => serde_json::from_str::<Vec<&RawValue>>(raw.get())
                .ok()
                .and_then(|items| items.get(index).copied()),
        };
        let Some(inner) = inner else { break };
        raw = inner;
    }
    let offset = raw.get().as_ptr() as usize - text.as_ptr() as usize;
    1 + text[..offset].matches('\n').count()
}
