//! Gauges of the configuration version, its confirmation and the contact with peers.

use prometheus::{Gauge, IntGauge, Registry};

use super::ConfigService;

/// Gauges of one instance.
#[derive(Debug)]
pub struct ConfigGauges {
    version: IntGauge,
    confirmation_age: Gauge,
    members: IntGauge,
    heard: IntGauge,
    may_dispatch: IntGauge,
}

impl Default for ConfigGauges {
    fn default() -> Self {
        let age = Gauge::new(
            "sardine_config_confirmation_age_seconds",
            "Time since the store confirmed the version in force; -1 before the first time",
        );
        Self {
            version: gauge("sardine_config_version", "Configuration version in force"),
            confirmation_age: age.expect("the metric name is valid"),
            members: gauge(
                "sardine_config_members",
                "Instances that count towards a majority",
            ),
            heard: gauge(
                "sardine_config_members_heard",
                "Instances heard lately, this one included",
            ),
            may_dispatch: gauge(
                "sardine_config_confirmed",
                "1 while the configuration is confirmed, 0 while the instance is fenced",
            ),
        }
    }
}

impl ConfigGauges {
    /// Adds the gauges to a registry.
    ///
    /// # Panics
    ///
    /// Panics if the registry has metrics of these names.
    pub fn register(&self, registry: &Registry) {
        let all: [Box<dyn prometheus::core::Collector>; 5] = [
            Box::new(self.version.clone()),
            Box::new(self.confirmation_age.clone()),
            Box::new(self.members.clone()),
            Box::new(self.heard.clone()),
            Box::new(self.may_dispatch.clone()),
        ];
        for collector in all {
            registry
                .register(collector)
                .expect("metric names are distinct");
        }
    }
}

impl ConfigService {
    /// Sets the gauges from the current state.
    pub fn update_gauges(&self) {
        let state = self.state();
        let now = self.now();
        let quorum = state.quorum.status(now);
        let age = state.quorum.confirmation_age(now);
        let gauges = &self.gauges;
        gauges.version.set(number(state.log.version()));
        gauges
            .confirmation_age
            .set(age.map_or(-1.0, |age| age.as_secs_f64()));
        gauges.members.set(number(quorum.members as u64));
        gauges.heard.set(number(quorum.heard as u64));
        let may_dispatch = state.quorum.may_dispatch(now);
        gauges.may_dispatch.set(may_dispatch.into());
    }

    /// The gauges, which the tasks update regularly.
    #[must_use]
    pub fn gauges(&self) -> &ConfigGauges {
        &self.gauges
    }
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the metric name is valid")
}

fn number(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
