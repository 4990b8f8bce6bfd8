//! The logs that an audit reads.

use std::io;
use std::path::{Path, PathBuf};

use sardineshore_wire::audit_log::{CallRecord, ExecutionRecord};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Lines of all logs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AuditLogs {
    /// Lines of the execution logs.
    pub executions: Vec<ExecutionRecord>,
    /// Lines of the callers' logs.
    pub told: Vec<CallRecord>,
}

/// Why an audit can't see a log.
#[derive(Debug, Error)]
pub enum LogError {
    /// The file can't be read.
    #[error("log {path} can't be read: {source}")]
    Unreadable {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file holds no line.
    #[error("log {path} is empty")]
    Empty {
        /// File.
        path: PathBuf,
    },
    /// A line is not of the log's form.
    #[error("log {path}, line {line}: {source}")]
    Malformed {
        /// File.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
    /// A callers' log does not have a line for each logical request.
    #[error("log {path} has {found} lines, not {expected}")]
    Incomplete {
        /// File.
        path: PathBuf,
        /// Lines found.
        found: usize,
        /// Logical requests sent.
        expected: usize,
    },
}

impl AuditLogs {
    /// Adds the execution log of one backend server.
    pub fn read_execution_log(&mut self, path: &Path) -> Result<(), LogError> {
        self.executions.extend(read_lines::<ExecutionRecord>(path)?);
        Ok(())
    }

    /// Adds a callers' log, which must have a line for each of `expected` logical requests.
    pub fn read_call_log(&mut self, path: &Path, expected: usize) -> Result<(), LogError> {
        let told = read_lines::<CallRecord>(path)?;
        if told.len() != expected {
            return Err(LogError::Incomplete {
                path: path.to_owned(),
                found: told.len(),
                expected,
            });
        }
        self.told.extend(told);
        Ok(())
    }
}

fn read_lines<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, LogError> {
    let text = std::fs::read_to_string(path).map_err(|source| LogError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    if text.trim().is_empty() {
        return Err(LogError::Empty {
            path: path.to_owned(),
        });
    }
    let parse = |(i, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|source| LogError::Malformed {
            path: path.to_owned(),
            line: i + 1,
            source,
        })
    };
    text.lines().enumerate().map(parse).collect()
}
