//! How long a client's connection may be idle, and how long a request head may take, which may change
//! meanwhile.

use crate::head_progress::{AwaitedHead, HeadProgress, Unread};
use cyper_core::CompioTimer;
use hyper::rt::{Sleep, Timer};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// How long bytes that lie in the socket take to be read.
const READ_DELAY: Duration = Duration::from_millis(1);

/// How long a client may be idle, and take for a request head that it has begun to send, shared by all
/// connections.
#[derive(Clone, Debug)]
pub(crate) struct ClientTimeouts(Arc<SharedTimeouts>);

#[derive(Debug)]
struct SharedTimeouts {
    idle_ms: AtomicU64,
    head_ms: AtomicU64,
}

impl ClientTimeouts {
    /// Creates timeouts of these lengths.
    pub(crate) fn new(idle: Duration, head: Duration) -> Self {
        let shared = Self(Arc::new(SharedTimeouts {
            idle_ms: AtomicU64::default(),
            head_ms: AtomicU64::default(),
        }));
        shared.set(idle, head);
        shared
    }

    /// Changes the timeouts. Connections that are idle already are not closed sooner for it.
    pub(crate) fn set(&self, idle: Duration, head: Duration) {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.0.idle_ms.store(millis(idle), Ordering::Relaxed);
        self.0.head_ms.store(millis(head), Ordering::Relaxed);
    }

    /// How long a client may be idle at present.
    pub(crate) fn idle(&self) -> Duration {
        Duration::from_millis(self.0.idle_ms.load(Ordering::Relaxed))
    }

    /// How long a client may take for a request head at present.
    fn head(&self) -> Duration {
        Duration::from_millis(self.0.head_ms.load(Ordering::Relaxed))
    }
}

/// The timer of a connection. `hyper` sets it only for the next request head, with the timeout that
/// held when the connection was opened; it ends by the timeout that holds when it is due, and never
/// while the client has sent something that was not read.
#[derive(Clone, Debug)]
pub(crate) struct IdleTimer {
    timeouts: ClientTimeouts,
    head: HeadProgress,
}

impl IdleTimer {
    /// Creates the timer of a connection that waits for request heads.
    pub(crate) fn new(timeouts: ClientTimeouts, head: HeadProgress) -> Self {
        Self { timeouts, head }
    }
}

/// A sleep that goes on while the timeout grows or a head arrives.
struct IdleSleep {
    began: Instant,
    timer: IdleTimer,
    sleep: Pin<Box<dyn Sleep>>,
    wakes_at: Instant,
    _awaited: AwaitedHead,
}

impl IdleSleep {
    fn new(began: Instant, timer: IdleTimer) -> Self {
        let wakes_at = began + timer.timeouts.idle();
        Self {
            began,
            sleep: CompioTimer.sleep_until(wakes_at),
            wakes_at,
            _awaited: timer.head.await_head(),
            timer,
        }
    }

    /// When the head that has begun to arrive has to be complete.
    fn head_due(&self) -> Option<Instant> {
        let first_byte_at = self.timer.head.first_byte_at()?;
        Some(first_byte_at + self.timer.timeouts.head())
    }

    /// When the connection is to be closed, by what is known now.
    fn due(&self) -> Instant {
        let idle_until = self.began + self.timer.timeouts.idle();
        self.head_due().unwrap_or(idle_until)
    }

    fn sleep_until(&mut self, time: Instant) {
        self.sleep = CompioTimer.sleep_until(time);
        self.wakes_at = time;
    }
}

impl Future for IdleSleep {
    type Output = ();

    /// `hyper` calls this only after a read that had to wait.
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = self.get_mut();
        if let Some(due) = this.head_due().filter(|due| *due < this.wakes_at) {
            this.sleep_until(due);
        }
        loop {
            if this.sleep.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            let now = Instant::now();
            let due = this.due();
            if due > now {
                this.timer.head.set_unread(Unread::Unknown);
                this.sleep_until(due);
                continue;
            }
            let head = &this.timer.head;
            match head.unread() {
                Unread::Absent => return Poll::Ready(()),
                Unread::Present => {
                    head.set_unread(Unread::Unknown);
                    this.sleep_until(now + READ_DELAY);
                }
                Unread::Unknown | Unread::Wanted => {
                    head.set_unread(Unread::Wanted);
                    this.sleep_until(now);
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
