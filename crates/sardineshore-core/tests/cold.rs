//! Cold servers: which ones are, and what all instances together send to them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::ops::Range;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use sardineshore_core::flow::cold::{ColdBound, ColdCause, ColdChange, ColdServers, ColdSpec};
use sardineshore_core::flow::config::{Name, Server};
use sardineshore_core::flow::selection::{
    AttemptOutcome, LoadReport, PromptPart, SelectionRequest, ServerSelector,
};
use sardineshore_core::flow::turns::{SharedLimit, TurnSchedule, TurnSharing};

const SECOND: Duration = Duration::from_secs(1);
const START: Duration = Duration::from_secs(3);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn spec(per_second: f64) -> ColdSpec {
    ColdSpec {
        start: START,
        per_second,
    }
}

fn allowed(per_second: f64) -> f64 {
    1.5 * per_second + 5.0
}

/// A server; four failure domains have every fourth one each.
fn server(number: usize, cold_remaining: Option<Duration>) -> Server {
    Server {
        id: format!("s{number}").into(),
        pool: "p".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: format!("d{}", number % 4).into(),
        version: None,
        slots: 16,
        ready: true,
        started_ms: 1,
        cold_remaining,
    }
}

fn names(range: Range<usize>) -> Vec<String> {
    range.map(|n| format!("front-{n}")).collect()
}

/// Turns of one instance among those it knows, with a clock that differs by `offset`.
fn sharing(own: &str, known: &[String], start: Instant, offset: Duration) -> TurnSharing {
    let clock = (start, Duration::from_secs(1000) + offset);
    let domain = |name: &str| -> Name {
        let number: usize = name.trim_start_matches("front-").parse().unwrap();
        format!("d{}", number % 4).into()
    };
    let others = known.iter().map(String::as_str).filter(|name| *name != own);
    let known = others.chain([own]).map(|name| (name, domain(name)));
    let known: Vec<_> = known.collect();
    let instances = known.iter().map(|(name, domain)| (*name, domain));
    TurnSharing::new(own, instances, clock, true)
}

/// Turns of a single instance.
fn alone(now: Instant, is_common: bool) -> TurnSharing {
    TurnSharing::new("a", [("a", &"d0".into())], (now, START), is_common)
}

