//! Failure domains to whose servers the operators ask to send nothing.
//!
//! A row of the store asks for the evacuation of a domain until it is removed. While a domain drains, the
//! admitted share of requests falls linearly from 1 to 0, so that the prompts cached there move to other
//! servers gradually; after the row is removed it rises from 0 to 1. The share is 0 in time for the bound
//! of the deployment, counted from the last time at which the store is known not to have had the row.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use sardineshore_core::flow::evacuation::EvacuatedDomains;
//! use sardineshore_core::flow::replica::StoreVersion;
//!
//! let (now, secs) = (Instant::now(), Duration::from_secs);
//! let mut domains = EvacuatedDomains::default();
//! domains.begin(&"z".into(), StoreVersion::default(), Some(now), now);
//! assert!(domains.access("z", 0.4, now + secs(1)));
//! assert!(!domains.access("z", 0.6, now + secs(1)));
//! assert!(domains.is_closed("z", now + secs(2)));
//! domains.end(&"z".into(), now + secs(9));
//! assert!(domains.access("z", 0.4, now + secs(11)));
//! ```

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::config::Name;
use super::replica::StoreVersion;

/// Time over which the admitted share falls from 1 to 0.
const FALL_TIME: Duration = Duration::from_secs(2);
/// Time over which the admitted share rises from 0 to 1.
const RISE_TIME: Duration = Duration::from_secs(3);
/// Time after the earliest possible write of a row at which the share is 0 at the latest. It leaves 2 s of
/// the usual bound of 5 s to requests that were just being sent, also by instances that are held up.
const CLOSE_TIME: Duration = Duration::from_secs(3);
/// Part of the deployment's bound after which the share is 0 at the latest, if that is less than
/// [`CLOSE_TIME`].
const CLOSE_FRACTION: f64 = 0.6;
/// Time over which the share falls at an instance that was cut off from the store and is back. The bound holds
/// for it only after it has been undisturbed for longer than this.
const LATE_FALL_TIME: Duration = Duration::from_secs(1);

/// Time beyond the longest wait of a call to the store within which an instance that runs undisturbed gets
/// its response.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(200);

/// The last time at which the store is known not to have had a row that has just been read, if the store
/// last confirmed the table as of `confirmed` and its calls wait up to `longest_wait`. `None` if that is too
/// long ago: the instance was held up or cut off.
#[must_use]
pub fn earliest_write(
    confirmed: Option<Instant>,
    longest_wait: Duration,
    now: Instant,
) -> Option<Instant> {
    let longest = longest_wait + CONFIRMATION_MARGIN;
    confirmed.filter(|at| now.saturating_duration_since(*at) <= longest)
}

/// State of a domain that was or is evacuated.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Domain {
    /// The row is in force. The share falls from `from` at `since` to 0 at `closed_at`.
    Evacuated {
        row_version: StoreVersion,
        from: f64,
        since: Instant,
        closed_at: Instant,
        /// Set if a restored store lacks the row: it is dropped once the store is known not to have it at
        /// this time.
        lapses_at: Option<Instant>,
    },
    /// The row was removed at `since`. The share rises from `from` to 1.
    Returning { from: f64, since: Instant },
}

impl Domain {
    fn share(&self, now: Instant) -> f64 {
        match *self {
            Self::Evacuated { closed_at, .. } if now >= closed_at => 0.0,
            Self::Evacuated {
                from,
                since,
                closed_at,
                ..
            } => {
                let left = closed_at.saturating_duration_since(now).as_secs_f64();
                let whole = closed_at.saturating_duration_since(since).as_secs_f64();
                from * (left / whole).min(1.0)
            }
            Self::Returning { from, since } => {
                let passed = now.saturating_duration_since(since).as_secs_f64();
                (from + passed / RISE_TIME.as_secs_f64()).min(1.0)
            }
        }
    }

    fn is_evacuated(&self) -> bool {
        matches!(self, Self::Evacuated { .. })
    }
}

/// Domains whose evacuation began or ended with a reading of the rows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationChanges {
    /// Domains that are evacuated from now on, each with the version of its row.
    pub begun: Vec<(Name, StoreVersion)>,
    /// Domains whose row was removed.
    pub ended: Vec<Name>,
}

