//! Durations from measured figures, for any figures.
//!
//! [`Duration::from_secs_f64`] panics on a quotient such as 0/0, which occurs wherever nothing was seen
//! yet: a pool without servers has no rate, and an instance that has just taken over knows no demand.
//!
//! ```
//! use std::time::Duration;
//! use sardineshore_core::duration::{from_secs, time_at_rate};
//!
//! assert_eq!(time_at_rate(3.0, 2.0), Some(Duration::from_millis(1500)));
//! assert_eq!(time_at_rate(0.0, 0.0), None);
//! assert_eq!(from_secs(f64::NAN), Duration::ZERO);
//! ```

use std::time::Duration;

/// Longest duration that is worked out from figures. It can be added to any reading of a clock.
pub const LONGEST: Duration = Duration::from_secs(365 * 24 * 3600);

/// Converts seconds. Negative ones and those that aren't a number become zero, and those above
/// [`LONGEST`] become that.
#[must_use]
pub fn from_secs(seconds: f64) -> Duration {
    // `max` ignores a value that isn't a number.
    let seconds = seconds.max(0.0).min(LONGEST.as_secs_f64());
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

/// Time that `work` takes at `rate` per second, at most [`LONGEST`]. `None` if nothing is done: the rate
/// is zero, negative or not a number. Work that is negative or not a number takes no time.
#[must_use]
pub fn time_at_rate(work: f64, rate: f64) -> Option<Duration> {
    (rate > 0.0).then(|| from_secs(work / rate))
}

/// A multiple of a duration, at most [`LONGEST`]. A factor that is negative or not a number counts as
/// zero.
#[must_use]
pub fn multiplied(duration: Duration, factor: f64) -> Duration {
    from_secs(duration.as_secs_f64() * factor)
}
