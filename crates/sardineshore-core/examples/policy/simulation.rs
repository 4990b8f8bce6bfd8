//! Discrete-event simulation of callers, entry instances and backend servers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sardineshore_core::duration;
use sardineshore_core::{Objective, ServerId, Ticket};
use slotmap::{SlotMap, new_key_type};

use crate::backend::Backend;
use crate::flow::EXPIRE_INTERVAL;
use crate::instance::Instance;
use crate::scenario::{CAPACITY, CUSTOMERS, FAULT, POOLS, RUN_LENGTH, Scenario, Variant};
use crate::totals::Totals;

/// Interval at which one instance polls the load of all servers.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Base of the one-way network time to a server of the same failure domain.
const SAME_DOMAIN_MS: f64 = 0.25;
/// Base of the one-way network time to a server of another failure domain.
const CROSS_DOMAIN_MS: f64 = 3.0;

new_key_type! {
    pub struct AttemptKey;
    pub struct RequestKey;
}

/// A request at its entry instance.
pub struct Request {
    pub customer: usize,
    pub instance: usize,
    pub arrived_at: Duration,
    pub started_at: Duration,
    pub ticket: Option<Ticket>,
    pub prefix: u64,
    pub stage: usize,
    pub stage_started_at: Duration,
    pub stage_deadline: Duration,
    pub tried_servers: Vec<ServerId>,
    pub open_attempts: Vec<AttemptKey>,
    pub service: Duration,
}

/// An attempt on a backend server.
pub struct Attempt {
    pub request: RequestKey,
    pub stage: usize,
    pub server: usize,
    pub sent_at: Duration,
    pub service: Duration,
    pub service_started_at: Option<Duration>,
    pub cached: bool,
    pub cancelled: bool,
    pub first: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    Arrive,
    Poll(usize),
    Expire(usize),
    Deadline(RequestKey),
    Resend(RequestKey, usize),
    Hedge(RequestKey, usize),
    Delivered(AttemptKey),
    Done(AttemptKey, bool),
    Reply(AttemptKey, AttemptEnd),
    Cancel(AttemptKey),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptEnd {
    Answered,
    Refused,
    Failed,
}

/// State of one run: all instances, servers, requests and pending events.
pub struct Simulation<'a> {
    pub scenario: &'a Scenario,
    pub variant: &'a Variant,
    pub objective: Objective,
    pub origin: Instant,
    pub now: Duration,
    pub rng: SmallRng,
    pub backends: Vec<Backend>,
    pub instances: Vec<Instance>,
    pub requests: SlotMap<RequestKey, Request>,
    pub attempts: SlotMap<AttemptKey, Attempt>,
    pub totals: Totals,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
}

impl<'a> Simulation<'a> {
    pub fn new(
        scenario: &'a Scenario,
        variant: &'a Variant,
        objective: Objective,
        seed: u64,
    ) -> Self {
        let backends = backends(scenario);
        let instances = (0..variant.instances as u64)
            .map(|at| Instance::new(variant, objective, &backends, at + 100 * seed))
            .collect();
        Self {
            scenario,
            variant,
            objective,
            origin: Instant::now(),
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            backends,
            instances,
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            totals: Totals::default(),
            events: BinaryHeap::new(),
            event_count: 0,
        }
    }

    pub fn run(mut self) -> Totals {
        self.after(Duration::ZERO, Event::Arrive);
        for at in 0..self.instances.len() {
            self.after(POLL_INTERVAL.mul_f64(at as f64 / 9.0), Event::Poll(at));
            self.after(EXPIRE_INTERVAL, Event::Expire(at));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.totals
    }

    pub fn after(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .push(Reverse((self.now + delay, self.event_count, event)));
    }

    pub fn instant(&self) -> Instant {
        self.origin + self.now
    }

    /// Random network time between an instance and a server.
    pub fn network(&mut self, instance: usize, server: usize) -> Duration {
        let same_domain = self.instances[instance].domain == self.backends[server].domain;
        let base = if same_domain {
            SAME_DOMAIN_MS
        } else {
            CROSS_DOMAIN_MS
        };
        duration::from_secs(base * self.rng.random_range(0.8..1.6) / 1e3)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Poll(instance) => self.poll(instance),
            Event::Expire(instance) => self.expire(instance),
            Event::Deadline(request) => self.end(request, false),
            Event::Resend(request, stage) => self.resend(request, stage),
            Event::Hedge(request, stage) => self.hedge(request, stage),
            Event::Delivered(attempt) => self.delivered(attempt),
            Event::Done(attempt, answered) => self.done(attempt, answered),
            Event::Reply(attempt, attempt_end) => self.reply(attempt, attempt_end),
            Event::Cancel(attempt) => self.stop(attempt),
        }
    }

