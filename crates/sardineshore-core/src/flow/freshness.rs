//! Tracks how long ago the store last confirmed that the active configuration is the newest one.
//!
//! Every response of the store is a confirmation, valid from the moment at which the store
//! produced it. The store stamps its responses with its own monotonic clock. The smallest
//! difference seen between a stamp and the local time of sending is an upper bound of the offset
//! between the two clocks. Subtracting it from a stamp never dates a response later than it was
//! produced, and dates the response to a long poll far better than the time of sending, which is
//! older by the whole wait.
//!
//! A stamp that another instance received and handed on proves as much: with the offset known from
//! calls of one's own, it dates the response the same way, however late it arrives. A stamp from
//! the future shows that the store's clock has changed; it confirms nothing until a call of one's
//! own has shown the new offset.

use std::time::Duration;

/// Largest error of a difference of two readings in whole milliseconds, in milliseconds.
const ROUNDING_MS: i128 = 1;

/// Age of the newest confirmation. All local times must come from one clock that also runs while
/// the machine is suspended.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    /// Smallest difference seen between the store's clock and the local clock, in milliseconds.
    offset_ms: Option<i128>,
    confirmed_at: Option<Duration>,
}

impl Freshness {
    /// Records a response of the store that confirms the configuration. `sent` and `received` are the local
    /// times of the call; `stamp_ms` is the store's clock in the response, in milliseconds.
    pub fn record(&mut self, sent: Duration, received: Duration, stamp_ms: u64) {
        let confirmed = self.date(sent, received, stamp_ms);
        if self.confirmed_at.is_none_or(|at| confirmed > at) {
            self.confirmed_at = Some(confirmed);
        }
    }

    /// Compares the clocks by a response of the store, as [`Freshness::record`] does, and returns a local
    /// time not later than that at which the store produced it.
    pub fn date(&mut self, sent: Duration, received: Duration, stamp_ms: u64) -> Duration {
        let offset_ms = i128::from(stamp_ms) - signed_ms(sent);
        if self.offset_ms.is_none_or(|known| offset_ms < known) {
            self.offset_ms = Some(offset_ms);
        }
        let stamped_at = i128::from(stamp_ms) - self.offset_ms.unwrap_or(offset_ms);
        let stamped_at = u64::try_from(stamped_at).map_or(Duration::ZERO, Duration::from_millis);
        // A stamp before `sent` or after `received` means that the offset no longer holds: the
        // store's clock may have restarted.
        if stamped_at < sent || stamped_at > received {
            self.offset_ms = Some(offset_ms);
            sent
        } else {
            stamped_at
        }
    }

    /// Records a response of the store that another instance handed on. `stamp_ms` is the store's
    /// clock in the response, `age` its age when it was handed on, by the clock of the other
    /// instance, and `received` the local time at which it arrived. Returns the time from which it
    /// confirms the configuration; `None` if the store's clock is not known or has changed.
    pub fn record_relayed(
        &mut self,
        stamp_ms: u64,
        age: Duration,
        received: Duration,
    ) -> Option<Duration> {
        let stamped_at = i128::from(stamp_ms) - self.offset_ms?;
        if stamped_at > signed_ms(received) + ROUNDING_MS {
            return None;
        }
        let stamped_at = u64::try_from(stamped_at).map_or(Duration::ZERO, Duration::from_millis);
        let confirmed = stamped_at.min(received.saturating_sub(age));
        if self.confirmed_at.is_none_or(|at| confirmed > at) {
            self.confirmed_at = Some(confirmed);
        }
        Some(confirmed)
    }

    /// Discards the newest confirmation: the store may have been restored from a copy before it.
    pub fn discard_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Reading of the store's clock at the local time `now`, as far as it is known.
    #[must_use]
    pub fn store_time(&self, now: Duration) -> Option<Duration> {
        let ms = signed_ms(now) + self.offset_ms?;
        u64::try_from(ms).ok().map(Duration::from_millis)
    }

    /// Time since the newest confirmation; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the newest confirmation is less than `max_age` old.
    #[must_use]
    pub fn within(&self, now: Duration, max_age: Duration) -> bool {
        self.age(now).is_some_and(|age| age < max_age)
    }
}

fn signed_ms(at: Duration) -> i128 {
    i128::try_from(at.as_millis()).unwrap_or(i128::MAX)
}
