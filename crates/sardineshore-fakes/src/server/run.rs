//! Handling of one attempt by a fake server: queueing, execution and response.

use std::sync::Arc;
use std::time::Duration;

use async_std::{future, task};
use futures::future::{Either, select};
use futures::pin_mut;
use http_types::Request;
use sardineshore_wire::audit_log::ExecutionEvent;
use sardineshore_wire::headers;
use serde_json::{Map, Value};

use super::FakeServer;
use super::attempt::Attempt;
use super::cancel::Registration;
use super::engine::Generation;
use super::response::AttemptResponse;
use super::settings::ServerKind;
use super::slots::Slot;
use super::stream::StreamedAttempt;
use crate::http;
use crate::serve::HandlerOutcome;

/// Maximum queueing time of an attempt without a deadline.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(60);

/// How an attempt spends its time.
#[derive(Debug, Clone, Copy)]
enum Plan {
    /// Sleeps for a service time.
    Sleep(Duration),
    /// Generates tokens on a model engine.
    Generate(Generation),
}

impl Plan {
    fn cached_tokens(self) -> u32 {
        match self {
            Self::Sleep(_) => 0,
            Self::Generate(generation) => generation.cached_tokens,
        }
    }
}

/// The attempt was cancelled while it ran.
struct AttemptCancelled;

impl FakeServer {
    /// Handles a request to run an attempt.
    pub(super) async fn run(self: Arc<Self>, mut req: Request) -> HandlerOutcome {
        let attempt = match Attempt::read(&mut req, self.clock.now()).await {
            Ok(attempt) => attempt,
            Err(message) => return http::bad_request(&message).into(),
        };
        let mut registration = self
            .cancel_registry
            .register(&attempt.request, &attempt.attempt);
        let slot = match self.admit(&attempt, &mut registration).await {
            Ok(slot) => slot,
            Err(reason) => return self.refuse(&attempt, reason),
        };
        if !self.begin(&attempt) {
            return self.refuse(&attempt, "the run identifier is sealed");
        }
        let plan = self.plan(&attempt);
        match plan {
            Plan::Generate(generation) if attempt.streamed => {
                let streamed = StreamedAttempt {
                    attempt,
                    slot,
                    registration,
                    generation,
                };
                self.respond_with_stream(streamed).await
            }
            _ => {
                let response = self.work(&attempt, plan, &mut registration).await;
                drop(slot);
                self.deliver(response).await
            }
        }
    }

