//! Speeds of servers: what is learned of them, told to other instances, and gained by it.

mod speed {
    pub mod replay;
}

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sardineshore_core::flow::config::{Name, Server};
use sardineshore_core::flow::selection::{
    LoadReport, PromptPart, SelectedServer, SelectionRequest, ServerSelector,
};
use sardineshore_core::flow::speed::{DigestKind, ServerSpeeds, SpeedLink};
use speed::replay::{Replay, Selection};

const COUNT: usize = 12;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn server(number: usize, started_ms: u64) -> Server {
    Server {
        id: format!("s{number}").into(),
        pool: "llm".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "d".into(),
        version: None,
        slots: 16,
        ready: true,
        started_ms,
        cold_remaining: None,
    }
}

fn is_usual(slowness: f64) -> bool {
    (slowness - 1.0).abs() < f64::EPSILON
}

fn speeds() -> ServerSpeeds {
    let servers: Vec<Server> = (0..COUNT).map(|n| server(n, 1)).collect();
    let mut speeds = ServerSpeeds::default();
    speeds.set_servers(servers.iter());
    speeds
}

/// Lets each server prefill 2,000 tokens `rounds` times, once a second, at the pace that `slowness`
/// gives.
fn observe(
    speeds: &mut ServerSpeeds,
    rounds: u32,
    now: &mut Instant,
    slowness: impl Fn(usize, u32) -> f64,
) {
    for round in 0..rounds {
        *now += ms(1000);
        for n in 0..COUNT {
            let took = ms(3) + ms(48).mul_f64(slowness(n, round));
            speeds.record_first_output(&format!("s{n}"), 2000, 0.2, took, *now);
        }
    }
}

/// Lets the servers prefill at usual pace, and one of them at another one, until that is known.
fn learned(number: usize, slowness: f64, now: &mut Instant) -> ServerSpeeds {
    let mut speeds = speeds();
    observe(&mut speeds, 40, now, |n, _| {
        if n == number { slowness } else { 1.0 }
    });
    speeds
}

/// Load pattern: 140 servers of which a third is fast and all are slow at times, and 78 instances that
/// each see few of their responses. Prompts late because they went to slow servers were most of the
/// lateness that better stages left.
#[test]
fn select_by_speed_has_fewer_late_first_outputs() {
    let before = Replay::new(Selection::Equal, 1).run();
    let after = Replay::new(Selection::BySpeed, 1).run();
    println!("before {before:?}\nafter  {after:?}");
    assert!(after.late_share() < 0.6 * before.late_share());
}

/// Guards against all instances sending to the fastest servers at once, as each sees few loads.
#[test]
fn select_by_speed_without_shared_parts_uses_all_servers() {
    let before = Replay::new(Selection::Equal, 3).without_shared_parts();
    let after = Replay::new(Selection::BySpeed, 3).without_shared_parts();
    let (before, after) = (before.run(), after.run());
    println!("before {before:?}\nafter  {after:?}");
    assert!(after.late_share() < 0.6 * before.late_share());
    // The fast ones have 55 % of the capacity.
    assert!((0.45..0.7).contains(&after.at_fast));
}

/// Guards against a worse service where servers have equal speeds and name no figure.
#[test]
fn select_equal_servers_is_not_changed_by_noise() {
    let before = Replay::new(Selection::Equal, 2).with_equal_servers().run();
    let after = Replay::new(Selection::BySpeed, 2)
        .with_equal_servers()
        .run();
    println!("before {before:?}\nafter  {after:?}");
    assert!(after.late_share() < 1.05 * before.late_share() + 0.002);
    assert!(after.differing < 1.0);
}

#[test]
fn slowness_lasting_difference_is_learned_from_first_outputs() {
    let mut now = Instant::now();
    let speeds = learned(4, 2.0, &mut now);
    let slowness = speeds.slowness("s4", now);
    assert!((1.7..2.2).contains(&slowness), "{slowness}");
    assert!(is_usual(speeds.slowness("s5", now)));
    let ratio = speeds
        .prefill_time("s4", 1000, now)
        .div_duration_f64(ms(24));
    assert!((ratio - slowness).abs() < 0.01, "{ratio}");
}

