//! Deterministic text of generated output.

use std::sync::Arc;

use serde_json::{Map, Value};

/// Tokens of the output if the input has no number under `"max_tokens"`.
pub const DEFAULT_TOTAL: u64 = 16;
const MAX_TOTAL: u64 = 4096;

/// Text of one token: the tag and the sequence number, so that a test can tell which input a
/// token belongs to.
///
/// ```
/// use sardineshore_fakes::server::engine::tokens::token;
///
/// assert_eq!(&*token("t1", 3), "t1:3 ");
/// ```
#[must_use]
pub fn token(tag: &str, seq: u64) -> Arc<str> {
    format!("{tag}:{seq} ").into()
}

/// Number of tokens of the whole output for an input.
#[must_use]
pub fn total(input: &Map<String, Value>) -> u64 {
    let wanted = input.get("max_tokens").and_then(Value::as_u64);
    wanted.unwrap_or(DEFAULT_TOTAL).min(MAX_TOTAL)
}
