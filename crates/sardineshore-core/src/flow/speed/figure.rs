//! What servers say about their speed at this moment, and how far that is believed.

use std::time::{Duration, Instant};

/// Percentages that count; others are ignored.
const PERCENT: std::ops::RangeInclusive<u32> = 10..=1000;
/// Time for which a figure counts fully. The slowness of a server was seen to change every 600 ms.
const FULL_AGE: Duration = Duration::from_millis(250);
/// Age from which a figure doesn't count any more; less and less from [`FULL_AGE`] on.
const MAX_AGE: Duration = Duration::from_millis(600);
/// Longest time from a figure to the first output that it explains.
const ATTEMPT_AGE: Duration = Duration::from_millis(400);
/// Difference from the server's own usual figure, as a logarithm, below which it counts as usual.
const DEAD_BAND: f64 = 0.1;
/// Limits of the difference.
const EXCESS: (f64, f64) = (-0.7, 1.4);
/// Difference from which on an attempt shows whether the figure was right.
const MIN_TEST: f64 = 0.3;
/// Trust in the figures of a server, or pool, that no attempt has tested.
pub(super) const TRUST_AT_START: f64 = 1.0;
/// Weight of an attempt in the trust in its server and in its pool.
const TRUST_GAIN: (f64, f64) = (0.15, 0.03);
/// Share of attempts that agree with their figures at which figures count not at all, and fully.
/// Random figures agree with about a fifth of noisy attempts.
const TRUST_RANGE: (f64, f64) = (0.3, 0.6);
/// Step by which a server's usual figure follows each figure.
const LEVEL_STEP: f64 = 0.04;
/// Difference from 100, as a logarithm, below which a figure counts as usual while the server's usual
/// one isn't known: it may include the lasting speed of the server.
const UNKNOWN_DEAD_BAND: f64 = 0.5;

/// A figure and since when it holds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Figure {
    ln: f64,
    at: Instant,
    /// Whether the server named it; otherwise an instance observed it.
    is_named: bool,
}

impl Figure {
    /// `None` if the percentage is out of range.
    pub fn new(percent: u32, now: Instant) -> Option<Self> {
        let in_range = PERCENT.contains(&percent);
        in_range.then(|| Self {
            ln: (f64::from(percent) / 100.0).ln(),
            at: now,
            is_named: true,
        })
    }

    /// A figure that was observed, or that another instance sent, which believes in it.
    pub fn observed(ln: f64, at: Instant) -> Self {
        Self {
            ln: ln.clamp(-2.4, 2.4),
            at,
            is_named: false,
        }
    }

    pub fn is_named(&self) -> bool {
        self.is_named
    }

    pub fn ln(&self) -> f64 {
        self.ln
    }

    pub fn at(&self) -> Instant {
        self.at
    }

    /// Difference from the server's usual figure that counts now; 0 if that is none.
    pub fn excess(&self, level: &FigureLevel, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        if age >= MAX_AGE {
            return 0.0;
        }
        let excess = self.full_excess(level);
        if age <= FULL_AGE {
            return excess;
        }
        let left = MAX_AGE.saturating_sub(age).as_secs_f64();
        excess * left / MAX_AGE.saturating_sub(FULL_AGE).as_secs_f64()
    }

    fn full_excess(&self, level: &FigureLevel) -> f64 {
        let excess = self.ln - level.value();
        let band = if self.is_named && !level.is_known() {
            UNKNOWN_DEAD_BAND
        } else {
            DEAD_BAND
        };
        if excess.abs() < band {
            return 0.0;
        }
        excess.clamp(EXCESS.0, EXCESS.1)
    }

    /// Difference that explains an attempt whose first output arrived now; 0 if that is none.
    pub fn excess_at_attempt(&self, level: &FigureLevel, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        if age <= ATTEMPT_AGE {
            self.full_excess(level)
        } else {
            0.0
        }
    }
}

/// Usual figure of a server: the median of the first three, which then follows each one in small steps.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FigureLevel {
    first: [f64; 3],
    figures: usize,
    ln: f64,
}

impl FigureLevel {
    pub fn record(&mut self, ln: f64) {
        if let Some(first) = self.first.get_mut(self.figures) {
            *first = ln;
            self.figures += 1;
            if self.is_known() {
                self.first.sort_by(f64::total_cmp);
                self.ln = self.first[1];
            }
        } else {
            self.ln += (ln - self.ln).clamp(-LEVEL_STEP, LEVEL_STEP);
        }
    }

    pub fn is_known(&self) -> bool {
        self.figures == self.first.len()
    }

    /// The usual figure; 0 until it is known.
    pub fn value(&self) -> f64 {
        self.ln
    }
}

/// Weight of figures, from 0 to 1, when this share of attempts agreed with them.
pub(super) fn trusted_share(agreeing: f64) -> f64 {
    ((agreeing - TRUST_RANGE.0) / (TRUST_RANGE.1 - TRUST_RANGE.0)).clamp(0.0, 1.0)
}

/// Updates the trust in a server's and in its pool's figures: an attempt agrees if it shows at least
/// half of the difference that the figure claims.
pub(super) fn update_trust(server: &mut f64, pool: &mut f64, claimed: f64, shown: f64) {
    if claimed.abs() < MIN_TEST {
        return;
    }
    let agrees = f64::from(u8::from(shown / claimed > 0.5));
    *server += TRUST_GAIN.0 * (agrees - *server);
    *pool += TRUST_GAIN.1 * (agrees - *pool);
}
