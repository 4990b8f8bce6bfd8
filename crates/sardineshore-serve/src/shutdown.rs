//! Graceful shutdown of an instance.
//!
//! Readiness fails as soon as the shutdown begins. The instance goes on accepting requests until
//! the balancer has noticed, then only short ones, then none, and ends when the last request has
//! ended or the grace period is nearly over. A request that might not end before is refused at once,
//! and one that has no response shortly before the end gets an error response.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// Time from the first failed readiness check until the balancer sends no new callers.
const BALANCER_DELAY: Duration = Duration::from_millis(2200);
/// Fraction of the grace period after which the process ends even if requests still run.
const DRAIN_FRACTION: f64 = 0.92;

/// Fraction of the grace period after which requests without a response get an error response. The
/// rest, up to [`DRAIN_FRACTION`], is left to write it.
const FINAL_RESPONSE_FRACTION: f64 = 0.88;
/// Fraction of the grace period after which every new request is refused, as it might not end
/// in time.
const REFUSE_FRACTION: f64 = 0.7;

/// Which requests an instance still accepts while it shuts down, in order of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// All requests: the balancer may still send new callers here.
    AcceptAll,
    /// Requests without a stream only, from callers that the balancer can't send elsewhere.
    AcceptShort,
    /// No requests.
    RefuseAll,
}

/// Phase of a shutdown that began `elapsed` ago and may take `grace`.
#[must_use]
pub fn phase(elapsed: Duration, grace: Duration) -> Phase {
    if elapsed >= grace.mul_f64(REFUSE_FRACTION) {
        Phase::RefuseAll
    } else if elapsed >= BALANCER_DELAY {
        Phase::AcceptShort
    } else {
        Phase::AcceptAll
    }
}

/// Whether a request that may take `longest` from now on is sure to end in time, in a shutdown that
/// began `elapsed` ago and may take `grace`.
#[must_use]
pub fn ends_in_time(elapsed: Duration, grace: Duration, longest: Duration) -> bool {
    elapsed.saturating_add(longest) <= grace.mul_f64(FINAL_RESPONSE_FRACTION)
}

/// Progress of the shutdown and the number of requests in progress.
#[derive(Debug, Default)]
pub struct Shutdown {
    grace: Duration,
    started_at: Cell<Option<Instant>>,
    active_requests: Cell<usize>,
    changed: Notify,
}

/// Counts one request as in progress until it is dropped.
#[derive(Debug)]
pub struct ActiveRequest<'a>(&'a Shutdown);

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
        if self.0.started_at.get().is_some() {
            self.0.changed.notify_waiters();
        }
    }
}

impl Shutdown {
    /// A shutdown that has not begun; once begun it takes at most `grace`.
    #[must_use]
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            ..Self::default()
        }
    }

    /// Current phase; `None` before the shutdown begins.
    #[must_use]
    pub fn phase(&self) -> Option<Phase> {
        self.started_at
            .get()
            .map(|at| phase(at.elapsed(), self.grace))
    }

    /// Whether a request that may take `longest` from now on is sure to end before the process does.
    #[must_use]
    pub fn leaves_time_for(&self, longest: Duration) -> bool {
        let began = self.started_at.get();
        began.is_none_or(|at| ends_in_time(at.elapsed(), self.grace, longest))
    }

    /// Begins the shutdown; a second call has no effect.
    pub fn begin(&self) {
        if self.started_at.get().is_none() {
            self.started_at.set(Some(Instant::now()));
            self.changed.notify_waiters();
        }
    }

    /// Whether the shutdown has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.started_at.get().is_some()
    }

    /// Counts a request as in progress until the returned value is dropped.
    pub fn track_request(&self) -> ActiveRequest<'_> {
        self.active_requests.set(self.active_requests.get() + 1);
        ActiveRequest(self)
    }

    /// Waits for the shutdown to begin and the balancer to notice; idle connections close then.
    pub async fn wait_balancer_delay(&self) {
        loop {
            let changed = self.changed.notified();
            match self.started_at.get() {
                None => changed.await,
                Some(at) => {
                    tokio::time::sleep(BALANCER_DELAY.saturating_sub(at.elapsed())).await;
                    return;
                }
            }
        }
    }

    /// Waits until the shutdown begins.
    pub async fn wait_begun(&self) {
        while self.started_at.get().is_none() {
            self.changed.notified().await;
        }
    }

    /// Waits for [`Phase::RefuseAll`]: requests not yet sent to a server are refused then.
    pub async fn wait_refuse_all(&self) {
        self.wait_fraction(REFUSE_FRACTION).await;
    }

    /// Waits until requests without a response get an error response, as the process ends soon.
    pub async fn wait_final_responses(&self) {
        self.wait_fraction(FINAL_RESPONSE_FRACTION).await;
    }

    /// Waits until this fraction of the grace period has passed.
    async fn wait_fraction(&self, fraction: f64) {
        self.wait_begun().await;
        let began = self.started_at.get().unwrap_or_else(Instant::now);
        let end = self.grace.mul_f64(fraction);
        tokio::time::sleep(end.saturating_sub(began.elapsed())).await;
    }

    /// Waits until the last request has ended or the grace period is nearly over.
    pub async fn wait_drained(&self) {
        self.wait_balancer_delay().await;
        let began = self.started_at.get().unwrap_or_else(Instant::now);
        let drain_deadline = began + self.grace.mul_f64(DRAIN_FRACTION);
        while self.active_requests.get() > 0 {
            let left = drain_deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let _ended = tokio::time::timeout(left, self.changed.notified()).await;
        }
    }
}