impl EvacuationChanges {
    /// Whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

/// The evacuated domains, and those that return to service.
#[derive(Debug, Clone)]
pub struct EvacuatedDomains {
    domains: BTreeMap<Name, Domain>,
    close_time: Duration,
}

impl Default for EvacuatedDomains {
    fn default() -> Self {
        Self::new(None)
    }
}

impl EvacuatedDomains {
    /// No domains. `bound` is the time after a row was written from which on nothing may be sent to its
    /// domain, if the deployment sets one.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        let close_time = bound.map_or(CLOSE_TIME, |bound| {
            bound.mul_f64(CLOSE_FRACTION).min(CLOSE_TIME)
        });
        Self {
            domains: BTreeMap::new(),
            close_time,
        }
    }

    /// Time to assume for the write of a row that is read after the instance was cut off from the store, so
    /// that the domain closes within a second.
    #[must_use]
    pub fn assumed_write(&self, now: Instant) -> Option<Instant> {
        now.checked_sub(self.close_time.saturating_sub(LATE_FALL_TIME))
    }

    /// Records the row of a domain. `earliest` is the last time at which the store is known not to have had
    /// it; without it the domain closes at once. Returns whether the domain was not evacuated before.
    pub fn begin(
        &mut self,
        domain: &Name,
        row_version: StoreVersion,
        earliest: Option<Instant>,
        now: Instant,
    ) -> bool {
        let known = self.domains.get_mut(domain);
        if let Some(Domain::Evacuated {
            row_version: known_version,
            lapses_at,
            ..
        }) = known
        {
            *known_version = row_version;
            *lapses_at = None;
            return false;
        }
        let from = known.map_or(1.0, |known| known.share(now));
        let closed_at = earliest.map_or(now, |earliest| {
            (now + FALL_TIME.mul_f64(from)).min(earliest + self.close_time)
        });
        let evacuated = Domain::Evacuated {
            row_version,
            from,
            since: now,
            closed_at,
            lapses_at: None,
        };
        self.domains.insert(domain.clone(), evacuated);
        true
    }

    /// Records that the row of a domain was removed. Returns whether the domain was evacuated.
    pub fn end(&mut self, domain: &Name, now: Instant) -> bool {
        let Some(known) = self.domains.get_mut(domain).filter(|d| d.is_evacuated()) else {
            return false;
        };
        *known = Domain::Returning {
            from: known.share(now),
            since: now,
        };
        true
    }

    /// Records all rows of the store. Those that a restored store lacks stay in force until
    /// [`Self::update`] ends them.
    pub fn replace(
        &mut self,
        rows: &[(Name, StoreVersion)],
        earliest: Option<Instant>,
        now: Instant,
    ) -> EvacuationChanges {
        let mut changes = EvacuationChanges::default();
        for (domain, row_version) in rows {
            if self.begin(domain, *row_version, earliest, now) {
                changes.begun.push((domain.clone(), *row_version));
            }
        }
        let is_removed = |(name, domain): &(&Name, &Domain)| {
            matches!(
                domain,
                Domain::Evacuated {
                    lapses_at: None,
                    ..
                }
            ) && !rows.iter().any(|(listed, _)| listed == *name)
        };
        let removed = self.domains.iter().filter(is_removed);
        changes.ended = removed.map(|(name, _)| name.clone()).collect();
        for domain in &changes.ended {
            self.end(domain, now);
        }
        changes
    }

    /// Records all rows of a store that was restored from a copy. A row that it lacks stays in force until
    /// the store is known not to have it at `settled_at`: the operators may write it again. One that only
    /// it holds is in force at once.
    pub fn replace_restored(
        &mut self,
        rows: &[(Name, StoreVersion)],
        settled_at: Instant,
        now: Instant,
    ) -> EvacuationChanges {
        for (name, domain) in &mut self.domains {
            if let Domain::Evacuated { lapses_at, .. } = domain
                && !rows.iter().any(|(listed, _)| listed == name)
            {
                *lapses_at = Some(settled_at);
            }
        }
        self.replace(rows, None, now)
    }

    /// Ends the evacuations whose row a restored store lacks, if the store is known not to have had it at
    /// `confirmed`, and forgets domains that take all requests again. Returns the former.
    pub fn update(&mut self, confirmed: Option<Instant>, now: Instant) -> Vec<Name> {
        self.domains
            .retain(|_, domain| domain.is_evacuated() || domain.share(now) < 1.0);
        let has_lapsed = |domain: &Domain| match domain {
            Domain::Evacuated { lapses_at, .. } => {
                lapses_at.is_some_and(|at| confirmed.is_some_and(|confirmed| confirmed >= at))
            }
            Domain::Returning { .. } => false,
        };
        let lapsed = self.domains.iter().filter(|(_, domain)| has_lapsed(domain));
        let lapsed: Vec<Name> = lapsed.map(|(name, _)| name.clone()).collect();
        for domain in &lapsed {
            self.end(domain, now);
        }
        lapsed
    }

    /// When a share stops falling or rising, or a row that a restored store lacks may lapse, whichever is
    /// first; `None` if nothing of the kind is pending. The time may have passed.
    #[must_use]
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let changes = self.domains.values().filter_map(|domain| match *domain {
            Domain::Evacuated {
                closed_at,
                lapses_at,
                ..
            } => Some(closed_at).filter(|at| *at > now).or(lapses_at),
            Domain::Returning { from, since } => Some(since + RISE_TIME.mul_f64(1.0 - from)),
        });
        changes.min()
    }

    /// Share of requests that may go to servers of a domain, from 0 to 1.
    #[must_use]
    pub fn admitted_share(&self, domain: &str, now: Instant) -> f64 {
        self.domains
            .get(domain)
            .map_or(1.0, |domain| domain.share(now))
    }

    /// Whether a request may go to servers of a domain. `share` is a number of the request from 0 to 1
    /// (exclusive) that stays the same.
    #[must_use]
    pub fn access(&self, domain: &str, share: f64, now: Instant) -> bool {
        share < self.admitted_share(domain, now)
    }

    /// Whether nothing may be sent to servers of a domain.
    #[must_use]
    pub fn is_closed(&self, domain: &str, now: Instant) -> bool {
        self.is_evacuated(domain) && self.admitted_share(domain, now) <= 0.0
    }

    /// Whether the row of a domain is in force.
    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(Domain::is_evacuated)
    }

    /// Domains whose row is in force.
    pub fn evacuated(&self) -> impl Iterator<Item = &Name> {
        let evacuated = self.domains.iter().filter(|(_, d)| d.is_evacuated());
        evacuated.map(|(name, _)| name)
    }

    /// Domains to whose servers nothing may be sent.
    pub fn closed(&self, now: Instant) -> impl Iterator<Item = &Name> {
        let closed = move |domain: &&Name| self.is_closed(domain, now);
        self.evacuated().filter(closed)
    }

    /// Whether no domain is evacuated or returning, so that all requests may go anywhere.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }
}
