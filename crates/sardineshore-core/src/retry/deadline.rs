//! Split of a deadline over the stages that remain.

use std::time::{Duration, Instant};

use super::StageLatencies;
use crate::{NotRunReason, PoolId};

/// Requests refused as unreachable for each one that is let through to observe the stages anew.
const PROBE_EVERY: u32 = 10;

/// Splits deadlines by the observed latencies of stages.
///
/// A stage may use everything but the median latencies of the stages after it.
#[derive(Debug, Default)]
pub struct DeadlineSplitter {
    refused: u32,
}

impl DeadlineSplitter {
    /// Time that the first of `stages` may take, given the time that remains for all of them.
    ///
    /// Refused with [`NotRunReason::DeadlineUnreachable`] if the medians of all of them don't fit.
    /// One of ten such requests is let through, so that stages that became faster are noticed.
    pub fn split(
        &mut self,
        remaining: Duration,
        stages: &[PoolId],
        observed: &StageLatencies,
        now: Instant,
    ) -> Result<Duration, NotRunReason> {
        let median = |pool| observed.quantiles(pool, now).map(|quantiles| quantiles.p50);
        let Some((first, later)) = stages.split_first() else {
            return Ok(remaining);
        };
        let reserved: Duration = later.iter().filter_map(median).sum();
        let needed = reserved + median(first).unwrap_or_default();
        if remaining.is_zero() {
            return Err(NotRunReason::DeadlineUnreachable);
        }
        if needed <= remaining {
            return Ok(remaining.saturating_sub(reserved));
        }
        self.refused += 1;
        if self.refused % PROBE_EVERY == 0 {
            Ok(remaining)
        } else {
            Err(NotRunReason::DeadlineUnreachable)
        }
    }
}
