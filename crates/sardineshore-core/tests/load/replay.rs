//! Plays arrivals against a board whose servers take exactly their stated times.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, Job, JobStage, SchedulerConfig, SubmitOutcome,
};
use sardineshore_core::flow::config::{BatchSpec, Name};

const STEP: Duration = Duration::from_millis(5);
const AIM: Duration = Duration::from_secs(2);
const TIME: Duration = Duration::from_secs(8);
const POOLS: [&str; 3] = ["encode", "retrieve", "rerank"];

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub rank: u32,
    pub pieces: &'static [(&'static str, u32)],
    pub chained: bool,
}

/// Arrivals a second for a while.
#[derive(Debug, Clone)]
pub struct Phase {
    pub length: Duration,
    pub rates: Vec<(Kind, f64)>,
}

#[derive(Debug, Default, Clone)]
struct Counts {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    held_and_refused: u32,
}

/// What became of the requests.
#[derive(Debug, Default)]
pub struct Report {
    kinds: BTreeMap<&'static str, Counts>,
    calls: BTreeMap<Name, (u64, u64)>,
    pub unended: usize,
}

impl Report {
    pub fn in_time(&self, kind: &str) -> f64 {
        let counts = &self.kinds[kind];
        f64::from(counts.in_time) / f64::from(counts.asked)
    }

    pub fn served(&self, kind: &str) -> f64 {
        let counts = &self.kinds[kind];
        f64::from(counts.in_time + counts.late) / f64::from(counts.asked)
    }

    pub fn refused(&self, kind: &str) -> u32 {
        self.kinds[kind].refused
    }

    pub fn held_and_refused(&self) -> f64 {
        let held: u32 = self.kinds.values().map(|c| c.held_and_refused).sum();
        let asked: u32 = self.kinds.values().map(|c| c.asked).sum();
        f64::from(held) / f64::from(asked)
    }

    /// Average part of a batch that was filled.
    pub fn fill(&self, pool: &str) -> f64 {
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

/// One replay.
pub struct Replay {
    board: BatchScheduler,
    servers: Vec<BatchServer>,
    outage: Option<(Duration, Duration, Name)>,
    running: Vec<(Instant, u64, Name, CallOutcome)>,
    waiting: HashMap<Name, Asked>,
    /// Callers that were refused once and come back as they were told.
    returning: Vec<(Instant, Name, Asked)>,
    report: Report,
}

/// A request with the time of its caller's first attempt.
#[derive(Debug, Clone, Copy)]
struct Asked {
    kind: Kind,
    since: Instant,
    again: bool,
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
        };
        let servers = POOLS
            .iter()
            .flat_map(|pool| (0..servers_per_pool).map(|n| server(pool, n)));
        Self {
            board: BatchScheduler::new(SchedulerConfig::default()),
            servers: servers.collect(),
            outage: None,
            running: Vec::new(),
            waiting: HashMap::new(),
            returning: Vec::new(),
            report: Report::default(),
        }
    }

    pub fn lose_server_at(&mut self, at: Duration, pool: &str, length: Duration) {
        self.outage = Some((at, length, format!("{pool}-0").into()));
    }

    pub fn run(mut self, phases: &[Phase]) -> Report {
        let start = Instant::now();
        self.board.set_servers(self.servers.clone(), start);
        let mut now = start;
        let mut owed: HashMap<&'static str, f64> = HashMap::new();
        let mut number = 0;
        for phase in phases {
            let end = now + phase.length;
            while now < end {
                for (kind, rate) in &phase.rates {
                    let due = owed.entry(kind.name).or_default();
                    *due += rate * STEP.as_secs_f64();
                    while *due >= 1.0 {
                        *due -= 1.0;
                        number += 1;
                        let id = Name::from(format!("{}-{number}", kind.name));
                        let asked = Asked {
                            kind: *kind,
                            since: now,
                            again: false,
                        };
                        self.report.kinds.entry(kind.name).or_default().asked += 1;
                        self.arrive(id, asked, now);
                    }
                }
                self.advance(start, now);
                now += STEP;
            }
        }
        let end = now + TIME * 2;
        while now < end {
            self.advance(start, now);
            now += STEP;
        }
        self.report.unended = self.waiting.len() + self.returning.len();
        self.report
    }

