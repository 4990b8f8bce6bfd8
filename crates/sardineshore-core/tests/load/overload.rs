//! A cell with a third of the servers and of the demand of the deployment that
//! `docs/design/zones-and-overload.md` describes in its part 4, with waves, bursts, lost and slow
//! servers. The time of a call depends on the stages of its pieces.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::time::{Duration, Instant};

use sardineshore_core::duration;
use sardineshore_core::flow::batching::forecast::forecast;
use sardineshore_core::flow::batching::{
    Action, BatchScheduler, BatchServer, CallOutcome, CallPiece, Job, JobStage, SchedulerConfig,
    SubmitOutcome,
};
use sardineshore_core::flow::config::{BatchSpec, Name};

const TICK: Duration = Duration::from_millis(5);
/// What the instances assume for the engine, and the bounds of what it takes in milliseconds.
const ASSUMED_RUN: Duration = Duration::from_millis(150);
const RUN_MS: (f64, f64) = (140.0, 260.0);
/// Time from a caller to the owner of the cell.
const WAY: Duration = Duration::from_millis(8);
const LEDGER: &str = "member-ledger";
const GATE: &str = "gate-scan";
const PROMO: &str = "promo-notify";

/// A kind of request as its callers see it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    pub name: &'static str,
    rank: u32,
    per_second: f64,
    target: Duration,
    deadline: Duration,
    value: f64,
    value_late: f64,
    /// Share of the requests with pieces of 1.5 MB, and how many these have: at least and at most.
    large: (f64, u32, u32),
    chain: bool,
}

pub const EVENT: Class = Class {
    name: "event-brief",
    rank: 0,
    per_second: 164.0 / 3.0,
    target: Duration::from_millis(1900),
    deadline: Duration::from_secs(6),
    value: 1.9,
    value_late: 0.28,
    large: (0.0, 0, 0),
    chain: true,
};
pub const CONTRACT: Class = Class {
    name: "contract-digest",
    rank: 1,
    per_second: 136.0 / 3.0,
    target: Duration::from_millis(1100),
    deadline: Duration::from_secs(6),
    value: 3.4,
    value_late: 0.51,
    large: (0.7, 1, 4),
    chain: false,
};
pub const HELPDESK: Class = Class {
    name: "fan-helpdesk",
    rank: 2,
    per_second: 63.0 / 3.0,
    target: Duration::from_millis(1800),
    deadline: Duration::from_secs(20),
    value: 0.97,
    value_late: 0.15,
    large: (0.4, 1, 2),
    chain: true,
};
const CLASSES: [Class; 3] = [EVENT, CONTRACT, HELPDESK];

/// A time during which a kind, or all if `class` is `None`, arrives at a multiple of its rate.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    pub class: Option<&'static str>,
    pub factor: f64,
    pub from_s: f64,
    pub to_s: f64,
    /// Share of the additional requests that one customer sends.
    pub one_customer: f64,
}

/// Servers of a pool that are lost, or slow by a factor, for some time.
#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    pub pool: &'static str,
    pub servers: usize,
    /// Factor on the time of a call; infinite if the servers are lost.
    pub slowdown: f64,
    pub from_s: f64,
    pub to_s: f64,
}

/// Load of one run.
#[derive(Debug, Clone, Default)]
pub struct Day {
    pub seed: u64,
    pub length_s: f64,
    pub swing: f64,
    pub bursts: Vec<Burst>,
    pub troubles: Vec<Trouble>,
}

/// How the requests of a kind ended, and how often they were refused on the way.
#[derive(Debug, Default, Clone)]
pub struct Counts {
    pub requests: u32,
    /// Those without stages, which are all in time.
    pub without_stages: u32,
    pub in_time: u32,
    pub late: u32,
    /// Refused at the first attempt.
    pub refused_once: u32,
    /// Refused at the first attempt, and told that a second one is of no use.
    pub refused_finally: u32,
    /// Refused at the second attempt as well.
    pub refused_twice: u32,
    /// Accepted and then given up.
    pub given_up: u32,
    /// Pieces that were computed for requests that were given up.
    pub wasted_pieces: u32,
}

impl Counts {
    /// Share of the requests with stages that were served.
    pub fn served_with_stages(&self) -> f64 {
        let requests = self.requests - self.without_stages;
        f64::from(self.in_time + self.late - self.without_stages) / f64::from(requests.max(1))
    }

    pub fn served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.requests.max(1))
    }
}

