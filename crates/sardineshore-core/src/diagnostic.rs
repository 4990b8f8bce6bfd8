//! Findings: faults of an input, each with its place, collected and reported together.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Where a fault stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Location {
    /// Line and column of a text, both counted from 1.
    Text {
        /// Line.
        line: usize,
        /// Column, in characters.
        column: usize,
    },
    /// A setting by its flag or environment variable.
    Setting(Arc<str>),
}

/// One fault of an input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diagnostic {
    /// Where it stands.
    pub place: Location,
    /// What is wrong and, where it is known, what was expected.
    pub message: String,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text { line, column } => write!(f, "line {line}, column {column}"),
            Self::Setting(name) => write!(f, "setting {name}"),
        }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}
