//! What an instance knows: the site, the servers, how fresh both are.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nix::time::{ClockId, clock_gettime};
use sardineshore_core::flow::config::ConfigIndex;
use sardineshore_core::flow::freshness::Freshness;
use sardineshore_core::flow::retry_budget::RetryBudget;
use sardineshore_core::flow::selection::ServerSelector;

use crate::settings::Settings;

/// Part of the revocation bound after which requests with a key are refused.
const FRESH_PART: f64 = 0.85;
/// Part of the revocation bound after which the instance isn't ready.
const READY_PART: f64 = 0.6;

/// Shared state of an instance.
#[derive(Debug)]
pub struct SharedState {
    config: RefCell<Option<Rc<ConfigIndex>>>,
    /// Servers and their health.
    pub selector: RefCell<ServerSelector>,
    /// Proofs that the site is the newest one.
    pub freshness: RefCell<Freshness>,
    /// Repeated sends.
    pub retry_budget: RefCell<RetryBudget>,
    revoke: Duration,
    fail_closed: bool,
}

impl SharedState {
    /// Knows nothing yet.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            config: RefCell::default(),
            selector: RefCell::new(ServerSelector::new(settings.domain.clone())),
            freshness: RefCell::default(),
            retry_budget: RefCell::new(RetryBudget::new(settings.bounds.repeats)),
            revoke: settings.bounds.revoke,
            fail_closed: settings.bounds.fail_closed,
        }
    }

    /// The site in force.
    #[must_use]
    pub fn config(&self) -> Option<Rc<ConfigIndex>> {
        self.config.borrow().clone()
    }

    /// Puts a version in force unless a newer one is. Returns whether it changed anything.
    pub fn install_config(&self, site: ConfigIndex) -> bool {
        let mut held = self.config.borrow_mut();
        if held.as_ref().is_some_and(|h| h.version() >= site.version()) {
            return false;
        }
        *held = Some(Rc::new(site));
        true
    }

    /// Whether keys can be trusted now.
    #[must_use]
    pub fn keys_are_confirmed(&self) -> bool {
        !self.fail_closed || self.proved_within(self.revoke.mul_f64(FRESH_PART))
    }

    /// Whether new callers should come here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_some()
            && (!self.fail_closed || self.proved_within(self.revoke.mul_f64(READY_PART)))
    }

    fn proved_within(&self, bound: Duration) -> bool {
        self.freshness.borrow().within(boot_time(), bound)
    }
}

/// Time since the machine started, suspended time included.
#[must_use]
pub fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or_else(|_| Duration::ZERO, Duration::from)
}

/// Time since `start` on the monotonic clock, for log lines in milliseconds.
#[must_use]
pub fn elapsed_ms(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}
