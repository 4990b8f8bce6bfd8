//! To which pools the streams of a route went that have no record.

use std::collections::HashMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{StreamVersions, WITHDRAWAL_DELAY};
use crate::flow::config::{Name, Route, assigned_pool};

/// The split by which the streams of a route began that have no record: each at the pool that it assigns to the
/// stream's id.
///
/// While it is in force, streams that begin elsewhere get a record, as another split is configured. Once it is
/// withdrawn, all do, so that another split can take its place when those without one have ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BaseSplit {
    /// Pools with their weights.
    pub pools: Vec<(Name, u32)>,
    /// Era of the store in which this holds. In another one, streams without a record may have begun anywhere.
    pub era: u64,
    /// Whether all streams that begin get a record.
    pub is_withdrawn: bool,
}

impl BaseSplit {
    fn pool_of(&self, id: &str) -> Option<&Name> {
        assigned_pool(&self.pools, id)
    }
}

/// Key of the row that holds the base split of a route. Pools have other names.
#[must_use]
pub fn split_key(route: &Route) -> Name {
    let matched = format!("{}\n{}", route.host, route.prefix);
    format!("{SPLIT_KEY_PREFIX}{:016x}", xxh3_64(matched.as_bytes())).into()
}

/// How the keys of base splits begin.
pub const SPLIT_KEY_PREFIX: &str = "/route/";

/// The configured split of a route.
#[derive(Debug)]
struct Configured {
    pools: Vec<(Name, u32)>,
    since: Instant,
    /// Whether this instance has known another one for the route.
    has_changed: bool,
}

/// What an instance knows about the splits of routes, by their keys.
#[derive(Debug, Default)]
pub(super) struct RouteSplits {
    configured: HashMap<Name, Configured>,
    /// Base splits, as the store has them.
    bases: HashMap<Name, BaseSplit>,
    /// Since when a route is known to have no base split in force.
    open_since: HashMap<Name, Instant>,
}

impl RouteSplits {
    /// Records that the store was restored: no base split is in force since its era is known.
    pub(super) fn record_restore(&mut self) {
        self.open_since.clear();
    }
}

