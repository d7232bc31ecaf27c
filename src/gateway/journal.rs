//! Log output of the process: one JSON object per line on standard output.
//!
//! Lines are buffered up to a limit and written by a thread of their own, so logging never blocks.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of buffered bytes. Lines that exceed it are dropped and counted.
const MAX_PENDING_BYTES: usize = 256 * 1024;
/// Time between two writes, so that one system call writes many lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Lines that are not written yet, and the number of lines dropped since the last write.
#[derive(Debug, Default)]
struct PendingLines {
    lines: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

/// Handle to the buffer of the process's log, which makes the writers of log lines.
#[derive(Clone, Debug, Default)]
pub(crate) struct BufferedLog(Arc<PendingLines>);

/// Appends one log line to the buffer.
#[derive(Debug)]
pub(crate) struct LineWriter<'a>(&'a PendingLines);

impl Write for LineWriter<'_> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut lines = self.0.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() + line.len() > MAX_PENDING_BYTES {
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
    /// Installs the log subscriber of the process and starts the thread that writes the lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(crate) fn start() -> io::Result<Self> {
        let log = Self::default();
        tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_writer(log.clone())
            .init();
        log_panics();
        let writer = log.clone();
        std::thread::Builder::new()
            .name("journal".into())
            .stack_size(64 * 1024)
            .spawn(move || {
                loop {
                    std::thread::sleep(FLUSH_INTERVAL);
                    writer.flush();
                }
            })?;
        Ok(log)
    }

    /// Writes the buffered lines. Called only by the writing thread and at the end of the process.
    pub(crate) fn flush(&self) {
        // Locked first, so that lines which the other thread has taken are written when this returns.
        let mut output = io::stdout().lock();
        let lines =
            std::mem::take(&mut *self.0.lines.lock().unwrap_or_else(PoisonError::into_inner));
        let dropped = self.0.dropped.swap(0, Ordering::Relaxed);
        // If standard output is closed, there is nowhere to report the error.
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

/// Logs each panic: the runtime ends the task alone, and nothing else tells of it.
fn log_panics() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let location = panic.location().map(ToString::to_string);
        let reason = panic.payload_as_str();
        tracing::error!(location, reason, "task panicked");
        report(panic);
    }));
}
