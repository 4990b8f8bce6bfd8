//! Status queries of operators: where versions are active and which instances are known.

use std::sync::Arc;
use std::time::Duration;

use sardineshore_core::membership::Member;
use sardineshore_core::quorum::QuorumTracker;
use sardineshore_core::{InstanceRow, Version, VersionRow};
use sardineshore_wire::operator::Progress;

use super::{ConfigService, ConfigState};

impl ConfigService {
    /// Reports on which instances a version is active.
    #[must_use]
    pub fn progress(&self, version: Version) -> Progress {
        let spread = self.state().quorum.version_spread(version, self.now());
        Progress {
            version,
            in_force: spread.is_active,
            applied: spread.applied,
            pending: spread.pending,
        }
    }

    /// Active versions of all known instances, as last reported.
    #[must_use]
    pub fn versions(&self) -> Vec<VersionRow> {
        let state = self.state();
        let rows = state.membership.members().map(|member| VersionRow {
            instance: member.name.clone(),
            version: state
                .quorum
                .version_held_by(&member.name)
                .unwrap_or_default(),
            confirmed_ms: millis_or_max(self.confirmed_age(&state, member)),
        });
        rows.collect()
    }

    /// All known instances and their states.
    #[must_use]
    pub fn instances(&self) -> Vec<InstanceRow> {
        let state = self.state();
        let rows = state.membership.members().map(|member| InstanceRow {
            instance: member.name.clone(),
            domain: member.domain.clone(),
            state: self.member_state(&state.quorum, member),
            version: state
                .quorum
                .version_held_by(&member.name)
                .unwrap_or_default(),
            heard_ms: millis_or_max(self.heard_age(&state.quorum, member)),
        });
        rows.collect()
    }

    fn member_state(&self, quorum: &QuorumTracker, member: &Member) -> Arc<str> {
        let fence = self.settings.quorum.fence_after;
        let age = self.heard_age(quorum, member);
        let live = age.is_some_and(|age| age <= fence);
        let state = match () {
            () if member.name == self.settings.name => "self",
            () if quorum.has_stopped(&member.name) => "stopped",
            () if member.leaving => "leaving",
            () if live => "live",
            () => "silent",
        };
        state.into()
    }

    fn heard_age(&self, quorum: &QuorumTracker, member: &Member) -> Option<Duration> {
        if member.name == self.settings.name {
            return Some(Duration::ZERO);
        }
        quorum.last_heard_age(&member.name, self.now())
    }

    fn confirmed_age(&self, state: &ConfigState, member: &Member) -> Option<Duration> {
        let now = self.now();
        if member.name == self.settings.name {
            return state.quorum.confirmation_age(now);
        }
        let at = state.peer_confirmed.get(&member.name)?;
        Some(now.saturating_duration_since(*at))
    }
}

/// Age in milliseconds; `u64::MAX` if it is unknown.
fn millis_or_max(age: Option<Duration>) -> u64 {
    let age = age.map(|age| u64::try_from(age.as_millis()));
    age.and_then(Result::ok).unwrap_or(u64::MAX)
}
