//! Imports backend servers and models from an asset register in CSV.
//!
//! Columns are named after the fields of the inventory and come in any order; a column or cell may
//! be left out or empty if the field has a default. Each adapter has a row of its own, with the
//! model's name in `model` and the adapter's in `name`.

use crate::error::Fault;
use crate::inventory::{Adapter, BackendServer, Inventory, Model, Name};
use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::path::Path;

/// Replaces the backend servers of an inventory by those of a CSV file.
///
/// # Errors
///
/// Fails if the file cannot be read, or with a line for each invalid row.
pub(crate) fn import_servers(inventory: &mut Inventory, path: &Path) -> Result<(), Report<Fault>> {
    inventory.backend_servers = read_rows(path, read_row::<BackendServer>)?;
    Ok(())
}

/// Replaces the models of an inventory by those of a CSV file.
///
/// # Errors
///
/// Fails if the file cannot be read, with a line for each invalid row, or for an adapter whose
/// model is not listed.
pub(crate) fn import_models(inventory: &mut Inventory, path: &Path) -> Result<(), Report<Fault>> {
    enum Row {
        Model(Model),
        Adapter(Name, Adapter),
    }
    let rows = read_rows(path, |mut fields| match fields.remove("model") {
        Some(Value::String(model)) => {
            read_row(fields).map(|adapter| Row::Adapter(model.into(), adapter))
        }
        _ => read_row(fields).map(Row::Model),
    })?;
    inventory.models.clear();
    let mut adapters = Vec::new();
    for row in rows {
        match row {
            Row::Model(model) => inventory.models.push(model),
            Row::Adapter(model, adapter) => adapters.push((model, adapter)),
        }
    }
    for (name, adapter) in adapters {
        let model = inventory.models.iter_mut().find(|model| model.name == name);
        let Some(model) = model else {
            let message = format!(
                "{}: adapter {} belongs to model {name}, which is not listed",
                path.display(),
                adapter.name
            );
            return Err(Report::new(Fault::Settings).attach(message));
        };
        model.adapters.push(adapter);
    }
    Ok(())
}

/// Deserializes one row; the error names the field.
fn read_row<T: DeserializeOwned>(fields: Map<String, Value>) -> Result<T, String> {
    serde_path_to_error::deserialize(Value::Object(fields)).map_err(|error| {
        let path = error.path().to_string();
        format!("{path}: {}", error.into_inner())
    })
}

/// Reads every row of a CSV file with `read`, or reports all rows that fail.
fn read_rows<T>(
    path: &Path,
    read: impl Fn(Map<String, Value>) -> Result<T, String>,
) -> Result<Vec<T>, Report<Fault>> {
    let mut file = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .from_path(path)
        .change_context(Fault::Settings)
        .attach_with(|| format!("{} cannot be read", path.display()))?;
    let headers = file.headers().change_context(Fault::Settings)?.clone();
    let mut rows = Vec::new();
    let mut problems = Vec::new();
    for record in file.records() {
        let outcome = match &record {
            Ok(record) => read(row_fields(&headers, record)),
            Err(error) => Err(error.to_string()),
        };
        let position = record.ok().and_then(|record| record.position().cloned());
        let line = position.map_or(0, |position| position.line());
        match outcome {
            Ok(row) => rows.push(row),
            Err(problem) => problems.push(format!("{}:{line}: {problem}", path.display())),
        }
    }
    if problems.is_empty() {
        return Ok(rows);
    }
    Err(Report::new(Fault::Settings).attach(problems.join("\n  ")))
}

/// Converts the cells of a row that are not empty to JSON values.
fn row_fields(headers: &csv::StringRecord, record: &csv::StringRecord) -> Map<String, Value> {
    let pairs = headers.iter().zip(record.iter());
    pairs
        .filter(|(_, text)| !text.is_empty())
        .map(|(name, text)| (name.to_owned(), parse_cell(name, text)))
        .collect()
}

/// Converts a cell to JSON. Columns for numbers and Booleans are known by their names; a cell that
/// does not parse, and every other column, becomes a string.
fn parse_cell(name: &str, text: &str) -> Value {
    let is_number = name.ends_with("_mib") || ["slots", "min_replicas"].contains(&name);
    let is_bool = ["checks_fencing", "leaving"].contains(&name);
    if is_number || is_bool {
        return serde_json::from_str(text).unwrap_or_else(|_| text.into());
    }
    text.into()
}