/// Most times in any one second; the times are in order.
fn most_in_a_second(times: impl IntoIterator<Item = Instant>) -> usize {
    let (mut window, mut most) = (VecDeque::new(), 0);
    for at in times {
        window.push_back(at);
        while window.front().is_some_and(|first| at - *first >= SECOND) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

/// Requests that instances with more than enough of them send to one server in 10 s: the most in a second,
/// and the mean rate. `by_domain` tells which instances leave turns to those of the server's domain.
fn saturate(
    per_second: f64,
    sharings: &[TurnSharing],
    by_domain: impl Fn(usize) -> bool,
    start: Instant,
) -> (usize, f64) {
    let domain = Name::from("d0");
    let turn = spec(per_second).shared_turn(ColdBound::default());
    let mut limits = vec![SharedLimit::new("server"); sharings.len()];
    let mut sends = Vec::new();
    for step in 0..500 {
        let now = start + ms(20 * step);
        for (n, (limit, sharing)) in limits.iter_mut().zip(sharings).enumerate() {
            let domain = Some(&domain).filter(|_| by_domain(n));
            let is_turn = |limit: &SharedLimit| {
                let wait = limit.next_turn(turn, sharing, domain, Duration::ZERO, now);
                wait.is_zero()
            };
            while is_turn(limit) {
                limit.record_send(turn, sharing, now);
                sends.push(now);
            }
        }
    }
    let rate = sends.len() as f64 / 10.0;
    (most_in_a_second(sends), rate)
}

/// Guards against more requests than a cold server withstands, whatever instances know of each other.
#[test]
fn next_turn_sum_over_instances_stays_within_the_bound() {
    let start = Instant::now();
    for (count, per_second) in [(84, 10.0), (59, 8.8), (210, 10.0), (3, 10.0), (1, 8.8)] {
        let all = names(0..count);
        let rate_of = |offset: &dyn Fn(usize) -> u64,
                       known: &dyn Fn(usize) -> Vec<String>,
                       by_domain: &dyn Fn(usize) -> bool| {
            let sharings = all
                .iter()
                .enumerate()
                .map(|(n, own)| sharing(own, &known(n), start, ms(offset(n))));
            let sharings: Vec<_> = sharings.collect();
            let (most, rate) = saturate(per_second, &sharings, by_domain, start);
            assert!(most as f64 <= allowed(per_second), "{count}: {most}");
            assert!(rate >= 0.39 * per_second, "{count}: {rate}");
            rate
        };
        for by_domain in [false, true] {
            let rate = rate_of(&|_| 0, &|_| all.clone(), &|_| by_domain);
            assert!(rate <= per_second, "{count}: {rate}");
        }
        // Some see few warm servers, others more.
        rate_of(&|_| 0, &|_| all.clone(), &|n| n % 2 == 0);
        // Clocks that differ by up to half a second.
        rate_of(&|n| n as u64 * 137 % 500, &|_| all.clone(), &|_| true);
        // Half of the instances are cut off since before the other half started.
        let half = names(0..count.div_ceil(2));
        rate_of(&|_| 0, &|n| [&all, &half][n % 2].clone(), &|_| false);
        rate_of(&|_| 0, &|n| [&half, &all][2 * n / count].clone(), &|_| true);
        // Each instance lacks others.
        let lacking = |n: usize| {
            let is_known = |(k, _): &(usize, &String)| *k == n || (k * 31 + n * 17) % 10 > 0;
            let known = all.iter().enumerate().filter(is_known);
            known.map(|(_, name)| name.clone()).collect()
        };
        rate_of(&|_| 0, &lacking, &|_| true);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    #[test]
    fn shared_turn_any_rate_stays_within_the_bound_and_is_used(
        per_second in 0.3..120.0_f64, count in 1..40_usize, offset in 0..200_u64,
    ) {
        let (start, all) = (Instant::now(), names(0..count));
        let offset = |n: usize| ms(offset * (n as u64 % 2));
        let sharings = all.iter().enumerate().map(|(n, own)| sharing(own, &all, start, offset(n)));
        let sharings: Vec<_> = sharings.collect();
        let (most, rate) = saturate(per_second, &sharings, |_| false, start);
        prop_assert!(most as f64 <= allowed(per_second), "{most}");
        // The run may begin and end within a turn.
        let in_turn = spec(per_second).shared_turn(ColdBound::default()).requests as f64;
        prop_assert!(rate <= per_second + 2.0 * in_turn / 10.0, "{rate}");
        prop_assert!(rate >= 0.3 * per_second, "{rate}");
    }
}

fn known_servers(entries: &[Server], now: Instant) -> ColdServers {
    let mut cold = ColdServers::default();
    cold.set_specs([("p".into(), spec(10.0))]);
    cold.record_reading(entries, |_| true, now);
    cold
}

#[test]
fn record_reading_entries_decide() {
    let now = Instant::now();
    let first = [None, Some(ms(0)), Some(ms(500))];
    let first: Vec<Server> = (0..3).map(|n| server(n, first[n])).collect();
    let mut cold = known_servers(&first, now);
    let states = |cold: &ColdServers, at| [0, 1, 2, 3].map(|n| cold.is_cold(&format!("s{n}"), at));
    assert_eq!(states(&cold, now), [false, false, true, false]);
    assert_eq!(states(&cold, now + ms(500)), [false; 4]);
    // One turns cold again, one says that it is warm, one has just appeared.
    let again = [
        server(0, Some(ms(900))),
        server(2, Some(ms(0))),
        server(3, None),
    ];
    cold.record_reading(&again, |_| true, now);
    assert_eq!(states(&cold, now), [true, false, false, true]);
    // What says nothing changes nothing, unless the server has restarted.
    let mut restarted = server(1, None);
    restarted.started_ms = 2;
    cold.record_reading(&[server(0, None), restarted], |_| true, now);
    assert_eq!(states(&cold, now), [true, true, false, true]);
    assert_eq!(states(&cold, now + START), [false; 4]);
    // A time far too long is no reason to leave a server out for good.
    cold.record_reading(&[server(0, Some(Duration::MAX))], |_| true, now);
    assert!(!cold.is_cold("s0", now + Duration::from_secs(60)));
    cold.set_specs([]);
    assert_eq!(states(&cold, now), [false; 4]);
}

/// Guards against a zone that is flooded when it returns, although old entries call it warm.
#[test]
fn record_reading_domain_that_returns_is_cold_until_the_next_entry() {
    let now = Instant::now();
    let warm = |n| server(n, Some(ms(0)));
    let mut cold = known_servers(&[warm(0), warm(1), warm(4)], now);
    cold.record_reading([], |id| **id == *"s1", now);
    cold.record_reading(&[warm(0)], |id| **id != *"s4", now);
    cold.record_reading(&[warm(4), warm(5)], |_| true, now + ms(200));
    let is_cold = |cold: &ColdServers, n: usize| cold.is_cold(&format!("s{n}"), now + ms(300));
    assert_eq!(
        [0, 4, 1, 5].map(|n| is_cold(&cold, n)),
        [true, true, false, false]
    );
    cold.record_reading(&[warm(4)], |_| true, now + ms(300));
    assert!(is_cold(&cold, 0) && !is_cold(&cold, 4));
    cold.mark_domain(&"d1".into(), now);
    assert_eq!(
        [0, 4, 1, 5].map(|n| is_cold(&cold, n)),
        [true, false, true, true]
    );
}

#[test]
fn take_changes_tells_each_change_once() {
    let now = Instant::now();
    let mut cold = known_servers(&[server(0, Some(ms(2000)))], now);
    let changed = cold.take_changes(now);
    let remaining = ms(2000);
    let (id, cause) = (Name::from("s0"), ColdCause::Entry);
    assert_eq!(
        changed,
        [ColdChange::Cold {
            id: id.clone(),
            remaining,
            cause
        }]
    );
    cold.record_reading(&[server(0, Some(ms(900)))], |_| true, now + ms(1200));
    assert_eq!(cold.take_changes(now + ms(1200)), []);
    assert_eq!(cold.take_changes(now + ms(2100)), [ColdChange::Warm { id }]);
    assert_eq!(cold.take_changes(now + ms(2200)), []);
}

fn selector(domain: usize, servers: &[Server], per_second: f64, now: Instant) -> ServerSelector {
    let mut selector = ServerSelector::new(format!("d{domain}").into());
    selector.set_cold_specs([("p".into(), spec(per_second))]);
    selector.set_servers(servers.to_vec());
    selector.record_entries(servers, now);
    selector
}

fn request(seed: u64) -> SelectionRequest {
    SelectionRequest {
        pool: "p".into(),
        seed,
        ..SelectionRequest::default()
    }
}

/// Guards against turns that are out of step, as the store's clock isn't known yet.
#[test]
fn select_without_common_clock_leaves_cold_servers_to_others() {
    let now = Instant::now();
    let servers = [server(0, Some(START)), server(4, Some(ms(0)))];
    let mut selector = selector(0, &servers, 10.0, now);
    for is_common in [None, Some(false), Some(true)] {
        if let Some(is_common) = is_common {
            selector.set_sharing(alone(now, is_common), now);
        }
        let ids = (0..50).map(|seed| selector.select(&request(seed), now).unwrap().id);
        let is_cold_used = ids.into_iter().any(|id| &*id == "s0");
        assert_eq!(is_cold_used, is_common == Some(true));
    }
}

/// Guards against refusals as if saturated warm servers took nothing.
#[test]
fn limited_rate_counts_cold_servers_only_if_no_warm_one_is_left() {
    let now = Instant::now();
    let mut selector = selector(0, &[server(0, Some(START)), server(4, None)], 10.0, now);
    selector.set_schedule(TurnSchedule::new(now));
    selector.set_sharing(alone(now, true), now);
    let full = LoadReport {
        running: 16,
        waiting: 3,
        slots: 16,
        percent: None,
    };
    selector.record_load("s4", full, now);
    assert_eq!(selector.limited_rate(&request(1), now), None);
    let mut used = 0;
    while let Some(selected) = selector.select(&request(1), now).filter(|s| s.is_cold) {
        selector.record_start(&selected, &request(1), now);
        used += 1;
    }
    assert_eq!(used, 3, "requests of one turn");
    assert_eq!(&*selector.select(&request(1), now).unwrap().id, "s4");
    let mut only_cold = request(1);
    only_cold.tried = vec!["s4".into()];
    assert_eq!(selector.select(&only_cold, now), None);
    assert_eq!(selector.limited_rate(&only_cold, now), Some(6.0));
    let wait = selector.next_turn(&only_cold, now).unwrap();
    assert!(wait <= ms(500) && selector.select(&only_cold, now + wait).is_some());
}

/// Guards against a cold server whose cache fills with prompts that leave it once others are warm.
#[test]
fn select_cold_server_gets_prompts_that_it_keeps() {
    let now = Instant::now();
    let warm: Vec<Server> = (0..8).map(|n| server(4 * n, None)).collect();
    let mut some_cold = warm.clone();
    for server in &mut some_cold[..4] {
        server.cold_remaining = Some(START);
    }
    let (usual, mut selector) = (
        selector(0, &warm, 10.0, now),
        selector(0, &some_cold, 10.0, now),
    );
    selector.set_sharing(alone(now, true), now);
    let mut kept = 0;
    for n in 0..100 {
        let part = |id: String, tokens| PromptPart {
            id: id.as_str().into(),
            tokens,
        };
        let mut request = request(n);
        request.prompt = vec![
            part(format!("shared{n}"), 4000),
            part(format!("own{n}"), 100),
        ];
        let home = usual.select(&request, now).unwrap();
        let selected = selector.select(&request, now).unwrap();
        kept += u32::from(selected.is_cold);
        assert!(!selected.is_cold || selected.id == home.id);
    }
    assert!(kept > 20, "{kept}");
}

/// Load on servers by instances that each see only their own requests.
struct Replay {
    start: Instant,
    selectors: Vec<ServerSelector>,
    servers: Vec<Server>,
    running: HashMap<Name, u32>,
    cold_until: HashMap<Name, Instant>,
    /// Requests sent to each server while it is cold.
    cold_sends: HashMap<Name, Vec<Instant>>,
    /// Time from the arrival to the response of each request that was served.
    times: Vec<Duration>,
    waited: usize,
    refused: usize,
    /// Requests that have begun.
    count: u64,
}

/// What happens next at one instance.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request is to be sent that waited this long; with its number.
    Send(u64, Duration),
    /// An attempt ends after this time.
    End(usize, Duration),
}

const WARM_TIME: Duration = Duration::from_millis(800);
const COLD_TIME: Duration = Duration::from_millis(1600);
/// Longest wait for a turn; a quarter of the time left, 4 s.
const PATIENCE: Duration = SECOND;

impl Replay {
    /// All instances know all servers, which are warm.
    fn new(instances: usize, servers: usize, per_second: f64) -> Self {
        let (start, all) = (Instant::now(), names(0..instances));
        let servers: Vec<Server> = (0..servers).map(|n| server(n, Some(ms(0)))).collect();
        let selectors = all.iter().enumerate().map(|(n, own)| {
            let mut selector = selector(n % 4, &servers, per_second, start);
            selector.set_sharing(sharing(own, &all, start, ms(n as u64 % 7)), start);
            selector
        });
        Self {
            selectors: selectors.collect(),
            start,
            servers,
            running: HashMap::new(),
            cold_until: HashMap::new(),
            cold_sends: HashMap::new(),
            times: Vec::new(),
            waited: 0,
            refused: 0,
            count: 0,
        }
    }

    /// Turns servers cold.
    fn turn_cold(&mut self, is_cold: impl Fn(usize) -> bool, at: Duration) {
        for (_, server) in (self.servers.iter().enumerate()).filter(|(n, _)| is_cold(*n)) {
            (self.cold_until).insert(server.id.clone(), self.start + at + START);
        }
    }

    /// All instances read the list of servers, of which some are gone.
    fn read_list(&mut self, is_gone: impl Fn(usize) -> bool, at: Duration) {
        let now = self.start + at;
        let listed = (0..self.servers.len()).filter(|n| !is_gone(*n));
        let entry = |n: usize| {
            let server = &self.servers[n];
            let until = self.cold_until.get(&server.id);
            let left = until.map(|until| until.saturating_duration_since(now));
            Server {
                cold_remaining: Some(left.unwrap_or_default()),
                ..server.clone()
            }
        };
        let entries: Vec<Server> = listed.map(entry).collect();
        for selector in &mut self.selectors {
            selector.set_servers(entries.clone());
            selector.record_entries(&entries, now);
        }
        self.share(now);
    }

    /// All instances update their order of turns.
    fn share(&mut self, now: Instant) {
        let all = names(0..self.selectors.len());
        for (n, (selector, own)) in self.selectors.iter_mut().zip(&all).enumerate() {
            selector.set_sharing(sharing(own, &all, self.start, ms(n as u64 % 7)), now);
        }
    }

    /// Load of all instances together from one time to another, in requests per second; ends when all
    /// its requests have ended.
    fn run(&mut self, rate: u64, from: Duration, to: Duration) {
        let mut events = BinaryHeap::new();
        let mut attempts = Vec::new();
        let mut at = from;
        while at < to {
            let random = xxhash_rust::xxh3::xxh3_64(&self.count.to_le_bytes());
            let instance = random % self.selectors.len() as u64;
            events.push(Reverse((at, instance, Event::Send(self.count, ms(0)))));
            self.count += 1;
            // On average 1 / rate.
            at += Duration::from_nanos((random >> 7) % (2_000_000_000 / rate));
        }
        while let Some(Reverse((at, instance, event))) = events.pop() {
            let now = self.start + at;
            let selector = &mut self.selectors[usize::try_from(instance).unwrap()];
            match event {
                Event::Send(number, waited) => {
                    let request = request(number);
                    let Some(selected) = selector.select(&request, now) else {
                        let wait = selector.next_turn(&request, now).unwrap_or(SECOND) + ms(2);
                        if waited + wait <= PATIENCE {
                            let event = Event::Send(number, waited + wait);
                            events.push(Reverse((at + wait, instance, event)));
                        } else {
                            self.refused += 1;
                        }
                        continue;
                    };
                    selector.record_start(&selected, &request, now);
                    let id = selected.id.clone();
                    let until = self.cold_until.get(&id);
                    let is_cold = until.is_some_and(|until| now < *until);
                    let time = if is_cold { COLD_TIME } else { WARM_TIME };
                    if is_cold {
                        self.cold_sends.entry(id.clone()).or_default().push(now);
                    }
                    *self.running.entry(id).or_default() += 1;
                    self.times.push(waited + time);
                    self.waited += usize::from(!waited.is_zero());
                    attempts.push(selected);
                    let end = Event::End(attempts.len() - 1, time);
                    events.push(Reverse((at + time, instance, end)));
                }
                Event::End(attempt, time) => {
                    let server = &attempts[attempt];
                    let running = self.running.get_mut(&server.id).unwrap();
                    *running -= 1;
                    let report = LoadReport {
                        running: *running,
                        waiting: 0,
                        slots: 16,
                        percent: None,
                    };
                    selector.record_load(&server.id, report, now);
                    selector.record_end(server, true, AttemptOutcome::Answered(time), now);
                }
            }
        }
    }

    /// Most requests that any server got in a second while it was cold.
    fn most_cold(&self) -> usize {
        let all = self.cold_sends.values();
        let most = all.map(|sends| most_in_a_second(sends.iter().copied()));
        most.max().unwrap_or_default()
    }

    /// Mean number of requests that a cold server got, per second.
    fn mean_cold(&self) -> f64 {
        let count: usize = self.cold_sends.values().map(Vec::len).sum();
        count as f64 / self.cold_until.len() as f64 / START.as_secs_f64()
    }

    /// Mean time from the arrival to the response, as a multiple of that at warm servers.
    fn slowdown(&self) -> f64 {
        let sum: Duration = self.times.iter().sum();
        sum.as_secs_f64() / self.times.len() as f64 / WARM_TIME.as_secs_f64()
    }
}

/// Instances, servers, rate that a cold server sustains and requests per second of two deployments.
const DEPLOYMENTS: [(usize, usize, f64, u64); 2] = [(84, 60, 10.0, 160), (59, 90, 8.8, 207)];

/// Load pattern: a quarter of the servers, a failure domain or here and there, is cold. Guards against
/// cold servers that get nothing, and callers that wait for them.
#[test]
fn select_quarter_cold_gets_a_useful_share() {
    for (instances, servers, per_second, rate) in DEPLOYMENTS {
        for group in [1, 4] {
            let mut replay = Replay::new(instances, servers, per_second);
            replay.turn_cold(|n| n / group % 4 == 0, ms(500));
            replay.read_list(|_| false, ms(500));
            replay.run(rate, ms(500), ms(3500));
            assert!(replay.most_cold() as f64 <= allowed(per_second));
            let share = replay.mean_cold() / per_second;
            assert!(share >= 0.09, "{instances}/{group}: {share}");
            assert_eq!((replay.waited, replay.refused), (0, 0));
            assert!(replay.slowdown() < 1.2, "{}", replay.slowdown());
        }
    }
}

/// Load pattern: the whole pool is cold. Guards against refusals while it has capacity.
#[test]
fn select_all_cold_serves_the_usual_load() {
    for (instances, servers, per_second, rate) in DEPLOYMENTS {
        // All servers, or those of one failure domain without others beside them. Of the latter, an
        // instance has a turn about once a second.
        for (domains, refused_percent, waited_percent) in [(4, 1, 30), (1, 30, 60)] {
            let mut replay = Replay::new(instances, servers, per_second);
            let is_gone = |n: usize| n % 4 >= domains;
            replay.turn_cold(|n| !is_gone(n), ms(500));
            replay.read_list(is_gone, ms(500));
            replay.run(rate * domains as u64 / 4, ms(500), ms(3500));
            assert!(replay.most_cold() as f64 <= allowed(per_second));
            let (served, waited, refused) = (replay.times.len(), replay.waited, replay.refused);
            assert!(
                refused * 100 <= (served + refused) * refused_percent,
                "{refused} of {served}"
            );
            assert!(
                waited * 100 <= served * waited_percent,
                "{waited} of {served}"
            );
            assert!(replay.mean_cold() >= 0.16 * per_second);
        }
    }
}

/// Load pattern: a third of the servers is gone, comes back cold, and is warm again. Callers wait for
/// none of them; what they lose is the longer time of the share that cold servers take.
#[test]
fn select_third_gone_and_back_costs_callers_little() {
    for (instances, servers, per_second, rate) in DEPLOYMENTS {
        let mut replay = Replay::new(instances, servers, per_second);
        replay.read_list(|n| n % 3 == 0, ms(0));
        replay.run(rate, ms(0), ms(2000));
        replay.turn_cold(|n| n % 3 == 0, ms(2000));
        replay.read_list(|_| false, ms(2000));
        replay.run(rate, ms(2000), ms(5000));
        assert!(replay.most_cold() as f64 <= allowed(per_second));
        assert_eq!((replay.waited, replay.refused), (0, 0));
        let slow = replay.cold_sends.values().map(Vec::len).sum::<usize>();
        assert!(slow * 5 <= replay.times.len(), "{slow}");
        assert!(replay.slowdown() < 1.2, "{}", replay.slowdown());
    }
}

/// Guards against a sum beyond the bound while instances don't know that servers are cold: all for a
/// heartbeat, or half of them for good.
#[test]
fn select_late_or_cut_off_instances_stay_within_the_bound() {
    for (instances, servers, per_second, rate) in DEPLOYMENTS {
        for cut_off in [false, true] {
            let mut replay = Replay::new(instances, servers, per_second);
            replay.turn_cold(|n| n % 4 == 0, ms(500));
            let learnt_at = if cut_off { ms(500) } else { ms(1700) };
            replay.run(rate, ms(500), learnt_at);
            let half = replay.selectors.len() / 2;
            let unaware = replay
                .selectors
                .split_off(if cut_off { half } else { 2 * half });
            replay.read_list(|_| false, learnt_at);
            replay.selectors.extend(unaware);
            replay.share(replay.start + learnt_at);
            replay.run(rate, learnt_at, ms(3500));
            assert!(replay.most_cold() as f64 <= allowed(per_second));
            assert_eq!(replay.refused, 0);
        }
    }
}
