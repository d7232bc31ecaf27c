//! The time for which a client's connection may be idle, which may change while it is.

use crate::head_progress::{AwaitedHead, HeadProgress, Unread};
use cyper_core::CompioTimer;
use hyper::rt::{Sleep, Timer};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// How long a client may take for a request head that it has begun to send.
const MAX_HEAD_TIME: Duration = Duration::from_secs(10);
/// How long bytes that lie in the socket take to be read.
const READ_DELAY: Duration = Duration::from_millis(1);

/// How long a client may be idle or take to send a request head, shared by all connections.
#[derive(Clone, Debug)]
pub(crate) struct IdleTimeout(Arc<AtomicU64>);

impl IdleTimeout {
    /// Creates a timeout of this length.
    pub(crate) fn new(timeout: Duration) -> Self {
        let shared = Self(Arc::default());
        shared.set(timeout);
        shared
    }

    /// Changes the timeout. Connections that are idle already are not closed sooner for it.
    pub(crate) fn set(&self, timeout: Duration) {
        let millis = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        self.0.store(millis, Ordering::Relaxed);
    }

    /// The timeout at present.
    pub(crate) fn get(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// The timer of a connection. `hyper` sets it only for the next request head, with the timeout that
/// held when the connection was opened; it ends by the timeout that holds when it is due, and never
/// while the client has sent something that was not read.
#[derive(Clone, Debug)]
pub(crate) struct IdleTimer {
    timeout: IdleTimeout,
    head: HeadProgress,
}

impl IdleTimer {
    /// Creates the timer of a connection that waits for request heads.
    pub(crate) fn new(timeout: IdleTimeout, head: HeadProgress) -> Self {
        Self { timeout, head }
    }
}

/// A sleep that goes on while the timeout grows or a head arrives.
struct IdleSleep {
    began: Instant,
    timer: IdleTimer,
    sleep: Pin<Box<dyn Sleep>>,
    _awaited: AwaitedHead,
}

impl IdleSleep {
    fn new(began: Instant, timer: IdleTimer) -> Self {
        let sleep = CompioTimer.sleep_until(began + timer.timeout.get());
        Self {
            began,
            sleep,
            _awaited: timer.head.await_head(),
            timer,
        }
    }

    /// When the connection is to be closed, by what is known now.
    fn due(&self) -> Instant {
        let idle_until = self.began + self.timer.timeout.get();
        let first_byte_at = self.timer.head.first_byte_at();
        first_byte_at.map_or(idle_until, |at| idle_until.max(at + MAX_HEAD_TIME))
    }
}

impl Future for IdleSleep {
    type Output = ();

    /// `hyper` calls this only after a read that had to wait.
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = self.get_mut();
        loop {
            if this.sleep.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            let now = Instant::now();
            let due = this.due();
            if due > now {
                this.timer.head.set_unread(Unread::Unknown);
                this.sleep = CompioTimer.sleep_until(due);
                continue;
            }
            let head = &this.timer.head;
            match head.unread() {
                Unread::Absent => return Poll::Ready(()),
                Unread::Present => {
                    head.set_unread(Unread::Unknown);
                    this.sleep = CompioTimer.sleep_until(now + READ_DELAY);
                }
                Unread::Unknown | Unread::Wanted => {
                    head.set_unread(Unread::Wanted);
                    this.sleep = CompioTimer.sleep_until(now);
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
            }
        }
    }
}

impl Sleep for IdleSleep {}

impl Timer for IdleTimer {
    fn sleep(&self, _duration: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(IdleSleep::new(Instant::now(), self.clone()))
    }

    fn sleep_until(&self, _deadline: Instant) -> Pin<Box<dyn Sleep>> {
        self.sleep(Duration::ZERO)
    }
}
