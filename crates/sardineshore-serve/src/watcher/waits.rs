//! How long the calls of a [`StoreWatcher`] wait, and what they wait for.

use std::time::{Duration, Instant};

use rand::Rng;
use sardineshore_core::flow::store_era::SETTLE_TIME;
use slog::debug;

use super::StoreWatcher;
use crate::dialect::Table;

/// Longest time for which one call waits for a change of the configuration. It is short because
/// each response, also one without changes, confirms the configuration.
pub(super) const CONFIG_WAIT: Duration = Duration::from_millis(2400);
/// The same while others follow this instance: they notice its loss by missing confirmations.
pub(super) const READER_CONFIG_WAIT: Duration = Duration::from_millis(800);
/// Longest time for which one call waits for a change of the servers or instances. It can be long
/// because TCP keep-alive probes detect a dead connection.
const LONG_WAIT: Duration = Duration::from_secs(20);
/// Fraction of the drain bound to wait after a change of the servers, so that one call returns
/// several changes.
const SERVERS_DELAY_FRACTION: f64 = 0.5;
/// The same while others follow this instance, which hear of a change later.
const READER_SERVERS_DELAY_FRACTION: f64 = 0.15;
/// Delay after a change of the configuration, so that one call returns several changes.
const CONFIG_DELAY: Duration = Duration::from_millis(700);
/// Delay after a change of the instances, so that one call returns many starts.
pub(super) const INSTANCES_DELAY: Duration = Duration::from_millis(1200);
/// Delay after new evidence about crashes, so that one call returns that of several instances.
const CRASHES_DELAY: Duration = Duration::from_millis(100);
/// Delay after a change of rate limits, so that one call returns those of several servers.
const LIMITS_DELAY: Duration = Duration::from_millis(150);
/// Delay after a change of base versions, so that one call returns those of several pools.
const BASE_VERSIONS_DELAY: Duration = Duration::from_millis(150);
/// Back-off after the first failed call; it grows by this much with each further failure.
pub(super) const BACKOFF_STEP: Duration = Duration::from_millis(100);
/// Longest back-off.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The same while another instance will hand on the store's next response.
const FOLLOWER_BACKOFF_STEP: Duration = Duration::from_millis(500);
const FOLLOWER_MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Delay after a change of the servers while some of those in use have no entry.
const MISSING_SERVERS_DELAY: Duration = Duration::from_millis(150);
/// Time after the last of them was dropped for which followers may still use them, as they count
/// from when they got the change.
const MISSING_SERVERS_TAIL: Duration = Duration::from_millis(700);
/// Longest time for which one call waits for a change in this time.
const MISSING_SERVERS_TAIL_WAIT: Duration = Duration::from_millis(150);
/// Margin after which the store's response ends the use of servers without an entry.
const MISSING_SERVERS_MARGIN: Duration = Duration::from_millis(5);
/// Longest time at its start for which an instance waits to follow another one.
const FIRST_READER_WAIT: Duration = Duration::from_millis(600);
/// Time from the first start of all instances after which they have registered.
const GROWING_TIME: Duration = Duration::from_millis(1500);
/// How often a follower compares the store's clock with its own, which may drift apart.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_secs(120);

impl StoreWatcher {
    /// Whether all instances have just started for the first time: there is no configuration, and
    /// this instance is not listed.
    pub(super) fn is_first_start(&self) -> bool {
        let own = &self.peers.this_instance().name;
        self.state.config().is_none()
            && !self.instances.borrow().contains_key(own)
            && self.started_at.elapsed() < GROWING_TIME
    }

    /// At the first start of all instances, waits for a reader: there are no servers yet. Otherwise
    /// an instance reads the servers itself, as the link of one reader can't carry them to all.
    pub(super) async fn wait_at_first_start(&self) {
        let listed = async {
            while self.version(Table::Instances).is_none() {
                tokio::time::sleep(BACKOFF_STEP / 20).await;
            }
        };
        let _unknown = tokio::time::timeout(FIRST_READER_WAIT, listed).await;
        if self.is_first_start() {
            self.wait_for_first_reader().await;
        }
    }

    /// Waits for a reader to follow, for a while after the start of the instance.
    pub(super) async fn wait_for_first_reader(&self) {
        let longest = if self.state.config().is_none() {
            GROWING_TIME + FIRST_READER_WAIT
        } else {
            FIRST_READER_WAIT
        };
        let left = longest.saturating_sub(self.started_at.elapsed());
        let _none = tokio::time::timeout(left, self.relay.wait_for_expected_reader()).await;
    }

