//! Tests of durations from measured figures.

use std::time::{Duration, Instant};

use sardineshore_core::duration::{LONGEST, from_secs, multiplied, time_at_rate};

const FIGURES: [f64; 11] = [
    0.0,
    -0.0,
    1e-300,
    0.25,
    1.0,
    1e12,
    f64::MAX,
    -1.0,
    f64::INFINITY,
    f64::NEG_INFINITY,
    f64::NAN,
];

/// Guards against a process that ends because of a figure which isn't known yet.
#[test]
fn time_at_rate_any_figures() {
    for work in FIGURES {
        for rate in FIGURES {
            let time = time_at_rate(work, rate);
            assert_eq!(time.is_some(), rate > 0.0, "{work} at {rate}");
            assert!(time.is_none_or(|time| time <= LONGEST), "{work} at {rate}");
        }
    }
    assert_eq!(time_at_rate(0.0, 0.0), None);
    assert_eq!(time_at_rate(0.0, 1.0), Some(Duration::ZERO));
    assert_eq!(time_at_rate(1.0, 4.0), Some(Duration::from_millis(250)));
    assert_eq!(time_at_rate(1.0, 1e-300), Some(LONGEST));
}

#[test]
fn from_secs_any_figure() {
    for seconds in FIGURES {
        let time = from_secs(seconds);
        assert!(time <= LONGEST, "{seconds}");
        assert!(Instant::now().checked_add(time).is_some(), "{seconds}");
        assert_eq!(!time.is_zero(), seconds >= 1e-9, "{seconds}");
    }
}

#[test]
fn multiplied_any_factor() {
    for factor in FIGURES {
        for duration in [Duration::ZERO, Duration::from_secs(1), Duration::MAX] {
            let time = multiplied(duration, factor);
            assert!(time <= LONGEST, "{duration:?} by {factor}");
        }
    }
    let half = multiplied(Duration::from_secs(3), 0.5);
    assert_eq!(half, Duration::from_millis(1500));
}
