//! How old the newest proof is that the configuration in force is the newest one.
//!
//! A proof is an answer of the store. The store stamps its answers with a steady clock of its
//! own; the smallest difference seen between that stamp and the time of sending bounds the offset
//! of the two clocks, and so dates an answer more closely than its time of sending does.

use std::time::Duration;

/// Age of the newest proof. All local times are of a clock that counts suspended time.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    offset: Option<i128>,
    proved_at: Option<Duration>,
}

impl Freshness {
    /// Records an answer: sent and received at local times, stamped by the store.
    pub fn record(&mut self, sent: Duration, received: Duration, stamp_ms: u64) {
        let offset = i128::from(stamp_ms) - signed_ms(sent);
        if self.offset.is_none_or(|known| offset < known) {
            self.offset = Some(offset);
        }
        let dated = i128::from(stamp_ms) - self.offset.unwrap_or(offset);
        let dated = u64::try_from(dated).map_or(Duration::ZERO, Duration::from_millis);
        // A stamp outside of the call can't be trusted: the store's clock may have started anew.
        let proved = if dated < sent || dated > received {
            self.offset = Some(offset);
            sent
        } else {
            dated
        };
        if self.proved_at.is_none_or(|at| proved > at) {
            self.proved_at = Some(proved);
        }
    }

    /// Age of the newest proof; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.proved_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the newest proof is younger than `bound`.
    #[must_use]
    pub fn within(&self, now: Duration, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}

fn signed_ms(at: Duration) -> i128 {
    i128::try_from(at.as_millis()).unwrap_or(i128::MAX)
}