    /// Longest time for which one call waits for a change of a table.
    pub(super) fn longest_wait(&self, table: Table) -> Duration {
        match table {
            Table::Config if self.relay.has_subscribers() => READER_CONFIG_WAIT,
            Table::Config => CONFIG_WAIT,
            Table::Servers => self.longest_servers_wait(),
            Table::Instances if !self.unlisted_instances.borrow().is_empty() => SETTLE_TIME,
            Table::Instances | Table::Crashes | Table::Limits | Table::BaseVersions => LONG_WAIT,
        }
    }

    /// Longest time for which one call waits for a change of the servers. Only a response of the store
    /// ends the use of servers without an entry.
    fn longest_servers_wait(&self) -> Duration {
        let now = Instant::now();
        if let Some(end) = self.servers.borrow().next_end() {
            self.missing_until.set(Some(end.max(now)));
            return end.saturating_duration_since(now) + MISSING_SERVERS_MARGIN;
        }
        let tail = self.missing_until.get().map(|at| at + MISSING_SERVERS_TAIL);
        if tail.is_some_and(|tail| now < tail) && self.relay.has_subscribers() {
            MISSING_SERVERS_TAIL_WAIT
        } else {
            LONG_WAIT
        }
    }

    /// Delay after a change, so that one call returns several changes.
    pub(super) fn delay_after_change(&self, table: Table) -> Duration {
        match table {
            Table::Config => CONFIG_DELAY.min(self.longest_wait(table) / 2),
            Table::Servers if self.servers.borrow().next_end().is_some() => MISSING_SERVERS_DELAY,
            Table::Servers if self.relay.has_subscribers() => {
                self.drain_bound.mul_f64(READER_SERVERS_DELAY_FRACTION)
            }
            Table::Servers => self.drain_bound.mul_f64(SERVERS_DELAY_FRACTION),
            Table::Instances => INSTANCES_DELAY,
            Table::Crashes => CRASHES_DELAY,
            Table::Limits => LIMITS_DELAY,
            Table::BaseVersions => BASE_VERSIONS_DELAY,
        }
    }

    /// Waits while another instance is followed. For the configuration, calls the store now and then
    /// to compare the clocks; for the servers, to end the use of those without an entry if the other
    /// instance hands on no response in time.
    pub(super) async fn wait_as_follower(&self, table: Table) {
        loop {
            let left = CLOCK_CHECK_INTERVAL.saturating_sub(self.clock_checked_at.get().elapsed());
            let end = self.servers.borrow().next_end();
            let overdue = end.map(|end| end + MISSING_SERVERS_TAIL_WAIT * 2);
            let overdue_in = overdue.map(|at| at.saturating_duration_since(Instant::now()));
            tokio::select! {
                () = self.relay.wait_must_read(true) => return,
                () = self.check_clock.notified(), if table == Table::Config => {}
                () = tokio::time::sleep(left), if table == Table::Config => {}
                () = self.servers_applied.notified(), if table == Table::Servers => continue,
                () = tokio::time::sleep(overdue_in.unwrap_or(LONG_WAIT)),
                    if table == Table::Servers => if overdue_in.is_none() { continue },
            }
            if table == Table::Config {
                self.clock_checked_at.set(Instant::now());
            }
            let Some(after) = self.version(table) else {
                return;
            };
            match self.store.watch(table, after, Duration::ZERO).await {
                Ok(timed) => {
                    let _not_news = self.apply_page(table, timed, Some(after));
                }
                Err(error) => {
                    debug!(self.log, "call to the store as a follower failed"; "table" => ?table, "fault" => error.to_string());
                    tokio::time::sleep(MAX_BACKOFF).await;
                }
            }
        }
    }

    /// Waits until the last call for the configuration succeeded, since the last reader was lost.
    pub(super) async fn wait_until_reachable(&self) {
        loop {
            let changed = self.reachable_changed.notified();
            if self.reachable.get() == Some(self.relay.lost_reader_count()) {
                return;
            }
            tokio::select! {
                () = changed => {}
                () = self.relay.wait_must_read(false) => return,
            }
        }
    }

    /// Waits until the store is reachable again after an outage.
    pub(super) async fn wait_outage_end(&self) {
        let outages = self.outages.get();
        loop {
            let changed = self.reachable_changed.notified();
            if self.outages.get() != outages {
                return;
            }
            changed.await;
        }
    }

    /// Time before the next call, after so many failures in a row.
    pub(super) fn backoff(&self, failures: u32) -> Duration {
        let (step, max) = if self.relay.is_subscribed() && !self.relay.has_subscribers() {
            (FOLLOWER_BACKOFF_STEP, FOLLOWER_MAX_BACKOFF)
        } else {
            (BACKOFF_STEP, MAX_BACKOFF)
        };
        let spread = rand::rng().random_range(0.75..1.25);
        (step * failures).min(max).mul_f64(spread)
    }
}
