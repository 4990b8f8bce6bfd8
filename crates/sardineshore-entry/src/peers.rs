//! Exchanges with other instances: asks in turn, answers, fetches missing versions.

pub mod clients;
pub mod link;
pub mod serve;

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use futures::future::join_all;
use sardineshore_core::{InstanceId, Version};
use sardineshore_core::membership::Member;
use sardineshore_core::membership::leaving::LeavingNotice;
use sardineshore_core::quorum::PeerReply;
use sardineshore_core::quorum::peer_status::PeerStatuses;
use sardineshore_wire::peer::{GossipMessage, InstancePhase, LogReply};
use thiserror::Error;

use crate::config::{ConfigService, ConfigState};

/// Members told of the end of this instance.
const TOLD_OF_STOP: usize = 16;

/// A peer gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("peer {addr}: {reason}")]
pub struct PeerError {
    /// Peer address.
    pub addr: Arc<str>,
    /// Why.
    pub reason: String,
}

/// Calls to peers.
#[async_trait]
pub trait PeerLink: fmt::Debug + Send + Sync {
    /// Exchanges what is known.
    async fn exchange(
        &self,
        addr: &Arc<str>,
        question: GossipMessage,
    ) -> Result<GossipMessage, PeerError>;
    /// Fetches entries after a version.
    async fn log(&self, addr: &Arc<str>, after: Version) -> Result<LogReply, PeerError>;
    /// Fetches the peer's roster.
    async fn roster(&self, addr: &Arc<str>) -> Result<Vec<InstanceId>, PeerError>;
}

impl ConfigService {
    /// Exchanges with the next peer in turn.
    pub async fn exchange_next(&self) {
        let peer = self.state().membership.next_peer(&mut rand::rng());
        if let Some(peer) = peer {
            let _ = self.exchange_one(&peer).await;
        }
    }

    /// Exchanges with a few peers at random, to tell them of a new version.
    pub async fn exchange_with_some(&self) {
        let fanout = self.settings.fanout;
        let peers = self
            .state()
            .membership
            .random_peers(fanout, &mut rand::rng());
        self.exchange_with(&peers).await;
    }

    /// Exchanges with several peers at the same time.
    pub async fn exchange_with(&self, peers: &[Member]) {
        join_all(peers.iter().map(|peer| self.exchange_one(peer))).await;
    }

    /// Exchanges with one peer.
    pub async fn exchange_one(&self, peer: &Member) -> Result<(), PeerError> {
        let sent = self.now();
        let question = self.question();
        let answer = self.ports.peers.exchange(&peer.addr, question).await?;
        self.learn_roster(peer, &answer).await;
        self.take_answer(&answer, sent);
        let known = self.state().log.version();
        let told = answer.version.unwrap_or(known);
        if told > known {
            self.fetch(peer).await?;
        }
        if let Some(told) = answer.version {
            self.loaded(told);
        }
        Ok(())
    }

    /// Answers a peer. Versions that the peer holds and this instance lacks are fetched first, so
    /// that the answer tells the peer that they are in force here.
    pub async fn answer(&self, question: GossipMessage) -> GossipMessage {
        if question.phase == InstancePhase::Stopped {
            let now = self.now();
            self.state().quorum.record_stop(&question.sender, now);
        }
        let (known, asker) = {
            let state = self.state();
            let asker = state.membership.member(&question.sender).cloned();
            (state.log.version(), asker)
        };
        if let Some(asker) = asker
            && question.version > Some(known)
        {
            let _ = self.fetch(&asker).await;
        }
        self.ports.evidence.merge(question.evidence);
        self.take_leaving(&question.leaving, self.now());
        self.told(&self.state(), self.now())
    }

    /// Versions after the one asked for.
    pub fn log_after(&self, after: Version) -> LogReply {
        let state = self.state();
        match state.log.entries_after(after) {
            Some(entries) => LogReply::Entries { entries },
            None => LogReply::Snapshot {
                deployment: state.log.deployment().clone(),
            },
        }
    }

