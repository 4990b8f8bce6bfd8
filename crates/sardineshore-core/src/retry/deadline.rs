//! Splits the remaining time of a request over its remaining stages.

use std::time::{Duration, Instant};

use super::StageLatencies;
use crate::{NotRunReason, PoolId};

/// One of this many requests with an unreachable deadline runs nevertheless, so that the latencies
/// of the stages are measured again.
const PROBE_INTERVAL: u32 = 10;

/// Splits deadlines by the median latencies of stages.
///
/// A stage may use the remaining time except the sum of the median latencies of the stages after
/// it.
#[derive(Debug, Default)]
pub struct DeadlineSplitter {
    unreachable_count: u32,
}

impl DeadlineSplitter {
    /// Returns the time that the first of `stages` may take, given the time that remains for all of
    /// them.
    ///
    /// Returns [`NotRunReason::DeadlineUnreachable`] if the sum of their medians exceeds the
    /// remaining time. One of ten such requests passes nevertheless, so that stages that became
    /// faster are noticed.
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
        self.unreachable_count += 1;
        if self.unreachable_count % PROBE_INTERVAL == 0 {
            Ok(remaining)
        } else {
            Err(NotRunReason::DeadlineUnreachable)
        }
    }
}
