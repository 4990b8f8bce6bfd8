//! The operators' language: one statement a line, `#` begins a comment.
//!
//! A faulty line gives its findings and the lines after it are still read, so that all faults of a
//! text are reported together.
//!
//! ```
//! use sardineshore_core::command;
//!
//! let statements = command::parse("drain server encoder-1 # rack 7").unwrap();
//! assert_eq!(statements[0].to_string(), "drain server encoder-1");
//!
//! let findings = command::parse("drain encoder-1\nset weight of a to -1").unwrap_err();
//! assert_eq!(findings.len(), 2);
//! assert_eq!(
//!     findings[0].to_string(),
//!     "line 1, column 7: expected `server`, found `encoder-1`",
//! );
//! ```

mod display;
mod fault;
mod grammar;
mod read;
mod server;
pub mod value;

use serde::{Deserialize, Serialize};

use crate::{Change, EngineAction, Finding, Fingerprint, Query, ServerId};

/// One statement. Its `Display` form is the statement's text in the language.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "statement")]
pub enum Statement {
    /// A question, which changes nothing.
    Query {
        /// What is asked.
        query: Query,
    },
    /// A change of the configuration.
    Change {
        /// What is changed.
        change: Change,
    },
    /// An order to a model engine.
    Order {
        /// Engine.
        server: ServerId,
        /// What to do.
        action: EngineAction,
    },
    /// Lifts the quarantine of a fingerprint.
    Release {
        /// Fingerprint.
        fingerprint: Fingerprint,
    },
}

/// Reads a text of statements; the error holds the findings of all faulty lines, in order.
pub fn parse(text: &str) -> Result<Vec<Statement>, Vec<Finding>> {
    let mut statements = Vec::new();
    let mut findings = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let faults = match read::line(without_comment(line)) {
            Ok(statement) => {
                statements.extend(statement);
                continue;
            }
            Err(faults) => faults,
        };
        let on_line = faults.into_iter().map(|fault| fault.on_line(number + 1));
        findings.extend(on_line);
    }
    if findings.is_empty() {
        Ok(statements)
    } else {
        Err(findings)
    }
}

fn without_comment(line: &str) -> &str {
    line.split('#').next().unwrap_or_default()
}
