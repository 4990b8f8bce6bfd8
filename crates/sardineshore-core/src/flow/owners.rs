//! Which instance forms the batches of which servers.
//!
//! The servers of all batch pools are divided into cells. Each cell has one owner among the live
//! instances, by weighted rendezvous hashing: every instance finds the same owner without
//! agreement, and two owners for a moment cost thin batches, never a wrong answer.

use xxhash_rust::xxh3::xxh3_64;

use super::site::Name;

/// Servers of the largest batch pool that one cell holds; more would load one owner too much.
const SERVERS_PER_CELL: usize = 6;

/// An instance as a candidate for ownership.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the instance.
    pub name: Name,
    /// Relative processor share.
    pub weight: f64,
}

/// Number of cells for the largest batch pool.
#[must_use]
pub fn cell_count(largest_pool: usize) -> usize {
    largest_pool.div_ceil(SERVERS_PER_CELL).max(1)
}

/// Cell that a request belongs to.
#[must_use]
pub fn cell_of(request: &str, cells: usize) -> usize {
    let cells = u64::try_from(cells.max(1)).unwrap_or(1);
    usize::try_from(xxh3_64(request.as_bytes()) % cells).unwrap_or(0)
}

/// Candidates of a cell, the owner first.
#[must_use]
pub fn ranking(cell: usize, candidates: &[Candidate]) -> Vec<Name> {
    let mut ranked: Vec<(f64, &Candidate)> = candidates
        .iter()
        .map(|candidate| (score(cell, candidate), candidate))
        .collect();
    ranked.sort_by(|a, b| {
        b.0.total_cmp(&a.0)
            .then_with(|| a.1.name.cmp(&b.1.name))
    });
    ranked.into_iter().map(|(_, c)| c.name.clone()).collect()
}

fn score(cell: usize, candidate: &Candidate) -> f64 {
    let hash = xxh3_64(format!("{cell}/{}", candidate.name).as_bytes());
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    // Squared: an instance with twice the processor share is four times as likely an owner.
    candidate.weight * candidate.weight / -unit.ln()
}
