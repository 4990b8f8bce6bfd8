//! Runs steps one after another, and stops at the first that is not done.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use jsonrpsee::http_client::HttpClient;
use sardineshore_core::query::merge;
use sardineshore_core::{
    Change, Clock, CommandId, EngineAction, Fingerprint, Query, QueryResponse, ServerId, Version,
};
use sardineshore_wire::operator::{
    OperatorClient, OrderOutcome, Progress, Submission, SubmitReply,
};

use crate::client::{CallResult, InstanceError, OperatorClients};
use crate::report::{ExitCode, Report};
use crate::step::Step;
use crate::submission::{Action, SubmissionState};

/// Pause before a command is submitted again, and between two progress queries.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Settings of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SessionSettings {
    /// Name of the operator, stored with each accepted command.
    pub operator: Arc<str>,
    /// Identifier of the first command; later commands append `-` and their number, from 2.
    pub command: CommandId,
    /// Whether to wait until accepted changes are active on every live instance.
    pub wait: bool,
    /// After this time a command is no longer retried. The same time applies again to waiting.
    pub timeout: Duration,
}

/// Runs the steps of one invocation of `sardinectl`.
#[derive(Debug)]
pub struct Session {
    settings: SessionSettings,
    clients: OperatorClients,
    clock: Arc<dyn Clock>,
    command_count: usize,
}

impl Session {
    /// Creates a session that has sent nothing yet.
    #[must_use]
    pub fn new(settings: SessionSettings, clients: OperatorClients, clock: Arc<dyn Clock>) -> Self {
        Self {
            settings,
            clients,
            clock,
            command_count: 0,
        }
    }

    /// Runs steps until one is not done, and reports each that ran.
    pub async fn run(mut self, steps: Vec<Step>) -> Vec<Report> {
        let mut reports = Vec::new();
        for step in steps {
            let report = self.run_step(step).await;
            let done = report.exit_code() == ExitCode::Done;
            reports.push(report);
            if !done {
                break;
            }
        }
        reports
    }

    async fn run_step(&mut self, step: Step) -> Report {
        match step {
            Step::Query(query) => self.query(query).await,
            Step::Submit(changes) => self.submit(changes).await,
            Step::Order { server, action } => self.order(server, action).await,
            Step::Release(fingerprint) => self.release(fingerprint).await,
        }
    }

    async fn query(&mut self, query: Query) -> Report {
        let call = |client: HttpClient| {
            let query = query.clone();
            async move { client.query(query).await }
        };
        if !merge::needs_merge(&query) {
            let result = self.clients.call(call).await;
            return query_report(result.answer, Vec::new(), result.errors);
        }
        let result = self.clients.call_all(call).await;
        let errors = result.errors;
        query_report(merge::merge(result.answers), errors.clone(), errors)
    }

    async fn submit(&mut self, changes: Vec<Change>) -> Report {
        let mut state = SubmissionState::new(Submission {
            command: self.next_command(),
            operator: self.settings.operator.clone(),
            changes,
        });
        let deadline = self.deadline();
        loop {
            let result = self.submit_once(state.submission()).await;
            match state.record_reply(result) {
                Action::Accepted(version) => {
                    let command = state.submission().command.clone();
                    return self.accepted_report(command, version).await;
                }
                Action::Finish(report) => return report,
                Action::Retry if self.clock.now() >= deadline => return state.report(),
                Action::Retry => {}
            }
            self.clients.advance();
            task::sleep(RETRY_PAUSE).await;
        }
    }

    async fn submit_once(&mut self, submission: &Submission) -> CallResult<SubmitReply> {
        let call = |client: HttpClient| {
            let submission = submission.clone();
            async move { client.submit(submission).await }
        };
        self.clients.call(call).await
    }

    async fn accepted_report(&mut self, command: CommandId, version: Version) -> Report {
        Report::Accepted {
            command,
            version,
            progress: self.progress(version).await,
            waited: self.settings.wait,
        }
    }

    /// Queries where a version is active; waits until it is everywhere if the settings say so.
    async fn progress(&mut self, version: Version) -> Option<Progress> {
        let deadline = self.deadline();
        let mut latest = None;
        loop {
            let call = |client: HttpClient| async move { client.progress(version).await };
            let result = self.clients.call(call).await;
            latest = result.answer.or(latest);
            let in_force = latest.as_ref().is_some_and(|it| it.in_force);
            if in_force || !self.settings.wait || self.clock.now() >= deadline {
                return latest;
            }
            task::sleep(RETRY_PAUSE).await;
        }
    }

    async fn order(&mut self, server: ServerId, action: EngineAction) -> Report {
        let command = self.next_command();
        let call = |client: HttpClient| {
            let (command, server, action) = (command.clone(), server.clone(), action.clone());
            async move { client.order(command, server, action).await }
        };
        let CallResult { answer, errors } = self.clients.call(call).await;
        let may_have_run = errors.iter().any(|error| error.sent);
        match answer {
            Some(OrderOutcome::NotSent { reason }) if may_have_run => Report::Unconfirmed {
                command,
                errors,
                last: Some(reason),
            },
            Some(outcome) => Report::Order { command, outcome },
            None if may_have_run => Report::Unconfirmed {
                command,
                errors,
                last: None,
            },
            None => unreachable(errors),
        }
    }

    async fn release(&mut self, fingerprint: Fingerprint) -> Report {
        let call = |client: HttpClient| {
            let fingerprint = fingerprint.clone();
            async move { client.release(fingerprint).await }
        };
        let result = self.clients.call(call).await;
        match result.answer {
            Some(released) => Report::Release {
                fingerprint,
                released,
            },
            None => unreachable(result.errors),
        }
    }

    fn next_command(&mut self) -> CommandId {
        self.command_count += 1;
        let first = &self.settings.command;
        match self.command_count {
            1 => first.clone(),
            number => format!("{first}-{number}").into(),
        }
    }

    fn deadline(&self) -> Instant {
        self.clock.now() + self.settings.timeout
    }
}

/// Report of a query; `missing` are the instances whose part of the answer is missing, `errors`
/// are reported if there is no answer at all.
fn query_report(
    answer: Option<QueryResponse>,
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
