//! Exchanges with other instances: requests, replies and the transfer of missing versions.
//!
//! In an exchange two instances report their versions, the age of their confirmation, leaving
//! backend servers and crash evidence. An instance that has an older version then fetches the
//! missing log entries.

pub mod clients;
pub mod link;
pub mod serve;

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use futures::future::join_all;
use sardineshore_core::membership::Member;
use sardineshore_core::membership::leaving::LeavingNotice;
use sardineshore_core::quorum::PeerReply;
use sardineshore_core::quorum::peer_status::PeerStatuses;
use sardineshore_core::{InstanceId, Version};
use sardineshore_wire::peer::{GossipMessage, InstancePhase, LogReply};
use thiserror::Error;

use crate::config::{ConfigService, ConfigState};

/// Number of members that this instance notifies when it stops.
const MAX_STOP_NOTICES: usize = 16;

/// A call to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("peer {addr}: {reason}")]
pub struct PeerError {
    /// Peer address.
    pub addr: Arc<str>,
    /// Error text of the call.
    pub reason: String,
}

/// Calls to peers.
#[async_trait]
pub trait PeerLink: fmt::Debug + Send + Sync {
    /// Sends an exchange and returns the reply.
    async fn exchange(
        &self,
        addr: &Arc<str>,
        request: GossipMessage,
    ) -> Result<GossipMessage, PeerError>;
    /// Fetches entries after a version.
    async fn log(&self, addr: &Arc<str>, after: Version) -> Result<LogReply, PeerError>;
    /// Fetches the peer's roster.
    async fn roster(&self, addr: &Arc<str>) -> Result<Vec<InstanceId>, PeerError>;
}

impl ConfigService {
    /// Exchanges with the next peer in rotation; errors are ignored.
    pub async fn exchange_next(&self) {
        let peer = self.state().membership.next_peer(&mut rand::rng());
        if let Some(peer) = peer {
            let _ = self.exchange_one(&peer).await;
        }
    }

    /// Exchanges with a few random peers, to announce a new version.
    pub async fn exchange_with_random(&self) {
        let gossip_fanout = self.settings.gossip_fanout;
        let peers = self
            .state()
            .membership
            .random_peers(gossip_fanout, &mut rand::rng());
        self.exchange_with(&peers).await;
    }

    /// Exchanges with several peers at the same time.
    pub async fn exchange_with(&self, peers: &[Member]) {
        join_all(peers.iter().map(|peer| self.exchange_one(peer))).await;
    }

    /// Exchanges with one peer.
    pub async fn exchange_one(&self, peer: &Member) -> Result<(), PeerError> {
        let sent_at = self.now();
        let request = self.build_request();
        let reply = self
            .dependencies
            .peers
            .exchange(&peer.addr, request)
            .await?;
        self.fetch_unknown_roster(peer, &reply).await;
        self.apply_reply(&reply, sent_at);
        let known = self.state().log.version();
        let announced = reply.version.unwrap_or(known);
        if announced > known {
            self.fetch_log(peer).await?;
        }
        if let Some(announced) = reply.version {
            self.mark_loaded(announced);
        }
        Ok(())
    }

    /// Replies to a peer. Versions that the peer has and this instance lacks are fetched first, so
    /// that the reply reports them as active here.
    pub async fn handle_exchange(&self, request: GossipMessage) -> GossipMessage {
        if request.phase == InstancePhase::Stopped {
            let now = self.now();
            self.state().quorum.record_stop(&request.sender, now);
        }
        let (known, asker) = {
            let state = self.state();
            let asker = state.membership.member(&request.sender).cloned();
            (state.log.version(), asker)
        };
        if let Some(asker) = asker
            && request.version > Some(known)
        {
            let _ = self.fetch_log(&asker).await;
        }
        self.dependencies.evidence.merge(request.evidence);
        self.dependencies.evidence.merge_prompts(request.prompts);
        self.apply_leaving(&request.leaving, self.now());
        self.build_reply(&self.state(), self.now())
    }

    /// Log entries after a version, or a snapshot if the entries are no longer available.
    pub fn log_after(&self, after: Version) -> LogReply {
        let state = self.state();
        match state.log.entries_after(after) {
            Some(entries) => LogReply::Entries { entries },
            None => LogReply::Snapshot {
                deployment: state.log.deployment().clone(),
            },
        }
    }

