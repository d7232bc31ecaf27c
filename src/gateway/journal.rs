//! The process's log: one JSON object a line on standard output, bounded and never waited for.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

/// Bytes of lines that wait to be written at most; what comes then is dropped and counted.
const MAX_WAITING_BYTES: usize = 256 * 1024;
/// The time between two writes: one system call for many lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct Waiting {
    lines: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

/// Makes the writers of log lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct BufferedLog(Arc<Waiting>);

/// Takes one line.
#[derive(Debug)]
pub(crate) struct LineWriter<'a>(&'a Waiting);

impl Write for LineWriter<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut lines = self.0.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() + line.len() > MAX_WAITING_BYTES {
            self.0.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            lines.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for BufferedLog {
    type Writer = LineWriter<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        LineWriter(&self.0)
    }
}

impl BufferedLog {
    /// Starts the log of this process.
    ///
    /// # Errors
    ///
    /// Fails when the thread that writes cannot be started.
    pub(crate) fn start() -> io::Result<Self> {
        let journal = Self::default();
        tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_writer(journal.clone())
            .init();
        let writer = journal.clone();
        std::thread::Builder::new()
            .name("journal".into())
            .stack_size(64 * 1024)
            .spawn(move || {
                loop {
                    std::thread::sleep(FLUSH_INTERVAL);
                    writer.flush();
                }
            })?;
        Ok(journal)
    }

    /// Writes what waits; only the writing thread and the end of the process call this.
    pub(crate) fn flush(&self) {
        let lines =
            std::mem::take(&mut *self.0.lines.lock().unwrap_or_else(PoisonError::into_inner));
        let dropped = self.0.dropped.swap(0, Ordering::Relaxed);
        let mut output = io::stdout().lock();
        // Where standard output is closed there is nobody left to tell.
        let _ = output.write_all(&lines);
        if dropped > 0 {
            let _ = writeln!(
                output,
                r#"{{"level":"WARN","message":"log lines dropped","lines":{dropped}}}"#
            );
        }
        let _ = output.flush();
    }
}
