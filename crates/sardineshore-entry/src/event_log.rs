//! The event log: writes numbered events to the log, and keeps those of recent requests in memory
//! for the operators' query `explain`.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use sardineshore_core::clock::unix_ms;
use sardineshore_core::{Clock, EventKind, EventRow, InstanceId, RequestId};
use slog::{Logger, debug, info, warn};

/// Number of recent requests whose events are kept.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of events kept for one request; later ones are only logged.
const MAX_EVENTS_PER_REQUEST: usize = 64;

/// The log of one instance and the events of its recent requests.
#[derive(Debug)]
pub struct EventLog {
    log: Logger,
    instance: InstanceId,
    clock: Arc<dyn Clock>,
    recent: Mutex<RecentEvents>,
}

#[derive(Debug, Default)]
struct RecentEvents {
    events: HashMap<RequestId, Vec<EventRow>>,
    order: VecDeque<RequestId>,
}

impl EventLog {
    /// Creates an event log that writes to `log`.
    #[must_use]
    pub fn new(log: Logger, instance: InstanceId, clock: Arc<dyn Clock>) -> Self {
        Self {
            log,
            instance,
            clock,
            recent: Mutex::default(),
        }
    }

    /// Records an event of one request and logs it at debug level.
    pub fn record_request(&self, request: &RequestId, kind: &EventKind, text: impl Into<String>) {
        let text = text.into();
        debug!(self.log, "{}", kind.name; "event" => kind.number, "request" => &**request, "text" => &text);
        let row = EventRow {
            at_ms: unix_ms(self.clock.wall_time()),
            instance: self.instance.clone(),
            event: kind.number,
            text: format!("{}: {text}", kind.name),
        };
        self.recent
            .lock()
            .expect("event log lock poisoned")
            .push(request, row);
    }

    /// Logs an event of the instance at info level.
    pub fn info(&self, kind: &EventKind, text: impl AsRef<str>) {
        info!(self.log, "{}", kind.name; "event" => kind.number, "text" => text.as_ref());
    }

    /// Logs an event that may need an operator's action at warning level.
    pub fn warn(&self, kind: &EventKind, text: impl AsRef<str>) {
        warn!(self.log, "{}", kind.name; "event" => kind.number, "text" => text.as_ref());
    }

    /// Events of one request, oldest first; empty if the request is not known to this instance.
    #[must_use]
    pub fn explain(&self, request: &str) -> Vec<EventRow> {
        let recent = self.recent.lock().expect("event log lock poisoned");
        recent.events.get(request).cloned().unwrap_or_default()
    }
}

impl RecentEvents {
    fn push(&mut self, request: &RequestId, row: EventRow) {
        if let Some(rows) = self.events.get_mut(request) {
            if rows.len() < MAX_EVENTS_PER_REQUEST {
                rows.push(row);
            }
            return;
        }
        self.events.insert(request.clone(), vec![row]);
        self.order.push_back(request.clone());
        if self.order.len() > MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.events.remove(&oldest);
        }
    }
}
