//! Divides the rate that a server takes from all instances together between them.
//!
//! Instances take turns by a clock that all of them know, that of the store, so they need no
//! communication, and no instance saves up turns. A turn is long enough for at least one request.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use sardineshore_core::flow::turns::{RateLimit, TurnSchedule};
//!
//! let now = Instant::now();
//! let schedule = |rank| TurnSchedule { rank, instances: 2, ..TurnSchedule::new(now) };
//! let limit = RateLimit::new("server", 4.0);
//! assert_ne!(limit.has_turn(&schedule(0), now), limit.has_turn(&schedule(1), now));
//! ```

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

/// Shortest turn; requests would often miss shorter ones.
const MIN_TURN: Duration = Duration::from_millis(250);
/// Rate at which a server with a lower limit still gets requests, in requests per second: its
/// responses tell when the limit ends.
const MIN_RATE: f64 = 0.25;

/// What this instance knows of the order in which instances take turns.
#[derive(Debug, Clone, Copy)]
pub struct TurnSchedule {
    /// Position of this instance among all, in the order of their names.
    pub rank: usize,
    /// Number of instances.
    pub instances: usize,
    /// A time of the local clock and the reading of the common clock at that time.
    pub clock: (Instant, Duration),
}

impl TurnSchedule {
    /// Schedule of a single instance whose common clock starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            rank: 0,
            instances: 1,
            clock: (now, Duration::ZERO),
        }
    }

    fn common_time(&self, now: Instant) -> Duration {
        self.clock.1 + now.saturating_duration_since(self.clock.0)
    }
}

/// Rate limit of one server, and how much of the current turn was used.
#[derive(Debug, Clone, PartialEq)]
pub struct RateLimit {
    per_second: f64,
    /// Hash of the server, which spreads the turns of an instance at different servers.
    seed: u64,
    /// Number of the last turn used and of the requests sent in it.
    used: Option<(u64, u32)>,
}

impl RateLimit {
    /// Limit of a server, in requests per second.
    #[must_use]
    pub fn new(server: &str, per_second: f64) -> Self {
        Self {
            per_second,
            seed: xxh3_64(server.as_bytes()),
            used: None,
        }
    }

    /// The limit, in requests per second.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Sets the limit, in requests per second.
    pub fn set(&mut self, per_second: f64) {
        self.per_second = per_second;
    }

    /// Whether this instance may send a request now.
    #[must_use]
    pub fn has_turn(&self, schedule: &TurnSchedule, now: Instant) -> bool {
        self.next_turn(schedule, now).is_zero()
    }

    /// Time until this instance may send a request.
    #[must_use]
    pub fn next_turn(&self, schedule: &TurnSchedule, now: Instant) -> Duration {
        let length = self.turn_length();
        let time = schedule.common_time(now);
        let mut turn = turn_number(time, length);
        if self
            .used
            .is_some_and(|(used, count)| used == turn && f64::from(count) >= self.quota())
        {
            turn += 1;
        }
        let instances = u64::try_from(schedule.instances.max(1)).unwrap_or(1);
        let rank = u64::try_from(schedule.rank).unwrap_or_default() % instances;
        let of_turn = (turn % instances + self.seed % instances) % instances;
        let turn = turn + (rank + instances - of_turn) % instances;
        let starts_at = length.as_nanos().saturating_mul(u128::from(turn));
        let wait = starts_at.saturating_sub(time.as_nanos());
        Duration::from_nanos(u64::try_from(wait).unwrap_or(u64::MAX))
    }

    /// Records that this instance sends a request now.
    pub fn record_send(&mut self, schedule: &TurnSchedule, now: Instant) {
        let turn = turn_number(schedule.common_time(now), self.turn_length());
        let count = self
            .used
            .filter(|(used, _)| *used == turn)
            .map_or(0, |(_, n)| n);
        self.used = Some((turn, count + 1));
    }

    /// Rate at which the server gets requests, in requests per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.per_second.max(MIN_RATE)
    }

    fn turn_length(&self) -> Duration {
        Duration::from_secs_f64(self.quota() / self.rate())
    }

    /// Requests in one turn, a whole number.
    fn quota(&self) -> f64 {
        (self.rate() * MIN_TURN.as_secs_f64()).ceil()
    }
}

/// Number of the turn at a time of the common clock.
fn turn_number(time: Duration, length: Duration) -> u64 {
    let number = time.as_nanos() / length.as_nanos().max(1);
    u64::try_from(number).unwrap_or(u64::MAX)
}
