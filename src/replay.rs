//! Offline replay of the control stream, for operators who have a copy of its records and for
//! tests of the fold.

use crate::control::{Control, Verdict};
use crate::error::Fault;
use crate::external::Page;
use crate::replica::{FoldOutcome, Replica};
use error_stack::{Report, ResultExt};
use serde_json::{Value, json};

/// The control stream's state, folded record by record.
///
/// ```
/// use rattanjunction::Replay;
/// let mut replay = Replay::default();
/// let record = r#"{"Commands": {"writer": "a/1", "sequence": 1, "commands": [
///     {"Claim": {"group": "main", "vm": "a", "after": 0}}]}}"#;
/// let verdicts = replay.fold(0, 1_000, record).expect("the record is readable");
/// assert!(verdicts[0].accepted);
/// ```
#[derive(Debug, Default)]
pub struct Replay {
    replica: Replica<Control>,
}

/// The fold's decision on one command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CommandVerdict {
    /// The command's fencing token.
    pub fence: u64,
    /// Whether the command takes effect.
    pub accepted: bool,
}

impl Replay {
    /// Folds one record and returns the verdict of each command. Records that contain no commands,
    /// or that repeat earlier ones, yield no verdicts.
    ///
    /// # Errors
    ///
    /// Fails when the record is not an envelope of the control stream.
    pub fn fold(
        &mut self,
        offset: u64,
        at_ms: u64,
        data: &str,
    ) -> Result<Vec<CommandVerdict>, Report<Fault>> {
        let folded = self
            .replica
            .fold_record(offset, at_ms, data)
            .change_context(Fault::Settings)
            .attach_with(|| format!("the record at offset {offset} cannot be parsed"))?;
        let FoldOutcome::Commands { verdicts, .. } = folded else {
            return Ok(Vec::new());
        };
        let to_command_verdict =
            |(position, verdict): (crate::replica::Position, Verdict)| CommandVerdict {
                fence: position.fence,
                accepted: verdict == Verdict::Accepted,
            };
        Ok(verdicts.into_iter().map(to_command_verdict).collect())
    }

    /// Folds a page as the log returns it, from its first usable snapshot if earlier records are
    /// missing.
    ///
    /// # Errors
    ///
    /// Fails when the page or a record cannot be parsed, or no snapshot covers the missing
    /// records.
    pub fn fold_page(&mut self, page: &str) -> Result<(), Report<Fault>> {
        let page: Page = serde_json::from_str(page)
            .change_context(Fault::Settings)
            .attach("the file is not a log page with the fields first, end and records")?;
        if page.first > self.replica.next_offset() {
            let covered = page
                .records
                .iter()
                .any(|record| self.replica.restore(page.first, record.data.get()));
            if !covered {
                return Err(Report::new(Fault::Settings).attach(format!(
                    "records before offset {} are missing, and no snapshot covers them",
                    page.first
                )));
            }
        }
        for record in page.records {
            if record.offset >= self.replica.next_offset() {
                self.fold(record.offset, record.at_ms, record.data.get())?;
            }
        }
        Ok(())
    }

    /// The next offset and the folded state, as JSON.
    pub fn state(&self) -> Value {
        json!({
            "next_offset": self.replica.next_offset(),
            "state": &self.replica.fold,
        })
    }

    /// The state as a snapshot record.
    pub fn snapshot(&self) -> String {
        String::from_utf8(self.replica.snapshot()).expect("JSON is UTF-8")
    }

    /// Restores a snapshot record that ends at or after `first` and is not behind the folded state;
    /// false if the record is not usable.
    pub fn restore(&mut self, first: u64, data: &str) -> bool {
        self.replica.restore(first, data)
    }
}
