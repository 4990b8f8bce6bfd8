//! How long streams may be taken up, as the store states it for all instances.

use std::time::Duration;

/// Time by which conclusions about streams that have ended wait longer than the longest life, for the
/// delays until all instances know of a change.
pub const LIFE_MARGIN: Duration = Duration::from_secs(6);
/// Lives are stated in multiples of this, so that few changes are written.
const LIFE_STEP: Duration = Duration::from_secs(5);

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

    /// Whether a stream with this life may begin.
    #[must_use]
    pub fn covers(&self, life: Duration) -> bool {
        self.row.is_some_and(|row| life <= row)
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
