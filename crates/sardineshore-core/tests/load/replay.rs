//! Simulates callers and batch servers around a scheduler. Each call takes exactly the time that
//! its pool's settings state.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, Job, JobStage, SchedulerConfig, SubmitOutcome,
};
use sardineshore_core::flow::config::{BatchSpec, Name};

const TICK: Duration = Duration::from_millis(5);
const SOFT_DEADLINE: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(8);
const POOLS: [&str; 3] = ["encode", "retrieve", "rerank"];

/// A kind of request: its rank and its stages. Chained stages depend on the one before.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub rank: u32,
    pub pieces: &'static [(&'static str, u32)],
    pub chained: bool,
}

/// A period with constant arrival rates, in requests per second for each kind.
#[derive(Debug, Clone)]
pub struct Phase {
    pub length: Duration,
    pub rates: Vec<(Kind, f64)>,
}

#[derive(Debug, Default, Clone)]
struct KindCounts {
    requests: u32,
    on_time: u32,
    late: u32,
    refused: u32,
    given_up: u32,
}

/// Counts of how requests ended, by kind, and of calls and pieces, by pool.
#[derive(Debug, Default)]
pub struct Report {
    kinds: BTreeMap<&'static str, KindCounts>,
    calls: BTreeMap<Name, (u64, u64)>,
    pub unfinished: usize,
}

impl Report {
    pub fn on_time(&self, kind: &str) -> f64 {
        let counts = &self.kinds[kind];
        f64::from(counts.on_time) / f64::from(counts.requests)
    }

    pub fn served(&self, kind: &str) -> f64 {
        let counts = &self.kinds[kind];
        f64::from(counts.on_time + counts.late) / f64::from(counts.requests)
    }

    pub fn refused(&self, kind: &str) -> u32 {
        self.kinds[kind].refused
    }

    pub fn given_up(&self) -> f64 {
        let given_up: u32 = self.kinds.values().map(|c| c.given_up).sum();
        let requests: u32 = self.kinds.values().map(|c| c.requests).sum();
        f64::from(given_up) / f64::from(requests)
    }

    /// Average share of the batch size that calls of a pool used.
    pub fn batch_fill(&self, pool: &str) -> f64 {
        let (calls, pieces) = self.calls[pool];
        pieces as f64 / calls as f64 / f64::from(spec(pool).max_batch)
    }
}

fn spec(pool: &str) -> BatchSpec {
    let (max_batch, item) = match pool {
        "encode" => (8, 21),
        "retrieve" => (10, 17),
        _ => (26, 6),
    };
    BatchSpec {
        slots: 1,
        max_batch,
        call_overhead: Duration::from_millis(200),
        time_per_piece: Duration::from_millis(item),
        result_memory_bytes: 20_000_000,
        result_ttl: Duration::from_secs(4),
    }
}

/// One simulation run.
pub struct Replay {
    scheduler: BatchScheduler,
    servers: Vec<BatchServer>,
    outage: Option<(Duration, Duration, Name)>,
    calls_in_flight: Vec<(Instant, u64, Name, CallOutcome)>,
    waiting: HashMap<Name, Attempt>,
    /// Refused callers, and when they retry.
    retries: Vec<(Instant, Name, Attempt)>,
    report: Report,
}

/// An attempt of a caller, and when its first attempt arrived.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    kind: Kind,
    first_attempt_at: Instant,
    is_retry: bool,
}

impl Replay {
    pub fn new(servers_per_pool: usize) -> Self {
        let server = |pool: &str, number: usize| BatchServer {
            id: format!("{pool}-{number}").into(),
            pool: pool.into(),
            address: "127.0.0.1:9".parse().unwrap(),
            domain: "d".into(),
            spec: spec(pool),
            ready: true,
            paused_until: None,
        };
        let servers = POOLS
            .iter()
            .flat_map(|pool| (0..servers_per_pool).map(|n| server(pool, n)));
        Self {
            scheduler: BatchScheduler::new(SchedulerConfig::default()),
            servers: servers.collect(),
            outage: None,
            calls_in_flight: Vec::new(),
            waiting: HashMap::new(),
            retries: Vec::new(),
            report: Report::default(),
        }
    }

    pub fn lose_server_at(&mut self, at: Duration, pool: &str, length: Duration) {
        self.outage = Some((at, length, format!("{pool}-0").into()));
    }

    pub fn run(mut self, phases: &[Phase]) -> Report {
        let start = Instant::now();
        self.scheduler.set_servers(self.servers.clone(), start);
        let mut now = start;
        let mut due_requests: HashMap<&'static str, f64> = HashMap::new();
        let mut number = 0;
        for phase in phases {
            let end = now + phase.length;
            while now < end {
                for (kind, rate) in &phase.rates {
                    let due = due_requests.entry(kind.name).or_default();
                    *due += rate * TICK.as_secs_f64();
                    while *due >= 1.0 {
                        *due -= 1.0;
                        number += 1;
                        let id = Name::from(format!("{}-{number}", kind.name));
                        let attempt = Attempt {
                            kind: *kind,
                            first_attempt_at: now,
                            is_retry: false,
                        };
                        self.report.kinds.entry(kind.name).or_default().requests += 1;
                        self.submit(id, attempt, now);
                    }
                }
                self.advance(start, now);
                now += TICK;
            }
        }
        let end = now + DEADLINE * 2;
        while now < end {
            self.advance(start, now);
            now += TICK;
        }
        self.report.unfinished = self.waiting.len() + self.retries.len();
        self.report
    }

