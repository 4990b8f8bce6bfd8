//! The command language of operators: one statement per line, `#` begins a comment.
//!
//! [`parse`] turns text into [`Statement`]s, and the `Display` form of a statement is text that
//! parses to the same statement. The parser does not stop at the first invalid line, so that all
//! errors of a text are reported together, as [`Diagnostic`]s.
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
mod error;
mod grammar;
mod parser;
mod server;
pub mod value;

use serde::{Deserialize, Serialize};

use crate::{Change, Diagnostic, EngineAction, Fingerprint, Query, ServerId};

/// One statement. Its `Display` form is the statement's text in the command language.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "statement")]
pub enum Statement {
    /// Asks for information and changes nothing.
    Query {
        /// Information to show.
        query: Query,
    },
    /// Changes the configuration.
    Change {
        /// Change to apply.
        change: Change,
    },
    /// Sends an order to a model engine.
    Order {
        /// Name of the engine's backend server.
        server: ServerId,
        /// Action that the engine performs.
        action: EngineAction,
    },
    /// Releases requests with a fingerprint from quarantine.
    Release {
        /// Fingerprint of the quarantined requests.
        fingerprint: Fingerprint,
    },
}

/// Parses text with one statement per line; blank lines and comments are skipped. The error holds
/// the findings of all invalid lines, in order.
pub fn parse(text: &str) -> Result<Vec<Statement>, Vec<Diagnostic>> {
    let mut statements = Vec::new();
    let mut findings = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let errors = match parser::parse_line(strip_comment(line)) {
            Ok(statement) => {
                statements.extend(statement);
                continue;
            }
            Err(errors) => errors,
        };
        let on_line = errors.into_iter().map(|error| error.on_line(number + 1));
        findings.extend(on_line);
    }
    if findings.is_empty() {
        Ok(statements)
    } else {
        Err(findings)
    }
}

fn strip_comment(line: &str) -> &str {
    line.split('#').next().unwrap_or_default()
}