    /// Waits for a slot; the error says why the attempt is rejected.
    async fn admit(
        &self,
        attempt: &Attempt,
        registration: &mut Registration,
    ) -> Result<Slot, &'static str> {
        let refuse = self.faults().refuse;
        if self.fault_rng.random_bool(refuse) {
            return Err("refused by an injected fault");
        }
        let now = self.clock.now();
        if attempt.is_expired(now) {
            return Err("the deadline has passed");
        }
        let wait = attempt
            .deadline
            .map_or(MAX_QUEUE_WAIT, |deadline| deadline - now);
        let slot = future::timeout(wait, self.slots.acquire(attempt.priority));
        let cancelled = registration.cancelled();
        pin_mut!(slot, cancelled);
        match select(slot, cancelled).await {
            Either::Left((Ok(Ok(slot)), _)) => Ok(slot),
            Either::Left((Ok(Err(_)), _)) => Err("the queue is full"),
            Either::Left((Err(_), _)) => Err("the deadline passed while the attempt was queued"),
            Either::Right(((), _)) => Err("cancelled while the attempt was queued"),
        }
    }

    fn refuse(&self, attempt: &Attempt, reason: &str) -> HandlerOutcome {
        self.log.write(ExecutionEvent::Refused, attempt);
        let response = AttemptResponse::not_run(attempt, reason);
        let mut response = response.http_response(self.load_report());
        let pause = Duration::from_millis(self.faults().pause_ms);
        if !pause.is_zero() {
            response.insert_header(headers::RETRY_AFTER, pause.as_secs_f64().to_string());
        }
        response.into()
    }

    /// Logs the start of the attempt; returns `false` if its run identifier is sealed. Aborts the
    /// process for an injected crash or a poison input.
    fn begin(&self, attempt: &Attempt) -> bool {
        let mut statuses = self.statuses();
        if !statuses.begin(&attempt.run_id) {
            return false;
        }
        self.log.write(ExecutionEvent::Begun, attempt);
        drop(statuses);
        let crash = std::mem::take(&mut self.faults().crash_next);
        if crash || attempt.is_poison() {
            self.log.write(ExecutionEvent::Crashed, attempt);
            std::process::abort();
        }
        true
    }

    /// Executes an attempt that has begun and builds its response.
    async fn work(
        &self,
        attempt: &Attempt,
        plan: Plan,
        registration: &mut Registration,
    ) -> AttemptResponse {
        let started = self.clock.now();
        if self.execute(attempt, plan, registration).await.is_err() {
            self.log.write(ExecutionEvent::Cancelled, attempt);
            return AttemptResponse::failed(attempt, "cancelled");
        }
        let body = serde_json::to_string(&self.output(attempt)).expect("an output serializes");
        self.finish(attempt, &body);
        let fail = self.faults().fail;
        let response = if self.fault_rng.random_bool(fail) {
            AttemptResponse::failed(attempt, "failed after the run by an injected fault")
        } else {
            AttemptResponse::ran(attempt, body.into_bytes())
        };
        let service_time = self.clock.now().saturating_duration_since(started);
        response.service_time(service_time, plan.cached_tokens())
    }

    /// Spends the service time of an attempt; ends early if a cancellable attempt is cancelled.
    async fn execute(
        &self,
        attempt: &Attempt,
        plan: Plan,
        registration: &mut Registration,
    ) -> Result<(), AttemptCancelled> {
        let work = self.simulate_work(plan);
        let cancelled = registration.cancelled();
        pin_mut!(work, cancelled);
        // A non-idempotent call has already taken effect, so it can't be cancelled.
        let cancellable = attempt.run_id.is_empty();
        match select(work, cancelled).await {
            Either::Left(((), _)) => Ok(()),
            Either::Right(((), _)) if cancellable => Err(AttemptCancelled),
            Either::Right(((), work)) => {
                work.await;
                Ok(())
            }
        }
    }

    async fn simulate_work(&self, plan: Plan) {
        match (plan, &self.engine) {
            (Plan::Generate(generation), Some(engine)) => {
                engine.generate(generation, &self.slots).await;
            }
            (Plan::Sleep(time), _) => task::sleep(time).await,
            (Plan::Generate(_), None) => {}
        }
    }

    fn plan(&self, attempt: &Attempt) -> Plan {
        let time = self.service_time();
        match &self.engine {
            Some(engine) => {
                Plan::Generate(engine.plan(attempt, time, &self.fault_rng, self.clock.now()))
            }
            None => Plan::Sleep(time),
        }
    }

    fn finish(&self, attempt: &Attempt, body: &str) {
        self.statuses().finish(&attempt.run_id, body.into());
        self.log.write(ExecutionEvent::Finished, attempt);
    }

    fn output(&self, attempt: &Attempt) -> Map<String, Value> {
        let mut output = attempt.output();
        if self.settings.kind == ServerKind::Service {
            output.insert("confirmation".into(), Value::from(&*attempt.run_id));
        }
        if let Some(engine) = &self.engine {
            engine.add_generated_text(attempt, &mut output);
        }
        output
    }

    fn service_time(&self) -> Duration {
        let slow = self.faults().slow_factor;
        let factor = self.fault_rng.factor(self.settings.jitter) * slow;
        self.settings.service_time.mul_f64(factor.max(0.0))
    }

    /// Sends a response, with the injected response faults.
    async fn deliver(&self, response: AttemptResponse) -> HandlerOutcome {
        let earlier = self.delay_response(&response).await;
        let faults = self.faults().clone();
        let report = self.load_report();
        if self.fault_rng.random_bool(faults.wrong_attempt) {
            if let Some(earlier) = earlier {
                return earlier.http_response(report).into();
            }
        }
        if self.fault_rng.random_bool(faults.truncate) {
            return response.truncated_http_response(report).into();
        }
        if self.fault_rng.random_bool(faults.repeat_answer) {
            let second = response.http_response(report.clone());
            return HandlerOutcome::RespondTwice(Box::new((
                response.http_response(report),
                second,
            )));
        }
        response.http_response(report).into()
    }

    /// Waits for the injected response delay, stores this response and returns the previous one.
    pub(super) async fn delay_response(
        &self,
        response: &AttemptResponse,
    ) -> Option<AttemptResponse> {
        let late = self.faults().late_answer_ms;
        task::sleep(Duration::from_millis(late)).await;
        let mut previous = self.previous.lock().expect("previous lock poisoned");
        previous.replace(response.clone())
    }
}
