//! The control stream folded away from any VM: for operators who hold a copy of
//! its records, and for checks of the fold itself.

use crate::control::{Control, Verdict};
use crate::error::Fault;
use crate::external::Page;
use crate::replica::{Folded, Replica};
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

/// What became of one command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CommandVerdict {
    /// The command's fencing number.
    pub fence: u64,
    /// Whether it is in force from its place on.
    pub accepted: bool,
}

impl Replay {
    /// Folds one record; a repeat and a snapshot bring no verdicts.
    ///
    /// # Errors
    ///
    /// Fails when the record is not one of the control stream.
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
            .attach_with(|| format!("the record at offset {offset} cannot be read"))?;
        let Folded::Commands { verdicts, .. } = folded else {
            return Ok(Vec::new());
        };
        let judge = |(position, verdict): (crate::replica::Position, Verdict)| CommandVerdict {
            fence: position.fence,
            accepted: verdict == Verdict::Accepted,
        };
        Ok(verdicts.into_iter().map(judge).collect())
    }

    /// Folds a page as the log answers it, from its first snapshot if records are missing.
    ///
    /// # Errors
    ///
    /// Fails when the page or a record cannot be read, or nothing covers what is missing.
    pub fn fold_page(&mut self, page: &str) -> Result<(), Report<Fault>> {
        let page: Page = serde_json::from_str(page)
            .change_context(Fault::Settings)
            .attach("the file is not a page of the log: first, end, records")?;
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

    /// The folded state.
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

    /// Takes over a snapshot record that ends at or behind `first`; false if it is of no use.
    pub fn restore(&mut self, first: u64, data: &str) -> bool {
        self.replica.restore(first, data)
    }
}