#[test]
fn slowness_figure_counts_for_a_moment() {
    let now = Instant::now();
    let mut speeds = speeds();
    assert!(speeds.record_figure("s1", 250, now));
    let at = |after| speeds.slowness("s1", now + ms(after));
    assert!((at(100) - 2.5).abs() < 0.01);
    assert!(at(400) < 2.0 && at(400) > 1.1);
    assert!(is_usual(at(700)));
}

/// Guards against figures that servers write: out of range, or for a server that isn't listed.
#[test]
fn record_figure_out_of_range_is_ignored() {
    let now = Instant::now();
    let mut speeds = speeds();
    for percent in [0, 9, 1001, u32::MAX] {
        assert!(!speeds.record_figure("s1", percent, now));
        assert!(is_usual(speeds.slowness("s1", now)));
    }
    assert!(!speeds.record_figure("other", 250, now));
}

/// Guards against a server that is avoided, or overloaded, as it always names a wrong figure.
#[test]
fn slowness_figures_that_attempts_contradict_lose_their_weight() {
    let mut now = Instant::now();
    let mut speeds = speeds();
    for round in 0..60_u64 {
        now += ms(500);
        for n in 0..COUNT {
            let id = format!("s{n}");
            // Server 3 names figures that have nothing to do with its pace.
            let percent = if n == 3 && round % 3 == 0 { 250 } else { 100 };
            speeds.record_figure(&id, percent, now);
            speeds.record_first_output(&id, 2000, 0.2, ms(51), now + ms(50));
        }
    }
    speeds.record_figure("s3", 250, now);
    let slowness = speeds.slowness("s3", now);
    assert!(slowness < 1.2, "{slowness}");
}

/// Guards against a lasting speed that counts twice where servers include it in their figures.
#[test]
fn slowness_usual_figure_of_a_server_is_not_a_slow_moment() {
    let mut now = Instant::now();
    let mut speeds = speeds();
    let slowness = |n: usize| if n < 6 { 1.4 } else { 0.7 };
    for _ in 0..60 {
        observe(&mut speeds, 1, &mut now, |n, _| slowness(n));
        for n in 0..COUNT {
            let percent = if n < 6 { 140 } else { 70 };
            speeds.record_figure(&format!("s{n}"), percent, now);
        }
    }
    let ratio = speeds.slowness("s0", now) / speeds.slowness("s9", now);
    assert!((1.7..2.3).contains(&ratio), "{ratio}");
    // A figure above its own usual one is one.
    speeds.record_figure("s9", 175, now);
    let ratio = speeds.slowness("s0", now) / speeds.slowness("s9", now);
    assert!((0.6..1.0).contains(&ratio), "{ratio}");
}

#[test]
fn slowness_restarted_server_is_unknown_and_learned_again() {
    let mut now = Instant::now();
    let mut speeds = learned(4, 2.5, &mut now);
    assert!(speeds.slowness("s4", now) > 2.0);
    let servers: Vec<Server> = (0..COUNT)
        .map(|n| server(n, if n == 4 { 2 } else { 1 }))
        .collect();
    speeds.set_servers(servers.iter());
    assert!(is_usual(speeds.slowness("s4", now)));
    observe(
        &mut speeds,
        30,
        &mut now,
        |n, _| if n == 4 { 0.5 } else { 1.0 },
    );
    let slowness = speeds.slowness("s4", now);
    assert!((0.45..0.65).contains(&slowness), "{slowness}");
}

/// Guards against a server that counts as slow long after it has become warm.
#[test]
fn ignore_samples_keeps_server_usual() {
    let mut now = Instant::now();
    let mut speeds = speeds();
    speeds.ignore_samples("s4", now + Duration::from_secs(60));
    observe(
        &mut speeds,
        40,
        &mut now,
        |n, _| if n == 4 { 2.5 } else { 1.0 },
    );
    assert!(is_usual(speeds.slowness("s4", now)));
}

/// Guards against a server that gets nothing for good because of an old measurement.
#[test]
fn slowness_old_measurement_is_forgotten() {
    let mut now = Instant::now();
    let mut speeds = learned(4, 2.5, &mut now);
    now += Duration::from_secs(600);
    speeds.refresh_if_due(now);
    assert!(is_usual(speeds.slowness("s4", now)));
}

