//! State machine that acquires, renews and releases one lease for one instance.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{LeaseAction, LeaseConfig, LeaseEvent, LeaseRow};
use crate::{CommitOutcome, FencingToken, InstanceId, Revision, Row, StoreError, Txn};

/// Lease row that this instance does not hold, as it was last read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Observed {
    row: LeaseRow,
    revision: Revision,
    /// When this instance first saw the row at this revision.
    since: Instant,
}

/// Store call whose result is awaited.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum PendingCall {
    Write {
        fence: FencingToken,
        released: bool,
        sent_at: Instant,
    },
    Read,
}

/// State machine of one lease on one instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseMachine {
    key: Arc<str>,
    instance: InstanceId,
    cfg: LeaseConfig,
    wanted: bool,
    /// Fencing token of this instance's row, unless another row is known to have replaced it.
    fence: Option<FencingToken>,
    /// Revision that the next write replaces; 0 if the row must not exist.
    base: Revision,
    /// When the write was sent from which the duration of the held lease counts.
    held_from: Option<Instant>,
    /// When the first write was sent whose effect is not known. If this instance's row is found
    /// later, any of these writes may have written it, so the lease counts from the first.
    unconfirmed_from: Option<Instant>,
    observed: Option<Observed>,
    pending_call: Option<PendingCall>,
    wake_at: Option<Instant>,
}

impl LeaseMachine {
    /// Creates a machine for the lease of `group`; it does not want the lease yet.
    #[must_use]
    pub fn new(group: &str, instance: InstanceId, cfg: LeaseConfig) -> Self {
        Self {
            key: format!("lease/{group}").into(),
            instance,
            cfg,
            wanted: false,
            fence: None,
            base: 0,
            held_from: None,
            unconfirmed_from: None,
            observed: None,
            pending_call: None,
            wake_at: None,
        }
    }

    /// Fencing token under which this instance may send orders at this moment; `None` if it does
    /// not hold the lease, or holds it only for the rest of the margin.
    #[must_use]
    pub fn current_token(&self, now: Instant) -> Option<FencingToken> {
        let from = self.held_from?;
        let until = from + self.cfg.duration.saturating_sub(self.cfg.margin);
        if now < until { self.fence } else { None }
    }

    /// Handles one event and returns the actions to perform, in order.
    #[must_use]
    pub fn step(&mut self, event: LeaseEvent, now: Instant) -> Vec<LeaseAction> {
        let mut out = Vec::new();
        match event {
            LeaseEvent::Wanted(wanted) => self.on_wanted(wanted, now, &mut out),
            LeaseEvent::Committed(result) => self.on_committed(result, now),
            LeaseEvent::RowRead(result) => self.on_row_read(result, now, &mut out),
            LeaseEvent::Tick => self.on_tick(now, &mut out),
        }
        if let Some(at) = self.wake_at {
            out.push(LeaseAction::WakeAt(at));
        }
        out
    }

    fn on_wanted(&mut self, wanted: bool, now: Instant, out: &mut Vec<LeaseAction>) {
        if self.wanted == wanted {
            return;
        }
        self.wanted = wanted;
        if !wanted {
            self.held_from = None;
        }
        self.issue_next_call(now, out);
    }

    fn on_tick(&mut self, now: Instant, out: &mut Vec<LeaseAction>) {
        if self.wake_at.is_some_and(|at| now >= at) {
            self.wake_at = None;
            self.issue_next_call(now, out);
        }
    }

    /// Issues the next store call, unless one is outstanding: a write of this instance's row, or a
    /// read of the row of another holder.
    fn issue_next_call(&mut self, now: Instant, out: &mut Vec<LeaseAction>) {
        if self.pending_call.is_some() {
            return;
        }
        match (self.fence, &self.observed) {
            (Some(fence), _) => self.write(fence, now, out),
            (None, _) if !self.wanted => self.wake_at = None,
            (None, None) => self.write(1, now, out),
            (None, Some(_)) => {
                self.pending_call = Some(PendingCall::Read);
                out.push(LeaseAction::ReadRow(self.key.clone()));
            }
        }
    }

    fn write(&mut self, fence: FencingToken, now: Instant, out: &mut Vec<LeaseAction>) {
        let released = !self.wanted;
        let row = LeaseRow {
            holder: self.instance.clone(),
            fence,
            duration_ms: u64::try_from(self.cfg.duration.as_millis()).unwrap_or(u64::MAX),
            released,
        };
        let text = serde_json::to_string(&row).expect("a lease row can be serialized");
        self.pending_call = Some(PendingCall::Write {
            fence,
            released,
            sent_at: now,
        });
        out.push(LeaseAction::Commit(Txn::replace(
            self.key.clone(),
            self.base,
            text,
        )));
    }

