//! Applies the operators' rows that ask to send nothing to the servers of a failure domain, and follows the
//! domains until they are closed, or take all requests again.

use std::time::{Duration, Instant};

use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::evacuation::{EvacuationChanges, earliest_write};
use sardineshore_core::flow::replica::StoreVersion;
use sardineshore_core::flow::store_era::SETTLE_TIME;
use slog::info;

use super::waits::{CONFIG_WAIT, READER_CONFIG_WAIT};
use super::{StoreWatcher, table_index};
use crate::dialect::Table;
use crate::state::{boot_time, elapsed_ms, whole_ms};

/// Shortest time between two checks of the domains. A row that a restored store lacks is checked this often
/// until the store's next response.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl StoreWatcher {
    /// Applies the rows that evacuate domains, as the replica has them. `is_restored` tells whether these are
    /// the first rows of a restored store.
    pub(super) fn apply_evacuations(&self, is_restored: bool) {
        let rows = self.evacuation_rows();
        let now = Instant::now();
        let confirmed = self.confirmed_at(now);
        let mut selector = self.state.selector.borrow_mut();
        let changes = if is_restored {
            selector.set_restored_evacuations(&rows, now + SETTLE_TIME, now)
        } else {
            let earliest = earliest_write(confirmed, self.confirmation_interval(), now);
            // An instance that has just started has no work there that could move gradually.
            let was_connected = confirmed.is_some();
            let assumed = selector.evacuations().assumed_write(now);
            let earliest = earliest.or(assumed.filter(|_| was_connected));
            selector.set_evacuations(&rows, earliest, now)
        };
        drop(selector);
        if is_restored || !changes.is_empty() {
            // Rows that the store lacks may lapse.
            self.evacuations_changed.notify_one();
        }
        if changes.is_empty() {
            return;
        }
        self.log_evacuations(&changes, confirmed, now);
        (self.on_change)();
    }

    /// The domains that rows of the store evacuate, with the versions of these rows.
    fn evacuation_rows(&self) -> Vec<(Name, StoreVersion)> {
        let replicas = self.replicas.borrow();
        let rows = replicas[table_index(Table::Config)].rows();
        let rows = rows.filter(|row| row.value.is_some());
        rows.filter_map(|row| Some((self.dialect.evacuated_domain(&row.key)?, row.version)))
            .collect()
    }

    /// When the store produced its newest response with all rows, as far as is known.
    fn confirmed_at(&self, now: Instant) -> Option<Instant> {
        let age = self.state.freshness.borrow().age(boot_time())?;
        now.checked_sub(age)
    }

    /// Longest time between two responses of the store with all rows.
    fn confirmation_interval(&self) -> Duration {
        if self.relay.must_read() && !self.relay.has_subscribers() {
            CONFIG_WAIT
        } else {
            READER_CONFIG_WAIT
        }
    }

    fn log_evacuations(
        &self,
        changes: &EvacuationChanges,
        confirmed: Option<Instant>,
        now: Instant,
    ) {
        let age = confirmed.map(|at| whole_ms(now.saturating_duration_since(at)));
        for (domain, row) in &changes.begun {
            info!(self.log, "failure domain is evacuated"; "evacuated" => &**domain, "row" => row.number, "era" => row.era, "age_ms" => age);
        }
        for domain in &changes.ended {
            info!(self.log, "failure domain returns to service"; "evacuated" => &**domain);
        }
    }

    /// Follows the evacuated domains, forever: ends what a restored store lacks, and has the cells divided
    /// again when a domain closes or is open to all requests.
    pub(super) async fn follow_evacuations(&self) {
        let mut closed: Vec<Name> = Vec::new();
        // Closed domains in which requests were still in progress when they were last checked.
        let mut busy: Vec<(Name, Instant)> = Vec::new();
        loop {
            let now = Instant::now();
            let (ended, closed_now) = self.update_evacuations(now);
            for domain in closed_now.iter().filter(|domain| !closed.contains(domain)) {
                let activity = self.state.activity.of(domain);
                let in_progress = activity.map_or(0, |activity| activity.in_progress);
                info!(self.log, "failure domain is closed"; "evacuated" => &**domain, "in_progress" => in_progress);
                busy.push((domain.clone(), now));
            }
            let changes = EvacuationChanges {
                begun: Vec::new(),
                ended,
            };
            self.log_evacuations(&changes, None, now);
            if closed_now != closed || !changes.is_empty() {
                (self.on_change)();
            }
            closed = closed_now;
            busy.retain(|(domain, since)| self.is_busy(domain, *since, &closed));
            let wait = self.time_to_change(now);
            tokio::select! {
                () = self.evacuations_changed.notified() => {}
                () = self.state.activity.wait_for_end(), if !busy.is_empty() => {}
                () = tokio::time::sleep(wait.unwrap_or_default()), if wait.is_some() => {}
            }
        }
    }

    /// Ends the evacuations that a restored store lacks. Returns the domains of these, and the closed ones.
    fn update_evacuations(&self, now: Instant) -> (Vec<Name>, Vec<Name>) {
        let confirmed = self.confirmed_at(now);
        let mut selector = self.state.selector.borrow_mut();
        let ended = selector.update_evacuations(confirmed, now);
        let evacuations = selector.evacuations();
        let mut closed: Vec<Name> = evacuations.evacuated().cloned().collect();
        closed.retain(|domain| evacuations.is_closed(domain, now));
        (ended, closed)
    }

    /// Time until a domain closes, takes all requests again, or may lapse; `None` if nothing of the kind is
    /// pending.
    fn time_to_change(&self, now: Instant) -> Option<Duration> {
        let next = self.state.selector.borrow().evacuations().next_change(now);
        next.map(|at| at.saturating_duration_since(now).max(CHECK_INTERVAL))
    }

    /// Whether requests are in progress in a domain that was closed at `since`; logs the end of the last one.
    fn is_busy(&self, domain: &Name, since: Instant, closed: &[Name]) -> bool {
        let activity = self.state.activity.of(domain);
        let is_closed = closed.contains(domain);
        if is_closed && activity.is_some_and(|activity| activity.in_progress > 0) {
            return true;
        }
        if is_closed {
            let sent = activity.map(|activity| elapsed_ms(activity.sent_at));
            info!(self.log, "last request in an evacuated failure domain ended"; "evacuated" => &**domain, "closed_ms" => elapsed_ms(since), "sent_ms" => sent);
        }
        false
    }
}
