//! Submission of commands: writes them to the log and replicates the version to a majority.

use std::time::Duration;

use async_std::task;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sardineshore_core::clock::unix_ms;
use sardineshore_core::config_log::submit::{Proposal, SubmitMachine, SubmitOutcome, SubmitStep};
use sardineshore_core::config_log::{
    HEAD_KEY, LogEntry, RejectedChange, SNAPSHOT_INTERVAL_VERSIONS, SNAPSHOT_OBJECT, command_key,
    log_key,
};
use sardineshore_core::event::config as events;
use sardineshore_core::membership::Member;
use sardineshore_core::{ChangeError, EventKind, Version};
use sardineshore_wire::operator::{Submission, SubmitReply};

use super::ConfigService;

/// Delay after a round of exchanges in which no further peer reached the version.
const EMPTY_ROUND_DELAY: Duration = Duration::from_millis(25);

impl ConfigService {
    /// Submits a command. An accepted command is in the log and a majority of the instances holds
    /// its version, so no instance uses an older one for longer than fencing allows.
    pub async fn submit(&self, submission: Submission) -> SubmitReply {
        let _guard = self.submit_lock.lock().await;
        let proposal = Proposal {
            command: submission.command,
            operator: submission.operator,
            changes: submission.changes,
            at_ms: unix_ms(self.dependencies.clock.wall_time()),
        };
        let command = proposal.command.clone();
        let reply = match self.write(proposal.clone()).await {
            Ok(SubmitOutcome::Written { version, entry }) => {
                self.complete_written(&proposal, version, entry).await
            }
            Ok(SubmitOutcome::Refused { rejected, winner }) => SubmitReply::Refused {
                change: rejected.index,
                refusal: rejected.error,
                winner,
            },
            Ok(SubmitOutcome::NotWritten(why)) => SubmitReply::NotAccepted {
                reason: why.to_string(),
            },
            Ok(SubmitOutcome::Unconfirmed) => SubmitReply::Unconfirmed,
            Err(not_accepted) => not_accepted,
        };
        let text = format!("command {command}: {reply:?}");
        self.event_log.info(&event_kind(&reply), text);
        reply
    }

    /// Runs the steps of a submission until its entry is written or rejected.
    async fn write(&self, proposal: Proposal) -> Result<SubmitOutcome, SubmitReply> {
        let key = command_key(&proposal.command);
        let table = &self.dependencies.table;
        let (mut machine, mut step) = SubmitMachine::new(proposal);
        loop {
            step = match step {
                SubmitStep::ReadCommand => machine.on_command_read(&table.read(&key).await),
                SubmitStep::ReadHead => {
                    let read = table.read(HEAD_KEY).await;
                    machine.on_head_read(&read, &self.state().log)
                }
                SubmitStep::CatchUp(version) => {
                    let _ = self.catch_up(version).await;
                    machine.on_caught_up(&self.state().log)
                }
                SubmitStep::Commit(txn) => {
                    if !machine.in_doubt() {
                        self.check_quorum()?;
                    }
                    machine.on_committed(&table.commit(&txn).await)
                }
                SubmitStep::Done(outcome) => return Ok(outcome),
            };
        }
    }

    /// Checks that this instance has contact with a majority; only then may it write a command.
    fn check_quorum(&self) -> Result<(), SubmitReply> {
        let heard = self.state().quorum.may_accept(self.now());
        heard.map(drop).map_err(|quorum| SubmitReply::NotAccepted {
            reason: quorum.to_string(),
        })
    }

