//! Test harness that drives the claim machines of several instances against one table under a
//! manual clock, and logs every event and action.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use sardineshore_core::claim::{
    ClaimAction, ClaimConfig, ClaimEvent, ClaimMachine, ClaimRequest, ClaimRow, ClaimServer,
    ClaimState, ClaimedCall, IdempotencyKey, PeerReply, fingerprint,
};
use sardineshore_core::{Clock, CommitOutcome, ManualClock, Outcome, Row, StoreError, Txn};

/// Key whose creation time is the manual clock's start.
const KEY_CREATED_NOW: &str = "01a3185c-5000-7000-8000-000000000001";

/// Fault of the table in the next commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The commit is refused and takes no effect.
    Refused,
    /// The commit takes effect, but its result is lost.
    AnswerLost,
    /// The result is lost, and the commit takes effect only in [`Session::apply_late_writes`].
    AppliedLate,
}

#[derive(Default)]
pub struct Session {
    pub clock: ManualClock,
    pub log: String,
    pub machines: BTreeMap<&'static str, ClaimMachine>,
    pub faults: Vec<Fault>,
    late: Vec<Txn>,
    rows: BTreeMap<Arc<str>, Row>,
    revision: u64,
}

impl Session {
    /// Starts a request on an instance and performs the actions of its claim machine.
    pub fn admit(&mut self, name: &'static str, body: &str) {
        self.admit_key(name, body, KEY_CREATED_NOW);
    }

    pub fn admit_key(&mut self, name: &'static str, body: &str, key: &str) {
        let key = IdempotencyKey::parse(key).unwrap();
        let now = self.clock.now();
        let server = ClaimServer {
            name: "orders-1".into(),
            incarnation: 5,
            answers_status: true,
        };
        let req = ClaimRequest {
            fingerprint: fingerprint(&"order".into(), body.as_bytes()),
            instance: name.into(),
            attempt: format!("{name}-a").into(),
            run: ClaimedCall {
                stage: 2,
                last: true,
                servers: vec![server],
            },
            ..ClaimRequest::new("coop".into(), key, now + Duration::from_secs(6))
        };
        let mut machine = ClaimMachine::new(req, ClaimConfig::default(), now);
        self.log_line(&format!("{name}: admitted"));
        let actions = machine.start(now, self.clock.wall_time());
        self.machines.insert(name, machine);
        self.perform(name, actions);
    }

    pub fn step(&mut self, name: &'static str, event: ClaimEvent) {
        self.log_line(&format!("{name}: {}", show_event(&event)));
        let now = self.clock.now();
        let actions = self.machines.get_mut(name).unwrap().step(event, now);
        self.perform(name, actions);
    }

    pub fn dispatch(&mut self, name: &'static str) {
        let event = ClaimEvent::DispatchRequested {
            stage: 2,
            server: "orders-1".into(),
            incarnation: 5,
            may_dispatch: true,
        };
        self.step(name, event);
    }

    /// Passes the reply of the instance `asked` to the machine `name`.
    pub fn peer(&mut self, name: &'static str, asked: &str) {
        let known = self.machines.get(asked);
        let reply = known.map_or(PeerReply::Unreachable, ClaimMachine::peer_reply);
        self.step(name, ClaimEvent::PeerReplied(reply));
    }

    pub fn advance(&mut self, millis: u64) {
        self.clock.advance(Duration::from_millis(millis));
    }

    /// Applies all commits that were delayed by [`Fault::AppliedLate`].
    pub fn apply_late_writes(&mut self) {
        for txn in std::mem::take(&mut self.late) {
            let commit = self.apply(&txn);
            self.log_line(&format!("table: late write, {}", show_commit(&commit)));
        }
    }

    fn perform(&mut self, name: &'static str, actions: Vec<ClaimAction>) {
        for action in actions {
            match action {
                ClaimAction::Commit(txn) => self.commit(name, &txn),
                ClaimAction::ReadRow(key) => {
                    let row = self.rows.get(&key).cloned();
                    self.log_line(&format!("{name}:   -> read row"));
                    self.step(name, ClaimEvent::RowRead(Ok(row)));
                }
                ClaimAction::WakeAt(_) => {}
                other => self.log_line(&format!("{name}:   -> {}", show_action(&other))),
            }
        }
    }

    fn commit(&mut self, name: &'static str, txn: &Txn) {
        let row = ClaimRow::from_json(&txn.puts[0].value).unwrap();
        let state = show_state(&row.state);
        let base = txn.checks[0].revision;
        self.log_line(&format!("{name}:   -> write {state} over revision {base}"));
        let fault = (!self.faults.is_empty()).then(|| self.faults.remove(0));
        let answer = match fault {
            None => Ok(self.apply(txn)),
            Some(Fault::Refused) => Err(StoreError::Unavailable),
            Some(Fault::AnswerLost) => {
                self.apply(txn);
                Err(StoreError::Unconfirmed)
            }
            Some(Fault::AppliedLate) => {
                self.late.push(txn.clone());
                Err(StoreError::Unconfirmed)
            }
        };
        self.step(name, ClaimEvent::Committed(answer));
    }

    fn apply(&mut self, txn: &Txn) -> CommitOutcome {
        let check = &txn.checks[0];
        let present = self.rows.get(&check.key);
        if present.map_or(0, |row| row.revision) != check.revision {
            let rows = present.cloned().into_iter().collect();
            return CommitOutcome::Conflict { rows };
        }
        self.revision += 1;
        let put = txn.puts[0].clone();
        let row = Row {
            key: put.key.clone(),
            value: put.value,
            revision: self.revision,
        };
        self.rows.insert(put.key, row);
        CommitOutcome::Applied {
            revision: self.revision,
        }
    }

    fn log_line(&mut self, line: &str) {
        let since = self.clock.wall_time().duration_since(std::time::UNIX_EPOCH);
        let millis = since.unwrap().as_millis() - 1_800_000_000_000;
        writeln!(self.log, "{millis:05} {line}").unwrap();
    }
}

fn show_commit(commit: &CommitOutcome) -> String {
    match commit {
        CommitOutcome::Applied { revision } => format!("applied at {revision}"),
        CommitOutcome::Conflict { rows } => {
            let row = ClaimRow::from_json(&rows[0].value).unwrap();
            let state = show_state(&row.state);
            format!("conflict: {} by {}", state, row.attempt)
        }
    }
}

fn show_state(state: &ClaimState) -> &'static str {
    match state {
        ClaimState::Claimed => "claimed",
        ClaimState::Released => "released",
        ClaimState::Answered { .. } => "answered",
    }
}

fn show_event(event: &ClaimEvent) -> String {
    match event {
        ClaimEvent::Committed(Ok(commit)) => show_commit(commit),
        ClaimEvent::RowRead(Ok(Some(row))) => format!("row at {}", row.revision),
        other => format!("{other:?}"),
    }
}

fn show_action(action: &ClaimAction) -> String {
    match action {
        ClaimAction::Reply {
            outcome: Outcome::Answered,
            answer,
        } => format!("reply answered {}", answer.as_ref().unwrap()),
        ClaimAction::Reply { outcome, .. } => format!("reply {outcome:?}"),
        other => format!("{other:?}"),
    }
}