    fn arrive(&mut self) {
        let faulty = self.faulty();
        let burst = if faulty { self.scenario.burst } else { 1.0 };
        let each = CAPACITY * self.scenario.load * burst / CUSTOMERS as f64;
        let all = each * (CUSTOMERS as f64 - 1.0 + self.scenario.greedy);
        let wait = -self.rng.random::<f64>().max(1e-12).ln() / all;
        if self.now < RUN_LENGTH {
            self.after(duration::from_secs(wait), Event::Arrive);
            let pick = self.rng.random_range(0.0..all / each);
            let customer = (1..CUSTOMERS).find(|at| pick < *at as f64).unwrap_or(0);
            self.offer(customer);
        }
    }

    fn poll(&mut self, instance: usize) {
        let now = self.instant();
        for server in &self.backends {
            let router = &mut self.instances[instance].router;
            router.record_load(&server.name, &server.load(), now);
        }
        if self.now < RUN_LENGTH {
            self.after(POLL_INTERVAL, Event::Poll(instance));
        }
    }

    fn faulty(&self) -> bool {
        FAULT.0 <= self.now && self.now < FAULT.1
    }

    fn delivered(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let at = attempt.server;
        let server = &mut self.backends[at];
        if server.has_free_slot() {
            self.serve(key);
        } else if server.is_queue_full() {
            self.answer(key, AttemptEnd::Refused);
        } else {
            server.queue.push_back(key);
        }
    }

    fn serve(&mut self, key: AttemptKey) {
        let attempt = &self.attempts[key];
        let prefix = self.requests.get(attempt.request).map_or(0, |r| r.prefix);
        let (at, stage) = (attempt.server, attempt.stage);
        let failing = self.scenario.failing.filter(|(pool, _)| *pool == stage);
        let fails = self.faulty() && failing.is_some_and(|(_, share)| self.rng.random_bool(share));
        let draw = 0.5 - 0.5 * self.rng.random::<f64>().max(1e-12).ln();
        let server = &mut self.backends[at];
        server.running.push(key);
        let prefixed = prefix != 0 && stage + 1 == POOLS.len();
        let cached = if prefixed {
            server.look_up(prefix)
        } else {
            1.0
        };
        let spent = if fails { 0.5 } else { 1.0 };
        let service = duration::from_secs(server.service_ms * draw * cached * spent / 1e3);
        let attempt = &mut self.attempts[key];
        attempt.service_started_at = Some(self.now);
        attempt.cached = cached < 1.0;
        attempt.service = service;
        if prefixed {
            self.totals.prefixed += 1.0;
            self.totals.hits += f64::from(u8::from(cached < 1.0));
        }
        self.after(service, Event::Done(key, !fails));
    }

    fn done(&mut self, key: AttemptKey, answered: bool) {
        if self.attempts.contains_key(key) {
            let attempt_end = if answered {
                AttemptEnd::Answered
            } else {
                AttemptEnd::Failed
            };
            self.leave(key);
            self.answer(key, attempt_end);
        }
    }

    /// Stops a cancelled attempt on its server.
    fn stop(&mut self, key: AttemptKey) {
        if self.attempts.contains_key(key) {
            self.leave(key);
            self.attempts.remove(key);
        }
    }

    /// Frees the attempt's slot and starts the next queued attempt.
    fn leave(&mut self, key: AttemptKey) {
        let attempt = &self.attempts[key];
        let server = &mut self.backends[attempt.server];
        let busy = attempt
            .service_started_at
            .map_or(Duration::ZERO, |from| self.now.saturating_sub(from));
        let work = busy.as_secs_f64();
        self.totals.cost += work * server.cost;
        self.totals.work += work;
        self.totals.extra_work += if attempt.first { 0.0 } else { work };
        server.remove(key);
        if let Some(next) = server
            .has_free_slot()
            .then(|| server.queue.pop_front())
            .flatten()
        {
            self.serve(next);
        }
    }

    fn answer(&mut self, key: AttemptKey, attempt_end: AttemptEnd) {
        let attempt = &self.attempts[key];
        let server = attempt.server;
        let Some(request) = self
            .requests
            .get(attempt.request)
            .filter(|_| !attempt.cancelled)
        else {
            self.attempts.remove(key);
            return;
        };
        let delay = self.network(request.instance, server);
        self.after(delay, Event::Reply(key, attempt_end));
    }
}

fn backends(scenario: &Scenario) -> Vec<Backend> {
    let mut backends = Vec::new();
    for (pool, plan) in POOLS.iter().enumerate() {
        for at in 0..plan.servers {
            let slow = if plan.name == "generate" && at == 0 {
                scenario.straggler
            } else {
                1.0
            };
            backends.push(Backend {
                name: format!("{}-{at}", plan.name).into(),
                domain: at % 4,
                pool,
                cost: if at % 2 == 0 { 1.0 } else { 1.5 },
                capacity: plan.capacity,
                service_ms: plan.service_ms * slow,
                running: Vec::new(),
                queue: VecDeque::new(),
                cache: VecDeque::new(),
            });
        }
    }
    backends
}
