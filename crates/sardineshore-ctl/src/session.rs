//! Carries out steps one after another, and stops at the first that is not done.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use jsonrpsee::http_client::HttpClient;
use sardineshore_core::{
    Answer, Change, Clock, CommandId, EngineAction, Fingerprint, Query, ServerId, Version,
};
use sardineshore_wire::operator::{
    OperatorClient, OrderOutcome, Progress, Submission, SubmitReply,
};

use crate::fleet::{Called, Fleet, InstanceError};
use crate::report::{Exit, Report};
use crate::step::Step;
use crate::submit::{Fate, Next};
use sardineshore_core::query::merge;

const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Settings of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionSettings {
    /// Who asks.
    pub operator: Arc<str>,
    /// Identifier of the first command; later commands append their number.
    pub command: CommandId,
    /// Whether to wait until accepted changes are in force.
    pub wait: bool,
    /// Longest time for one step, and again for waiting.
    pub timeout: Duration,
}

/// A series of steps.
#[derive(Debug)]
pub struct Session {
    settings: SessionSettings,
    fleet: Fleet,
    clock: Arc<dyn Clock>,
    commands: usize,
}

impl Session {
    /// Starts a session.
    #[must_use]
    pub fn new(settings: SessionSettings, fleet: Fleet, clock: Arc<dyn Clock>) -> Self {
        Self {
            settings,
            fleet,
            clock,
            commands: 0,
        }
    }

    /// Carries out steps until one is not done, and reports each.
    pub async fn run(mut self, steps: Vec<Step>) -> Vec<Report> {
        let mut reports = Vec::new();
        for step in steps {
            let report = self.step(step).await;
            let done = report.exit() == Exit::Done;
            reports.push(report);
            if !done {
                break;
            }
        }
        reports
    }

    async fn step(&mut self, step: Step) -> Report {
        match step {
            Step::Query(query) => self.query(query).await,
            Step::Submit(changes) => self.submit(changes).await,
            Step::Order { server, action } => self.order(server, action).await,
            Step::Release(fingerprint) => self.release(fingerprint).await,
        }
    }

    async fn query(&mut self, query: Query) -> Report {
        let ask = |client: HttpClient| {
            let query = query.clone();
            async move { client.query(query).await }
        };
        if !merge::is_in_parts(&query) {
            let called = self.fleet.call(ask).await;
            return answered(called.answer, Vec::new(), called.errors);
        }
        let gathered = self.fleet.call_all(ask).await;
        let errors = gathered.errors;
        answered(merge::merge(gathered.answers), errors.clone(), errors)
    }

    async fn submit(&mut self, changes: Vec<Change>) -> Report {
        let mut fate = Fate::new(Submission {
            command: self.next_command(),
            operator: self.settings.operator.clone(),
            changes,
        });
        let until = self.until();
        loop {
            let called = self.submit_once(fate.submission()).await;
            match fate.take(called) {
                Next::Accepted(version) => {
                    let command = fate.submission().command.clone();
                    return self.accepted(command, version).await;
                }
                Next::Ended(report) => return report,
                Next::Again if self.clock.now() >= until => return fate.give_up(),
                Next::Again => {}
            }
            self.fleet.advance();
            task::sleep(RETRY_PAUSE).await;
        }
    }

    async fn submit_once(&mut self, submission: &Submission) -> Called<SubmitReply> {
        let ask = |client: HttpClient| {
            let submission = submission.clone();
            async move { client.submit(submission).await }
        };
        self.fleet.call(ask).await
    }

    async fn accepted(&mut self, command: CommandId, version: Version) -> Report {
        Report::Accepted {
            command,
            version,
            progress: self.progress(version).await,
            waited: self.settings.wait,
        }
    }

    /// Where a version is in force; waits for it if the settings say so.
    async fn progress(&mut self, version: Version) -> Option<Progress> {
        let until = self.until();
        let mut latest = None;
        loop {
            let ask = |client: HttpClient| async move { client.progress(version).await };
            let called = self.fleet.call(ask).await;
            latest = called.answer.or(latest);
            let in_force = latest.as_ref().is_some_and(|it| it.in_force);
            if in_force || !self.settings.wait || self.clock.now() >= until {
                return latest;
            }
            task::sleep(RETRY_PAUSE).await;
        }
    }

    async fn order(&mut self, server: ServerId, action: EngineAction) -> Report {
        let command = self.next_command();
        let ask = |client: HttpClient| {
            let (command, server, action) = (command.clone(), server.clone(), action.clone());
            async move { client.order(command, server, action).await }
        };
        let Called { answer, errors } = self.fleet.call(ask).await;
        let lost = errors.iter().any(|error| error.sent);
        match answer {
            Some(OrderOutcome::NotSent { reason }) if lost => Report::Unconfirmed {
                command,
                errors,
                last: Some(reason),
            },
            Some(outcome) => Report::Order { command, outcome },
            None if lost => Report::Unconfirmed {
                command,
                errors,
                last: None,
            },
            None => unreachable(errors),
        }
    }

    async fn release(&mut self, fingerprint: Fingerprint) -> Report {
        let ask = |client: HttpClient| {
            let fingerprint = fingerprint.clone();
            async move { client.release(fingerprint).await }
        };
        let called = self.fleet.call(ask).await;
        match called.answer {
            Some(released) => Report::Release {
                fingerprint,
                released,
            },
            None => unreachable(called.errors),
        }
    }

    fn next_command(&mut self) -> CommandId {
        self.commands += 1;
        let first = &self.settings.command;
        match self.commands {
            1 => first.clone(),
            number => format!("{first}-{number}").into(),
        }
    }

    fn until(&self) -> Instant {
        self.clock.now() + self.settings.timeout
    }
}

/// The report of a query, with the instances whose part is missing and all that gave no answer.
fn answered(
    answer: Option<Answer>,
    missing: Vec<InstanceError>,
    errors: Vec<InstanceError>,
) -> Report {
    match answer {
        Some(answer) => Report::Answer { answer, missing },
        None => unreachable(errors),
    }
}

fn unreachable(errors: Vec<InstanceError>) -> Report {
    Report::Unreachable { errors }
}