/// Result of one run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub kinds: BTreeMap<&'static str, Counts>,
    /// Requests and those in time, by customer, of the two urgent kinds.
    pub customers: BTreeMap<usize, (u32, u32)>,
    /// Actual minus forecast time of jobs that were accepted as on time, in milliseconds, by kind.
    pub forecast_errors: BTreeMap<&'static str, Vec<f64>>,
    /// Calls and pieces by pool.
    pub calls: BTreeMap<Name, (u64, u64)>,
    /// Requests and those in time and late, by the second of their arrival and kind.
    pub seconds: BTreeMap<(u64, &'static str), [u32; 3]>,
    pub unfinished: usize,
    /// Refusals of second attempts that would invite a third one.
    pub third_tries: u32,
}

fn class(name: &str) -> &'static Class {
    CLASSES.iter().find(|class| class.name == name).unwrap()
}

impl Outcome {
    /// Share of its highest possible value that a kind earned.
    pub fn value_share(&self, name: &str) -> f64 {
        let counts = &self.kinds[name];
        let class = class(name);
        let earned =
            f64::from(counts.in_time) * class.value + f64::from(counts.late) * class.value_late;
        earned / (f64::from(counts.requests) * class.value)
    }

    /// Share of the highest possible value that all kinds earned together.
    pub fn total_share(&self) -> f64 {
        let worth = |name: &str| f64::from(self.kinds[name].requests) * class(name).value;
        let possible: f64 = self.kinds.keys().map(|name| worth(name)).sum();
        let earned = self
            .kinds
            .keys()
            .map(|name| self.value_share(name) * worth(name));
        earned.sum::<f64>() / possible
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: Self) {
        for (name, counts) in other.kinds {
            let sum = self.kinds.entry(name).or_default();
            sum.requests += counts.requests;
            sum.without_stages += counts.without_stages;
            sum.in_time += counts.in_time;
            sum.late += counts.late;
            sum.refused_once += counts.refused_once;
            sum.refused_twice += counts.refused_twice;
            sum.refused_finally += counts.refused_finally;
            sum.given_up += counts.given_up;
            sum.wasted_pieces += counts.wasted_pieces;
        }
        for (customer, (requests, in_time)) in other.customers {
            let sum = self.customers.entry(customer).or_default();
            sum.0 += requests;
            sum.1 += in_time;
        }
        for (name, errors) in other.forecast_errors {
            self.forecast_errors.entry(name).or_default().extend(errors);
        }
        for (pool, (calls, pieces)) in other.calls {
            let sum = self.calls.entry(pool).or_default();
            sum.0 += calls;
            sum.1 += pieces;
        }
        for (second, counts) in other.seconds {
            let sum = self.seconds.entry(second).or_default();
            for (sum, count) in sum.iter_mut().zip(counts) {
                *sum += count;
            }
        }
        self.unfinished += other.unfinished;
        self.third_tries += other.third_tries;
    }

    /// A table of the figures, one line for each kind.
    pub fn table(&self) -> String {
        let mut text = format!("total {:.3}\n", self.total_share());
        for (name, c) in &self.kinds {
            let share = |count: u32| f64::from(count) / f64::from(c.requests.max(1));
            let mut errors = self.forecast_errors.get(name).cloned().unwrap_or_default();
            errors.sort_by(f64::total_cmp);
            let quantile = |percent: usize| errors.get(errors.len() * percent / 100).copied();
            writeln!(
                text,
                "{name:16} value {:.3} served {:.3} in time {:.3} late {:.3} refused once {:.3} \
                 twice {:.3} finally {:.3} given up {:.3} wasted {} forecast error p10/p50/p90 \
                 {:.0}/{:.0}/{:.0} ms",
                self.value_share(name),
                c.served(),
                share(c.in_time),
                share(c.late),
                share(c.refused_once),
                share(c.refused_twice),
                share(c.refused_finally),
                share(c.given_up),
                c.wasted_pieces,
                quantile(10).unwrap_or_default(),
                quantile(50).unwrap_or_default(),
                quantile(90).unwrap_or_default(),
            )
            .unwrap();
        }
        let fill = self.calls.iter().map(|(pool, (calls, pieces))| {
            format!(
                "{pool} {calls} calls of {:.1}",
                *pieces as f64 / *calls as f64
            )
        });
        text + &fill.collect::<Vec<_>>().join(", ") + "\n"
    }
}

fn spec(pool: &str) -> BatchSpec {
    let (max_batch, piece_us) = match pool {
        LEDGER => (18, 9500),
        GATE => (66, 2600),
        _ => (90, 1900),
    };
    BatchSpec {
        slots: 1,
        max_batch,
        call_overhead: Duration::from_millis(200),
        time_per_piece: Duration::from_micros(piece_us),
        result_memory_bytes: 96_000_000,
        result_ttl: Duration::from_secs(4),
    }
}

