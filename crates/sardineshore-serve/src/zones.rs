//! What this instance knows of the load of cells and of the ways to other failure domains, and how
//! it travels between instances (core: `flow/zones.rs`).
//!
//! Figures go along with messages that are sent anyway, in the same write: with jobs to the owners of
//! cells, with their outcomes and heartbeats, and with the rows that a reader of the store hands on.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::config::Name;
use sardineshore_core::flow::zones::{
    CellFigures, RoundTrips, SendIntervals, SpillRequest, Spillover, SpilloverPrices,
};
use slog::{Logger, info};

use crate::metrics::Metrics;
use crate::peers::Message;

/// Label of the metrics for cells, in place of a pool.
const STAGES_LABEL: &str = "stages";

/// Figures that were sent on a link, or to all that follow a reader: when those of each cell were
/// measured.
#[derive(Debug)]
pub struct SentFigures {
    intervals: SendIntervals,
    sent: RefCell<BTreeMap<Name, Instant>>,
}

impl SentFigures {
    /// None yet.
    #[must_use]
    pub fn new(intervals: SendIntervals) -> Self {
        Self {
            intervals,
            sent: RefCell::default(),
        }
    }
}

/// Loads of cells and round trips to domains, as this instance knows them.
#[derive(Debug)]
pub struct ZoneExchange {
    spillover: RefCell<Spillover>,
    metrics: Rc<Metrics>,
    log: Logger,
}

impl ZoneExchange {
    /// Knows nothing, for an instance in `domain`.
    #[must_use]
    pub fn new(domain: Name, prices: SpilloverPrices, metrics: Rc<Metrics>, log: Logger) -> Self {
        Self {
            spillover: RefCell::new(Spillover::new(domain, prices)),
            metrics,
            log,
        }
    }

    /// Records figures that were measured here.
    pub fn record_own(&self, figures: CellFigures) {
        let mut spillover = self.spillover.borrow_mut();
        spillover.record_own(figures, Instant::now());
    }

    /// Records figures that were received.
    pub fn record(&self, figures: impl IntoIterator<Item = CellFigures>) {
        let now = Instant::now();
        let mut spillover = self.spillover.borrow_mut();
        for figures in figures {
            spillover.record(figures, now);
        }
    }

    /// Message with the figures that are due on a link; `None` if there are none.
    #[must_use]
    pub fn due_message(&self, sent: &SentFigures) -> Option<Message> {
        let spillover = self.spillover.borrow();
        let mut known = sent.sent.borrow_mut();
        let figures = spillover.due_figures(&mut known, sent.intervals, Instant::now());
        (!figures.is_empty()).then_some(Message::Figures(figures))
    }

    /// Records how long it took to set up a connection to a domain or to get a heartbeat back.
    pub fn record_round_trip(&self, domain: &Name, time: Duration) {
        let mut spillover = self.spillover.borrow_mut();
        spillover.record_round_trip(domain, time, Instant::now());
    }

    /// Measured round trips.
    #[must_use]
    pub fn round_trips(&self) -> RoundTrips {
        self.spillover.borrow().round_trips().clone()
    }

    /// Cell that a job goes to; `None` if nothing is known of its home. Logs shares that changed.
    #[must_use]
    pub fn choose(&self, request: &SpillRequest<'_>, cells: &[Name]) -> Option<Name> {
        let mut spillover = self.spillover.borrow_mut();
        let chosen = spillover.choose(request, cells, Instant::now());
        for change in spillover.take_changes() {
            info!(self.log, "share of jobs that leave their cell"; "home" => &*change.from,
                "to" => &*change.to, "percent" => (change.share * 100.0).round());
        }
        chosen
    }

    /// Cell with room for a job that another one refused; `None` if none is known to have some.
    #[must_use]
    pub fn with_room(&self, refused_by: &Name, hash_key: &str, cells: &[Name]) -> Option<Name> {
        let spillover = self.spillover.borrow();
        spillover.with_room(refused_by, hash_key, cells, Instant::now())
    }

    /// Counts a job that goes to a cell, and why.
    pub fn count_job(&self, home: &Name, cell: &Name, reason: &str) {
        self.count(STAGES_LABEL, home, cell, reason);
    }

    /// Counts a request that goes to a domain, and why.
    pub fn count(&self, pool: &str, from: &Name, to: &Name, reason: &str) {
        let labels = [pool, from, to, reason];
        self.metrics.crossings.with_label_values(&labels).inc();
    }
}
