//! An orderly shutdown: unready at once, then no new connections, then the end of the last request.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// Time for the balancer to notice that the instance isn't ready.
const LINGER: Duration = Duration::from_millis(2200);
/// Part of the grace after which even requests that run are left.
const GRACE_PART: f64 = 0.92;

/// Part of the grace after which no request is taken any more: it might not end in time.
const REFUSING_PART: f64 = 0.7;

/// What an instance that stops still takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Everything: the balancer has not noticed yet.
    AcceptAll,
    /// Short requests of callers that have nowhere else to go.
    AcceptShort,
    /// Nothing.
    RefuseAll,
}

/// Phase of a stop that began `elapsed` ago.
#[must_use]
pub fn phase(elapsed: Duration, grace: Duration) -> Phase {
    if elapsed >= grace.mul_f64(REFUSING_PART) {
        Phase::RefuseAll
    } else if elapsed >= LINGER {
        Phase::AcceptShort
    } else {
        Phase::AcceptAll
    }
}

/// State of the shutdown, and the number of requests that are served.
#[derive(Debug, Default)]
pub struct Shutdown {
    grace: Duration,
    since: Cell<Option<Instant>>,
    active: Cell<usize>,
    changed: Notify,
}

/// Counts one request while it is served.
#[derive(Debug)]
pub struct ActiveRequest<'a>(&'a Shutdown);

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
        if self.0.since.get().is_some() {
            self.0.changed.notify_waiters();
        }
    }
}

impl Shutdown {
    /// Not begun; a stop takes at most `grace`.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            ..Self::default()
        }
    }

    /// Phase of the shutdown, if it has begun.
    #[must_use]
    pub fn phase(&self) -> Option<Phase> {
        self.since.get().map(|at| phase(at.elapsed(), self.grace))
    }

    /// Begins the shutdown.
    pub fn begin(&self) {
        if self.since.get().is_none() {
            self.since.set(Some(Instant::now()));
            self.changed.notify_waiters();
        }
    }

    /// Whether the stop has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.since.get().is_some()
    }

    /// Counts a request.
    pub fn track_request(&self) -> ActiveRequest<'_> {
        self.active.set(self.active.get() + 1);
        ActiveRequest(self)
    }

    /// Waits until idle connections are to be closed.
    pub async fn wait_balancer_delay(&self) {
        loop {
            let changed = self.changed.notified();
            match self.since.get() {
                None => changed.await,
                Some(at) => {
                    tokio::time::sleep(LINGER.saturating_sub(at.elapsed())).await;
                    return;
                }
            }
        }
    }

    /// Waits until the stop begins.
    pub async fn wait_begun(&self) {
        while self.since.get().is_none() {
            self.changed.notified().await;
        }
    }

    /// Waits until nothing is taken any more: what has not been sent by then is refused.
    pub async fn wait_refuse_all(&self) {
        self.wait_begun().await;
        let began = self.since.get().unwrap_or_else(Instant::now);
        let refusing = self.grace.mul_f64(REFUSING_PART);
        tokio::time::sleep(refusing.saturating_sub(began.elapsed())).await;
    }

    /// Waits until the last request has ended or the grace is nearly over.
    pub async fn wait_drained(&self) {
        self.wait_balancer_delay().await;
        let began = self.since.get().unwrap_or_else(Instant::now);
        let end = began + self.grace.mul_f64(GRACE_PART);
        while self.active.get() > 0 {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let _ended = tokio::time::timeout(left, self.changed.notified()).await;
        }
    }
}
