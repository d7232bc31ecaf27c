//! How much of a request its connection has taken.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// How far the writing of a request has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Stage {
    /// Parts of the request are not written yet.
    #[default]
    Unfinished,
    /// The kernel has taken the whole request.
    Written,
    /// A write failed.
    Failed(io::ErrorKind),
}

#[derive(Debug, Default)]
struct SharedUpload {
    stage: Cell<Stage>,
    /// At least this many bytes of the request have not been passed to the stream.
    unsent_bytes: Cell<u64>,
    waker: RefCell<Option<Waker>>,
}

/// The request that a connection carries, as far as it is written. The kernel reports a reset only
/// once: a read that follows a write which failed for it looks like a regular end.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upload(Rc<SharedUpload>);

impl Upload {
    /// Begins a request whose body has at least `body_bytes`. A failure stays: the connection carries
    /// no further request.
    pub(crate) fn begin(&self, body_bytes: u64) {
        self.0.unsent_bytes.set(body_bytes.saturating_add(1));
        self.set_unless_failed(Stage::Unfinished);
    }

    /// Records bytes that were passed to the stream.
    pub(crate) fn note_written(&self, bytes: usize) {
        let unsent_bytes = self.0.unsent_bytes.get().saturating_sub(bytes as u64);
        self.0.unsent_bytes.set(unsent_bytes);
        if bytes > 0 {
            self.set_unless_failed(Stage::Unfinished);
        }
    }

    /// Records that the kernel has taken all bytes that were passed to the stream.
    pub(crate) fn note_flushed(&self) {
        if self.0.unsent_bytes.get() == 0 {
            self.set_unless_failed(Stage::Written);
        }
    }

    /// Records that a write failed.
    pub(crate) fn note_failed(&self, kind: io::ErrorKind) {
        self.set_unless_failed(Stage::Failed(kind));
    }

    /// Records that nothing more is written.
    pub(crate) fn note_closed(&self) {
        if self.0.stage.get() == Stage::Unfinished {
            self.note_failed(io::ErrorKind::BrokenPipe);
        }
    }

    /// How the first write that failed did so.
    pub(crate) fn failure(&self) -> Option<io::ErrorKind> {
        match self.0.stage.get() {
            Stage::Failed(kind) => Some(kind),
            Stage::Unfinished | Stage::Written => None,
        }
    }

    /// Waits until the request is written.
    ///
    /// # Errors
    ///
    /// Fails if a write failed.
    pub(crate) fn poll_written(&self, cx: &Context<'_>) -> Poll<Result<(), io::ErrorKind>> {
        match self.0.stage.get() {
            Stage::Written => Poll::Ready(Ok(())),
            Stage::Failed(kind) => Poll::Ready(Err(kind)),
            Stage::Unfinished => {
                self.0.waker.replace(Some(cx.waker().clone()));
                Poll::Pending
            }
        }
    }

    fn set_unless_failed(&self, stage: Stage) {
        if self.failure().is_some() {
            return;
        }
        self.0.stage.set(stage);
        let waker = match stage {
            Stage::Unfinished => None,
            Stage::Written | Stage::Failed(_) => self.0.waker.take(),
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}