/// Guards against a slow server that gets no request at all: then it could not show that it is fast.
#[test]
fn select_slow_server_is_still_tried() {
    let mut now = Instant::now();
    let mut selector = learned_selector(|n, _| if n < 3 { 2.5 } else { 1.0 }, 40, &mut now);
    selector.speeds_mut().refresh_if_due(now);
    let mut at_slow = 0;
    for seed in 0..300 {
        let request = SelectionRequest {
            pool: "llm".into(),
            prompt: vec![part("own", 1000)],
            seed,
            ..SelectionRequest::default()
        };
        let selected = selector.select(&request, now + ms(2000)).unwrap();
        at_slow += u32::from(["s0", "s1", "s2"].contains(&&*selected.id));
    }
    // In proportion to their speeds, three of twelve would get 35.
    assert!((10..75).contains(&at_slow), "{at_slow}");
}

/// Guards against the long prompts that hold up a server while it is slow.
#[test]
fn select_long_prompt_avoids_server_that_is_slow_now() {
    let now = Instant::now();
    let mut selector = selector();
    for n in 0..COUNT - 1 {
        let percent = Some(250);
        let report = LoadReport {
            running: 1,
            waiting: 0,
            slots: 16,
            percent,
        };
        selector.record_load(&format!("s{n}"), report, now);
    }
    let request = SelectionRequest {
        pool: "llm".into(),
        prompt: vec![part("own", 3000)],
        ..SelectionRequest::default()
    };
    let selected = selector.select(&request, now).unwrap();
    assert_eq!(*selected.id, *format!("s{}", COUNT - 1));
}

/// Guards against prompts that are read again at another server after each measurement.
#[test]
fn select_homes_of_prefixes_stay_while_measurements_vary() {
    let mut now = Instant::now();
    let rng = RefCell::new(StdRng::seed_from_u64(1));
    let noise = |n: usize, _| {
        let lasting = if n.is_multiple_of(3) { 0.6 } else { 1.4 };
        lasting * rng.borrow_mut().random_range(0.7..1.4)
    };
    let mut selector = learned_selector(noise, 60, &mut now);
    let first = homes(&selector, now);
    let mut moved = BTreeSet::new();
    for _ in 0..30 {
        now = observe_selector(&mut selector, noise, 2, now);
        let next = homes(&selector, now);
        moved.extend((0..next.len()).filter(|n| next[*n] != first[*n]));
    }
    // One step of the weight of one fast server moves about 7 of 300, and may come once.
    assert!(moved.len() <= 9, "{moved:?}");
    let at_fast = first
        .iter()
        .filter(|id| ["s0", "s3", "s6", "s9"].contains(&&***id));
    // 4 of 12 servers with about 2.3 times the speed.
    let share = at_fast.count() as f64 / first.len() as f64;
    assert!((0.4..0.7).contains(&share), "{share}");
}

/// Guards against one instance's wrong view that all take over.
#[test]
fn receive_opposite_views_cancel_out() {
    let mut now = Instant::now();
    let mut owner = speeds();
    let mut links: [SpeedLink; 2] = Default::default();
    let mut views = [learned(4, 2.5, &mut now), learned(4, 0.4, &mut now)];
    for _ in 0..20 {
        for (view, link) in views.iter_mut().zip(&mut links) {
            now += ms(500);
            observe(view, 0, &mut now, |_, _| 1.0);
            if let Some(digest) = view.samples(link, now) {
                owner.receive(&digest, now);
            }
        }
    }
    now += ms(1000);
    owner.refresh_if_due(now);
    let slowness = owner.slowness("s4", now);
    assert!((0.6..1.7).contains(&slowness), "{slowness}");
}

#[test]
fn receive_snapshot_lets_restarted_instance_begin_with_what_others_know() {
    let mut now = Instant::now();
    let known = learned(4, 2.5, &mut now);
    let mut restarted = speeds();
    restarted.receive(&known.snapshot(now).unwrap(), now);
    let slowness = restarted.slowness("s4", now);
    assert!(slowness > 2.0, "{slowness}");
}

/// Guards against a slow moment that only the instance knows which saw the response.
#[test]
fn receive_slow_figure_reaches_other_instances_by_the_owner() {
    let now = Instant::now();
    let (mut sender, mut owner, mut other) = (speeds(), speeds(), speeds());
    sender.record_figure("s7", 250, now);
    let digest = sender
        .samples(&mut SpeedLink::default(), now + ms(50))
        .unwrap();
    owner.receive(&digest, now + ms(60));
    let digest = owner
        .estimates(&mut SpeedLink::default(), now + ms(100))
        .unwrap();
    other.receive(&digest, now + ms(110));
    assert!(other.slowness("s7", now + ms(120)) > 2.2);
    assert!(
        other
            .samples(&mut SpeedLink::default(), now + ms(130))
            .is_none()
    );
}

