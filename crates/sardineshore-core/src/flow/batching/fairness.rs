//! Fairness between ranks: a request is not served worse than a less urgent one.
//!
//! Routes of customers of equal rank share the servers by soft deadline alone, because strict
//! priorities would delay jobs that are accepted already. More urgent requests can then still meet
//! their soft deadlines less often, as they have longer stages or tighter soft deadlines. In that
//! case the scheduler becomes stricter with less urgent ones until both are served equally, and late
//! jobs of the more urgent one may wait longer.

use std::time::{Duration, Instant};

use super::forecast::{RANK_COUNT, rank_index};

/// Time after which an observation has half its weight.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Least weighted number of recent jobs of a rank for its share to be significant.
const MIN_JOBS: f64 = 5.0;
/// Margin by which the share of a more urgent rank should be higher, as some of its jobs become late
/// after they are accepted.
const URGENT_LEAD: f64 = 0.03;
/// Less urgent ranks are not reduced while the shares of all more urgent ones are above this.
const SUFFICIENT_SHARE: f64 = 0.9;
/// Reduction per unit of difference between the shares of two ranks.
const REDUCTION_GAIN: f64 = 4.0;
/// Largest reduction.
const MAX_REDUCTION: f64 = 0.5;

/// Recent jobs of one rank, weighted by age: all of them, and those accepted as on time.
#[derive(Debug, Clone, Copy, Default)]
struct RankCounts {
    submitted: f64,
    on_time: f64,
}

/// Share of recent jobs of each rank that were accepted as on time.
#[derive(Debug, Default)]
pub(super) struct Fairness {
    counts: [RankCounts; RANK_COUNT],
    updated_at: Option<Instant>,
}

impl Fairness {
    /// Records a new job of a rank, and whether its forecast meets the soft deadline.
    pub fn record(&mut self, rank: u32, on_time: bool, now: Instant) {
        let elapsed = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.duration_since(at));
        let decay = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.updated_at = Some(now);
        for count in &mut self.counts {
            count.submitted *= decay;
            count.on_time *= decay;
        }
        let count = &mut self.counts[rank_index(rank)];
        count.submitted += 1.0;
        count.on_time += f64::from(u8::from(on_time));
    }

    /// Records that a job which was accepted as on time has become late.
    pub fn record_miss(&mut self, rank: u32) {
        let count = &mut self.counts[rank_index(rank)];
        count.on_time = (count.on_time - 1.0).max(0.0);
    }

    /// How much worse a rank is served than the less urgent rank that is served best, from 0 to 1.
    pub fn deficit(&self, rank: u32) -> f64 {
        let index = rank_index(rank);
        let Some(own) = share(&self.counts[index]) else {
            return 0.0;
        };
        let less_urgent = self.counts[index + 1..].iter().filter_map(share);
        (REDUCTION_GAIN * (less_urgent.fold(0.0, f64::max) - own)).clamp(0.0, 1.0)
    }

    /// How much to subtract, for a job of this rank, from the share of the time to its soft deadline
    /// that the forecast may take; from 0 to [`MAX_REDUCTION`].
    pub fn reduction(&self, rank: u32) -> f64 {
        let index = rank_index(rank);
        let Some(own) = share(&self.counts[index]) else {
            return 0.0;
        };
        let more_urgent = self.counts[..index].iter().filter_map(share);
        let worst = more_urgent.fold(1.0, f64::min);
        if worst > SUFFICIENT_SHARE {
            return 0.0;
        }
        (REDUCTION_GAIN * (own + URGENT_LEAD - worst)).clamp(0.0, MAX_REDUCTION)
    }
}

/// Share of jobs accepted as on time; `None` if there are too few jobs.
fn share(count: &RankCounts) -> Option<f64> {
    (count.submitted >= MIN_JOBS).then(|| count.on_time / count.submitted)
}
