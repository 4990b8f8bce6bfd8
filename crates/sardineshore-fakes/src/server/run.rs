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
use super::settings::Kind;
use super::slots::Slot;
use crate::reply;
use crate::serve::Served;

/// Longest time in the queue of an attempt without a deadline.
const MAX_WAIT: Duration = Duration::from_secs(60);

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
        let answer = self.work(&attempt, &mut registration).await;
        drop(slot);
        self.deliver(answer).await
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
    async fn work(&self, attempt: &Attempt, registration: &mut Registration) -> Answer {
        let time = self.service_time();
        let work = task::sleep(time);
        let cancelled = registration.cancelled();
        pin_mut!(work, cancelled);
        // The effect of a non-idempotent call has happened: it is not cancelled any more.
        let cancellable = attempt.run_id.is_empty();
        if let Either::Right(((), work)) = select(work, cancelled).await {
            if cancellable {
                self.log.write(ExecutionEvent::Cancelled, attempt);
                return Answer::failed(attempt, "cancelled");
            }
            work.await;
        }
        let body = serde_json::to_string(&self.output(attempt)).expect("an output serializes");
        self.finish(attempt, &body);
        let failed = self.dice.roll(self.faults().fail);
        let answer = if failed {
            Answer::failed(attempt, "failed after the run by an injected fault")
        } else {
            Answer::ran(attempt, body.into_bytes())
        };
        answer.service(time, 0)
    }

    fn finish(&self, attempt: &Attempt, body: &str) {
        self.statuses().finish(&attempt.run_id, body.into());
        self.log.write(ExecutionEvent::Finished, attempt);
    }

    fn output(&self, attempt: &Attempt) -> Map<String, Value> {
        let mut output = attempt.output();
        if self.settings.kind == Kind::Service {
            output.insert("confirmation".into(), Value::from(&*attempt.run_id));
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
        let faults = self.faults().clone();
        task::sleep(Duration::from_millis(faults.late_answer_ms)).await;
        let mut previous = self.previous.lock().expect("previous lock poisoned");
        let earlier = previous.replace(answer.clone());
        drop(previous);
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
}
