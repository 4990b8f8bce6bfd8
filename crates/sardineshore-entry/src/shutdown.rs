//! Graceful shutdown: tracks readiness, open connections and requests in flight.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use async_std::channel::{Receiver, Sender, bounded};

/// Time between two checks whether all requests have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time to send the final replies of requests that a stop no longer waits for.
const FINAL_REPLY_TIME: Duration = Duration::from_secs(1);

/// State of a graceful shutdown.
#[derive(Debug)]
pub struct Shutdown {
    ready: AtomicBool,
    stopping: AtomicBool,
    /// Channel that is closed when idle connections must close.
    idle_close: (Sender<()>, Receiver<()>),
    /// When requests in flight get a final reply; set when the shutdown starts.
    end: OnceLock<Instant>,
    /// Channel that is closed then.
    final_replies: (Sender<()>, Receiver<()>),
    in_flight: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

/// Guard that counts one request in flight, from its head until its reply is written.
#[derive(Debug)]
pub struct InFlight {
    count: Arc<AtomicUsize>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Guard that counts one open connection.
#[derive(Debug)]
pub struct OpenConnection {
    count: Arc<AtomicUsize>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            ready: AtomicBool::default(),
            stopping: AtomicBool::default(),
            idle_close: bounded(1),
            end: OnceLock::new(),
            final_replies: bounded(1),
            in_flight: Arc::default(),
            connections: Arc::default(),
        }
    }
}

impl Shutdown {
    /// Marks the instance as ready for callers.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Starts the shutdown; returns true on the first call.
    pub fn begin(&self) -> bool {
        !self.stopping.swap(true, Ordering::AcqRel)
    }

    /// Sets how long requests in flight may take from now on: `delay` until no more connections are
    /// accepted, and then up to `limit`, see [`Shutdown::drain`].
    pub fn set_limits(&self, delay: Duration, limit: Duration, now: Instant) {
        let _is_first = self.end.set(now + delay + limit);
    }

    /// Whether a request with this deadline is sure to end before the process does.
    #[must_use]
    pub fn leaves_time_until(&self, deadline: Instant) -> bool {
        self.end.get().is_none_or(|end| deadline <= *end)
    }

    /// Waits until requests in flight get a final reply, as the process ends soon.
    pub async fn wait_for_final_replies(&self) {
        let _ = self.final_replies.1.recv().await;
    }

    /// Waits until no request is in flight, at most for `limit`. Those that remain get a final reply,
    /// for which it waits for up to 1 s more. Returns the number that remain nevertheless.
    pub async fn drain(&self, limit: Duration) -> usize {
        if self.wait_until_drained(limit).await == 0 {
            return 0;
        }
        self.final_replies.0.close();
        self.wait_until_drained(FINAL_REPLY_TIME).await
    }

    /// Closes all connections without a request, now and from now on.
    pub fn close_idle(&self) {
        self.idle_close.0.close();
    }

    /// Waits for [`Shutdown::close_idle`].
    pub async fn wait_for_idle_close(&self) {
        let _ = self.idle_close.1.recv().await;
    }

    /// Whether the platform's load balancer may send callers to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.is_stopping()
    }

    /// Whether the shutdown has started.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Counts a request in flight until the guard is dropped.
    #[must_use]
    pub fn track_request(&self) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight {
            count: self.in_flight.clone(),
        }
    }

    /// Counts a connection until the guard is dropped; `None` if `max` are open.
    #[must_use]
    pub fn track_connection(&self, max: usize) -> Option<OpenConnection> {
        let open = OpenConnection {
            count: self.connections.clone(),
        };
        let before = self.connections.fetch_add(1, Ordering::AcqRel);
        (before < max).then_some(open)
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Waits until no request is in flight, at most for `limit`; returns the number that remain.
    pub async fn wait_until_drained(&self, limit: Duration) -> usize {
        let end = Instant::now() + limit;
        while self.in_flight() > 0 && Instant::now() < end {
            async_std::task::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.in_flight()
    }
}