    /// Activates a written command and replicates its version to a majority.
    async fn complete_written(
        &self,
        proposal: &Proposal,
        version: Version,
        entry: Option<LogEntry>,
    ) -> SubmitReply {
        let entry = match entry {
            Some(entry) => entry,
            None => match self.read_entry(version).await {
                Some(entry) => entry,
                None => return SubmitReply::Unconfirmed,
            },
        };
        if entry.changes != proposal.changes {
            return reused_identifier_reply(&proposal.command);
        }
        if entry.version > self.state().log.version() + 1 {
            let _ = self.catch_up(entry.version).await;
        }
        self.adopt(&[entry]);
        if !self.replicate_to_majority(version).await {
            return SubmitReply::Unconfirmed;
        }
        if version % SNAPSHOT_INTERVAL_VERSIONS == 0 {
            self.write_snapshot().await;
        }
        self.state().accepted_version = Some(version);
        let _ = self.update_signal.0.try_send(());
        SubmitReply::Accepted { version }
    }

    /// Replicates the last version accepted here to the instances beyond the majority, as long as
    /// some of them respond.
    pub async fn replicate_to_remaining(&self) {
        let Some(version) = self.state().accepted_version.take() else {
            return;
        };
        loop {
            let peers = self.peers_without(version);
            self.exchange_with(&peers).await;
            if !self.any_holds(&peers, version) {
                return;
            }
        }
    }

    /// Exchanges with peers in rounds until a majority holds the version; false after the timeout.
    async fn replicate_to_majority(&self, version: Version) -> bool {
        let end = self.now() + self.settings.accept_timeout;
        let max_empty_rounds = self
            .settings
            .accept_timeout
            .div_duration_f32(EMPTY_ROUND_DELAY);
        let mut empty_rounds = 0.0;
        while !self.is_held_by_majority(version) {
            if self.now() >= end || empty_rounds >= max_empty_rounds {
                return false;
            }
            let progressed = self.replicate_round(version).await;
            if !progressed {
                empty_rounds += 1.0;
                task::sleep(EMPTY_ROUND_DELAY).await;
            }
        }
        true
    }

    /// Exchanges with some peers that lack a version. Returns as soon as a majority holds it,
    /// otherwise whether one of these peers holds it now.
    async fn replicate_round(&self, version: Version) -> bool {
        let peers = self.peers_without(version);
        let asked = peers.iter().map(|peer| self.exchange_one(peer));
        let mut asked: FuturesUnordered<_> = asked.collect();
        while asked.next().await.is_some() {
            if self.is_held_by_majority(version) {
                return true;
            }
        }
        self.any_holds(&peers, version)
    }

    fn any_holds(&self, peers: &[Member], version: Version) -> bool {
        let state = self.state();
        let holds = |peer: &Member| state.quorum.version_held_by(&peer.name) >= Some(version);
        peers.iter().any(holds)
    }

    fn is_held_by_majority(&self, version: Version) -> bool {
        let quorum = &self.state().quorum;
        quorum.is_held_by_majority(version, self.now())
    }

    async fn read_entry(&self, version: Version) -> Option<LogEntry> {
        let row = self
            .dependencies
            .table
            .read(&log_key(version))
            .await
            .ok()??;
        serde_json::from_str(&row.value).ok()
    }

    /// Writes a snapshot. Errors are ignored, because a later version writes the next one.
    async fn write_snapshot(&self) {
        let deployment = self.state().log.deployment().clone();
        let text = serde_json::to_string(&*deployment).expect("a deployment serializes");
        let _ = self.dependencies.objects.put(SNAPSHOT_OBJECT, &text).await;
    }
}

fn reused_identifier_reply(command: &str) -> SubmitReply {
    let error = ChangeError::Invalid {
        kind: "command".into(),
        name: command.into(),
        reason: "its identifier was accepted with other changes".into(),
    };
    let rejected = RejectedChange { index: 0, error };
    SubmitReply::Refused {
        change: rejected.index,
        refusal: rejected.error,
        winner: None,
    }
}

fn event_kind(reply: &SubmitReply) -> EventKind {
    match reply {
        SubmitReply::Accepted { .. } => events::COMMAND_ACCEPTED,
        SubmitReply::Refused { .. } => events::COMMAND_REFUSED,
        SubmitReply::NotAccepted { .. } => events::COMMAND_NOT_ACCEPTED,
        SubmitReply::Unconfirmed => events::COMMAND_UNCONFIRMED,
    }
}
