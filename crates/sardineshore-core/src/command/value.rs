//! Checked forms of the values in a statement.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest name, in characters.
pub const MAX_NAME_CHARS: usize = 128;
/// Longest deadline of a pipeline.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Hexadecimal digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 64;

/// Checks a name: up to [`MAX_NAME_CHARS`] letters, digits, `-`, `_` and `.`, the first of which is a
/// letter or a digit. The error says what is wrong.
pub fn name(text: &str) -> Result<Arc<str>, String> {
    let begins_well = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    let fits = text
        .chars()
        .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'));
    if !begins_well || !fits {
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

/// Checks a deadline: a duration such as `6s` or `250ms`, above zero and up to [`MAX_DEADLINE`].
pub fn deadline(text: &str) -> Result<Duration, String> {
    let duration = humantime::parse_duration(text)
        .map_err(|_| format!("{text:?} is not a duration such as 6s or 250ms"))?;
    if duration.is_zero() || duration > MAX_DEADLINE {
        return Err(format!("deadline {text:?} is not above zero and up to 1h"));
    }
    Ok(duration)
}

/// Checks an address `IP:PORT`, kept as text.
pub fn address(text: &str) -> Result<String, String> {
    match text.parse::<SocketAddr>() {
        Ok(addr) if addr.port() != 0 => Ok(addr.to_string()),
        _ => Err(format!("address {text:?} is not IP:PORT")),
    }
}

/// Checks a capacity: a whole number above zero.
pub fn capacity(text: &str) -> Result<u32, String> {
    match text.parse() {
        Ok(capacity) if capacity > 0 => Ok(capacity),
        _ => Err(format!(
            "capacity {text:?} is not a whole number above zero"
        )),
    }
}

/// Checks a cost: a number of at least zero.
pub fn cost(text: &str) -> Result<f64, String> {
    match number(text) {
        Some(cost) if cost >= 0.0 => Ok(cost),
        _ => Err(format!("cost {text:?} is not a number of at least zero")),
    }
}

/// Checks a weight: a number above zero.
pub fn weight(text: &str) -> Result<f64, String> {
    match number(text) {
        Some(weight) if weight > 0.0 => Ok(weight),
        _ => Err(format!("weight {text:?} is not a number above zero")),
    }
}

/// Checks a fingerprint: 64 hexadecimal digits in lower case.
pub fn fingerprint(text: &str) -> Result<Arc<str>, String> {
    let digits = text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if digits && text.len() == FINGERPRINT_DIGITS {
        return Ok(text.into());
    }
    Err(format!(
        "fingerprint {text:?} is not {FINGERPRINT_DIGITS} hexadecimal digits in lower case"
    ))
}

fn number(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number: f64 = text.parse().ok().filter(|_| plain)?;
    number.is_finite().then_some(number)
}
