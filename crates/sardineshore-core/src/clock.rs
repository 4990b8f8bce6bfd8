//! Clocks behind a trait, so that tests can run under a manual clock.

use std::fmt;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Source of monotonic and wall-clock time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Monotonic time, for deadlines and ages.
    fn now(&self) -> Instant;
    /// Wall-clock time, for retention windows and logs.
    fn wall_time(&self) -> SystemTime;
}

/// The clocks of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only by [`Self::advance`]. Its wall-clock time starts at a fixed date.
#[derive(Debug)]
pub struct ManualClock {
    origin: Instant,
    elapsed: Mutex<Duration>,
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            elapsed: Mutex::new(Duration::ZERO),
        }
    }
}

impl ManualClock {
    /// Moves the monotonic and the wall-clock time forward.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the clock's lock.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().expect("clock lock poisoned") += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("clock lock poisoned")
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.origin + self.elapsed()
    }

    fn wall_time(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_secs(1_800_000_000) + self.elapsed()
    }
}

/// Milliseconds since the Unix epoch; 0 for earlier times.
#[must_use]
pub fn unix_ms(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
