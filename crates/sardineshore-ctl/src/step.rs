//! Statements grouped into calls.

use sardineshore_core::{
    Change, EngineAction, Finding, Fingerprint, Place, Query, ServerId, Statement, command,
};

/// One call to an instance.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// A query.
    Query(Query),
    /// Changes that are accepted together or not at all.
    Submit(Vec<Change>),
    /// An order to an engine.
    Order {
        /// Engine.
        server: ServerId,
        /// What to do.
        action: EngineAction,
    },
    /// Lifts a quarantine.
    Release(Fingerprint),
}

/// Groups statements; changes that follow one another form one step.
pub fn steps(text: &str) -> Result<Vec<Step>, Vec<Finding>> {
    let mut steps = Vec::new();
    for statement in command::parse(text)? {
        match (statement, steps.last_mut()) {
            (Statement::Change { change }, Some(Step::Submit(changes))) => changes.push(change),
            (statement, _) => steps.push(step(statement)),
        }
    }
    Ok(steps)
}

/// Reads a file of changes, which form one step; another statement is a fault.
pub fn file(text: &str) -> Result<Vec<Step>, Vec<Finding>> {
    let mut findings = Vec::new();
    for (number, line) in text.lines().enumerate() {
        match command::parse(line) {
            Ok(statements) if statements.iter().all(is_change) => {}
            Ok(_) => findings.push(not_a_change(number, line)),
            Err(faults) => findings.extend(faults.into_iter().map(|it| moved(it, number))),
        }
    }
    if findings.is_empty() {
        steps(text)
    } else {
        Err(findings)
    }
}

fn step(statement: Statement) -> Step {
    match statement {
        Statement::Query { query } => Step::Query(query),
        Statement::Change { change } => Step::Submit(vec![change]),
        Statement::Order { server, action } => Step::Order { server, action },
        Statement::Release { fingerprint } => Step::Release(fingerprint),
    }
}

fn is_change(statement: &Statement) -> bool {
    matches!(statement, Statement::Change { .. })
}

fn not_a_change(number: usize, line: &str) -> Finding {
    let indent = line.chars().take_while(|c| c.is_whitespace()).count();
    let place = Place::Text {
        line: number + 1,
        column: indent + 1,
    };
    Finding {
        place,
        message: "only changes of the configuration can be applied from a file".into(),
    }
}

/// The finding of a line that was read by itself, placed in the whole text.
fn moved(finding: Finding, number: usize) -> Finding {
    let place = match finding.place {
        Place::Text { line, column } => Place::Text {
            line: line + number,
            column,
        },
        place @ Place::Setting(_) => place,
    };
    Finding { place, ..finding }
}
