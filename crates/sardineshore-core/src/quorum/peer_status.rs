//! Compact encoding of what one instance knows of all members, exchanged between peers: one
//! character per member, in the order of a [`Roster`].
//!
//! A character encodes how long ago the member was last heard, rounded up to [`AGE_UNIT`], and
//! whether the member holds the sender's version. One more character stands for a silent member.

use std::sync::Arc;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use super::QuorumTracker;
use crate::InstanceId;

/// Resolution of the encoded ages.
pub const AGE_UNIT: Duration = Duration::from_millis(100);
/// Number of ages that a character can encode, from 0.
const AGE_COUNT: usize = 30;
const SILENT: usize = 2 * AGE_COUNT;
const ALPHABET: &[u8; 61] = b"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxy";

/// Names of the members in a fixed order, identified by a digest.
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
    /// Creates a roster; sorts the names and removes duplicates.
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

/// What the sender reports of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// It was heard recently and knows no version that the sender does not hold.
    Heard {
        /// Time since it was last heard, when the sender encoded it.
        age: Duration,
        /// Whether it holds the sender's version.
        holds: bool,
    },
    /// It was not heard recently, or knows a version that the sender does not hold.
    Silent,
}

/// The state of one member, as the sender reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Name of the member.
    pub member: InstanceId,
    /// Its state.
    pub state: PeerState,
}

/// What one instance reports of all members.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PeerStatuses {
    roster: Roster,
    text: Arc<str>,
}

impl PeerStatuses {
    /// Wraps the received text of a report. Names without a character and characters without a name
    /// are ignored; an unknown character means a silent member.
    #[must_use]
    pub fn new(roster: Roster, text: Arc<str>) -> Self {
        Self { roster, text }
    }

    /// Encodes what `quorum` knows at `now`.
    #[must_use]
    pub fn of(quorum: &QuorumTracker, roster: &Roster, now: Instant) -> Self {
        let names = roster.names.iter();
        let text: String = names
            .map(|name| char::from(ALPHABET[quorum.encode_member(name, now)]))
            .collect();
        Self::new(roster.clone(), text.into())
    }

    /// The encoded text to send.
    #[must_use]
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Decodes the states of the members, in the order of the roster.
    pub fn iter(&self) -> impl Iterator<Item = PeerStatus> {
        let names = self.roster.names.iter();
        names.zip(self.text.bytes()).map(|(name, byte)| PeerStatus {
            member: name.clone(),
            state: decode(byte),
        })
    }
}

impl QuorumTracker {
    fn encode_member(&self, name: &InstanceId, now: Instant) -> usize {
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
        let units = usize::try_from(units).unwrap_or(AGE_COUNT);
        if units >= AGE_COUNT {
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
