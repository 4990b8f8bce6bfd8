//! What instances tell each other about speeds, in messages that are sent anyway.
//!
//! An instance that submits a job adds its new samples; the owner of the cell adds what it knows from
//! all of them to the job's events. Samples are sent once and estimates are never passed on as
//! samples, so nothing is counted twice.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::estimate::{Evidence, Trend};
use super::figure::Figure;
use super::{FIGURE_SHARE_AGE, MIN_POOL_SAMPLES, ServerSpeeds};

/// Entries of a message at most.
const MAX_ENTRIES: usize = 8;
/// Entries of the message to an instance that begins to follow this one.
const MAX_SNAPSHOT_ENTRIES: usize = 400;
/// Entries of lasting speeds of a message; the others are figures of this moment.
const LASTING_ENTRIES: usize = 4;
/// Difference from usual, as a logarithm, from which on a slow moment is told.
const MIN_SLOW: f64 = 0.2;
/// Servers with new samples from which on a message is sent for them alone.
const MIN_SAMPLED_SERVERS: usize = 4;
/// Servers that are looked at for one message.
const SCANNED_SERVERS: usize = 24;
/// Time for which a server that differed from usual is told of.
const DIFFERENCE_SHARE_TIME: Duration = Duration::from_secs(60);
/// How often the trends of the pools are told on a link.
const TREND_INTERVAL: Duration = Duration::from_secs(10);
/// Bytes that a link carries for this purpose, per second and at once.
const LINK_BYTES: (f64, f64) = (400.0, 160.0);
/// Bytes of a message beside its entries, with the length that precedes it.
const MESSAGE_BYTES: usize = 10;
/// Bytes of an entry.
const ENTRY_BYTES: usize = 8;
/// Parts of 1 in which logarithms are sent.
const RESOLUTION: f64 = 32.0;
/// Unit of the age of figures.
const AGE_UNIT: Duration = Duration::from_millis(4);
/// Value that stands for no figure.
const NO_FIGURE: i8 = i8::MIN;
/// Samples of one server in a message that count at most, so that no instance outweighs the others.
const MAX_SAMPLES: u8 = 8;
/// Weight, relative to the present one, from which another owner's estimate replaces it.
const MIN_RELATIVE_WEIGHT: f64 = 0.7;

/// What is told about a server, or about a pool (only its value and weight).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedEntry {
    /// Hash of the server's id and start, or of the pool's name.
    pub key: [u8; 4],
    /// Logarithm of the lasting slowness, in parts of 32.
    pub value: i8,
    /// Samples on which it is based; 0: the entry has no lasting slowness.
    pub weight: u8,
    /// Logarithm of the slowness of this moment, relative to the lasting one, in parts of 32; the smallest
    /// value stands for none.
    pub figure: i8,
    /// Age of that slowness, in units of 4 ms.
    pub age: u8,
}

/// Who tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DigestKind {
    /// An instance that submits jobs: its new samples.
    Samples,
    /// An owner of cells: its estimates.
    Estimates,
}

/// What an instance tells another one about speeds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedDigest {
    /// Who tells it.
    pub kind: DigestKind,
    /// Servers and pools.
    pub entries: Vec<SpeedEntry>,
}

impl SpeedDigest {
    /// Length of the message that carries it, in bytes; a little too long.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        self.entries.len() * ENTRY_BYTES + MESSAGE_BYTES
    }
}

/// What was told on a link; bounds its bytes.
#[derive(Debug, Default)]
pub struct SpeedLink {
    /// Bytes that may be sent, as of a time.
    allowance: f64,
    at: Option<Instant>,
    /// When slow figures were last told; later ones are news.
    figures_at: Option<Instant>,
    /// When the trends of the pools were last told.
    trends_at: Option<Instant>,
    /// Position in the list of servers.
    next: usize,
}

