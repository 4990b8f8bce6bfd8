//! How much work leaves each domain for which other one.
//!
//! The plan comes from the demand by home, which doesn't depend on where the work was sent. Figures
//! that are late therefore make the plan late, but not oscillate. Queues correct it slowly.

use std::time::Duration;

/// Queue up to which a domain serves its own callers as they expect it, half the time of a call.
pub const QUEUE_TARGET: Duration = Duration::from_millis(150);
/// Utilization up to which a domain takes the work of others. The rest is for the variation of its
/// own arrivals.
const HELP_UP_TO: f64 = 0.93;
/// Least time in which a queue over its target is worked off by other domains.
const DRAIN_TIME: f64 = 1.0;
/// Multiple of the age of the figures that the drain time is at least. A queue that is corrected
/// faster than about 1.6 times its delay oscillates.
const DRAIN_TIME_PER_AGE: f64 = 2.5;
/// Rounds in which work that a full domain can't take is divided among the others.
const ROUNDS: usize = 4;

/// A domain as the plan sees it; capacity and demand in the same unit per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DomainLoad {
    /// Work that its servers can do.
    pub capacity: f64,
    /// Work of the callers whose home it is, wherever that is served.
    pub demand: f64,
    /// Time that its servers need for the work that waits.
    pub queue: Duration,
    /// Age of these figures.
    pub age: Duration,
}

impl DomainLoad {
    fn drain_time(&self) -> f64 {
        DRAIN_TIME.max(DRAIN_TIME_PER_AGE * self.age.as_secs_f64())
    }

    /// Work by which the demand and the queue exceed what the domain can do.
    fn excess(&self) -> f64 {
        let queued = self.queue.saturating_sub(QUEUE_TARGET).as_secs_f64();
        let excess = self.demand - self.capacity + queued * self.capacity / self.drain_time();
        excess.clamp(0.0, self.demand)
    }

    /// Work of others that the domain can take without delaying its own callers.
    #[must_use]
    pub fn room(&self) -> f64 {
        let queued = self.queue.saturating_sub(QUEUE_TARGET / 2).as_secs_f64();
        let taken = self.demand + queued * self.capacity / self.drain_time();
        (HELP_UP_TO * self.capacity - taken).max(0.0)
    }

    /// Time that work which arrives now is expected to wait: the queue, and what it grows by within
    /// the drain time if all the demand stays.
    #[must_use]
    pub fn expected_wait(&self) -> f64 {
        let growth = self.demand / self.capacity.max(f64::EPSILON) - 1.0;
        self.queue.as_secs_f64() + growth.clamp(0.0, 1.0) * DRAIN_TIME
    }
}

/// Work per second that leaves each domain (first index) for each other one. `crossing` is the time
/// that it costs to send from one domain to the other instead of serving at home.
///
/// Work leaves only where that shortens its wait by more than the crossing, no domain takes more than
/// it has room for, and the rest is divided by room, less to domains that are far away.
#[must_use]
pub fn plan_flows(
    domains: &[DomainLoad],
    crossing: impl Fn(usize, usize) -> Duration,
) -> Vec<Vec<f64>> {
    let count = domains.len();
    let mut flows = vec![vec![0.0; count]; count];
    let mut excess: Vec<f64> = domains.iter().map(DomainLoad::excess).collect();
    let mut room: Vec<f64> = domains.iter().map(DomainLoad::room).collect();
    for _ in 0..ROUNDS {
        let mut offers = vec![vec![0.0; count]; count];
        for from in (0..count).filter(|from| excess[*from] > 0.0) {
            let weights: Vec<f64> = (0..count)
                .map(|to| {
                    let gain = gain(&domains[from], &domains[to], crossing(from, to));
                    let distance = crossing(from, to).as_secs_f64();
                    let near = QUEUE_TARGET.as_secs_f64() / (QUEUE_TARGET.as_secs_f64() + distance);
                    if to == from || gain <= 0.0 {
                        0.0
                    } else {
                        room[to] * near
                    }
                })
                .collect();
            let sum: f64 = weights.iter().sum();
            for to in (0..count).filter(|_| sum > 0.0) {
                offers[from][to] = excess[from] * weights[to] / sum;
            }
        }
        let mut moved = 0.0;
        for to in 0..count {
            let offered: f64 = offers.iter().map(|row| row[to]).sum();
            if offered <= 0.0 {
                continue;
            }
            let accepted = (room[to] / offered).min(1.0);
            for from in 0..count {
                let flow = offers[from][to] * accepted;
                flows[from][to] += flow;
                excess[from] = (excess[from] - flow).max(0.0);
                moved += flow;
            }
            room[to] = (room[to] - offered * accepted).max(0.0);
        }
        if moved <= 0.0 {
            break;
        }
    }
    flows
}

/// Seconds that work saves by leaving one domain for the other.
#[must_use]
pub fn gain(from: &DomainLoad, to: &DomainLoad, crossing: Duration) -> f64 {
    from.expected_wait() - to.expected_wait() - crossing.as_secs_f64()
}
