//! Idempotency keys, request fingerprints, and how long claim rows are retained.
//!
//! A key carries the time of its creation. The table keys of claim rows begin with a time bucket,
//! so expired rows are found by their table key alone.

use std::fmt;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use uuid::{Uuid, Version as UuidVersion};

use crate::clock::unix_ms;
use crate::{CustomerId, Fingerprint, NotRunReason, PipelineId};

/// Idempotency key that a caller sends: a version 7 UUID, which carries the time of its creation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Parses the text of the header. Anything but a version 7 UUID is
    /// [`NotRunReason::KeyMalformed`].
    pub fn parse(text: &str) -> Result<Self, NotRunReason> {
        let id = Uuid::try_parse(text.trim()).map_err(|_| NotRunReason::KeyMalformed)?;
        match id.get_version() {
            Some(UuidVersion::SortRand) => Ok(Self(id)),
            _ => Err(NotRunReason::KeyMalformed),
        }
    }

    /// When the caller created the key, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn created_ms(self) -> u64 {
        let bytes = self.0.as_bytes();
        bytes[..6]
            .iter()
            .fold(0, |ms, byte| (ms << 8) | u64::from(*byte))
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.hyphenated().fmt(f)
    }
}

/// Upper bound of [`Retention::window`].
pub const MAX_RETENTION_WINDOW: Duration = Duration::from_secs(7 * 24 * 60 * 60);

/// Ages up to which keys are accepted and claim rows are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Retention {
    /// Age up to which a key is accepted.
    pub window: Duration,
    /// Age up to which claim rows are kept, even if the window is shorter. When an operator raises
    /// the window, older keys are accepted again, and their rows must still exist. So this is at
    /// least as long as any window that was ever set.
    pub row_retention: Duration,
    /// Allowance for clock differences between machines and for the longest deadline. A key may be
    /// this far in the future, and rows are kept longer by twice this time.
    pub margin: Duration,
    /// Time that one bucket covers; the rows of a bucket expire together.
    pub bucket_length: Duration,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(24 * 60 * 60),
            row_retention: MAX_RETENTION_WINDOW,
            margin: Duration::from_secs(10 * 60),
            bucket_length: Duration::from_secs(60 * 60),
        }
    }
}

impl Retention {
    /// Refuses a key that is older than the window, or further in the future than the margin, with
    /// [`NotRunReason::KeyExpired`].
    pub fn check(&self, key: IdempotencyKey, wall: SystemTime) -> Result<(), NotRunReason> {
        let now_ms = unix_ms(wall);
        let created_ms = key.created_ms();
        let too_old = created_ms + millis(self.window) < now_ms;
        let too_new = created_ms > now_ms + millis(self.margin);
        if too_old || too_new {
            return Err(NotRunReason::KeyExpired);
        }
        Ok(())
    }

    /// Number of the bucket that a key belongs to, by its creation time.
    #[must_use]
    pub fn bucket_of(&self, key: IdempotencyKey) -> u64 {
        key.created_ms() / millis(self.bucket_length).max(1)
    }

    /// Oldest bucket whose rows must be kept; rows of all earlier buckets may be deleted.
    #[must_use]
    pub fn oldest_kept_bucket(&self, wall: SystemTime) -> u64 {
        let kept_ms = millis(self.row_retention.max(self.window)) + 2 * millis(self.margin);
        unix_ms(wall).saturating_sub(kept_ms) / millis(self.bucket_length).max(1)
    }

    /// Whether a table key belongs to a claim row that may be deleted, because no instance accepts
    /// its idempotency key any more. False for rows that are not claims.
    #[must_use]
    pub fn is_expired(&self, row_key: &str, wall: SystemTime) -> bool {
        let mut parts = row_key.split('/');
        let (prefix, bucket) = (parts.next(), parts.next());
        let bucket = bucket.and_then(|text| text.parse::<u64>().ok());
        prefix == Some("claim")
            && bucket.is_some_and(|bucket| bucket < self.oldest_kept_bucket(wall))
    }

    /// Table key of the claim row for an idempotency key of a customer.
    #[must_use]
    pub fn row_key(&self, customer: &CustomerId, key: IdempotencyKey) -> Arc<str> {
        let bucket = self.bucket_of(key);
        format!("claim/{bucket:010}/{customer}/{key}").into()
    }
}

/// Fingerprint of a request: SHA-256 of the pipeline's name, prefixed with its length, and the
/// body, in hexadecimal.
#[must_use]
pub fn fingerprint(pipeline: &PipelineId, body: &[u8]) -> Fingerprint {
    let mut hash = Sha256::new();
    hash.update(pipeline.len().to_be_bytes());
    hash.update(pipeline.as_bytes());
    hash.update(body);
    let mut text = String::with_capacity(64);
    for byte in hash.finalize() {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text.into()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
