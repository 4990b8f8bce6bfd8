//! Metrics of evacuated failure domains.

use prometheus::{GaugeVec, IntGauge, IntGaugeVec, Opts, Registry};
use sardineshore_core::flow::config::Name;

use crate::activity::Activity;

/// What goes on in evacuated failure domains.
#[derive(Debug, Clone)]
pub struct EvacuationMetrics {
    /// Evacuated domains.
    domains: IntGauge,
    /// Requests in progress at servers of evacuated domains, by domain.
    requests: IntGaugeVec,
    /// Seconds since a request was sent to servers of evacuated domains, by domain.
    sent_seconds: GaugeVec,
}

impl EvacuationMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if a name is invalid or taken.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let domains = IntGauge::new("sardine_evacuated_domains", "Evacuated domains.")?;
        registry.register(Box::new(domains.clone()))?;
        let requests = IntGaugeVec::new(
            Opts::new(
                "sardine_evacuated_requests",
                "Requests in progress at servers of evacuated domains.",
            ),
            &["domain"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        let sent_seconds = GaugeVec::new(
            Opts::new(
                "sardine_evacuated_sent_seconds",
                "Time since a request was sent to servers of evacuated domains.",
            ),
            &["domain"],
        )?;
        registry.register(Box::new(sent_seconds.clone()))?;
        Ok(Self {
            domains,
            requests,
            sent_seconds,
        })
    }

    /// Records the evacuated domains, each with what is in progress there.
    pub fn set(&self, domains: &[(Name, Option<Activity>)]) {
        let count = i64::try_from(domains.len()).unwrap_or(i64::MAX);
        self.domains.set(count);
        self.requests.reset();
        self.sent_seconds.reset();
        for (domain, activity) in domains {
            let in_progress = activity.map_or(0, |activity| activity.in_progress);
            let requests = self.requests.with_label_values(&[domain]);
            requests.set(i64::from(in_progress));
            if let Some(activity) = activity {
                let sent = self.sent_seconds.with_label_values(&[domain]);
                sent.set(activity.sent_at.elapsed().as_secs_f64());
            }
        }
    }
}
