//! No kind of request is served worse than a less urgent one.
//!
//! Routes of equal customers share the servers by their aims alone: strict ranks would push back
//! work that was taken on. Where the more urgent are nevertheless served less often (their stages
//! are longer or their aims tighter), the less urgent are turned away earlier until both are even.

use std::time::{Duration, Instant};

use super::forecast::{RANKS, rank_index};

/// Time after which an observation counts half.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Recent jobs of a rank from which on its share says something.
const ENOUGH: f64 = 5.0;
/// By so much the more urgent are meant to be ahead: some of them are lost later on.
const LEAD: f64 = 0.03;
/// Nothing is turned away for others that are served at least so often.
const CALM: f64 = 0.9;
/// Part of the aim that is taken off for a whole share of difference.
const GAIN: f64 = 4.0;
/// Most that is taken off.
const MOST: f64 = 0.5;

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    asked: f64,
    in_time: f64,
}

/// Shares of recent jobs that were taken on as in time, by rank.
#[derive(Debug, Default)]
pub(super) struct Fairness {
    counts: [Count; RANKS],
    at: Option<Instant>,
}

impl Fairness {
    /// Records a verdict on a job of a rank.
    pub fn record(&mut self, rank: u32, in_time: bool, now: Instant) {
        let since = self.at.map_or(Duration::ZERO, |at| now.duration_since(at));
        let rest = 0.5_f64.powf(since.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.at = Some(now);
        for count in &mut self.counts {
            count.asked *= rest;
            count.in_time *= rest;
        }
        let count = &mut self.counts[rank_index(rank)];
        count.asked += 1.0;
        count.in_time += f64::from(u8::from(in_time));
    }

    /// A job that was taken on as in time isn't.
    pub fn missed(&mut self, rank: u32) {
        let count = &mut self.counts[rank_index(rank)];
        count.in_time = (count.in_time - 1.0).max(0.0);
    }

    /// How much less of its aim the forecast of a job of a rank may take.
    pub fn reduction(&self, rank: u32) -> f64 {
        let index = rank_index(rank);
        let Some(own) = share(&self.counts[index]) else {
            return 0.0;
        };
        let more_urgent = self.counts[..index].iter().filter_map(share);
        let worst = more_urgent.fold(1.0, f64::min);
        if worst > CALM {
            return 0.0;
        }
        (GAIN * (own + LEAD - worst)).clamp(0.0, MOST)
    }
}

fn share(count: &Count) -> Option<f64> {
    (count.asked >= ENOUGH).then(|| count.in_time / count.asked)
}
