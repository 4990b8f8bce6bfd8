//! The way of one attempt through a server: refused, or run and answered.

use std::sync::Arc;
use std::time::Duration;

use async_std::{future, task};
use futures::future::{Either, select};
use futures::pin_mut;
use http_types::Request;
use sardineshore_wire::witness::ExecutionEvent;
use serde_json::{Map, Value};

use super::FakeServer;
use super::answer::Answer;
use super::attempt::Attempt;
use super::cancel::Registration;
use super::engine::Generation;
use super::settings::ServerKind;
use super::slots::Slot;
use super::stream::Streamed;
use crate::reply;
use crate::serve::Served;

/// Longest time in the queue of an attempt without a deadline.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What an attempt takes.
#[derive(Debug, Clone, Copy)]
enum Plan {
    /// Some time.
    Serve(Duration),
    /// A generation.
    Generate(Generation),
}

impl Plan {
    fn cached_tokens(self) -> u32 {
        match self {
            Self::Serve(_) => 0,
            Self::Generate(generation) => generation.cached_tokens,
        }
    }
}

/// The attempt was cancelled while it ran.
struct Cancelled;

impl FakeServer {
    /// Runs an attempt and answers it.
    pub(super) async fn run(self: Arc<Self>, mut req: Request) -> Served {
        let attempt = match Attempt::read(&mut req, self.clock.now()).await {
            Ok(attempt) => attempt,
            Err(message) => return reply::bad_request(&message).into(),
        };
        let mut registration = self.cancels.register(&attempt.request, &attempt.attempt);
        let slot = match self.admit(&attempt, &mut registration).await {
            Ok(slot) => slot,
            Err(why) => return self.refuse(&attempt, why),
        };
        if !self.begin(&attempt) {
            return self.refuse(&attempt, "the run identifier is sealed");
        }
        let plan = self.plan(&attempt);
        match plan {
            Plan::Generate(generation) if attempt.streamed => {
                let streamed = Streamed {
                    attempt,
                    slot,
                    registration,
                    generation,
                };
                self.answer_stream(streamed).await
            }
            _ => {
                let answer = self.work(&attempt, plan, &mut registration).await;
                drop(slot);
                self.deliver(answer).await
            }
        }
    }

    /// Waits for a slot; the error tells why the attempt must not run.
    async fn admit(
        &self,
        attempt: &Attempt,
        registration: &mut Registration,
    ) -> Result<Slot, &'static str> {
        let refuse = self.faults().refuse;
        if self.dice.roll(refuse) {
            return Err("refused by an injected fault");
        }
        let now = self.clock.now();
        if attempt.expired(now) {
            return Err("the deadline has passed");
        }
        let wait = attempt.deadline.map_or(MAX_WAIT, |deadline| deadline - now);
        let slot = future::timeout(wait, self.slots.acquire(attempt.priority));
        let cancelled = registration.cancelled();
        pin_mut!(slot, cancelled);
        match select(slot, cancelled).await {
            Either::Left((Ok(Ok(slot)), _)) => Ok(slot),
            Either::Left((Ok(Err(_)), _)) => Err("the queue is full"),
            Either::Left((Err(_), _)) => Err("the deadline passed in the queue"),
            Either::Right(((), _)) => Err("cancelled in the queue"),
        }
    }

    fn refuse(&self, attempt: &Attempt, why: &str) -> Served {
        self.log.write(ExecutionEvent::Refused, attempt);
        let answer = Answer::not_run(attempt, why);
        answer.reply(self.load_report()).into()
    }

    /// Logs that the attempt begins, and crashes if it has to; false if it is sealed.
    fn begin(&self, attempt: &Attempt) -> bool {
        let mut statuses = self.statuses();
        if !statuses.begin(&attempt.run_id) {
            return false;
        }
        self.log.write(ExecutionEvent::Begun, attempt);
        drop(statuses);
        let crash = std::mem::take(&mut self.faults().crash_next);
        if crash || attempt.poison() {
            self.log.write(ExecutionEvent::Crashed, attempt);
            std::process::abort();
        }
        true
    }

    /// Does the work of an attempt that has begun.
    async fn work(&self, attempt: &Attempt, plan: Plan, registration: &mut Registration) -> Answer {
        let started = self.clock.now();
        if self.carry_out(attempt, plan, registration).await.is_err() {
            self.log.write(ExecutionEvent::Cancelled, attempt);
            return Answer::failed(attempt, "cancelled");
        }
        let body = serde_json::to_string(&self.output(attempt)).expect("an output serializes");
        self.finish(attempt, &body);
        let fail = self.faults().fail;
        let answer = if self.dice.roll(fail) {
            Answer::failed(attempt, "failed after the run by an injected fault")
        } else {
            Answer::ran(attempt, body.into_bytes())
        };
        let service = self.clock.now().saturating_duration_since(started);
        answer.service(service, plan.cached_tokens())
    }

    /// Spends the time of an attempt, unless it is cancelled.
    async fn carry_out(
        &self,
        attempt: &Attempt,
        plan: Plan,
        registration: &mut Registration,
    ) -> Result<(), Cancelled> {
        let work = self.spend(plan);
        let cancelled = registration.cancelled();
        pin_mut!(work, cancelled);
        // The effect of a non-idempotent call has happened: it is not cancelled any more.
        let cancellable = attempt.run_id.is_empty();
        match select(work, cancelled).await {
            Either::Left(((), _)) => Ok(()),
            Either::Right(((), _)) if cancellable => Err(Cancelled),
            Either::Right(((), work)) => {
                work.await;
                Ok(())
            }
        }
    }

    async fn spend(&self, plan: Plan) {
        match (plan, &self.engine) {
            (Plan::Generate(generation), Some(engine)) => {
                engine.generate(generation, &self.slots).await;
            }
            (Plan::Serve(time), _) => task::sleep(time).await,
            (Plan::Generate(_), None) => {}
        }
    }

    fn plan(&self, attempt: &Attempt) -> Plan {
        let time = self.service_time();
        match &self.engine {
            Some(engine) => {
                Plan::Generate(engine.plan(attempt, time, &self.dice, self.clock.now()))
            }
            None => Plan::Serve(time),
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
            engine.complete(attempt, &mut output);
        }
        output
    }

    fn service_time(&self) -> Duration {
        let slow = self.faults().slow_factor;
        let factor = self.dice.factor(self.settings.jitter) * slow;
        self.settings.service_time.mul_f64(factor.max(0.0))
    }

    /// Writes an answer, with the faults of answering.
    async fn deliver(&self, answer: Answer) -> Served {
        let earlier = self.hold_back(&answer).await;
        let faults = self.faults().clone();
        let report = self.load_report();
        if self.dice.roll(faults.wrong_attempt) {
            if let Some(earlier) = earlier {
                return earlier.reply(report).into();
            }
        }
        if self.dice.roll(faults.truncate) {
            return answer.cut_short(report).into();
        }
        if self.dice.roll(faults.repeat_answer) {
            let second = answer.reply(report.clone());
            return Served::Twice(Box::new((answer.reply(report), second)));
        }
        answer.reply(report).into()
    }

    /// Waits as long as answers are held back, remembers this answer and gives the one before.
    pub(super) async fn hold_back(&self, answer: &Answer) -> Option<Answer> {
        let late = self.faults().late_answer_ms;
        task::sleep(Duration::from_millis(late)).await;
        let mut previous = self.previous.lock().expect("previous lock poisoned");
        previous.replace(answer.clone())
    }
}
