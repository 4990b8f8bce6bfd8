//! Validation of single values: names, deadlines, addresses and numbers.
//!
//! Each function converts the text of a value. Its error is a message for the operator that says
//! what is wrong.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum length of a name, in characters.
pub const MAX_NAME_CHARS: usize = 128;
/// Longest deadline that a pipeline can have.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Number of hexadecimal digits in a fingerprint, which is a SHA-256 hash.
const FINGERPRINT_DIGITS: usize = 64;

/// Validates a name: up to [`MAX_NAME_CHARS`] ASCII letters, digits, `-`, `_` and `.`, the first of
/// which is a letter or a digit.
pub fn name(text: &str) -> Result<Arc<str>, String> {
    let starts_valid = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let all_valid = text
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'));
    if !starts_valid || !all_valid {
        return Err(format!(
            "name {text:?}: use letters, digits, '-', '_' and '.', beginning with a letter or digit"
        ));
    }
    if text.len() > MAX_NAME_CHARS {
        return Err(format!(
            "name {text:?} is longer than {MAX_NAME_CHARS} characters"
        ));
    }
    Ok(text.into())
}

/// Parses a deadline: a duration such as `6s` or `250ms`, above zero and up to [`MAX_DEADLINE`].
pub fn deadline(text: &str) -> Result<Duration, String> {
    let duration = humantime::parse_duration(text)
        .map_err(|_| format!("{text:?} is not a duration such as 6s or 250ms"))?;
    if duration.is_zero() || duration > MAX_DEADLINE {
        return Err(format!(
            "deadline {text:?} is not above zero and at most 1h"
        ));
    }
    Ok(duration)
}

/// Validates an address `IP:PORT` with a port other than 0; returns it in its usual notation.
pub fn address(text: &str) -> Result<String, String> {
    match text.parse::<SocketAddr>() {
        Ok(addr) if addr.port() != 0 => Ok(addr.to_string()),
        _ => Err(format!("address {text:?} is not IP:PORT")),
    }
}

/// Parses a capacity: a whole number above zero.
pub fn capacity(text: &str) -> Result<u32, String> {
    match text.parse() {
        Ok(capacity) if capacity > 0 => Ok(capacity),
        _ => Err(format!(
            "capacity {text:?} is not a whole number above zero"
        )),
    }
}

/// Parses a cost per second: a number of at least zero.
pub fn cost(text: &str) -> Result<f64, String> {
    match number(text) {
        Some(cost) if cost >= 0.0 => Ok(cost),
        _ => Err(format!("cost {text:?} is not a number of at least zero")),
    }
}

/// Parses a customer's weight: a number above zero.
pub fn weight(text: &str) -> Result<f64, String> {
    match number(text) {
        Some(weight) if weight > 0.0 => Ok(weight),
        _ => Err(format!("weight {text:?} is not a number above zero")),
    }
}

/// Validates a fingerprint: 64 hexadecimal digits in lower case.
pub fn fingerprint(text: &str) -> Result<Arc<str>, String> {
    let digits = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if digits && text.len() == FINGERPRINT_DIGITS {
        return Ok(text.into());
    }
    Err(format!(
        "fingerprint {text:?} is not {FINGERPRINT_DIGITS} hexadecimal digits in lower case"
    ))
}

/// Parses a decimal number without a sign or an exponent.
fn number(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number: f64 = text.parse().ok().filter(|_| plain)?;
    number.is_finite().then_some(number)
}
