//! Counts of refused jobs for the operators' log, by route, customer and reason.

use std::collections::HashMap;

use super::messages::RefusalReason;
use crate::flow::config::Name;

/// Most counts between two reports. Further refusals are counted without a customer.
const MAX_COUNTS: usize = 256;

/// Refused and given up jobs since the last report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalCount {
    /// Route of the requests.
    pub route: Name,
    /// Customer that sent them; empty if the route needs no key, or if there were too many.
    pub customer: Name,
    /// Why they were refused or given up.
    pub reason: RefusalReason,
    /// Number of jobs.
    pub count: u32,
}

/// Counts since the last report.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    counts: HashMap<(Name, Name, RefusalReason), u32>,
}

impl Refusals {
    /// Records a refused or given up job.
    pub fn record(&mut self, route: &Name, customer: &Name, reason: RefusalReason) {
        let mut key = (route.clone(), customer.clone(), reason);
        if self.counts.len() >= MAX_COUNTS && !self.counts.contains_key(&key) {
            key.1 = "".into();
        }
        *self.counts.entry(key).or_default() += 1;
    }

    /// Takes the counts since the last call, the largest first.
    pub fn take(&mut self) -> Vec<RefusalCount> {
        let counts = self.counts.drain();
        let mut counts: Vec<RefusalCount> = counts
            .map(|((route, customer, reason), count)| RefusalCount {
                route,
                customer,
                reason,
                count,
            })
            .collect();
        counts.sort_unstable_by(|a, b| {
            let by_names = (&a.route, &a.customer).cmp(&(&b.route, &b.customer));
            b.count.cmp(&a.count).then(by_names)
        });
        counts
    }
}
