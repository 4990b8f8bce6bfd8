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
//!
//! [`SharedLimit`] has turns that several instances hold at the same time, with one request each. An
//! instance with few requests finds a turn more often than with [`RateLimit`], for the same sum.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::config::Name;
use crate::duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

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
        duration::from_secs(self.quota() / self.rate())
    }

    /// Requests in one turn, a whole number.
    fn quota(&self) -> f64 {
        (self.rate() * MIN_TURN.as_secs_f64()).ceil()
    }
}

/// Instances of which some hold a turn.
#[derive(Debug, Clone, Default)]
struct TurnGroup {
    /// Hashes of the names of all other instances than this one.
    others: Vec<u64>,
    /// Whether this instance is one of them.
    includes_own: bool,
}

/// The instances that share turns, as this instance knows them, and the clock by which they do.
#[derive(Debug, Clone)]
pub struct TurnSharing {
    /// Hash of this instance's name.
    own: u64,
    /// All instances.
    all: TurnGroup,
    /// Those of each failure domain that has any.
    by_domain: HashMap<Name, TurnGroup>,
    /// A time of the local clock and the reading of the common clock at that time.
    clock: (Instant, Duration),
    /// Whether all instances go by this clock, and the list of instances was read.
    is_common: bool,
}

impl TurnSharing {
    /// Turns of the instance `own` among `instances`, this one included, which have a name and a failure
    /// domain; by a clock that reads `clock.1` at the local time `clock.0`. `is_common` tells whether
    /// other instances go by that clock too and the list of instances was read.
    #[must_use]
    pub fn new<'a>(
        own: &str,
        instances: impl IntoIterator<Item = (&'a str, &'a Name)>,
        clock: (Instant, Duration),
        is_common: bool,
    ) -> Self {
        let mut sharing = Self {
            own: xxh3_64(own.as_bytes()),
            all: TurnGroup::default(),
            by_domain: HashMap::new(),
            clock,
            is_common,
        };
        for (name, domain) in instances {
            let of_domain = sharing.by_domain.entry(domain.clone()).or_default();
            for group in [&mut sharing.all, of_domain] {
                if name == own {
                    group.includes_own = true;
                } else {
                    group.others.push(xxh3_64(name.as_bytes()));
                }
            }
        }
        sharing
    }

    /// Whether the turns of this instance are in step with those of the others.
    #[must_use]
    pub fn is_common(&self) -> bool {
        self.is_common
    }

    /// The part of `requests` in a turn that this instance may send. Instances that know different lists
    /// agree on the order of those they both know. If there are fewer instances than requests, the first
    /// ones send more than one.
    fn quota(&self, domain: Option<&Name>, requests: usize, turn_seed: u64) -> usize {
        let of_domain = domain.and_then(|domain| self.by_domain.get(domain));
        let group = of_domain.unwrap_or(&self.all);
        if !group.includes_own {
            return 0;
        }
        let score = |instance: u64| xxh3_64_with_seed(&instance.to_le_bytes(), turn_seed);
        let own = score(self.own);
        let before = group.others.iter().filter(|other| score(**other) > own);
        let left = requests.saturating_sub(before.count());
        left.div_ceil(group.others.len() + 1)
    }
}

/// Length of a turn that instances share, and what they may send in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SharedTurn {
    /// Length of the turn; at least a nanosecond.
    pub length: Duration,
    /// Requests that all instances together may send to a server in one turn.
    pub requests: usize,
}

impl SharedTurn {
    /// Requests per second that all instances together may send to a server.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.requests as f64 / self.length.as_secs_f64()
    }
}

/// Turns at one server that several instances hold at the same time, and how much of the current one
/// was used by this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedLimit {
    /// Hash of the server. It decides who holds a turn, and when the server's turns begin.
    seed: u64,
    /// Number of the last turn used and of the requests sent in it.
    used: Option<(u64, usize)>,
}

impl SharedLimit {
    /// Turns at a server, of which none was used.
    #[must_use]
    pub fn new(server: &str) -> Self {
        Self {
            seed: xxh3_64(server.as_bytes()),
            used: None,
        }
    }

    /// Time until this instance may send a request, if that is not longer than `within`; otherwise the
    /// time until the first turn after that. Takes time proportional to the number of turns looked at
    /// and of instances.
    ///
    /// With a `domain`, every other turn is held by instances of that failure domain only, if there are
    /// any.
    #[must_use]
    pub fn next_turn(
        &self,
        turn: SharedTurn,
        sharing: &TurnSharing,
        domain: Option<&Name>,
        within: Duration,
        now: Instant,
    ) -> Duration {
        let time = self.time(turn, sharing, now);
        let last = turn_number(time.saturating_add(within), turn.length);
        let starts_in = |number: u64| {
            let starts_at = turn.length.as_nanos().saturating_mul(u128::from(number));
            let wait = starts_at.saturating_sub(time.as_nanos());
            Duration::from_nanos(u64::try_from(wait).unwrap_or(u64::MAX))
        };
        (turn_number(time, turn.length)..=last)
            .find(|number| {
                let turn_seed = xxh3_64_with_seed(&number.to_le_bytes(), self.seed);
                let domain = domain.filter(|_| number % 2 == 0);
                sharing.quota(domain, turn.requests, turn_seed) > self.used_in(*number)
            })
            .map_or_else(|| starts_in(last.saturating_add(1)), starts_in)
    }

    /// Records that this instance sends a request now.
    pub fn record_send(&mut self, turn: SharedTurn, sharing: &TurnSharing, now: Instant) {
        let number = turn_number(self.time(turn, sharing, now), turn.length);
        self.used = Some((number, self.used_in(number) + 1));
    }

    /// Reading of the common clock, shifted so that the turns at different servers begin at different
    /// times.
    fn time(&self, turn: SharedTurn, sharing: &TurnSharing, now: Instant) -> Duration {
        let length = u64::try_from(turn.length.as_nanos()).unwrap_or(u64::MAX);
        let shift = Duration::from_nanos(self.seed % length.max(1));
        let (local, common) = sharing.clock;
        common + now.saturating_duration_since(local) + shift
    }

    fn used_in(&self, number: u64) -> usize {
        let used = self.used.filter(|(used, _)| *used == number);
        used.map_or(0, |(_, count)| count)
    }
}

/// Number of the turn at a time of the common clock.
fn turn_number(time: Duration, length: Duration) -> u64 {
    let number = time.as_nanos() / length.as_nanos().max(1);
    u64::try_from(number).unwrap_or(u64::MAX)
}