    fn arrive(&mut self, id: Name, asked: Asked, now: Instant) {
        let kind = asked.kind;
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
        let passed = now - asked.since;
        let job = Job {
            id: id.clone(),
            key: "k".into(),
            rank: kind.rank,
            time_to_soft_deadline: AIM.saturating_sub(passed),
            time_to_deadline: TIME.saturating_sub(passed),
            run_time: Duration::from_millis(100),
            preferred_domain: "".into(),
            stages: stages.collect(),
            late_allowed: true,
            results: Vec::new(),
            accepted_before: false,
        };
        match self.board.submit(job, now) {
            SubmitOutcome::Accepted { .. } => {
                self.waiting.insert(id, asked);
            }
            SubmitOutcome::Refused { retry_after } => self.refuse(id, asked, now + retry_after),
        }
    }

    /// A caller comes back once.
    fn refuse(&mut self, id: Name, asked: Asked, at: Instant) {
        if asked.again {
            let counts = self.report.kinds.entry(asked.kind.name).or_default();
            counts.refused += 1;
        } else {
            let again = Asked {
                again: true,
                ..asked
            };
            self.returning.push((at, id, again));
        }
    }

    fn advance(&mut self, start: Instant, now: Instant) {
        let elapsed = now - start;
        if let Some((at, length, lost)) = self.outage.clone() {
            let away = elapsed >= at && elapsed < at + length;
            let listed = self.servers.iter().filter(|s| !away || s.id != lost);
            self.board.set_servers(listed.cloned().collect(), now);
            if away {
                for (_, _, server, end) in &mut self.running {
                    if *server == lost {
                        *end = CallOutcome::Broken;
                    }
                }
            }
        }
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.running = running;
        for (_, call, _, end) in ended {
            self.board.call_ended(call, &end, now);
        }
        let (due, later) = std::mem::take(&mut self.returning)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.returning = later;
        for (_, id, asked) in due {
            self.arrive(id, asked, now);
        }
        for action in self.board.poll(now) {
            self.perform(action, now);
        }
    }

    fn perform(&mut self, action: Action, now: Instant) {
        match action {
            Action::Call {
                call_id,
                server,
                pieces,
                ..
            } => {
                let listed = self.servers.iter().find(|s| s.id == server).unwrap();
                let count = u32::try_from(pieces.len()).unwrap();
                let took = listed.spec.call_overhead + listed.spec.time_per_piece * count;
                let calls = self.report.calls.entry(listed.pool.clone()).or_default();
                calls.0 += 1;
                calls.1 += u64::from(count);
                let made = (0..count).map(|n| Ok(format!("{call_id}/{n}").into()));
                let end = CallOutcome::Answered(made.collect());
                self.running.push((now + took, call_id, server, end));
            }
            Action::Finished { request, .. } => {
                self.board.cancel(&request, now);
                if let Some(asked) = self.waiting.remove(&request) {
                    let counts = self.report.kinds.entry(asked.kind.name).or_default();
                    if now - asked.since <= AIM {
                        counts.in_time += 1;
                    } else {
                        counts.late += 1;
                    }
                }
            }
            Action::GivenUp {
                request,
                retry_after,
            } => {
                if let Some(asked) = self.waiting.remove(&request) {
                    let counts = self.report.kinds.entry(asked.kind.name).or_default();
                    counts.held_and_refused += 1;
                    self.refuse(request, asked, now + retry_after);
                }
            }
            Action::StageEnded { .. }
            | Action::HandedOver { .. }
            | Action::QueryFreeMemory { .. }
            | Action::ReleaseResults { .. } => {}
        }
    }
}