    fn submit(&mut self, id: Name, attempt: Attempt, now: Instant) {
        let kind = attempt.kind;
        let stages = kind
            .pieces
            .iter()
            .enumerate()
            .map(|(index, (pool, pieces))| JobStage {
                pool: (*pool).into(),
                depends_on: if kind.chained && index > 0 {
                    vec![index - 1]
                } else {
                    Vec::new()
                },
                pieces: *pieces,
                result_bytes: 6000,
            });
        let elapsed = now - attempt.first_attempt_at;
        let job = Job {
            id: id.clone(),
            key: "k".into(),
            customer: "".into(),
            route: kind.name.into(),
            rank: kind.rank,
            time_to_soft_deadline: SOFT_DEADLINE.saturating_sub(elapsed),
            time_to_deadline: DEADLINE.saturating_sub(elapsed),
            time_to_first_event: Duration::MAX,
            run_time: Duration::from_millis(100),
            preferred_domain: "".into(),
            stages: stages.collect(),
            late_allowed: true,
            results: Vec::new(),
            accepted_before: false,
            continues: false,
        };
        match self.scheduler.submit(job, now) {
            SubmitOutcome::Accepted { .. } => {
                self.waiting.insert(id, attempt);
            }
            SubmitOutcome::Refused { retry_after, .. } => {
                self.refuse(id, attempt, now + retry_after);
            }
        }
    }

    /// Schedules a retry for a refused caller; each caller retries once.
    fn refuse(&mut self, id: Name, attempt: Attempt, at: Instant) {
        if attempt.is_retry {
            let counts = self.report.kinds.entry(attempt.kind.name).or_default();
            counts.refused += 1;
        } else {
            let retry = Attempt {
                is_retry: true,
                ..attempt
            };
            self.retries.push((at, id, retry));
        }
    }

    fn advance(&mut self, start: Instant, now: Instant) {
        let elapsed = now - start;
        if let Some((at, length, lost)) = self.outage.clone() {
            let lost_now = elapsed >= at && elapsed < at + length;
            let listed = self.servers.iter().filter(|s| !lost_now || s.id != lost);
            self.scheduler.set_servers(listed.cloned().collect(), now);
            if lost_now {
                for (_, _, server, outcome) in &mut self.calls_in_flight {
                    if *server == lost {
                        *outcome = CallOutcome::Broken;
                    }
                }
            }
        }
        let (ended, calls_in_flight) = std::mem::take(&mut self.calls_in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.calls_in_flight = calls_in_flight;
        for (_, call_id, _, outcome) in ended {
            self.scheduler.call_ended(call_id, &outcome, now);
        }
        let (due, later) = std::mem::take(&mut self.retries)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.retries = later;
        for (_, id, attempt) in due {
            self.submit(id, attempt, now);
        }
        for action in self.scheduler.poll(now) {
            self.carry_out(action, now);
        }
    }

    fn carry_out(&mut self, action: Action, now: Instant) {
        match action {
            Action::Call {
                call_id,
                server,
                pieces,
                ..
            } => {
                let listed = self.servers.iter().find(|s| s.id == server).unwrap();
                let count = u32::try_from(pieces.len()).unwrap();
                let call_time = listed.spec.call_overhead + listed.spec.time_per_piece * count;
                let calls = self.report.calls.entry(listed.pool.clone()).or_default();
                calls.0 += 1;
                calls.1 += u64::from(count);
                let results = (0..count).map(|n| Ok(format!("{call_id}/{n}").into()));
                let outcome = CallOutcome::Answered(results.collect());
                self.calls_in_flight
                    .push((now + call_time, call_id, server, outcome));
            }
            Action::Finished { request, .. } => {
                self.scheduler.cancel(&request, now);
                if let Some(attempt) = self.waiting.remove(&request) {
                    let counts = self.report.kinds.entry(attempt.kind.name).or_default();
                    if now - attempt.first_attempt_at <= SOFT_DEADLINE {
                        counts.on_time += 1;
                    } else {
                        counts.late += 1;
                    }
                }
            }
            Action::GivenUp {
                request,
                retry_after,
                ..
            } => {
                if let Some(attempt) = self.waiting.remove(&request) {
                    let counts = self.report.kinds.entry(attempt.kind.name).or_default();
                    counts.given_up += 1;
                    self.refuse(request, attempt, now + retry_after);
                }
            }
            Action::StageEnded { .. }
            | Action::HandedOver { .. }
            | Action::QueryFreeMemory { .. }
            | Action::ReleaseResults { .. } => {}
        }
    }
}
