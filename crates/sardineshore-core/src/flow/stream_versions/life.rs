//! How long streams may be taken up, as the store states it for all instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time by which conclusions about streams that have ended wait longer than the longest life, for the
/// delays until all instances know of a change.
pub const LIFE_MARGIN: Duration = Duration::from_secs(6);
/// Lives are stated in multiples of this, so that few changes are written.
const LIFE_STEP: Duration = Duration::from_secs(5);

/// Longest life that the stated life covers. Streams with a longer one, or an unknown one, always have a record.
const MAX_STATED_LIFE: Duration = Duration::from_secs(120);
/// Time for which a stream is remembered whose caller doesn't tell how long it waits.
const UNKNOWN_LIFE: Duration = Duration::from_secs(3600);
/// Longest time for which any stream is remembered.
const MAX_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Time from a request on for which its caller may take the stream up: as long as it waits. A route's timeout
/// ends one answer only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamLife(Option<Duration>);

impl StreamLife {
    /// Life of a stream whose caller waits so long; `None` if it doesn't tell.
    #[must_use]
    pub fn new(caller_waits: Option<Duration>) -> Self {
        Self(caller_waits)
    }

    /// The life, if the stated life can cover it. Nothing is concluded from the absence of a record of a
    /// stream without.
    #[must_use]
    pub fn bounded(self) -> Option<Duration> {
        self.0.filter(|life| *life <= MAX_STATED_LIFE)
    }

    /// Time for which the stream's origin is remembered and its record kept.
    #[must_use]
    pub fn retention(self) -> Duration {
        self.0.unwrap_or(UNKNOWN_LIFE).min(MAX_RETENTION) + LIFE_MARGIN
    }
}

/// The *stated life*: the longest time for which a stream may be taken up, counted from the request that
/// began it.
///
/// One row of the store names it. It is raised before a stream with a longer life begins and never lowered,
/// so that an instance which starts later, or after all others are gone, knows a bound for the streams that
/// began before. A restored store may name a shorter one; instances that know more raise it again.
#[derive(Debug, Default)]
pub struct StatedLife {
    /// What the row names; `None` without a row.
    row: Option<Duration>,
    /// The longest that the row has named.
    longest: Option<Duration>,
    /// Longest life of a stream that this instance begins or expects.
    wanted: Duration,
}

impl StatedLife {
    /// Records what the row names; `None` if there is none.
    pub fn set_row(&mut self, life: Option<Duration>) {
        self.row = life;
        self.longest = self.longest.max(life);
    }

    /// Asks for a stated life that covers streams with this one.
    pub fn want(&mut self, life: Duration) {
        self.wanted = self.wanted.max(life);
    }

    /// Whether a stream with this life may begin: it is covered, or has a record in any case.
    #[must_use]
    pub fn covers(&self, life: StreamLife) -> bool {
        let bounded = life.bounded();
        bounded.is_none_or(|life| self.row.is_some_and(|row| life <= row))
    }

    /// What the row must name instead; `None` if it needs no change.
    #[must_use]
    pub fn change(&self) -> Option<Duration> {
        let steps = self.wanted.as_millis().div_ceil(LIFE_STEP.as_millis());
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        let life = self.longest.max(Some(LIFE_STEP.saturating_mul(steps)))?;
        (!life.is_zero() && self.row < Some(life)).then_some(life)
    }

    /// Time after which all streams have ended that had begun; `None` if that is not known.
    #[must_use]
    pub fn time_to_end(&self) -> Option<Duration> {
        self.longest.map(|life| life + LIFE_MARGIN)
    }
}
