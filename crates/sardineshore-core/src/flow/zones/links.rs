//! What it costs to send work to another failure domain: round trips and the price of bytes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::flow::config::Name;

/// Time over which the shortest round trip counts. It holds some connection set-ups and heartbeats per
/// domain, of which some are delayed by a busy processor. A link that gets slower is noticed within
/// two windows.
const WINDOW: Duration = Duration::from_secs(4);
/// Round trips from this time on are measurements of something else, such as a lost packet.
const MAX_ROUND_TRIP: Duration = Duration::from_secs(1);

/// Prices of leaving a failure domain and of being late, in any one currency.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SpilloverPrices {
    /// Price of 10^9 bytes between failure domains; 0 if they cost nothing.
    pub per_gigabyte: f64,
    /// Price of a second by which a response is later; 0 if only time counts.
    pub per_late_second: f64,
}

impl SpilloverPrices {
    /// Time that is worth as much as the transfer of `bytes` to another failure domain; zero without
    /// both prices.
    #[must_use]
    pub fn time_worth(&self, bytes: u64) -> Duration {
        if self.per_gigabyte > 0.0 && self.per_late_second > 0.0 {
            let seconds = self.per_gigabyte * (bytes as f64 / 1e9) / self.per_late_second;
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
        } else {
            Duration::ZERO
        }
    }
}

/// Shortest round trip in the current window and in the one before.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Shortest {
    since: Instant,
    current: Duration,
    previous: Option<Duration>,
}

/// Measured round trips from this instance to each failure domain, its own included.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoundTrips {
    domains: BTreeMap<Name, Shortest>,
}

impl RoundTrips {
    /// Records how long it took to set up a connection to a domain or to get a heartbeat back.
    pub fn record(&mut self, domain: &Name, sample: Duration, now: Instant) {
        if domain.is_empty() || sample >= MAX_ROUND_TRIP {
            return;
        }
        let Some(shortest) = self.domains.get_mut(domain) else {
            let first = Shortest {
                since: now,
                current: sample,
                previous: None,
            };
            self.domains.insert(domain.clone(), first);
            return;
        };
        if now.saturating_duration_since(shortest.since) >= WINDOW {
            *shortest = Shortest {
                since: now,
                current: sample,
                previous: Some(shortest.current),
            };
        } else {
            shortest.current = shortest.current.min(sample);
        }
    }

    /// Round trip to a domain: the shortest one of the last windows, as delays in this process only
    /// make it longer; `None` if it wasn't measured.
    #[must_use]
    pub fn to(&self, domain: &str) -> Option<Duration> {
        let shortest = self.domains.get(domain)?;
        let previous = shortest.previous.unwrap_or(shortest.current);
        Some(shortest.current.min(previous))
    }
}
