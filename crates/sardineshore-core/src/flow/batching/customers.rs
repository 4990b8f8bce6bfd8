//! Fairness between customers of a rank: a customer's burst is borne by this customer first.
//!
//! What a customer asks for in excess of its usual rate, or of an equal share if that is more, needs
//! shorter forecasts while a pool is overloaded. The rest of its jobs is treated as those of others.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::forecast::rank_index;
use crate::flow::config::Name;

/// Time constant of the present rate of a customer.
const SHORT: Duration = Duration::from_secs(1);
/// Time constant of its usual rate: several bursts.
const LONG: Duration = Duration::from_secs(30);
/// A customer may exceed its usual rate by this factor; rates fluctuate.
const TOLERANCE: f64 = 1.5;
/// Reduction of the share of the time to the soft deadline that forecasts of jobs in excess may take:
/// the head start of all others. At 0.3 and more, the excess is refused although there is capacity.
const REDUCTION: f64 = 0.15;
/// Interval between counts of the customers that ask for work.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);
/// Customers whose usual rate is below this, in servers' time per second, are forgotten.
const MIN_RATE: f64 = 1e-4;

/// Rates of one customer within a rank, as shares of the pools' throughput.
#[derive(Debug, Clone, Copy)]
struct Rates {
    short: f64,
    long: f64,
    updated_at: Instant,
    /// Fraction of a job in excess that is carried over to the next one.
    carried: f64,
}

impl Rates {
    fn decayed(self, now: Instant) -> Self {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let decay = |constant: Duration| (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp();
        Self {
            short: self.short * decay(SHORT),
            long: self.long * decay(LONG),
            updated_at: now,
            ..self
        }
    }
}

/// Recent rates of all customers by rank.
#[derive(Debug, Default)]
pub(super) struct Customers {
    rates: HashMap<(usize, Name), Rates>,
    /// Equal share of the present rate of a rank for each of its customers.
    equal_shares: HashMap<usize, f64>,
    counted_at: Option<Instant>,
    /// When the first job was recorded; usual rates are not known before [`LONG`] has passed.
    since: Option<Instant>,
}

impl Customers {
    /// Records a new job that takes this share of a second of the pools' throughput. Returns by how
    /// much to reduce the share of the time to its soft deadline that its forecast may take, if a
    /// pool that it needs is overloaded.
    pub fn record(&mut self, customer: &Name, rank: u32, cost: f64, now: Instant) -> f64 {
        if customer.is_empty() {
            return 0.0;
        }
        self.count(now);
        let since = *self.since.get_or_insert(now);
        let rank = rank_index(rank);
        let rates = self.rates.entry((rank, customer.clone())).or_insert(Rates {
            short: 0.0,
            long: 0.0,
            updated_at: now,
            carried: 0.0,
        });
        *rates = rates.decayed(now);
        rates.short += cost / SHORT.as_secs_f64();
        rates.long += cost / LONG.as_secs_f64();
        // An average that began a short time ago is too low.
        let age = now.saturating_duration_since(since).as_secs_f64();
        let filled = 1.0 - (-age / LONG.as_secs_f64()).exp();
        let usual = rates.long / filled.max(0.1);
        let equal = self.equal_shares.get(&rank).copied().unwrap_or(f64::MAX);
        let allowed = (usual * TOLERANCE).max(equal);
        if rates.short <= allowed {
            return 0.0;
        }
        rates.carried += 1.0 - allowed / rates.short;
        if rates.carried < 1.0 {
            return 0.0;
        }
        rates.carried -= 1.0;
        REDUCTION
    }

    /// Computes the equal shares, and forgets customers without recent jobs.
    fn count(&mut self, now: Instant) {
        if self.counted_at.is_some_and(|at| now < at + COUNT_INTERVAL) {
            return;
        }
        self.counted_at = Some(now);
        self.rates.retain(|_, rates| {
            *rates = rates.decayed(now);
            rates.long >= MIN_RATE
        });
        let mut sums: HashMap<usize, (f64, f64)> = HashMap::new();
        for ((rank, _), rates) in &self.rates {
            let (sum, count) = sums.entry(*rank).or_default();
            *sum += rates.short;
            *count += 1.0;
        }
        let shares = sums
            .into_iter()
            .map(|(rank, (sum, count))| (rank, sum / count));
        self.equal_shares = shares.collect();
    }
}