impl StreamVersions {
    /// Records the configured splits of all routes whose streams may be taken up.
    pub fn set_routes<'a>(&mut self, routes: impl Iterator<Item = &'a Route>, now: Instant) {
        let mut before = std::mem::take(&mut self.splits.configured);
        for route in routes {
            let key = split_key(route);
            let known = before.remove(&key);
            let configured = match known {
                Some(known) if known.pools == route.pools => known,
                known => Configured {
                    pools: route.pools.clone(),
                    since: now,
                    has_changed: known.is_some(),
                },
            };
            self.splits.configured.insert(key, configured);
        }
    }

    /// Sets the base split of a route as the store has it since its last change; `None` if it has none.
    pub fn set_base_split(&mut self, route: &Name, base: Option<BaseSplit>, now: Instant) {
        match base {
            Some(base) => self.splits.bases.insert(route.clone(), base),
            None => self.splits.bases.remove(route),
        };
        if self.split_in_force(route).is_some() {
            self.splits.open_since.remove(route);
        } else {
            self.splits.open_since.insert(route.clone(), now);
        }
    }

    /// Base split that holds in the present era, withdrawn or not.
    fn holding_split(&self, route: &str) -> Option<&BaseSplit> {
        let (era, _) = self.era?;
        let base = self.splits.bases.get(route);
        base.filter(|base| base.era == era)
    }

    fn split_in_force(&self, route: &str) -> Option<&BaseSplit> {
        self.holding_split(route).filter(|base| !base.is_withdrawn)
    }

    /// Whether a stream needs a record because of the pool at which it begins.
    #[must_use]
    pub fn needs_split_record(&self, route: &str, pool: &Name, id: &str) -> bool {
        let base = self.split_in_force(route);
        base.and_then(|base| base.pool_of(id)) != Some(pool)
    }

    /// Whether that record must be written before the first event is forwarded: without it, the stream might be
    /// taken for one of another pool. Not so at the pool of a base split that is in force, or that holds no more as
    /// the store was restored and is still configured: only itself takes its place then.
    #[must_use]
    pub fn must_await_split_record(&self, route: &str, pool: &Name, id: &str) -> bool {
        let Some(base) = self.splits.bases.get(route) else {
            return true;
        };
        let configured = self.splits.configured.get(route);
        let is_configured = configured.is_some_and(|split| split.pools == base.pools);
        let stays = self.split_in_force(route).is_some() || (!base.is_withdrawn && is_configured);
        !stays || base.pool_of(id) != Some(pool)
    }

    /// Whether the store names a base split for each route, as far as it can at once: at the first start of the
    /// system.
    #[must_use]
    pub fn are_first_splits_stated(&self) -> bool {
        let mut routes = self.splits.configured.keys();
        !self.is_first_start || routes.all(|route| self.splits.bases.contains_key(route))
    }

    /// Pool at which a stream began that has no record; `None` if it isn't known. The record, and then the base
    /// split, must have been read after the stream was taken up. `id` is `None` if the stream isn't known: its pool
    /// is, if there is only one.
    ///
    /// In a restored store the base split doesn't hold. The stream still began there if no other split can have been
    /// configured: `is_configuration_confirmed` tells that none was lost in the restore, and this instance has
    /// followed the configuration for a stream's life, or from the first start of the system.
    #[must_use]
    pub fn unrecorded_pool(
        &self,
        route: &str,
        id: Option<&str>,
        is_configuration_confirmed: bool,
        now: Instant,
    ) -> Option<&Name> {
        let base = self.holding_split(route).or_else(|| {
            let configured = self.splits.configured.get(route)?;
            let is_followed = self.is_old(configured.since, now)
                || (self.is_followed_from_first_start && !configured.has_changed);
            let base = self.splits.bases.get(route)?;
            let is_only =
                is_configuration_confirmed && is_followed && base.pools == configured.pools;
            is_only.then_some(base)
        })?;
        if let Some(id) = id {
            return base.pool_of(id);
        }
        let mut used = base.pools.iter().filter(|(_, weight)| *weight > 0);
        let (pool, _) = used.next().filter(|_| used.next().is_none())?;
        Some(pool)
    }

    /// The base split that the store should get for a route; `None` if it has the right one, or it is too
    /// early to change it. It may be written under the conditions of [`StreamVersions::base_change`].
    #[must_use]
    pub fn split_change(&self, route: &str, now: Instant) -> Option<BaseSplit> {
        let configured = self.splits.configured.get(route)?;
        let (era, era_since) = self
            .era
            .filter(|(era, _)| self.bases_read_in == Some(*era))?;
        let in_force = |pools: &[(Name, u32)]| BaseSplit {
            pools: pools.to_vec(),
            era,
            is_withdrawn: false,
        };
        let open_since = self.splits.open_since.get(route).copied();
        let have_unrecorded_ended = self.is_old(open_since.unwrap_or(era_since), now);
        let Some(base) = self.splits.bases.get(route) else {
            let is_first = self.is_first_start && !configured.has_changed && open_since.is_none();
            let is_due = is_first || have_unrecorded_ended;
            return is_due.then(|| in_force(&configured.pools));
        };
        let is_configured = base.pools == configured.pools;
        if self.split_in_force(route).is_some() {
            let differs_for = now.saturating_duration_since(configured.since);
            let is_replaced = !is_configured && differs_for >= WITHDRAWAL_DELAY;
            return is_replaced.then(|| BaseSplit {
                is_withdrawn: true,
                ..base.clone()
            });
        }
        let may_take_its_place = is_configured || self.is_old(configured.since, now);
        let is_due = have_unrecorded_ended && may_take_its_place;
        is_due.then(|| in_force(&configured.pools))
    }

    /// Keys of the routes whose streams may be taken up.
    pub fn routes(&self) -> impl Iterator<Item = &Name> {
        self.splits.configured.keys()
    }
}
