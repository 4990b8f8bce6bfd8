//! What one instance tells another of all members: one character for each, in the order of a
//! [`Roster`].
//!
//! A character carries the age of the last hearing, rounded up to [`AGE_UNIT`], and whether the
//! member holds the teller's version; one more value tells of a silent member.

use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::QuorumTracker;
use crate::InstanceId;

/// Resolution of relayed ages.
pub const AGE_UNIT: Duration = Duration::from_millis(100);
/// Ages that a character can carry, from 0.
const AGES: usize = 30;
const SILENT: usize = 2 * AGES;
const ALPHABET: &[u8; 61] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxy";

/// Names of members in a fixed order, told apart by a digest.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Roster {
    /// Digest of the names.
    pub digest: u64,
    /// Names in ascending order.
    pub names: Arc<[InstanceId]>,
}

impl Default for Roster {
    fn default() -> Self {
        Self::new(Vec::new())
    }
}

impl Roster {
    /// Sorts the names.
    #[must_use]
    pub fn new(mut names: Vec<InstanceId>) -> Self {
        names.sort();
        names.dedup();
        let digest = xxh3_64(names.join("\n").as_bytes());
        Self {
            digest,
            names: names.into(),
        }
    }
}

/// What is told of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// It was heard.
    Heard {
        /// Age of the hearing when it was told.
        age: Duration,
        /// Whether it holds the teller's version.
        holds: bool,
    },
    /// It was not heard lately, or knows a version that the teller does not hold.
    Silent,
}

/// One member with what is told of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Member.
    pub member: InstanceId,
    /// What is told of it.
    pub state: PeerState,
}

/// What one instance tells of all members.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PeerStatuses {
    roster: Roster,
    text: Arc<str>,
}

impl PeerStatuses {
    /// Takes the text of an exchange. Members beyond the shorter of the two are left out, and an
    /// unknown character counts as silence.
    #[must_use]
    pub fn new(roster: Roster, text: Arc<str>) -> Self {
        Self { roster, text }
    }

    /// Tells what `quorum` knows at `now`.
    #[must_use]
    pub fn of(quorum: &QuorumTracker, roster: &Roster, now: Instant) -> Self {
        let names = roster.names.iter();
        let text: String = names
            .map(|name| char::from(ALPHABET[quorum.code(name, now)]))
            .collect();
        Self::new(roster.clone(), text.into())
    }

    /// Text to send.
    #[must_use]
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Members in the order of the roster.
    pub fn iter(&self) -> impl Iterator<Item = PeerStatus> {
        let names = self.roster.names.iter();
        names.zip(self.text.bytes()).map(|(name, byte)| PeerStatus {
            member: name.clone(),
            state: decode(byte),
        })
    }
}

impl QuorumTracker {
    fn code(&self, name: &InstanceId, now: Instant) -> usize {
        let Some(voter) = self.voters.get(name) else {
            return SILENT;
        };
        let Some(heard) = voter
            .heard
            .filter(|heard| Some(heard.version) <= self.version)
        else {
            return SILENT;
        };
        let age = now.saturating_duration_since(heard.at);
        let units = age.as_millis().div_ceil(AGE_UNIT.as_millis());
        let units = usize::try_from(units).unwrap_or(AGES);
        if units >= AGES {
            return SILENT;
        }
        2 * units + usize::from(voter.holds >= self.version)
    }
}

fn decode(byte: u8) -> PeerState {
    let code = ALPHABET.iter().position(|known| *known == byte);
    match code.unwrap_or(SILENT) {
        SILENT => PeerState::Silent,
        code => PeerState::Heard {
            age: AGE_UNIT * u32::try_from(code / 2).expect("an age has few units"),
            holds: code % 2 == 1,
        },
    }
}
