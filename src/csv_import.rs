//! Inventories from an asset register, in CSV.
//!
//! Columns are the fields of the inventory by name, in any order; those with a
//! default may be left out or empty. A model's adapters are rows of their own,
//! with the model's name in `model` and the adapter's in `name`.

use crate::error::Fault;
use crate::inventory::{Adapter, BackendServer, Inventory, Model, Name};
use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::path::Path;

/// Takes the servers of a register into an inventory, in place of those it had.
///
/// # Errors
///
/// Fails with a line for each row that cannot be read.
pub(crate) fn import_servers(inventory: &mut Inventory, path: &Path) -> Result<(), Report<Fault>> {
    inventory.backend_servers = rows(path, read_row::<BackendServer>)?;
    Ok(())
}

/// Takes the models of a register into an inventory, in place of those it had.
///
/// # Errors
///
/// Fails with a line for each row that cannot be read.
pub(crate) fn import_models(inventory: &mut Inventory, path: &Path) -> Result<(), Report<Fault>> {
    enum Row {
        Model(Model),
        Adapter(Name, Adapter),
    }
    let rows = rows(path, |mut fields| match fields.remove("model") {
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
                "{}: adapter {} is of model {name}, which is not listed",
                path.display(),
                adapter.name
            );
            return Err(Report::new(Fault::Settings).attach(message));
        };
        model.adapters.push(adapter);
    }
    Ok(())
}

fn read_row<T: DeserializeOwned>(fields: Map<String, Value>) -> Result<T, String> {
    serde_path_to_error::deserialize(Value::Object(fields)).map_err(|error| {
        let path = error.path().to_string();
        format!("{path}: {}", error.into_inner())
    })
}

fn rows<T>(
    path: &Path,
    read: impl Fn(Map<String, Value>) -> Result<T, String>,
) -> Result<Vec<T>, Report<Fault>> {
    let mut file = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .from_path(path)
        .change_context(Fault::Settings)
        .attach_with(|| format!("{} cannot be read", path.display()))?;
    let names = file.headers().change_context(Fault::Settings)?.clone();
    let mut rows = Vec::new();
    let mut problems = Vec::new();
    for record in file.records() {
        let outcome = match &record {
            Ok(record) => read(fields(&names, record)),
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

/// The fields of a row that are not empty, as JSON.
fn fields(names: &csv::StringRecord, record: &csv::StringRecord) -> Map<String, Value> {
    let pairs = names.iter().zip(record.iter());
    pairs
        .filter(|(_, text)| !text.is_empty())
        .map(|(name, text)| (name.to_owned(), typed(name, text)))
        .collect()
}

/// Numbers and truth values by the field's name; everything else is text.
fn typed(name: &str, text: &str) -> Value {
    let counts = name.ends_with("_mib") || ["slots", "min_replicas"].contains(&name);
    let flag = ["checks_fencing", "leaving"].contains(&name);
    if counts || flag {
        return serde_json::from_str(text).unwrap_or_else(|_| text.into());
    }
    text.into()
}