/// `SplitMix64`: the same numbers in every run with a seed.
struct Random(u64);

impl Random {
    fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    fn next(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, end: u32) -> u32 {
        u32::try_from(self.bits() % u64::from(end)).unwrap()
    }

    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.next()
    }
}

/// One request of a caller, over both of its attempts.
#[derive(Debug, Clone)]
struct Caller {
    class: &'static Class,
    customer: usize,
    key: Name,
    stages: Vec<JobStage>,
    arrived_at: Instant,
    is_retry: bool,
    forecast: Option<(Instant, Duration)>,
    pieces_done: u32,
}

struct Call {
    ends_at: Instant,
    id: u64,
    server: Name,
    pieces: Vec<CallPiece>,
    outcome: CallOutcome,
}

struct Simulation {
    day: Day,
    start: Instant,
    random: Random,
    scheduler: BatchScheduler,
    servers: Vec<BatchServer>,
    lost: Vec<Name>,
    calls: Vec<Call>,
    arrivals: Vec<(Instant, Caller)>,
    waiting: HashMap<Name, Caller>,
    /// Finished jobs, whose results are released when their engine has run.
    running: Vec<(Instant, Name)>,
    next_id: u64,
    outcome: Outcome,
}

/// Runs a day and returns how its requests ended.
pub fn run(day: Day) -> Outcome {
    let start = Instant::now();
    let server = |pool: &str, number: usize| BatchServer {
        id: format!("{pool}-{number}").into(),
        pool: pool.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "d".into(),
        spec: spec(pool),
        ready: true,
        paused_until: None,
    };
    let pools = [(LEDGER, 6), (GATE, 5), (PROMO, 5)];
    let servers = pools
        .iter()
        .flat_map(|(pool, count)| (0..*count).map(|number| server(pool, number)));
    let mut simulation = Simulation {
        random: Random(day.seed),
        start,
        scheduler: BatchScheduler::new(SchedulerConfig::default()),
        servers: servers.collect(),
        lost: Vec::new(),
        calls: Vec::new(),
        arrivals: Vec::new(),
        waiting: HashMap::new(),
        running: Vec::new(),
        next_id: 0,
        outcome: Outcome::default(),
        day,
    };
    simulation.run();
    simulation.outcome
}

