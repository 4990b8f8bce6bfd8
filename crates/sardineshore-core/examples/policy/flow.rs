//! The path of a request through its entry instance: admission, stages, attempts, hedges and
//! retries, in the order in which the entry program calls the state machines.

use std::time::Duration;

use rand::Rng;
use sardineshore_core::{
    AdmissionDecision, AdmissionRequest, AttemptReport, AttemptResult, Completion, DequeueOutcome,
    DequeuedRequest, EndedAttempt, PoolId, RetryDecision, SelectionError, SelectionRequest,
};

use crate::scenario::{DEADLINE, POOLS, RUN_LENGTH, RetryPlan};
use crate::simulation::{Attempt, AttemptEnd, AttemptKey, Event, Request, RequestKey, Simulation};

/// Interval of the removal of queued requests that can no longer finish in time.
pub const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);

impl Simulation<'_> {
    pub fn offer(&mut self, customer: usize) {
        let now = self.now;
        let prefix = self.random_prefix();
        let instance = self.rng.random_range(0..self.instances.len());
        let key = self.requests.insert(Request {
            customer,
            instance,
            arrived_at: now,
            started_at: now,
            ticket: None,
            prefix,
            stage: 0,
            stage_started_at: now,
            stage_deadline: now + DEADLINE,
            tried_servers: Vec::new(),
            open_attempts: Vec::new(),
            service: Duration::ZERO,
        });
        self.totals.offered[customer] += 1.0;
        self.after(DEADLINE, Event::Deadline(key));
        if self.variant.admission {
            self.admit(key);
        } else {
            self.stage(key);
        }
    }

    /// Draws a random prefix; the `n`th has a probability of about `1 / n`, up to a factor.
    fn random_prefix(&mut self) -> u64 {
        let all = self.scenario.prefixes as f64;
        let rank = (all + 1.0).powf(self.rng.random::<f64>());
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a rank"
        )]
        let rank = rank as u64;
        if self.scenario.prefixes == 0 { 0 } else { rank }
    }

    fn admit(&mut self, key: RequestKey) {
        let now = self.instant();
        let request = &mut self.requests[key];
        let offer = AdmissionRequest {
            request: number(key).into(),
            customer: request.customer.to_string().into(),
            pipeline: "reports".into(),
            weight: 1.0,
            deadline: now + DEADLINE,
            cost_estimate: Duration::ZERO,
        };
        let response = self.instances[request.instance]
            .admission
            .submit(offer, now);
        match response.decision {
            AdmissionDecision::Admitted(ticket) => {
                request.ticket = Some(ticket);
                self.stage(key);
            }
            AdmissionDecision::Queued(ticket) => request.ticket = Some(ticket),
            AdmissionDecision::Refused(_) => self.end(key, false),
        }
        self.release(&response.dequeued);
    }

    pub fn expire(&mut self, instance: usize) {
        let now = self.instant();
        let dequeued = self.instances[instance].admission.remove_expired(now);
        self.release(&dequeued);
        if self.now < RUN_LENGTH + DEADLINE {
            self.after(EXPIRE_INTERVAL, Event::Expire(instance));
        }
    }

    fn release(&mut self, dequeued: &[DequeuedRequest]) {
        for dequeued_request in dequeued {
            let key =
                slotmap::KeyData::from_ffi(dequeued_request.request.parse().expect("a number"));
            let key = RequestKey::from(key);
            if !self.requests.contains_key(key) {
                continue;
            }
            match dequeued_request.outcome {
                DequeueOutcome::Admitted => {
                    self.requests[key].started_at = self.now;
                    self.stage(key);
                }
                DequeueOutcome::Refused(_) => {
                    self.requests[key].ticket = None;
                    self.end(key, false);
                }
            }
        }
    }

    /// Begins the current stage of the request.
    fn stage(&mut self, key: RequestKey) {
        let now = self.instant();
        let request = &mut self.requests[key];
        let remaining = (request.arrived_at + DEADLINE).saturating_sub(self.now);
        let pools: Vec<PoolId> = POOLS[request.stage..]
            .iter()
            .map(|pool| pool.name.into())
            .collect();
        let instance = &mut self.instances[request.instance];
        let stage_limit = instance
            .deadlines
            .split(remaining, &pools, &instance.latencies, now);
        let Ok(limit) = stage_limit else {
            return self.end(key, false);
        };
        request.stage_started_at = self.now;
        request.stage_deadline = self.now + limit;
        request.tried_servers.clear();
        self.send(key);
    }

    pub fn resend(&mut self, key: RequestKey, stage: usize) {
        if self
            .requests
            .get(key)
            .is_some_and(|request| request.stage == stage)
        {
            self.send(key);
        }
    }

    fn send(&mut self, key: RequestKey) {
        let now = self.instant();
        let request = &mut self.requests[key];
        let (stage, at) = (request.stage, request.instance);
        let pool: PoolId = POOLS[stage].name.into();
        let last = stage + 1 == POOLS.len();
        let instance = &mut self.instances[at];
        let selection = SelectionRequest {
            pool: &pool,
            request: "",
            customer: "",
            prefix: if last { request.prefix } else { 0 },
            idempotent: true,
            tried_servers: &request.tried_servers,
            origin: None,
            deadline: self.origin + request.stage_deadline,
        };
        let selected = match instance.router.select(&selection, now) {
            Ok(selected) => selected,
            Err(SelectionError::Saturated { retry_after }) => {
                return self.after(retry_after, Event::Resend(key, stage));
            }
            Err(_) if request.open_attempts.is_empty() => return self.end(key, false),
            Err(_) => return,
        };
        let first = request.tried_servers.is_empty();
        instance.router.record_start(&selected.server, now);
        request.tried_servers.push(selected.server.clone());
        let server = self
            .backends
            .iter()
            .position(|b| b.name == selected.server)
            .expect("declared");
        let attempt = self.attempts.insert(Attempt {
            request: key,
            stage,
            server,
            sent_at: self.now,
            service: Duration::ZERO,
            service_started_at: None,
            cached: false,
            cancelled: false,
            first,
        });
        request.open_attempts.push(attempt);
        if first {
            instance.retries.record_first_send(&pool);
            self.plan_hedge(key, &pool);
        }
        let delay = self.network(at, server);
        self.after(delay, Event::Delivered(attempt));
    }

    fn plan_hedge(&mut self, key: RequestKey, pool: &PoolId) {
        let request = &self.requests[key];
        let instance = &self.instances[request.instance];
        let observed = instance.latencies.quantiles(pool, self.instant());
        let remaining = request.stage_deadline.saturating_sub(self.now);
        let delay = instance.hedges.delay(observed, self.objective, remaining);
        let stage = request.stage;
        if let Some(delay) = delay.filter(|_| self.variant.retries != RetryPlan::None) {
            self.after(delay, Event::Hedge(key, stage));
        }
    }

    pub fn hedge(&mut self, key: RequestKey, stage: usize) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let due = request.stage == stage && request.open_attempts.len() == 1;
        let retries = &mut self.instances[request.instance].retries;
        if due && retries.try_acquire_hedge(&POOLS[stage].name.into()) {
            self.send(key);
        }
    }

    pub fn reply(&mut self, key: AttemptKey, attempt_end: AttemptEnd) {
        let Some(attempt) = self
            .attempts
            .remove(key)
            .filter(|attempt| !attempt.cancelled)
        else {
            return;
        };
        let now = self.instant();
        let server = &self.backends[attempt.server];
        let result = match attempt_end {
            AttemptEnd::Answered => AttemptResult::Answered,
            AttemptEnd::Refused => AttemptResult::Refused,
            AttemptEnd::Failed => AttemptResult::Failed,
        };
        let report = AttemptReport {
            result,
            latency: self.now.saturating_sub(attempt.sent_at),
            service: attempt.service,
            cached_tokens: u32::from(attempt.cached),
        };
        let request = &mut self.requests[attempt.request];
        request.open_attempts.retain(|open| *open != key);
        let router = &mut self.instances[request.instance].router;
        router.record_end(&server.name, &report, now);
        router.record_load(&server.name, &server.load(), now);
        if result == AttemptResult::Answered {
            let retries = &mut self.instances[request.instance].retries;
            retries.record_service_time(&POOLS[attempt.stage].name.into(), attempt.service);
            self.answered(attempt.request, attempt.service);
        } else if request.open_attempts.is_empty() {
            self.retry(attempt.request, result);
        }
    }

    fn answered(&mut self, key: RequestKey, service: Duration) {
        let now = self.instant();
        self.cancel_open(key, AttemptResult::Cancelled);
        let request = &mut self.requests[key];
        let latencies = &mut self.instances[request.instance].latencies;
        latencies.record(
            &POOLS[request.stage].name.into(),
            self.now.saturating_sub(request.stage_started_at),
            now,
        );
        request.service += service;
        request.stage += 1;
        if request.stage == POOLS.len() {
            self.end(key, true);
        } else {
            self.stage(key);
        }
    }

    fn retry(&mut self, key: RequestKey, result: AttemptResult) {
        let request = &self.requests[key];
        let (stage, ended) = (
            request.stage,
            EndedAttempt {
                result,
                attempts: request.tried_servers.len(),
                remaining: request.stage_deadline.saturating_sub(self.now),
                idempotent: true,
            },
        );
        let retries = &mut self.instances[request.instance].retries;
        match retries.decide(&POOLS[stage].name.into(), ended) {
            RetryDecision::Retry { delay } => self.after(delay, Event::Resend(key, stage)),
            RetryDecision::Stop(_) => self.end(key, false),
        }
    }

    fn cancel_open(&mut self, key: RequestKey, result: AttemptResult) {
        let now = self.instant();
        let at = self.requests[key].instance;
        for open in std::mem::take(&mut self.requests[key].open_attempts) {
            let attempt = &mut self.attempts[open];
            attempt.cancelled = true;
            let (server, latency) = (attempt.server, self.now.saturating_sub(attempt.sent_at));
            let report = AttemptReport {
                result,
                latency,
                ..AttemptReport::default()
            };
            let router = &mut self.instances[at].router;
            router.record_end(&self.backends[server].name, &report, now);
            let delay = self.network(at, server);
            self.after(delay, Event::Cancel(open));
        }
    }

    pub fn end(&mut self, key: RequestKey, answered: bool) {
        if !self.requests.contains_key(key) {
            return;
        }
        self.cancel_open(key, AttemptResult::TimedOut);
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        let latency = self.now.saturating_sub(request.arrived_at);
        let in_time = answered && latency <= DEADLINE;
        if in_time {
            self.totals.in_time[request.customer] += 1.0;
            self.totals.latencies.push(latency);
        }
        if let Some(ticket) = request.ticket {
            let end = Completion {
                in_time,
                latency: self.now.saturating_sub(request.started_at),
                service: request.service,
            };
            let now = self.instant();
            let admission = &mut self.instances[request.instance].admission;
            let dequeued = admission.finish(ticket, &end, now);
            self.release(&dequeued);
        }
    }
}

fn number(key: RequestKey) -> String {
    slotmap::Key::data(&key).as_ffi().to_string()
}