    fn on_committed(&mut self, result: Result<CommitOutcome, StoreError>, now: Instant) {
        let Some(PendingCall::Write {
            fence,
            released,
            sent_at,
        }) = self.pending_call.take()
        else {
            return;
        };
        match result {
            Ok(CommitOutcome::Applied { revision }) => {
                self.unconfirmed_from = Some(sent_at);
                self.on_own_row(fence, released, revision, now);
            }
            Ok(CommitOutcome::Conflict { rows }) => self.on_conflict(&rows, now),
            Err(err) => {
                if err == StoreError::Unconfirmed {
                    self.unconfirmed_from.get_or_insert(sent_at);
                }
                self.wake_at = Some(now + self.cfg.retry_delay);
            }
        }
    }

    /// Handles this instance's row, found at this revision. The first unconfirmed write or a later
    /// one wrote it.
    fn on_own_row(
        &mut self,
        fence: FencingToken,
        released: bool,
        revision: Revision,
        now: Instant,
    ) {
        let sent_at = self.unconfirmed_from.take();
        self.base = revision;
        self.observed = None;
        self.held_from = None;
        if released {
            self.fence = None;
            self.observed = Some(self.own_released(fence, revision, now));
            self.wake_at = self.wanted.then_some(now);
            return;
        }
        self.fence = Some(fence);
        self.held_from = sent_at.filter(|_| self.wanted);
        let holds = self.current_token(now).is_some();
        let next = if holds {
            self.cfg.renew_interval
        } else {
            Duration::ZERO
        };
        self.wake_at = Some(now + next);
    }

    fn own_released(&self, fence: FencingToken, revision: Revision, now: Instant) -> Observed {
        let row = LeaseRow {
            holder: self.instance.clone(),
            fence,
            duration_ms: 0,
            released: true,
        };
        Observed {
            row,
            revision,
            since: now,
        }
    }

    fn on_conflict(&mut self, rows: &[Row], now: Instant) {
        match rows.iter().find(|row| row.key == self.key) {
            Some(row) => self.observe(row, now),
            None => self.on_row_missing(now),
        }
    }

    /// Resets the state for a row that does not exist; the next write inserts it.
    fn on_row_missing(&mut self, now: Instant) {
        self.base = 0;
        self.fence = None;
        self.held_from = None;
        self.observed = None;
        self.wake_at = Some(now + self.cfg.retry_delay);
    }

    fn on_row_read(
        &mut self,
        result: Result<Option<Row>, StoreError>,
        now: Instant,
        out: &mut Vec<LeaseAction>,
    ) {
        self.pending_call = None;
        match result {
            Ok(Some(row)) => self.observe(&row, now),
            // The read may be stale; the next write inserts the row only if it does not exist.
            Ok(None) => self.on_row_missing(now),
            Err(_) => self.wake_at = Some(now + self.cfg.retry_delay),
        }
        self.acquire_if_expired(now, out);
    }

    /// Handles a lease row that was read: this instance's own row, or the row of another holder,
    /// for which it remembers when it first saw the revision.
    fn observe(&mut self, row: &Row, now: Instant) {
        let Ok(lease) = serde_json::from_str::<LeaseRow>(&row.value) else {
            self.wake_at = Some(now + self.cfg.duration);
            return;
        };
        if lease.holder == self.instance {
            self.on_own_row(lease.fence, lease.released, row.revision, now);
            return;
        }
        self.fence = None;
        self.held_from = None;
        self.unconfirmed_from = None;
        let known = self.observed.take();
        let known = known.filter(|known| known.revision == row.revision);
        let observed = known.unwrap_or(Observed {
            row: lease,
            revision: row.revision,
            since: now,
        });
        let expires_at = self.expires_at(&observed);
        self.base = observed.revision;
        self.wake_at = Some(expires_at.max(now));
        self.observed = Some(observed);
    }

    /// When this instance may replace the observed lease, if the lease is not renewed until then.
    fn expires_at(&self, observed: &Observed) -> Instant {
        if observed.row.released {
            return observed.since;
        }
        let duration = Duration::from_millis(observed.row.duration_ms);
        observed.since + self.cfg.takeover_wait(duration)
    }

    /// Replaces the observed lease, which was just read, if it has expired.
    fn acquire_if_expired(&mut self, now: Instant, out: &mut Vec<LeaseAction>) {
        let Some(observed) = &self.observed else {
            return;
        };
        if self.wanted && self.pending_call.is_none() && now >= self.expires_at(observed) {
            let fence = observed.row.fence + 1;
            self.wake_at = None;
            self.write(fence, now, out);
        }
    }
}