    /// Announces to peers that this instance has finished its last request.
    pub async fn announce_stopped(&self) {
        let peers = {
            let mut state = self.state();
            state.phase = InstancePhase::Stopped;
            state
                .membership
                .random_peers(MAX_STOP_NOTICES, &mut rand::rng())
        };
        self.exchange_with(&peers).await;
    }

    /// Some peers that are not known to hold a version.
    pub(crate) fn peers_without(&self, version: Version) -> Vec<Member> {
        let state = self.state();
        let count = state.membership.len();
        let mut peers = state.membership.random_peers(count, &mut rand::rng());
        let held = |peer: &Member| state.quorum.version_held_by(&peer.name);
        peers.retain(|peer| held(peer) < Some(version));
        peers.truncate(self.settings.max_parallel_exchanges);
        peers
    }

    /// Builds the request of an exchange. A request can be delayed, so it contains only statements
    /// that stay true: a backend server that is no longer leaving is reported in replies only.
    fn build_request(&self) -> GossipMessage {
        let state = self.state();
        let mut leaving = state.leaving.recent_notices(self.now());
        leaving.retain(|notice| notice.leaving);
        GossipMessage {
            leaving,
            sender: self.settings.name.clone(),
            version: state.quorum.advertised_version(),
            phase: state.phase,
            evidence: self.dependencies.evidence.recent(),
            prompts: self.dependencies.evidence.recent_prompts(),
            ..GossipMessage::default()
        }
    }

    /// Builds the reply of an exchange.
    fn build_reply(&self, state: &ConfigState, now: Instant) -> GossipMessage {
        let roster = state.membership.roster();
        let age = state.quorum.confirmation_age(now);
        GossipMessage {
            sender: self.settings.name.clone(),
            version: state.quorum.advertised_version(),
            phase: state.phase,
            confirmation_age_ms: age.map(millis_rounded_up),
            roster_digest: roster.digest,
            relay: PeerStatuses::of(&state.quorum, roster, now).text().clone(),
            leaving: state.leaving.recent_notices(now),
            evidence: self.dependencies.evidence.recent(),
            prompts: self.dependencies.evidence.recent_prompts(),
        }
    }

    fn apply_reply(&self, reply: &GossipMessage, sent_at: Instant) {
        let exchange = &self.dependencies.evidence;
        exchange.merge(reply.evidence.clone());
        exchange.merge_prompts(reply.prompts.clone());
        let mut state = self.state();
        let now = self.now();
        let roster = state
            .membership
            .roster_by_digest(reply.roster_digest)
            .cloned();
        let relay = roster.map(|roster| PeerStatuses::new(roster, reply.relay.clone()));
        let age = reply.confirmation_age_ms.map(Duration::from_millis);
        let hearing = PeerReply {
            member: reply.sender.clone(),
            version: reply.version,
            confirmed_age: age,
            stopped: reply.phase == InstancePhase::Stopped,
            statuses: relay.unwrap_or_default(),
        };
        state.quorum.record_reply(&hearing, sent_at, now);
        if let Some(at) = age.and_then(|age| sent_at.checked_sub(age)) {
            state.peer_confirmed.insert(reply.sender.clone(), at);
        }
        drop(state);
        self.apply_leaving(&reply.leaving, sent_at);
    }

    fn apply_leaving(&self, notices: &[LeavingNotice], sent_at: Instant) {
        let mut state = self.state();
        if state.leaving.apply_notices(notices, sent_at, self.now()) {
            self.activate_leaving(&state);
        }
    }

    async fn fetch_unknown_roster(&self, peer: &Member, reply: &GossipMessage) {
        if self
            .state()
            .membership
            .roster_by_digest(reply.roster_digest)
            .is_some()
        {
            return;
        }
        if let Ok(names) = self.dependencies.peers.roster(&peer.addr).await {
            self.state().membership.add_roster(names);
        }
    }

    async fn fetch_log(&self, peer: &Member) -> Result<(), PeerError> {
        let after = self.state().log.version();
        match self.dependencies.peers.log(&peer.addr, after).await? {
            LogReply::Entries { entries } => self.adopt(&entries),
            LogReply::Snapshot { deployment } => self.restore_snapshot(deployment.as_ref().clone()),
        }
        Ok(())
    }
}

/// Age in milliseconds, rounded up so that it is never reported as shorter than it is.
fn millis_rounded_up(age: Duration) -> u64 {
    let millis = age.as_micros().div_ceil(1_000);
    u64::try_from(millis).unwrap_or(u64::MAX)
}