impl SpeedLink {
    /// Number of entries that may be sent now; 0 if a message isn't worth it.
    fn allowed_entries(&mut self, now: Instant) -> usize {
        let elapsed = self.at.map(|at| now.saturating_duration_since(at));
        let gained = elapsed.map_or(LINK_BYTES.1, |t| t.as_secs_f64() * LINK_BYTES.0);
        self.allowance = (self.allowance + gained).min(LINK_BYTES.1);
        self.at = Some(now);
        let entries = (self.allowance - MESSAGE_BYTES as f64) / ENTRY_BYTES as f64;
        if entries < 1.0 {
            return 0;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        let entries = entries as usize;
        entries.min(MAX_ENTRIES)
    }
}

/// Identification of a run of a server in messages. Two of a few hundred servers have the same one
/// in one of a hundred thousand deployments; they would share a speed.
pub(super) fn server_key(id: &str, started_ms: u64) -> u32 {
    (xxh3_64_with_seed(id.as_bytes(), started_ms) >> 32) as u32
}

fn trend_key(pool: &str, seed: u64) -> u32 {
    (xxh3_64_with_seed(pool.as_bytes(), !seed) >> 32) as u32
}

fn encode_ln(ln: f64) -> i8 {
    let scaled = (ln * RESOLUTION).round().clamp(-127.0, 127.0);
    #[expect(clippy::cast_possible_truncation, reason = "clamped")]
    let scaled = scaled as i8;
    scaled
}

fn decode_ln(value: i8) -> f64 {
    f64::from(value) / RESOLUTION
}

fn encode_weight(weight: f64) -> u8 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped"
    )]
    let weight = weight.round().clamp(0.0, 255.0) as u8;
    weight
}

impl ServerSpeeds {
    /// What to add to a message to an owner of cells: new samples and slow figures that this instance
    /// has seen. `None` if there is nothing or `link` has carried enough.
    pub fn samples(&mut self, link: &mut SpeedLink, now: Instant) -> Option<SpeedDigest> {
        let limit = link.allowed_entries(now);
        if limit == 0 {
            return None;
        }
        let mut entries = self.slow_entries(link, false, limit, now);
        if entries.is_empty() && self.unsent.len() < MIN_SAMPLED_SERVERS {
            return None;
        }
        while entries.len() < limit
            && let Some(slot) = self.unsent.pop()
        {
            let Some(server) = self.servers.get_mut(slot) else {
                continue;
            };
            let (sum, count) = std::mem::take(&mut server.unsent);
            if count > 0 {
                entries.push(SpeedEntry {
                    key: server.key.to_le_bytes(),
                    value: encode_ln(sum / f64::from(count)),
                    weight: u8::try_from(count).unwrap_or(u8::MAX).min(MAX_SAMPLES),
                    figure: NO_FIGURE,
                    age: 0,
                });
            }
        }
        finish(DigestKind::Samples, entries, link)
    }

    /// What to add to a message to an instance that submits jobs: slow figures that are known here, and
    /// in turn the lasting speeds. `None` if there is nothing or `link` has carried enough.
    pub fn estimates(&mut self, link: &mut SpeedLink, now: Instant) -> Option<SpeedDigest> {
        let limit = link.allowed_entries(now);
        if limit == 0 {
            return None;
        }
        let slow_limit = limit.saturating_sub(LASTING_ENTRIES).max(1);
        let mut entries = self.slow_entries(link, true, slow_limit, now);
        let are_trends_due = link
            .trends_at
            .is_none_or(|at| now.saturating_duration_since(at) >= TREND_INTERVAL);
        if are_trends_due {
            link.trends_at = Some(now);
            entries.extend(self.trend_entries().take(limit - entries.len()));
        }
        for _ in 0..self.order.len().min(SCANNED_SERVERS) {
            if entries.len() == limit {
                break;
            }
            let slot = self.order[link.next % self.order.len()];
            link.next = (link.next + 1) % self.order.len();
            entries.extend(self.lasting_entry(slot, now));
        }
        finish(DigestKind::Estimates, entries, link)
    }

