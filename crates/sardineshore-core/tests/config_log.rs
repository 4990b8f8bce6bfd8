//! Adoption of log entries, and submissions to a table that loses confirmations or applies writes
//! late.

use sardineshore_core::config_log::submit::{
    Proposal, SubmitError, SubmitMachine, SubmitOutcome, SubmitStep,
};
use sardineshore_core::config_log::{Adoption, ConfigLog, HEAD_KEY, LogEntry, log_key};
use sardineshore_core::{
    BackendServer, Change, CommitOutcome, MemoryTable, Objective, Row, StoreError, Txn, Version,
};

/// Fault of the table in the next transaction.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// The transaction takes effect, but its result is lost.
    LostAfter,
    /// The transaction is lost and takes no effect.
    LostBefore,
    /// The result is lost; the test applies the transaction later.
    AppliedLate,
    /// The transaction is refused.
    Refused,
}

#[derive(Debug, Default)]
struct Table {
    rows: MemoryTable,
    faults: Vec<Fault>,
    late: Option<Txn>,
}

impl Table {
    fn read(&self, key: &str) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    fn commit(&mut self, txn: &Txn) -> Result<CommitOutcome, StoreError> {
        match self.faults.pop() {
            None => Ok(self.rows.commit(txn)),
            Some(Fault::Refused) => Err(StoreError::Unavailable),
            Some(Fault::LostBefore) => Err(StoreError::Unconfirmed),
            Some(Fault::LostAfter) => {
                self.rows.commit(txn);
                Err(StoreError::Unconfirmed)
            }
            Some(Fault::AppliedLate) => {
                self.late = Some(txn.clone());
                Err(StoreError::Unconfirmed)
            }
        }
    }

    fn catch_up(&self, log: &mut ConfigLog) {
        while let Some(row) = self.rows.get(&log_key(log.version() + 1)) {
            let entry: LogEntry = serde_json::from_str(&row.value).unwrap();
            assert_eq!(log.adopt(&entry), Adoption::Adopted);
        }
    }
}

fn add(name: &str) -> Change {
    let server = BackendServer {
        name: name.into(),
        addr: "127.0.0.1:9000".into(),
        ..BackendServer::default()
    };
    Change::AddServer { server }
}

fn proposal(command: &str, changes: Vec<Change>) -> Proposal {
    Proposal {
        command: command.into(),
        operator: "ana".into(),
        changes,
        at_ms: 7,
    }
}

/// Performs one step; returns the next.
fn step(
    machine: &mut SubmitMachine,
    step: &SubmitStep,
    table: &mut Table,
    log: &mut ConfigLog,
) -> SubmitStep {
    match step {
        SubmitStep::ReadCommand => machine.on_command_read(&Ok(table.read("config/command/c-1"))),
        SubmitStep::ReadHead => machine.on_head_read(&Ok(table.read(HEAD_KEY)), log),
        SubmitStep::CatchUp(_) => {
            table.catch_up(log);
            machine.on_caught_up(log)
        }
        SubmitStep::Commit(txn) => {
            let result = table.commit(txn);
            machine.on_committed(&result)
        }
        SubmitStep::Done(_) => unreachable!("the submission has ended"),
    }
}

/// The outcome without its entry, after a check that the entry has the outcome's version.
fn without_entry(outcome: SubmitOutcome) -> SubmitOutcome {
    let SubmitOutcome::Written { version, entry } = outcome else {
        return outcome;
    };
    assert!(entry.is_none_or(|entry| entry.version == version && &*entry.command == "c-1"));
    written(version)
}

fn written(version: Version) -> SubmitOutcome {
    SubmitOutcome::Written {
        version,
        entry: None,
    }
}

fn run(table: &mut Table, log: &mut ConfigLog, changes: Vec<Change>) -> SubmitOutcome {
    let (mut machine, mut next) = SubmitMachine::new(proposal("c-1", changes));
    loop {
        if let SubmitStep::Done(outcome) = next {
            return without_entry(outcome);
        }
        next = step(&mut machine, &next, table, log);
    }
}

/// Writes the command of another operator, through another instance.
fn submit_elsewhere(table: &mut Table, command: &str, changes: Vec<Change>) {
    let mut log = ConfigLog::default();
    table.catch_up(&mut log);
    let (mut machine, _) = SubmitMachine::new(proposal(command, changes));
    let SubmitStep::Commit(txn) = machine.on_head_read(&Ok(table.read(HEAD_KEY)), &log) else {
        panic!("the command can be applied");
    };
    assert!(matches!(
        table.rows.commit(&txn),
        CommitOutcome::Applied { .. }
    ));
}

