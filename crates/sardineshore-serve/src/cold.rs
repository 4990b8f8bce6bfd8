//! Reports which servers are cold, in the log and in the metrics.

use std::rc::Rc;
use std::time::Instant;

use sardineshore_core::flow::cold::ColdChange;
use slog::{Logger, info};

use crate::metrics::Metrics;
use crate::state::{SharedState, whole_ms};

/// Reports servers that turn cold or warm.
#[derive(Debug)]
pub struct ColdReporter {
    state: Rc<SharedState>,
    metrics: Rc<Metrics>,
    log: Logger,
}

impl ColdReporter {
    /// Creates a reporter of the servers in `state`.
    #[must_use]
    pub fn new(state: Rc<SharedState>, metrics: Rc<Metrics>, log: Logger) -> Self {
        Self {
            state,
            metrics,
            log,
        }
    }

    /// Logs the servers that turned cold or warm since the last call, and counts the cold ones.
    pub fn report(&self) {
        let now = Instant::now();
        let mut selector = self.state.selector.borrow_mut();
        let changes = selector.take_cold_changes(now);
        let cold_servers = selector.cold_servers(now);
        drop(selector);
        self.metrics
            .cold_servers
            .set(i64::try_from(cold_servers).unwrap_or(i64::MAX));
        for change in changes {
            match change {
                ColdChange::Cold {
                    id,
                    remaining,
                    cause,
                } => {
                    info!(self.log, "server is cold"; "server" => &*id, "ms" => whole_ms(remaining), "cause" => cause.label());
                }
                ColdChange::Warm { id } => {
                    info!(self.log, "server is warm again"; "server" => &*id);
                }
            }
        }
    }
}
