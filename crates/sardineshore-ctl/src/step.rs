//! Groups statements into steps, each of which is one call to an entry instance.

use sardineshore_core::{
    Change, Diagnostic, EngineAction, Fingerprint, Location, Query, ServerId, Statement, command,
};

/// What one call to an instance does.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Answers a query.
    Query(Query),
    /// Submits changes that are accepted together or not at all.
    Submit(Vec<Change>),
    /// Sends an order to an engine.
    Order {
        /// Name of the engine.
        server: ServerId,
        /// What the engine is to do.
        action: EngineAction,
    },
    /// Lifts the quarantine of a fingerprint.
    Release(Fingerprint),
}

/// Parses statements into steps; consecutive changes form one step.
pub fn parse_steps(text: &str) -> Result<Vec<Step>, Vec<Diagnostic>> {
    let mut steps = Vec::new();
    for statement in command::parse(text)? {
        match (statement, steps.last_mut()) {
            (Statement::Change { change }, Some(Step::Submit(changes))) => changes.push(change),
            (statement, _) => steps.push(step(statement)),
        }
    }
    Ok(steps)
}

/// Parses the text of a file of changes, which form one step; any other statement is an error.
pub fn parse_change_file(text: &str) -> Result<Vec<Step>, Vec<Diagnostic>> {
    let mut findings = Vec::new();
    for (number, line) in text.lines().enumerate() {
        match command::parse(line) {
            Ok(statements) if statements.iter().all(is_change) => {}
            Ok(_) => findings.push(not_a_change(number, line)),
            Err(errors) => findings.extend(errors.into_iter().map(|it| shift_line(it, number))),
        }
    }
    if findings.is_empty() {
        parse_steps(text)
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

fn not_a_change(number: usize, line: &str) -> Diagnostic {
    let indent = line.chars().take_while(|c| c.is_whitespace()).count();
    let place = Location::Text {
        line: number + 1,
        column: indent + 1,
    };
    Diagnostic {
        place,
        message: "only changes of the configuration can be applied from a file".into(),
    }
}

/// Moves a finding from a line that was parsed on its own to that line's place in the text.
fn shift_line(finding: Diagnostic, number: usize) -> Diagnostic {
    let place = match finding.place {
        Location::Text { line, column } => Location::Text {
            line: line + number,
            column,
        },
        place @ Location::Setting(_) => place,
    };
    Diagnostic { place, ..finding }
}
