//! Room of a pool's servers by failure domain, and what a server in another domain costs.

use std::time::Duration;

use super::links::{RoundTrips, SpilloverPrices};
use crate::flow::config::Name;

/// Cost of another failure domain if its round trip wasn't measured, or if there is room at home. It
/// is higher than the pseudo-random cost that spreads requests over equal servers, which therefore
/// doesn't send them to other domains.
const DEFAULT_CROSSING_COST: Duration = Duration::from_millis(8);
/// Utilization of the slots at home from which leaving may pay.
const LEAVE_ABOVE: f64 = 0.85;
/// Utilization up to which a domain takes requests of others; above it, a request at a server with
/// prompts to prefill delays the ones that run there.
const HELP_UP_TO: f64 = 0.9;
/// Share of a domain's slots that fresh load reports must cover to tell its utilization.
const MIN_COVERAGE: f64 = 0.25;
/// What a request costs the others of a full domain, as it delays them as much as they delay it; less
/// for a domain that is less utilized.
const DELAY_OF_OTHERS: Duration = Duration::from_millis(120);
/// Additional cost of leaving for requests beyond the share that should. It is more than a full server
/// costs, so that they don't all leave while the reports show a full home.
const HOLD_COST: Duration = Duration::from_secs(1);
/// Largest pseudo-random cost by which requests that leave choose a domain, for an empty one; a domain
/// with half the room has twice that, and so gets about half as many. Twice the largest round trip
/// between domains (11 ms), so that the nearest domain doesn't get all.
const DOMAIN_SPREADING_COST: Duration = Duration::from_millis(20);

/// Why a request goes to another domain than that of its instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrossingReason {
    /// It doesn't.
    Home,
    /// Its inputs are there.
    Inputs,
    /// Its prompt may be cached there.
    Prompt,
    /// The other domain has a better server.
    Load,
}

impl CrossingReason {
    /// Text for metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Inputs => "inputs",
            Self::Prompt => "prompt",
            Self::Load => "load",
        }
    }
}

/// Servers of a pool in one domain.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Room<'a> {
    domain: &'a Name,
    /// Slots of all servers.
    slots: f64,
    /// Slots of the servers with a fresh load report.
    reported_slots: f64,
    /// Requests that run or wait at these servers.
    requests: f64,
}

impl Room<'_> {
    /// Share of the slots that is in use, above 1 if requests wait; `None` if too few servers have
    /// reported.
    fn utilization(&self) -> Option<f64> {
        (self.reported_slots > 0.0 && self.reported_slots >= MIN_COVERAGE * self.slots)
            .then(|| self.requests / self.reported_slots)
    }
}

/// Room of a pool's servers by failure domain, as one request finds it.
#[derive(Debug, Clone)]
pub struct PoolRoom<'a> {
    domains: Vec<Room<'a>>,
    home: &'a Name,
    /// Utilization that the home and the domains which help it should come to.
    level: f64,
    /// Whether the request is one of those that should leave; `None` if the home has room, or if the
    /// request doesn't choose by that.
    leaves: Option<bool>,
}

impl<'a> PoolRoom<'a> {
    /// Sums up servers, each with its domain, slots, and the running and waiting requests that a
    /// fresh report shows. `draw` is the request's pseudo-random number, 0 to 1; requests that
    /// depend on inputs or cached prompts have none, as they choose by these whatever the room.
    pub fn new(
        home: &'a Name,
        servers: impl Iterator<Item = (&'a Name, u32, Option<u32>)>,
        draw: Option<f64>,
    ) -> Self {
        let mut domains: Vec<Room<'a>> = Vec::new();
        for (domain, slots, requests) in servers.filter(|_| draw.is_some()) {
            let slots = f64::from(slots.max(1));
            let index = domains.iter().position(|room| *room.domain == *domain);
            let index = index.unwrap_or_else(|| {
                domains.push(Room {
                    domain,
                    slots: 0.0,
                    reported_slots: 0.0,
                    requests: 0.0,
                });
                domains.len() - 1
            });
            let room = &mut domains[index];
            room.slots += slots;
            if let Some(requests) = requests {
                room.reported_slots += slots;
                room.requests += f64::from(requests);
            }
        }
        let mut pool = Self {
            domains,
            home,
            level: LEAVE_ABOVE,
            leaves: None,
        };
        pool.level = pool.common_utilization().clamp(LEAVE_ABOVE, HELP_UP_TO);
        let share = pool.share_to_leave();
        pool.leaves = share.zip(draw).map(|(share, draw)| draw < share);
        pool
    }

    /// Utilization if all domains had the same.
    fn common_utilization(&self) -> f64 {
        let known = self.domains.iter().filter_map(|room| {
            let used = room.utilization()?;
            Some((used * room.slots, room.slots))
        });
        let (used, slots) = known.fold((0.0, 0.0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
        used / f64::max(slots, 1.0)
    }

    /// Share of the requests at home that other domains should take: what exceeds the common level,
    /// and no more than they have free below it. `None` if the home has room or its load is unknown.
    fn share_to_leave(&self) -> Option<f64> {
        let home = self
            .domains
            .iter()
            .find(|room| *room.domain == *self.home)?;
        let used = home.utilization().filter(|used| *used > LEAVE_ABOVE)?;
        let excess = (used - self.level).max(0.0) * home.slots;
        let others = self
            .domains
            .iter()
            .filter(|room| *room.domain != *self.home);
        let free: f64 = others
            .filter_map(|room| Some((self.level - room.utilization()?).max(0.0) * room.slots))
            .sum();
        Some(excess.min(free) / (used * home.slots))
    }

    /// Time that a server of a domain costs on top of its own load, in seconds. `bytes` are those of
    /// the request that move, `draw` gives a pseudo-random number for a domain.
    #[must_use]
    pub fn crossing_cost(
        &self,
        domain: &Name,
        round_trips: &RoundTrips,
        prices: &SpilloverPrices,
        bytes: u64,
        draw: impl FnOnce(&Name) -> f64,
    ) -> f64 {
        if *domain == *self.home {
            return 0.0;
        }
        let default = DEFAULT_CROSSING_COST.as_secs_f64();
        let price = prices.time_worth(bytes).as_secs_f64();
        let Some(round_trip) = round_trips.to(domain) else {
            return default + price;
        };
        let own = round_trips.to(self.home).unwrap_or_default();
        let way = round_trip.saturating_sub(own).as_secs_f64() + price;
        let room = self.domains.iter().find(|room| *room.domain == *domain);
        let used = room.and_then(Room::utilization);
        match (self.leaves, used) {
            (Some(true), Some(used)) if used < self.level => {
                let room = (self.level - used) / self.level;
                way + DOMAIN_SPREADING_COST.as_secs_f64() * draw(domain) / room
            }
            (Some(_), Some(used)) => {
                let delay = DELAY_OF_OTHERS.as_secs_f64() * used.min(1.0);
                way.max(default) + HOLD_COST.as_secs_f64() + delay
            }
            _ => way.max(default),
        }
    }
}
