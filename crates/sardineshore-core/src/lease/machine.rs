//! The state machine of one lease.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{LeaseAction, LeaseConfig, LeaseEvent, LeaseRow};
use crate::{CommitOutcome, FencingToken, InstanceId, Revision, Row, StoreError, Txn};

/// A row of another holder, as this instance saw it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Observed {
    row: LeaseRow,
    revision: Revision,
    /// When it was first seen at this revision.
    since: Instant,
}

/// The store call whose answer is awaited.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Call {
    Write {
        fence: FencingToken,
        released: bool,
        sent: Instant,
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
    /// Fencing token of our row, while it stands as far as we know.
    fence: Option<FencingToken>,
    /// Revision that our next write replaces.
    base: Revision,
    /// When the write that our lease counts from was sent.
    held_from: Option<Instant>,
    /// When the first write without a known effect was sent.
    unconfirmed_from: Option<Instant>,
    observed: Option<Observed>,
    call: Option<Call>,
    wake_at: Option<Instant>,
}

impl LeaseMachine {
    /// Creates a machine that does not want the lease yet.
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
            call: None,
            wake_at: None,
        }
    }

    /// Fencing token under which this instance may act at this moment.
    #[must_use]
    pub fn current_token(&self, now: Instant) -> Option<FencingToken> {
        let from = self.held_from?;
        let until = from + self.cfg.duration.saturating_sub(self.cfg.margin);
        if now < until { self.fence } else { None }
    }

    /// Takes one event and returns what to do.
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
        self.proceed(now, out);
    }

    fn on_tick(&mut self, now: Instant, out: &mut Vec<LeaseAction>) {
        if self.wake_at.is_some_and(|at| now >= at) {
            self.wake_at = None;
            self.proceed(now, out);
        }
    }

    /// Issues the next store call, unless one is outstanding.
    fn proceed(&mut self, now: Instant, out: &mut Vec<LeaseAction>) {
        if self.call.is_some() {
            return;
        }
        match (self.fence, &self.observed) {
            (Some(fence), _) => self.write(fence, now, out),
            (None, _) if !self.wanted => self.wake_at = None,
            (None, None) => self.write(1, now, out),
            (None, Some(_)) => {
                self.call = Some(Call::Read);
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
        let text = serde_json::to_string(&row).expect("a lease row serializes");
        self.call = Some(Call::Write {
            fence,
            released,
            sent: now,
        });
        out.push(LeaseAction::Commit(Txn::replace(
            self.key.clone(),
            self.base,
            text,
        )));
    }

    fn on_committed(&mut self, result: Result<CommitOutcome, StoreError>, now: Instant) {
        let Some(Call::Write {
            fence,
            released,
            sent,
        }) = self.call.take()
        else {
            return;
        };
        match result {
            Ok(CommitOutcome::Applied { revision }) => {
                self.unconfirmed_from = Some(sent);
                self.written(fence, released, revision, now);
            }
            Ok(CommitOutcome::Conflict { rows }) => self.conflicted(&rows, now),
            Err(err) => {
                if err == StoreError::Unconfirmed {
                    self.unconfirmed_from.get_or_insert(sent);
                }
                self.wake_at = Some(now + self.cfg.retry_delay);
            }
        }
    }

    /// Our row stands at this revision, written by the first unconfirmed write or a later one.
    fn written(&mut self, fence: FencingToken, released: bool, revision: Revision, now: Instant) {
        let sent = self.unconfirmed_from.take();
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
        self.held_from = sent.filter(|_| self.wanted);
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

    fn conflicted(&mut self, rows: &[Row], now: Instant) {
        match rows.iter().find(|row| row.key == self.key) {
            Some(row) => self.observe(row, now),
            None => self.forget(now),
        }
    }

    /// The row does not exist: the next write inserts it.
    fn forget(&mut self, now: Instant) {
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
        self.call = None;
        match result {
            Ok(Some(row)) => self.observe(&row, now),
            // A missing row proves nothing: an insert decides.
            Ok(None) => self.forget(now),
            Err(_) => self.wake_at = Some(now + self.cfg.retry_delay),
        }
        self.take_if_free(now, out);
    }

    fn observe(&mut self, row: &Row, now: Instant) {
        let Ok(lease) = serde_json::from_str::<LeaseRow>(&row.value) else {
            self.wake_at = Some(now + self.cfg.duration);
            return;
        };
        if lease.holder == self.instance {
            self.written(lease.fence, lease.released, row.revision, now);
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
        let free_at = self.free_at(&observed);
        self.base = observed.revision;
        self.wake_at = Some(free_at.max(now));
        self.observed = Some(observed);
    }

    /// When the observed lease has run out, if it is not renewed meanwhile.
    fn free_at(&self, observed: &Observed) -> Instant {
        if observed.row.released {
            return observed.since;
        }
        let duration = Duration::from_millis(observed.row.duration_ms);
        observed.since + self.cfg.takeover_wait(duration)
    }

    /// Replaces a lease that was read just now and has run out.
    fn take_if_free(&mut self, now: Instant, out: &mut Vec<LeaseAction>) {
        let Some(observed) = &self.observed else {
            return;
        };
        if self.wanted && self.call.is_none() && now >= self.free_at(observed) {
            let fence = observed.row.fence + 1;
            self.wake_at = None;
            self.write(fence, now, out);
        }
    }
}
