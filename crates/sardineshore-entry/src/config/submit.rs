//! Accepts commands: writes them to the log, then waits until a majority holds the version.

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

/// Wait after a wave in which no peer answered.
const WAVE_PAUSE: Duration = Duration::from_millis(25);

impl ConfigService {
    /// Submits a command. Accepted means: it is in the log and a majority of the instances holds
    /// its version, so that no instance acts on an older one for longer than the fence allows.
    pub async fn submit(&self, submission: Submission) -> SubmitReply {
        let _one_at_a_time = self.submitting.lock().await;
        let proposal = Proposal {
            command: submission.command,
            operator: submission.operator,
            changes: submission.changes,
            at_ms: unix_ms(self.ports.clock.wall_time()),
        };
        let command = proposal.command.clone();
        let reply = match self.write(proposal.clone()).await {
            Ok(SubmitOutcome::Written { version, entry }) => {
                self.written(&proposal, version, entry).await
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
        let text = format!("{command} {reply:?}");
        self.event_log.info(&event(&reply), text);
        reply
    }

    /// Takes the submission through its steps.
    async fn write(&self, proposal: Proposal) -> Result<SubmitOutcome, SubmitReply> {
        let key = command_key(&proposal.command);
        let table = &self.ports.table;
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
                SubmitStep::Done(verdict) => return Ok(verdict),
            };
        }
    }

    /// A command is written only by an instance that hears a majority.
    fn check_quorum(&self) -> Result<(), SubmitReply> {
        let heard = self.state().quorum.may_accept(self.now());
        heard.map(drop).map_err(|quorum| SubmitReply::NotAccepted {
            reason: quorum.to_string(),
        })
    }

    /// Puts a written command in force and spreads it.
    async fn written(
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
            return reused(&proposal.command);
        }
        if entry.version > self.state().log.version() + 1 {
            let _ = self.catch_up(entry.version).await;
        }
        self.adopt(&[entry]);
        if !self.spread(version).await {
            return SubmitReply::Unconfirmed;
        }
        if version % SNAPSHOT_INTERVAL_VERSIONS == 0 {
            self.write_snapshot().await;
        }
        self.state().accepted = Some(version);
        let _ = self.news.0.try_send(());
        SubmitReply::Accepted { version }
    }

    /// Tells the instances beyond the majority of the last version accepted here, as far as they
    /// answer.
    pub async fn spread_rest(&self) {
        let Some(version) = self.state().accepted.take() else {
            return;
        };
        loop {
            let peers = self.lacking(version);
            self.exchange_with(&peers).await;
            if !self.any_holds(&peers, version) {
                return;
            }
        }
    }

    /// Asks peers, a wave at a time, until a majority holds the version; false if time runs out.
    async fn spread(&self, version: Version) -> bool {
        let end = self.now() + self.settings.accept_timeout;
        let pauses = self.settings.accept_timeout.div_duration_f32(WAVE_PAUSE);
        let mut fruitless = 0.0;
        while !self.is_spread(version) {
            if self.now() >= end || fruitless >= pauses {
                return false;
            }
            let gained = self.spread_wave(version).await;
            if !gained {
                fruitless += 1.0;
                task::sleep(WAVE_PAUSE).await;
            }
        }
        true
    }

    /// Asks some peers that lack a version; returns whether one of them now holds it. Does not
    /// wait for the others once a majority does.
    async fn spread_wave(&self, version: Version) -> bool {
        let peers = self.lacking(version);
        let asked = peers.iter().map(|peer| self.exchange_one(peer));
        let mut asked: FuturesUnordered<_> = asked.collect();
        while asked.next().await.is_some() {
            if self.is_spread(version) {
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

    fn is_spread(&self, version: Version) -> bool {
        let quorum = &self.state().quorum;
        quorum.is_held_by_majority(version, self.now())
    }

    async fn read_entry(&self, version: Version) -> Option<LogEntry> {
        let row = self.ports.table.read(&log_key(version)).await.ok()??;
        serde_json::from_str(&row.value).ok()
    }

    /// A snapshot that can't be written is written at a later version.
    async fn write_snapshot(&self) {
        let deployment = self.state().log.deployment().clone();
        let text = serde_json::to_string(&*deployment).expect("a deployment serializes");
        let _ = self.ports.objects.put(SNAPSHOT_OBJECT, &text).await;
    }
}

fn reused(command: &str) -> SubmitReply {
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

fn event(reply: &SubmitReply) -> EventKind {
    match reply {
        SubmitReply::Accepted { .. } => events::COMMAND_ACCEPTED,
        SubmitReply::Refused { .. } => events::COMMAND_REFUSED,
        SubmitReply::NotAccepted { .. } => events::COMMAND_NOT_ACCEPTED,
        SubmitReply::Unconfirmed => events::COMMAND_UNCONFIRMED,
    }
}