    /// All lasting speeds, for an instance that begins to follow this one and may have just started.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> Option<SpeedDigest> {
        let slots = self.servers.iter().map(|(slot, _)| slot);
        let lasting = slots.filter_map(|slot| self.lasting_entry(slot, now));
        let entries: Vec<SpeedEntry> = self
            .trend_entries()
            .chain(lasting)
            .take(MAX_SNAPSHOT_ENTRIES)
            .collect();
        let kind = DigestKind::Estimates;
        (!entries.is_empty()).then_some(SpeedDigest { kind, entries })
    }

    /// Entries of servers that were named slow since the last message on the link.
    fn slow_entries(
        &mut self,
        link: &mut SpeedLink,
        as_owner: bool,
        limit: usize,
        now: Instant,
    ) -> Vec<SpeedEntry> {
        let since = link.figures_at.replace(now);
        while let Some((at, ..)) = self.slow_figures.front()
            && now.saturating_duration_since(*at) > FIGURE_SHARE_AGE
        {
            self.slow_figures.pop_front();
        }
        let mut entries: Vec<SpeedEntry> = Vec::new();
        for (at, slot, from_submitter) in self.slow_figures.iter().rev() {
            if entries.len() == limit || since.is_some_and(|since| *at <= since) {
                break;
            }
            if *from_submitter && !as_owner {
                continue;
            }
            let Some(server) = self.servers.get(*slot) else {
                continue;
            };
            let key = server.key.to_le_bytes();
            let Some(figure) = &server.figure else {
                continue;
            };
            let excess = figure.excess(&server.level, now) * server.trust_in(figure, &self.pools);
            if excess < MIN_SLOW || entries.iter().any(|entry| entry.key == key) {
                continue;
            }
            let age = now.saturating_duration_since(figure.at());
            entries.push(SpeedEntry {
                key,
                value: 0,
                weight: 0,
                figure: encode_ln(excess),
                age: u8::try_from(age.as_millis() / AGE_UNIT.as_millis()).unwrap_or(u8::MAX),
            });
        }
        entries
    }

    fn lasting_entry(&self, slot: usize, now: Instant) -> Option<SpeedEntry> {
        let server = self.servers.get(slot)?;
        let weight = server.seen.weight(now);
        // Where servers are equal, there is nothing to tell. That one is as usual again is told for a
        // while.
        let differed = server
            .differed_at
            .is_some_and(|at| now.saturating_duration_since(at) < DIFFERENCE_SHARE_TIME);
        (differed && weight >= 1.0).then(|| SpeedEntry {
            key: server.key.to_le_bytes(),
            value: encode_ln(server.seen.value()),
            weight: encode_weight(weight),
            figure: NO_FIGURE,
            age: 0,
        })
    }

    fn trend_entries(&self) -> impl Iterator<Item = SpeedEntry> {
        self.pools.iter().flat_map(|pool| {
            [&pool.first_output, &pool.events]
                .into_iter()
                .enumerate()
                .filter(|(_, trend)| trend.samples() >= MIN_POOL_SAMPLES)
                .map(|(kind, trend)| SpeedEntry {
                    key: trend_key(&pool.name, kind as u64).to_le_bytes(),
                    value: encode_ln(trend.mean()),
                    weight: encode_weight(trend.samples()),
                    figure: NO_FIGURE,
                    age: 0,
                })
        })
    }

    /// Takes what another instance tells. Entries of unknown servers are ignored.
    pub fn receive(&mut self, digest: &SpeedDigest, now: Instant) {
        for entry in digest.entries.iter().copied().take(MAX_SNAPSHOT_ENTRIES) {
            let key = u32::from_le_bytes(entry.key);
            if let Some(slot) = self.by_key.get(&key).copied() {
                self.receive_entry(slot, entry, digest.kind, now);
            } else if digest.kind == DigestKind::Estimates {
                self.receive_trend(key, entry);
            }
        }
        self.refresh_if_due(now);
    }

    fn receive_entry(&mut self, slot: usize, entry: SpeedEntry, kind: DigestKind, now: Instant) {
        let server = &mut self.servers[slot];
        if entry.weight > 0 {
            let value = decode_ln(entry.value);
            match kind {
                DigestKind::Samples => {
                    let samples = f64::from(entry.weight.min(MAX_SAMPLES));
                    server.seen.record(value, samples, now);
                }
                DigestKind::Estimates => {
                    let weight = f64::from(entry.weight);
                    if weight >= MIN_RELATIVE_WEIGHT * server.told.weight(now) {
                        server.told = Evidence::received(value, weight, now);
                    }
                }
            }
        }
        if entry.figure == NO_FIGURE {
            return;
        }
        let Some(at) = now.checked_sub(AGE_UNIT * u32::from(entry.age)) else {
            return;
        };
        if server.figure.is_none_or(|known| known.at() < at) {
            let ln = server.level.value() + decode_ln(entry.figure);
            server.figure = Some(Figure::observed(ln, at));
            let pool = &mut self.pools[server.pool];
            pool.record_uneven_figure(now);
            if kind == DigestKind::Samples {
                self.remember_slow(slot, true, now);
            }
        }
    }

    /// Takes a pool's trend while this instance has too few samples for one.
    fn receive_trend(&mut self, key: u32, entry: SpeedEntry) {
        for pool in &mut self.pools {
            for (kind, trend) in [&mut pool.first_output, &mut pool.events]
                .into_iter()
                .enumerate()
            {
                let is_meant = trend_key(&pool.name, kind as u64) == key;
                if is_meant && trend.samples() < MIN_POOL_SAMPLES && entry.weight > 0 {
                    *trend = Trend::received(decode_ln(entry.value), MIN_POOL_SAMPLES);
                }
            }
        }
    }
}

fn finish(kind: DigestKind, entries: Vec<SpeedEntry>, link: &mut SpeedLink) -> Option<SpeedDigest> {
    if entries.is_empty() {
        return None;
    }
    let digest = SpeedDigest { kind, entries };
    link.allowance -= digest.encoded_bytes() as f64;
    Some(digest)
}
