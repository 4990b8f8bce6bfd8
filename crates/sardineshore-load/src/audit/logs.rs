//! Reads the logs that an audit compares.

use std::io;
use std::path::{Path, PathBuf};

use sardineshore_wire::audit_log::{CallRecord, ExecutionRecord};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Lines of all logs of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AuditLogs {
    /// Lines of the execution logs.
    pub executions: Vec<ExecutionRecord>,
    /// Lines of the call logs.
    pub calls: Vec<CallRecord>,
}

/// Why a log can't be used for an audit.
#[derive(Debug, Error)]
pub enum LogError {
    /// The file does not exist or can't be read.
    #[error("log {path} can't be read: {source}")]
    Unreadable {
        /// Path of the log.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file has no lines.
    #[error("log {path} is empty")]
    Empty {
        /// Path of the log.
        path: PathBuf,
    },
    /// A line can't be parsed.
    #[error("log {path}, line {line}: {source}")]
    Malformed {
        /// Path of the log.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
    /// A call log does not have one line per logical request.
    #[error("log {path} has {found} lines, not {expected}")]
    Incomplete {
        /// Path of the log.
        path: PathBuf,
        /// Number of lines.
        found: usize,
        /// Number of logical requests in the run.
        expected: usize,
    },
}

impl AuditLogs {
    /// Adds the execution log of one backend server.
    pub fn read_execution_log(&mut self, path: &Path) -> Result<(), LogError> {
        self.executions.extend(read_lines::<ExecutionRecord>(path)?);
        Ok(())
    }

    /// Adds a call log, which must have one line for each of `expected` logical requests.
    pub fn read_call_log(&mut self, path: &Path, expected: usize) -> Result<(), LogError> {
        let calls = read_lines::<CallRecord>(path)?;
        if calls.len() != expected {
            return Err(LogError::Incomplete {
                path: path.to_owned(),
                found: calls.len(),
                expected,
            });
        }
        self.calls.extend(calls);
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