impl Simulation {
    fn run(&mut self) {
        let servers = self.servers.clone();
        self.scheduler.set_servers(servers, self.start);
        let mut now = self.start;
        let end = self.start + duration::from_secs(self.day.length_s);
        while now < end + Duration::from_secs(30) {
            if now < end {
                self.arrive(now);
            }
            self.apply_troubles(now);
            self.end_calls(now);
            let arrivals = std::mem::take(&mut self.arrivals);
            let (due, later) = arrivals.into_iter().partition(|(at, _)| *at <= now);
            self.arrivals = later;
            for (_, caller) in Vec::from_iter::<Vec<(Instant, Caller)>>(due) {
                self.submit(caller, now);
            }
            let running = std::mem::take(&mut self.running);
            let (used, running): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|(at, _)| *at <= now);
            self.running = running;
            for (_, id) in used {
                self.scheduler.cancel(&id, now);
            }
            for action in self.scheduler.poll(now) {
                self.carry_out(action, now);
            }
            now += TICK;
        }
        self.outcome.unfinished = self.waiting.len() + self.arrivals.len();
    }

    /// Rate of a kind now, and the part of it that one customer's burst adds.
    fn rate(&self, class: &Class, seconds: f64) -> (f64, f64) {
        let wave = 1.0 + self.day.swing * (seconds / 17.0 * std::f64::consts::TAU).sin();
        let usual = class.per_second * wave;
        let mut rate = usual;
        let mut of_one = 0.0;
        for burst in &self.day.bursts {
            let concerns = burst.class.is_none_or(|name| name == class.name);
            if concerns && (burst.from_s..burst.to_s).contains(&seconds) {
                let more = usual * (burst.factor - 1.0);
                rate += more;
                of_one += more * burst.one_customer;
            }
        }
        (rate, of_one / rate)
    }

    /// Draws the clusters of requests that begin now: one to five requests within 30 ms.
    fn arrive(&mut self, now: Instant) {
        let seconds = (now - self.start).as_secs_f64();
        let second = (now - self.start).as_secs();
        for class in &CLASSES {
            let (rate, of_one) = self.rate(class, seconds);
            if self.random.next() >= rate / 3.0 * TICK.as_secs_f64() {
                continue;
            }
            let count = 1 + self.random.below(5);
            for _ in 0..count {
                let customer = if self.random.next() < of_one {
                    0
                } else {
                    self.random.below(8) as usize
                };
                let delay = duration::from_secs(self.random.between(0.0, 0.03));
                let stages = self.stages(class);
                self.next_id += 1;
                let counts = self.outcome.kinds.entry(class.name).or_default();
                counts.requests += 1;
                self.outcome
                    .seconds
                    .entry((second, class.name))
                    .or_default()[0] += 1;
                let urgent = u32::from(class.rank < HELPDESK.rank);
                self.outcome.customers.entry(customer).or_default().0 += urgent;
                if stages.is_empty() {
                    counts.without_stages += 1;
                    counts.in_time += 1;
                    self.outcome
                        .seconds
                        .entry((second, class.name))
                        .or_default()[1] += 1;
                    self.outcome.customers.entry(customer).or_default().1 += urgent;
                    continue;
                }
                let caller = Caller {
                    class,
                    customer,
                    key: format!("k{}", self.next_id).into(),
                    stages,
                    arrived_at: now + delay,
                    is_retry: false,
                    forecast: None,
                    pieces_done: 0,
                };
                self.arrivals.push((now + delay + WAY, caller));
            }
        }
    }

    fn stages(&mut self, class: &Class) -> Vec<JobStage> {
        let stage = |pool: &str, depends_on: &[usize], pieces, result_bytes| JobStage {
            pool: pool.into(),
            depends_on: depends_on.to_vec(),
            pieces,
            result_bytes,
        };
        let mut stages = Vec::new();
        if class.chain {
            stages.push(stage(LEDGER, &[], 1, 8_000));
            stages.push(stage(GATE, &[0], 6, 8_000));
            stages.push(stage(PROMO, &[1], 10, 8_000));
        }
        let (share, least, most) = class.large;
        if self.random.next() < share {
            let pieces = least + self.random.below(most + 1 - least);
            stages.push(stage(LEDGER, &[], pieces, 1_500_000));
        }
        stages
    }

    fn apply_troubles(&mut self, now: Instant) {
        let seconds = (now - self.start).as_secs_f64();
        let lost: Vec<Name> = self
            .day
            .troubles
            .iter()
            .filter(|t| t.slowdown.is_infinite() && (t.from_s..t.to_s).contains(&seconds))
            .flat_map(|t| (0..t.servers).map(|n| Name::from(format!("{}-{n}", t.pool))))
            .collect();
        if lost == self.lost {
            return;
        }
        for call in &mut self.calls {
            if lost.contains(&call.server) {
                call.outcome = CallOutcome::Broken;
                call.ends_at = now;
            }
        }
        let listed = self.servers.iter().filter(|s| !lost.contains(&s.id));
        self.scheduler.set_servers(listed.cloned().collect(), now);
        self.lost = lost;
    }

    fn end_calls(&mut self, now: Instant) {
        let calls = std::mem::take(&mut self.calls);
        let (ended, running): (Vec<_>, Vec<_>) =
            calls.into_iter().partition(|call| call.ends_at <= now);
        self.calls = running;
        for call in ended {
            if matches!(call.outcome, CallOutcome::Answered(_)) {
                for piece in &call.pieces {
                    if let Some(caller) = self.waiting.get_mut(&piece.request) {
                        caller.pieces_done += 1;
                    }
                }
            }
            self.scheduler.call_ended(call.id, &call.outcome, now);
        }
    }

    fn submit(&mut self, mut caller: Caller, now: Instant) {
        self.next_id += 1;
        let id = Name::from(format!("r{}", self.next_id));
        let elapsed = now - caller.arrived_at;
        let job = Job {
            id: id.clone(),
            key: caller.key.clone(),
            customer: format!("c{}", caller.customer).into(),
            route: caller.class.name.into(),
            rank: caller.class.rank,
            time_to_soft_deadline: caller.class.target.saturating_sub(if caller.is_retry {
                WAY
            } else {
                elapsed
            }),
            time_to_deadline: caller.class.deadline.saturating_sub(elapsed),
            time_to_first_event: Duration::MAX,
            run_time: ASSUMED_RUN,
            preferred_domain: "".into(),
            stages: caller.stages.clone(),
            late_allowed: true,
            results: Vec::new(),
            accepted_before: false,
            continues: false,
        };
        let expected = forecast(&job, &self.scheduler.loads(now));
        match self.scheduler.submit(job, now) {
            SubmitOutcome::Accepted { late } => {
                let expected = expected.filter(|_| !late);
                caller.forecast = expected.map(|forecast| (now, forecast.before_late));
                self.waiting.insert(id, caller);
            }
            SubmitOutcome::Refused {
                retry_after,
                reason,
            } => self.refuse(caller, retry_after, reason.is_final(), now),
        }
    }

    /// A refused caller tries once more, after at most a third of the time it has left.
    fn refuse(&mut self, caller: Caller, retry_after: Duration, is_final: bool, now: Instant) {
        let counts = self.outcome.kinds.entry(caller.class.name).or_default();
        let left = (caller.arrived_at + caller.class.deadline).saturating_duration_since(now);
        if caller.is_retry {
            counts.refused_twice += 1;
            self.outcome.third_tries += u32::from(!is_final);
        } else if is_final {
            counts.refused_finally += 1;
        } else {
            counts.refused_once += 1;
            let at = now + retry_after.min(left / 3) + WAY * 2;
            let retry = Caller {
                is_retry: true,
                pieces_done: 0,
                ..caller
            };
            self.arrivals.push((at, retry));
        }
    }

    /// Time of a call. Pieces of the first stage of a chain take 0.3 of the usual time.
    fn call_time(&mut self, server: &BatchServer, pieces: &[CallPiece], now: Instant) -> Duration {
        let seconds = (now - self.start).as_secs_f64();
        let weight = |piece: &CallPiece| {
            let caller = self.waiting.get(&piece.request);
            let small = caller.is_some_and(|caller| caller.class.chain && piece.stage == 0);
            if small { 0.3 } else { 1.0 }
        };
        let weights: f64 = pieces.iter().map(weight).sum();
        let slowdown: f64 = self
            .day
            .troubles
            .iter()
            .filter(|t| t.slowdown.is_finite() && (t.from_s..t.to_s).contains(&seconds))
            .filter(|t| (0..t.servers).any(|n| *server.id == *format!("{}-{n}", t.pool)))
            .map(|t| t.slowdown)
            .product();
        let expected = server.spec.call_overhead + server.spec.time_per_piece.mul_f64(weights);
        expected.mul_f64(slowdown * self.random.between(0.95, 1.08)) + Duration::from_millis(3)
    }

    fn carry_out(&mut self, action: Action, now: Instant) {
        match action {
            Action::Call {
                call_id,
                server,
                pieces,
                ..
            } => {
                let listed = self.servers.iter().find(|s| s.id == server).cloned();
                let listed = listed.unwrap();
                let time = self.call_time(&listed, &pieces, now);
                let calls = self.outcome.calls.entry(listed.pool).or_default();
                calls.0 += 1;
                calls.1 += pieces.len() as u64;
                let results = (0..pieces.len()).map(|n| Ok(format!("{call_id}/{n}").into()));
                self.calls.push(Call {
                    ends_at: now + time,
                    id: call_id,
                    server,
                    outcome: CallOutcome::Answered(results.collect()),
                    pieces,
                });
            }
            Action::Finished { request, .. } => {
                let Some(caller) = self.waiting.remove(&request) else {
                    self.scheduler.cancel(&request, now);
                    return;
                };
                let (least, most) = RUN_MS;
                let run = duration::from_secs(self.random.between(least, most) / 1000.0);
                let ends_at = now + run;
                self.running.push((ends_at, request));
                let counts = self.outcome.kinds.entry(caller.class.name).or_default();
                let second = (caller.arrived_at - self.start).as_secs();
                let second = self
                    .outcome
                    .seconds
                    .entry((second, caller.class.name))
                    .or_default();
                if ends_at + WAY - caller.arrived_at <= caller.class.target {
                    counts.in_time += 1;
                    second[1] += 1;
                    self.outcome.customers.entry(caller.customer).or_default().1 +=
                        u32::from(caller.class.rank < HELPDESK.rank);
                } else {
                    counts.late += 1;
                    second[2] += 1;
                }
                if let Some((at, expected)) = caller.forecast {
                    let error = (ends_at - at).as_secs_f64() - expected.as_secs_f64();
                    let errors = self.outcome.forecast_errors.entry(caller.class.name);
                    errors.or_default().push(error * 1000.0);
                }
            }
            Action::GivenUp {
                request,
                retry_after,
                reason,
            } => {
                if let Some(caller) = self.waiting.remove(&request) {
                    let counts = self.outcome.kinds.entry(caller.class.name).or_default();
                    counts.given_up += 1;
                    counts.wasted_pieces += caller.pieces_done;
                    self.refuse(caller, retry_after, reason.is_final(), now);
                }
            }
            Action::StageEnded { .. }
            | Action::HandedOver { .. }
            | Action::QueryFreeMemory { .. }
            | Action::ReleaseResults { .. } => {}
        }
    }
}
