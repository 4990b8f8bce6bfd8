//! Diagnostics: errors in an input text or in the settings, each with its location. All errors of
//! an input are collected and reported together.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Location of an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Location {
    /// Position in a text; lines and columns are counted from 1.
    Text {
        /// Line.
        line: usize,
        /// Column, in characters.
        column: usize,
    },
    /// A setting, named by its flag, environment variable or path in a file.
    Setting(Arc<str>),
}

/// One error in an input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diagnostic {
    /// Location of the error.
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
