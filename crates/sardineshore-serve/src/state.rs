//! State that all requests of an instance share: the active configuration, how recently the
//! store confirmed it, the servers with their health, and the retry budget.
//!
//! [`crate::watcher`] keeps it up to date from the store.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};
use sardineshore_core::flow::config::{ConfigIndex, Name};
use sardineshore_core::flow::freshness::Freshness;
use sardineshore_core::flow::retry_budget::RetryBudget;
use sardineshore_core::flow::selection::ServerSelector;
use sardineshore_core::flow::time_limit::StreamDurations;

use crate::activity::{Activity, DomainActivity};
use crate::settings::Settings;

/// Fraction of the revocation bound within which the configuration must have been confirmed for
/// requests with a key to be served.
const KEY_CHECK_FRACTION: f64 = 0.85;
/// Fraction of the revocation bound within which the configuration must have been confirmed for
/// the instance to be ready; smaller, so that callers go elsewhere before keys are refused.
const READY_FRACTION: f64 = 0.6;

/// State that all requests of an instance share.
#[derive(Debug)]
pub struct SharedState {
    config: RefCell<Option<Rc<ConfigIndex>>>,
    /// Backend servers with their load and health.
    pub selector: RefCell<ServerSelector>,
    /// Whether the list of servers has been read.
    pub servers_known: Cell<bool>,
    /// Whether the list of instances has been read.
    pub instances_known: Cell<bool>,
    /// Whether the evidence about crashes has been read.
    pub crashes_known: Cell<bool>,
    /// Whether the store states what the streams of the configuration need: a life that covers them and, at the
    /// first start, their base splits.
    pub streams_stated: Cell<bool>,
    /// When the store last confirmed that the configuration is the newest one.
    pub freshness: RefCell<Freshness>,
    /// Budget for sending a request to a further server.
    pub retry_budget: RefCell<RetryBudget>,
    /// Requests in progress by failure domain.
    pub activity: Rc<DomainActivity>,
    /// How long streams took lately.
    pub stream_durations: RefCell<StreamDurations>,
    revocation_bound: Duration,
    fail_closed: bool,
}

impl SharedState {
    /// State without a configuration and servers, as at the start of an instance.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let mut selector = ServerSelector::new(settings.domain.clone());
        selector.set_evacuation_bound(settings.bounds.evacuate);
        selector.set_cold_bound(settings.bounds.cold);
        selector.set_prices(settings.prices);
        Self {
            config: RefCell::default(),
            selector: RefCell::new(selector),
            servers_known: Cell::new(false),
            instances_known: Cell::new(false),
            crashes_known: Cell::new(false),
            streams_stated: Cell::new(false),
            freshness: RefCell::default(),
            retry_budget: RefCell::new(RetryBudget::new(settings.bounds.repeats)),
            activity: Rc::default(),
            stream_durations: RefCell::default(),
            revocation_bound: settings.bounds.revoke,
            fail_closed: settings.bounds.fail_closed,
        }
    }

    /// Active configuration; `None` until the first one has been read.
    #[must_use]
    pub fn config(&self) -> Option<Rc<ConfigIndex>> {
        self.config.borrow().clone()
    }

    /// Makes a configuration the active one if its version is higher than that of the current one.
    /// Returns whether it did.
    pub fn install_config(&self, mut config: ConfigIndex) -> bool {
        let mut current = self.config.borrow_mut();
        if current
            .as_ref()
            .is_some_and(|c| c.version() >= config.version())
        {
            return false;
        }
        if let Some(previous) = current.as_ref() {
            config.compare_timeouts(previous);
        }
        let routes: HashSet<&str> = config.route_names().collect();
        let mut durations = self.stream_durations.borrow_mut();
        durations.retain(|route| routes.contains(route));
        let cold = config
            .pools()
            .filter_map(|pool| Some((pool.name.clone(), pool.cold?)));
        self.selector.borrow_mut().set_cold_specs(cold);
        *current = Some(Rc::new(config));
        true
    }

    /// The evacuated failure domains, each with what is in progress there.
    #[must_use]
    pub fn evacuated_domains(&self) -> Vec<(Name, Option<Activity>)> {
        let selector = self.selector.borrow();
        let evacuated = selector.evacuations().evacuated();
        evacuated
            .map(|domain| (domain.clone(), self.activity.of(domain)))
            .collect()
    }

    /// Whether the configuration was confirmed recently enough to check keys against it.
    ///
    /// Always true unless the deployment asks to fail closed.
    #[must_use]
    pub fn keys_are_confirmed(&self) -> bool {
        !self.fail_closed
            || self.confirmed_within(self.revocation_bound.mul_f64(KEY_CHECK_FRACTION))
    }

    /// Whether the balancer should send new callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_some()
            && self.servers_known.get()
            && self.crashes_known.get()
            && self.streams_stated.get()
            && (!self.fail_closed
                || self.confirmed_within(self.revocation_bound.mul_f64(READY_FRACTION)))
    }

    fn confirmed_within(&self, bound: Duration) -> bool {
        self.freshness.borrow().within(boot_time(), bound)
    }
}

/// Time since the machine started, including time in which it was suspended.
#[must_use]
pub fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or_else(|_| Duration::ZERO, Duration::from)
}

/// Milliseconds since `start`, for log lines.
#[must_use]
pub fn elapsed_ms(start: Instant) -> u64 {
    whole_ms(start.elapsed())
}

/// A duration in whole milliseconds, for log lines.
#[must_use]
pub fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
