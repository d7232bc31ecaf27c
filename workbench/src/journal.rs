//! What a stand-in was asked and did: in memory, and in a file that outlives it.

use serde_json::{Value, json};
use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since the epoch.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// A journal of JSON lines.
#[derive(Debug)]
pub struct Journal {
    file: Option<RefCell<File>>,
    lines: RefCell<Vec<Value>>,
}

impl Journal {
    /// Opens a journal; a file is continued.
    ///
    /// # Panics
    ///
    /// Panics when the file cannot be opened.
    pub fn open(path: Option<&Path>) -> Self {
        let file = path.map(|path| {
            let file = OpenOptions::new()
                .append(true)
                .create(true)
                .open(path)
                .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
            RefCell::new(file)
        });
        Self {
            file,
            lines: RefCell::default(),
        }
    }

    /// Notes something; `at_ms` is added.
    pub fn note(&self, kind: &str, mut fields: Value) {
        fields["at_ms"] = json!(now_ms());
        fields["kind"] = json!(kind);
        if let Some(file) = &self.file {
            writeln!(file.borrow_mut(), "{fields}").expect("the journal's disk is not full");
        }
        self.lines.borrow_mut().push(fields);
    }

    /// Everything noted by this process.
    pub fn lines(&self) -> Vec<Value> {
        self.lines.borrow().clone()
    }
}

/// Reads a journal's file; a torn last line is left out.
pub fn read(path: &Path) -> Vec<Value> {
    std::fs::read_to_string(path)
        .unwrap_or_default()
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect()
}