/// Guards against more bytes between instances than a link may carry, however many jobs there are.
#[test]
fn estimates_stay_within_the_bytes_of_a_link() {
    let mut now = Instant::now();
    let mut owner = speeds();
    observe(&mut owner, 40, &mut now, |n, _| 1.0 + n as f64 / 4.0);
    let (mut link, mut bytes) = (SpeedLink::default(), 0);
    for step in 0..10_000 {
        now += ms(1);
        owner.record_figure(&format!("s{}", step % COUNT), 250, now);
        let digest = owner.estimates(&mut link, now);
        bytes += digest.map_or(0, |digest| digest.encoded_bytes());
    }
    assert!((2000..=4200).contains(&bytes), "{bytes}");
}

/// Guards against the end of the process by what other instances send.
#[test]
fn receive_any_entry_keeps_slowness_in_range() {
    let mut now = Instant::now();
    let mut speeds = learned(4, 2.5, &mut now);
    let mut digest = speeds.snapshot(now).unwrap();
    for kind in [DigestKind::Samples, DigestKind::Estimates] {
        for extreme in [i8::MIN, i8::MAX] {
            for entry in &mut digest.entries {
                (entry.value, entry.figure) = (extreme, extreme);
                (entry.weight, entry.age) = (u8::MAX, u8::MAX);
            }
            digest.kind = kind;
            now += ms(2000);
            speeds.receive(&digest, now);
            let slowness = speeds.slowness("s4", now);
            assert!((0.1..20.0).contains(&slowness), "{slowness}");
        }
    }
}

/// The forecast of jobs keeps its constant until servers are known to differ.
#[test]
fn run_time_follows_the_servers_that_may_run_the_request() {
    let mut now = Instant::now();
    let request = SelectionRequest {
        pool: "llm".into(),
        prompt: vec![part("own", 5000)],
        ..SelectionRequest::default()
    };
    let equal = learned_selector(|_, _| 1.0, 40, &mut now);
    assert_eq!(equal.run_time(&request, None, now), None);
    let unequal = learned_selector(|n, _| if n < 6 { 2.0 } else { 0.7 }, 40, &mut now);
    let likely = |id: &str| selected(id, 5000);
    let at = |likely: Option<&SelectedServer>| unequal.run_time(&request, likely, now).unwrap();
    let (slow, any, fast) = (at(Some(&likely("s1"))), at(None), at(Some(&likely("s8"))));
    assert!(slow > any && any > fast, "{slow:?} {any:?} {fast:?}");
}

fn part(id: &str, tokens: u32) -> PromptPart {
    let id = id.into();
    PromptPart { id, tokens }
}

fn selected(id: &str, uncached_tokens: u32) -> SelectedServer {
    SelectedServer {
        id: id.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "d".into(),
        version: None,
        is_cold: false,
        uncached_tokens,
    }
}

fn selector() -> ServerSelector {
    let mut selector = ServerSelector::new("d".into());
    selector.set_servers((0..COUNT).map(|n| server(n, 1)).collect());
    selector
}

fn observe_selector(
    selector: &mut ServerSelector,
    slowness: impl Fn(usize, u32) -> f64,
    rounds: u32,
    mut now: Instant,
) -> Instant {
    observe(selector.speeds_mut(), rounds, &mut now, slowness);
    now
}

fn learned_selector(
    slowness: impl Fn(usize, u32) -> f64,
    rounds: u32,
    now: &mut Instant,
) -> ServerSelector {
    let mut selector = selector();
    *now = observe_selector(&mut selector, slowness, rounds, *now);
    selector
}

/// Servers that are preferred for each of many prefixes.
fn homes(selector: &ServerSelector, now: Instant) -> Vec<Name> {
    let homes = (0..300).map(|n| {
        let request = SelectionRequest {
            pool: "llm".into(),
            prompt: vec![part(&format!("p{n}"), 5000), part("own", 100)],
            ..SelectionRequest::default()
        };
        selector.select(&request, now).unwrap().id
    });
    homes.collect()
}