    /// Tells peers that this instance has ended its last work.
    pub async fn tell_stopped(&self) {
        let peers = {
            let mut state = self.state();
            state.phase = InstancePhase::Stopped;
            state
                .membership
                .random_peers(TOLD_OF_STOP, &mut rand::rng())
        };
        self.exchange_with(&peers).await;
    }

    /// Some peers that are not known to hold a version.
    pub(crate) fn lacking(&self, version: Version) -> Vec<Member> {
        let state = self.state();
        let count = state.membership.len();
        let mut peers = state.membership.random_peers(count, &mut rand::rng());
        let held = |peer: &Member| state.quorum.version_held_by(&peer.name);
        peers.retain(|peer| held(peer) < Some(version));
        peers.truncate(self.settings.wave);
        peers
    }

    /// What is told in a question: nothing that a delay could make wrong. A backend server that
    /// comes back is told in answers only.
    fn question(&self) -> GossipMessage {
        let state = self.state();
        let mut leaving = state.leaving.recent_notices(self.now());
        leaving.retain(|notice| notice.leaving);
        GossipMessage {
            leaving,
            sender: self.settings.name.clone(),
            version: state.quorum.advertised_version(),
            phase: state.phase,
            evidence: self.ports.evidence.recent(),
            ..GossipMessage::default()
        }
    }

    /// What is told in an answer.
    fn told(&self, state: &ConfigState, now: Instant) -> GossipMessage {
        let roster = state.membership.roster();
        let age = state.quorum.confirmation_age(now);
        GossipMessage {
            sender: self.settings.name.clone(),
            version: state.quorum.advertised_version(),
            phase: state.phase,
            confirmation_age_ms: age.map(millis_up),
            roster_digest: roster.digest,
            relay: PeerStatuses::of(&state.quorum, roster, now).text().clone(),
            leaving: state.leaving.recent_notices(now),
            evidence: self.ports.evidence.recent(),
        }
    }

    fn take_answer(&self, answer: &GossipMessage, sent: Instant) {
        self.ports.evidence.merge(answer.evidence.clone());
        let mut state = self.state();
        let now = self.now();
        let roster = state
            .membership
            .roster_by_digest(answer.roster_digest)
            .cloned();
        let relay = roster.map(|roster| PeerStatuses::new(roster, answer.relay.clone()));
        let age = answer.confirmation_age_ms.map(Duration::from_millis);
        let hearing = PeerReply {
            member: answer.sender.clone(),
            version: answer.version,
            confirmed_age: age,
            stopped: answer.phase == InstancePhase::Stopped,
            statuses: relay.unwrap_or_default(),
        };
        state.quorum.record_reply(&hearing, sent, now);
        if let Some(at) = age.and_then(|age| sent.checked_sub(age)) {
            state.peer_confirmed.insert(answer.sender.clone(), at);
        }
        drop(state);
        self.take_leaving(&answer.leaving, sent);
    }

    fn take_leaving(&self, notices: &[LeavingNotice], sent: Instant) {
        let mut state = self.state();
        if state.leaving.apply_notices(notices, sent, self.now()) {
            self.leaving_changed(&state);
        }
    }

    async fn learn_roster(&self, peer: &Member, answer: &GossipMessage) {
        if self
            .state()
            .membership
            .roster_by_digest(answer.roster_digest)
            .is_some()
        {
            return;
        }
        if let Ok(names) = self.ports.peers.roster(&peer.addr).await {
            self.state().membership.add_roster(names);
        }
    }

    async fn fetch(&self, peer: &Member) -> Result<(), PeerError> {
        let after = self.state().log.version();
        match self.ports.peers.log(&peer.addr, after).await? {
            LogReply::Entries { entries } => self.adopt(&entries),
            LogReply::Snapshot { deployment } => self.restore(deployment.as_ref().clone()),
        }
        Ok(())
    }
}

/// Milliseconds, rounded up: an age is never told shorter than it is.
fn millis_up(age: Duration) -> u64 {
    let millis = age.as_micros().div_ceil(1_000);
    u64::try_from(millis).unwrap_or(u64::MAX)
}
