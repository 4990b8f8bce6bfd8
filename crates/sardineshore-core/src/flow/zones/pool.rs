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
/// Utilization of the slots of another domain up to which it takes requests of others.
const HELP_UP_TO: f64 = 0.75;
/// Share of a domain's slots that fresh load reports must cover to tell its utilization.
const MIN_COVERAGE: f64 = 0.1;
/// What a request costs the others of a full domain, as it delays them as much as they delay it; less
/// for a domain that is less utilized.
const DELAY_OF_OTHERS: Duration = Duration::from_millis(120);
/// Additional cost of leaving for requests beyond the share that should: about one waiting request.
const HOLD_COST: Duration = Duration::from_millis(40);
/// Largest pseudo-random cost by which requests that leave choose a domain; least for empty domains.
const DOMAIN_SPREADING_COST: Duration = Duration::from_millis(10);

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
    /// Whether the request is one of those that should leave; `None` if none should.
    leaves: Option<bool>,
}

impl<'a> PoolRoom<'a> {
    /// Sums up servers, each with its domain, slots, and the running and waiting requests that a
    /// fresh report shows. `draw` is the request's pseudo-random number, 0 to 1; requests that
    /// depend on inputs or cached prompts have none, as they choose by these.
    pub fn new(
        home: &'a Name,
        servers: impl Iterator<Item = (&'a Name, u32, Option<u32>)>,
        draw: Option<f64>,
    ) -> Self {
        let mut domains: Vec<Room<'a>> = Vec::new();
        for (domain, slots, requests) in servers {
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
            leaves: None,
        };
        let share = pool.share_to_leave();
        pool.leaves = draw.filter(|_| share > 0.0).map(|draw| draw < share);
        pool
    }

    /// Share of the requests at home that other domains should take: what exceeds the home's slots,
    /// and no more than they have free.
    #[must_use]
    pub fn share_to_leave(&self) -> f64 {
        let home = self.domains.iter().find(|room| *room.domain == *self.home);
        let Some((home, used)) = home.and_then(|room| Some((room, room.utilization()?))) else {
            return 0.0;
        };
        let excess = (used - LEAVE_ABOVE) * home.slots;
        if excess <= 0.0 {
            return 0.0;
        }
        let others = self
            .domains
            .iter()
            .filter(|room| *room.domain != *self.home);
        let free: f64 = others.map(free_slots).sum();
        excess.min(free) / (used * home.slots)
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
            (Some(true), Some(used)) if used < HELP_UP_TO => {
                way + DOMAIN_SPREADING_COST.as_secs_f64() * draw(domain) * used.max(0.1)
            }
            (Some(_), Some(used)) => {
                let delay = DELAY_OF_OTHERS.as_secs_f64() * used.min(1.0);
                way.max(default) + HOLD_COST.as_secs_f64() + delay
            }
            _ => way.max(default),
        }
    }
}

/// Slots of a domain that requests of others may use.
fn free_slots(room: &Room<'_>) -> f64 {
    let used = room.utilization().unwrap_or(HELP_UP_TO);
    ((HELP_UP_TO - used) * room.slots).max(0.0)
}