#[test]
fn submission_writes_three_rows() {
    let mut table = Table::default();
    let outcome = run(&mut table, &mut ConfigLog::default(), vec![add("a")]);
    assert_eq!(outcome, written(1));
    let rows = table.rows.scan("", "", usize::MAX);
    let rows: Vec<_> = rows
        .iter()
        .map(|row| format!("{} {}", row.key, row.value))
        .collect();
    expect_test::expect![[r#"
        config/command/c-1 {"version":1}
        config/head {"version":1,"command":"c-1"}
        config/log/0000000000000001 {"version":1,"command":"c-1","operator":"ana","changes":[{"change":"add-server","server":{"name":"a","addr":"127.0.0.1:9000","domain":"","pool":"","state":"active","capacity":8,"cost":1.0,"answers_status":false,"fencing":false}}],"at_ms":7}"#]].assert_eq(&rows.join("\n"));
}

#[test]
fn submission_lost_confirmation() {
    for fault in [Fault::LostAfter, Fault::LostBefore, Fault::AppliedLate] {
        let mut table = Table {
            faults: vec![fault],
            ..Table::default()
        };
        let mut log = ConfigLog::default();
        let outcome = run(&mut table, &mut log, vec![add("a")]);
        assert_eq!(outcome, written(1), "{fault:?}");
        if let Some(late) = table.late.take() {
            assert!(matches!(
                table.rows.commit(&late),
                CommitOutcome::Conflict { .. }
            ));
        }
        table.catch_up(&mut log);
        assert_eq!(log.version(), 1, "{fault:?}");
    }
}

#[test]
fn submission_repeated_is_written_once() {
    let mut table = Table::default();
    let mut log = ConfigLog::default();
    run(&mut table, &mut log, vec![add("a")]);
    submit_elsewhere(&mut table, "c-2", vec![add("b")]);
    let outcome = run(&mut table, &mut log, vec![add("a")]);
    assert_eq!(outcome, written(1));
}

#[test]
fn submission_race_lost_is_applied_after_winner() {
    let mut table = Table::default();
    let mut log = ConfigLog::default();
    let (mut machine, _) = SubmitMachine::new(proposal("c-1", vec![add("a")]));
    let mut next = machine.on_head_read(&Ok(table.read(HEAD_KEY)), &log);
    submit_elsewhere(&mut table, "c-2", vec![add("b")]);
    while !matches!(next, SubmitStep::Done(_)) {
        next = step(&mut machine, &next, &mut table, &mut log);
    }
    let SubmitStep::Done(outcome) = next else {
        panic!("ended")
    };
    assert_eq!(without_entry(outcome), written(2));
}

#[test]
fn submission_race_lost_names_winner() {
    let mut table = Table::default();
    let mut log = ConfigLog::default();
    let objective = Change::SetObjective {
        objective: Objective::Cost,
    };
    let (mut machine, _) = SubmitMachine::new(proposal("c-1", vec![objective.clone(), add("a")]));
    let mut next = machine.on_head_read(&Ok(table.read(HEAD_KEY)), &log);
    submit_elsewhere(&mut table, "c-2", vec![objective]);
    submit_elsewhere(&mut table, "c-3", vec![add("a")]);
    while !matches!(next, SubmitStep::Done(_)) {
        next = step(&mut machine, &next, &mut table, &mut log);
    }
    let SubmitStep::Done(SubmitOutcome::Refused { rejected, winner }) = next else {
        panic!("refused, not {next:?}");
    };
    assert_eq!((rejected.index, winner.as_deref()), (1, Some("c-3")));
    table.catch_up(&mut log);
    assert_eq!(log.version(), 2);
}

#[test]
fn submission_written_elsewhere_is_not_refused() {
    let mut table = Table::default();
    let mut log = ConfigLog::default();
    let (mut machine, _) = SubmitMachine::new(proposal("c-1", vec![add("a")]));
    let mut next = machine.on_command_read(&Ok(table.read("config/command/c-1")));
    submit_elsewhere(&mut table, "c-1", vec![add("a")]);
    while !matches!(next, SubmitStep::Done(_)) {
        next = step(&mut machine, &next, &mut table, &mut log);
    }
    let SubmitStep::Done(outcome) = next else {
        panic!("ended")
    };
    assert_eq!(without_entry(outcome), written(1));
}

#[test]
fn submission_store_refuses() {
    let mut table = Table {
        faults: vec![Fault::Refused],
        ..Table::default()
    };
    let outcome = run(&mut table, &mut ConfigLog::default(), vec![add("a")]);
    let refused = SubmitOutcome::NotWritten(SubmitError::Store(StoreError::Unavailable));
    assert_eq!(outcome, refused);
    table.faults = vec![Fault::Refused, Fault::AppliedLate];
    let outcome = run(&mut table, &mut ConfigLog::default(), vec![add("a")]);
    assert_eq!(outcome, SubmitOutcome::Unconfirmed);
}

#[test]
fn submission_store_behind() {
    let mut table = Table::default();
    let mut log = ConfigLog::default();
    let entry = LogEntry {
        version: 1,
        changes: vec![add("a")],
        ..LogEntry::default()
    };
    log.adopt(&entry);
    let outcome = run(&mut table, &mut log, vec![add("b")]);
    assert_eq!(outcome, SubmitOutcome::NotWritten(SubmitError::StoreBehind));
    assert_eq!(log.version(), 1);
}

#[test]
fn adopt_in_order_once_and_never_lower() {
    let entry = |version, name| LogEntry {
        version,
        changes: vec![add(name)],
        ..LogEntry::default()
    };
    let mut log = ConfigLog::default();
    assert_eq!(log.adopt(&entry(2, "b")), Adoption::Gap);
    assert_eq!(log.adopt(&entry(1, "a")), Adoption::Adopted);
    assert_eq!(log.adopt(&entry(1, "x")), Adoption::AlreadyAdopted);
    assert_eq!(log.adopt(&entry(2, "a")), Adoption::Rejected);
    assert_eq!(log.adopt(&entry(2, "b")), Adoption::Adopted);
    let older = sardineshore_core::Deployment::default();
    assert!(!log.restore(older));
    assert_eq!(log.version(), 2);
    let versions = |after| log.entries_after(after).map(|entries| entries.len());
    assert_eq!(
        (versions(0), versions(1), versions(2)),
        (Some(2), Some(1), Some(0))
    );
    let mut late = ConfigLog::default();
    assert!(late.restore(log.deployment().as_ref().clone()));
    assert_eq!(
        (late.entries_after(1), late.entries_after(2)),
        (None, Some(Vec::new()))
    );
}
