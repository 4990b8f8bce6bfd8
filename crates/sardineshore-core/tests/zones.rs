//! When work leaves its failure domain, and how much.
//!
//! The bounds come from callers: with a target of 1.1 s and calls of 0.3 s, a job bears a queue of
//! 0.4 s in a cell; and each job that leaves without need moves bytes that operators pay for.

#[path = "zones/replay.rs"]
mod replay;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use replay::{Load, Outcome, run};
use sardineshore_core::flow::config::{Name, Server};
use sardineshore_core::flow::selection::{
    LoadReport, PromptPart, SelectedServer, SelectionRequest, ServerSelector,
};
use sardineshore_core::flow::zones::{
    CAPACITY_UNIT, CellFigures, DemandMeter, DomainLoad, MAX_FIGURE_AGE, PoolFigures, RoundTrips,
    SendIntervals, SpillRequest, Spillover, SpilloverPrices, plan_flows,
};

/// Share of all jobs that may leave beyond the optimum, which knows the load in advance.
const SURPLUS: f64 = 0.025;
/// Numbers of instances, with more and with less than a job per second each.
const SIZES: [usize; 3] = [3, 30, 300];

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Demand of a cell that swings by 0.55 in 17 s, as a share of its capacity.
fn wave(phase: f64, t: f64) -> f64 {
    0.75 * (1.0 + 0.55 * (std::f64::consts::TAU * (t / 17.0 + phase)).sin())
}

#[track_caller]
fn assert_bounds(outcome: &Outcome, over: f64) {
    assert!(outcome.left <= outcome.needed + SURPLUS, "{outcome:?}");
    assert!(outcome.over <= over, "{outcome:?}");
}

#[test]
fn choose_waves_out_of_phase_are_evened_out() {
    for instances in SIZES {
        let three = Load {
            instances,
            demand: |cell, t| wave(cell as f64 / 3.0, t),
            ..Load::default()
        };
        assert_bounds(&run(&three), 0.02);
        let four = Load {
            instances,
            cells: 4,
            demand: |cell, t| wave(cell as f64 / 4.0, t),
            ..Load::default()
        };
        assert_bounds(&run(&four), 0.02);
    }
}

/// Guards against a domain with half its servers whose jobs all wait there, or all go to one other.
#[test]
fn choose_half_the_servers_leave_only_the_excess() {
    for instances in SIZES {
        let outcome = run(&Load {
            instances,
            demand: |_, _| 0.75,
            capacity: |cell, t| if cell == 0 && t > 6.0 { 0.5 } else { 1.0 },
            ..Load::default()
        });
        assert_bounds(&outcome, 0.05);
        let (one, other) = (outcome.received[1], outcome.received[2]);
        assert!(one.min(other) * 2 > one.max(other), "{outcome:?}");
    }
}

/// Guards against shares that swing around the needed one, or that follow a step late: the figures
/// are up to 0.6 s old and average 0.6 s.
#[test]
fn choose_step_settles_without_oscillation() {
    for instances in SIZES {
        let outcome = run(&Load {
            instances,
            demand: |cell, t| match cell {
                0 if (15.0..30.0).contains(&t) => 1.4,
                _ => 0.6,
            },
            ..Load::default()
        });
        assert_bounds(&outcome, 0.03);
        assert!(outcome.longest < ms(600), "{outcome:?}");
        // Of a capacity of 1, 0.4 has to leave.
        let by_second = &outcome.left_by_second;
        let settled = |left: &f64| (0.2..=0.75).contains(left);
        assert!(by_second[18..30].iter().all(settled), "{outcome:?}");
        let mut low = by_second[..15].iter().chain(&by_second[32..]);
        assert!(low.all(|left| *left <= 0.02), "{outcome:?}");
    }
}

/// Guards against jobs that cross domains though there is room at home, to wait elsewhere, or without
/// figures.
#[test]
fn choose_no_gain_nothing_leaves() {
    let room_at_home = Load {
        demand: |cell, _| if cell == 0 { 0.85 } else { 0.3 },
        ..Load::default()
    };
    let overload_everywhere = Load {
        demand: |_, _| 1.2,
        ..Load::default()
    };
    let no_figures = Load {
        demand: |cell, t| wave(cell as f64 / 3.0, t),
        loss: 1.0,
        ..Load::default()
    };
    for (load, most) in [
        (room_at_home, 0.01),
        (overload_everywhere, 0.01),
        (no_figures, 0.0),
    ] {
        let outcome = run(&load);
        assert!(outcome.left <= most, "{outcome:?}");
    }
}

/// Late and lost figures cost time in queues, and some jobs leave after the excess has ended. They
/// never make it worse than without figures.
#[test]
fn choose_late_and_lost_figures_cost_little() {
    for instances in SIZES {
        let load = |delay, loss| Load {
            instances,
            loss,
            delay: ms(delay),
            demand: |cell, t| wave(cell as f64 / 3.0, t),
            ..Load::default()
        };
        let without = run(&load(0, 1.0)).over;
        for (delay, loss, over) in [(500, 0.0, 0.1), (0, 0.5, 0.08), (300, 0.9, without)] {
            assert_bounds(&run(&load(delay, loss)), over);
        }
    }
}

/// A cell that claims to be idle gets no more than the others' excess.
#[test]
fn choose_wrong_figures_attract_only_the_excess() {
    let outcome = run(&Load {
        demand: |cell, _| [1.2, 0.9, 0.6][cell],
        falsify: |figures| {
            if *figures.cell == *"z1" {
                figures.queue_ms = 0;
                figures.capacity *= 3;
                figures.demand.clear();
            }
        },
        ..Load::default()
    });
    // 0.2 of a demand of 2.7 has to leave.
    assert!(outcome.left < 0.2 / 2.7 * 1.6, "{outcome:?}");
}

/// A cell that leaves the list, as its domain is evacuated or lost, gets no jobs (the replay asserts
/// that); the others go on.
#[test]
fn choose_cell_not_in_the_list_gets_nothing() {
    let outcome = run(&Load {
        demand: |cell, t| match (cell, t > 20.0) {
            (0, _) => 1.2,
            (1, false) => 0.4,
            (1, true) => 0.0,
            _ => 0.5,
        },
        listed: |cell, t| cell != 1 || t <= 20.0,
        ..Load::default()
    });
    assert_bounds(&outcome, 0.05);
}

fn figures(cell: &str, age: u64, queue: u32, demand: u32) -> CellFigures {
    CellFigures {
        cell: cell.into(),
        age_ms: u32::try_from(age).unwrap(),
        queue_ms: queue,
        capacity: 1000,
        demand: vec![(cell.into(), demand)],
    }
}

/// A cell `x` over its capacity, and `y` and `z` with room, `z` with twice as much.
fn overloaded(prices: SpilloverPrices, now: Instant) -> Spillover {
    let mut spillover = Spillover::new("x".into(), prices);
    spillover.record(figures("x", 0, 200, 1200), now);
    spillover.record(figures("y", 0, 0, 630), now);
    spillover.record(figures("z", 0, 0, 330), now);
    spillover
}

/// Shares of 2,000 jobs with home `x` that go to each cell.
fn shares(spillover: &mut Spillover, stay: Duration, bytes: u64, at: Instant) -> [f64; 3] {
    let cells: Vec<Name> = ["x", "y", "z"].map(Name::from).to_vec();
    let mut counts = [0.0; 3];
    for number in 0..2000 {
        let request = SpillRequest {
            hash_key: &format!("r{number}"),
            home: &"x".into(),
            stay_value: stay,
            bytes,
        };
        let chosen = spillover.choose(&request, &cells, at);
        let chosen = chosen.unwrap_or_else(|| "x".into());
        let index = cells.iter().position(|cell| *cell == chosen).unwrap();
        counts[index] += 1.0 / 2000.0;
    }
    counts
}

#[test]
fn choose_jobs_that_leave_are_divided_by_room() {
    let now = Instant::now();
    let mut spillover = overloaded(SpilloverPrices::default(), now);
    let [home, near, far] = shares(&mut spillover, Duration::ZERO, 0, now);
    assert!((0.6..0.9).contains(&home), "{home}");
    assert!((1.5..2.7).contains(&(far / near)), "{far} {near}");
}

/// The preference for a domain is a cost in time: jobs that lose more than they gain stay.
#[test]
fn choose_inputs_and_prices_keep_jobs_at_home() {
    let now = Instant::now();
    let free = SpilloverPrices::default();
    for (stay, stays) in [(ms(94), false), (ms(600), true)] {
        let [home, ..] = shares(&mut overloaded(free, now), stay, 0, now);
        assert_eq!(home > 0.999, stays, "{stay:?}: {home}");
    }
    let priced = SpilloverPrices {
        per_gigabyte: 0.02,
        per_late_second: 0.0001,
    };
    for (bytes, stays) in [(10_000, false), (3_750_000, true)] {
        let [home, ..] = shares(&mut overloaded(priced, now), ms(0), bytes, now);
        assert_eq!(home > 0.999, stays, "{bytes}: {home}");
    }
}

#[test]
fn choose_silent_figures_are_believed_for_two_seconds() {
    let now = Instant::now();
    let mut spillover = overloaded(SpilloverPrices::default(), now);
    let [home, ..] = shares(&mut spillover, ms(0), 0, now + ms(1900));
    assert!(home < 0.9, "{home}");
    let [home, ..] = shares(&mut spillover, ms(0), 0, now + MAX_FIGURE_AGE);
    assert!(home > 0.999, "{home}");
}

/// Guards against refused jobs that all go to the same cell, or to one without room.
#[test]
fn with_room_refused_jobs_are_divided_by_room() {
    let now = Instant::now();
    let mut spillover = overloaded(SpilloverPrices::default(), now);
    let cells: Vec<Name> = ["x", "y", "z"].map(Name::from).to_vec();
    let mut counts: BTreeMap<Name, u32> = BTreeMap::new();
    for number in 0..900 {
        let key = format!("r{number}");
        let chosen = spillover.with_room(&"x".into(), &key, &cells, now);
        *counts.entry(chosen.unwrap()).or_default() += 1;
    }
    assert!(counts[&Name::from("z")] > 500, "{counts:?}");
    assert!(counts[&Name::from("y")] > 200, "{counts:?}");
    let later = now + ms(100);
    spillover.record(figures("y", 0, 0, 1000), later);
    spillover.record(figures("z", 0, 900, 900), later);
    assert_eq!(spillover.with_room(&"x".into(), "r", &cells, later), None);
}

/// Guards against old figures that come back over other instances and replace newer ones, or never
/// grow old.
#[test]
fn record_old_figures_do_not_replace_newer_ones() {
    let now = Instant::now();
    let mut spillover = Spillover::new("x".into(), SpilloverPrices::default());
    spillover.record(figures("x", 100, 10, 0), now);
    spillover.record(figures("x", 110, 99, 0), now);
    spillover.record(figures("x", 95, 99, 0), now);
    let mut sent = BTreeMap::new();
    let intervals = SendIntervals {
        own: ms(250),
        other: ms(1000),
    };
    let passed_on = spillover.due_figures(&mut sent, intervals, now + ms(300));
    assert_eq!(passed_on, [figures("x", 400, 10, 0)]);
    spillover.record(figures("x", 0, 20, 0), now + ms(400));
    let again = spillover.due_figures(&mut sent, intervals, now + ms(400));
    assert!(again.is_empty(), "{again:?}");
    spillover.record_own(figures("x", 0, 30, 0), now + ms(500));
    let own = spillover.due_figures(&mut sent, intervals, now + ms(500));
    assert_eq!(own, [figures("x", 0, 30, 0)]);
}

#[test]
fn round_trips_shortest_counts_until_it_is_old() {
    let now = Instant::now();
    let mut round_trips = RoundTrips::default();
    let domain = Name::from("y");
    for (at, sample) in [(0, 40), (1, 3), (2, 60), (3, 2000)] {
        round_trips.record(&domain, ms(sample), now + Duration::from_secs(at));
    }
    assert_eq!(round_trips.to("y"), Some(ms(3)));
    for at in [5, 10, 15] {
        round_trips.record(&domain, ms(9), now + Duration::from_secs(at));
    }
    assert_eq!(round_trips.to("y"), Some(ms(9)));
    assert_eq!(round_trips.to("z"), None);
}

/// Guards against jobs that leave because their pieces take less time than the pool's usual ones, and
/// against refusals that look as if the cell kept up.
#[test]
fn figures_cell_that_keeps_up_has_the_capacity_for_it() {
    let now = Instant::now();
    let (cell, pool) = (Name::from("x"), Name::from("pool"));
    for (queue, refused, expected) in [(0, 0, 2.0), (200, 0, 1.0), (0, 1, 1.0)] {
        let mut meter = DemandMeter::new(now);
        for step in 0..400 {
            let at = now + ms(10) * step;
            meter.record(&cell, &pool, 2, at);
            meter.record_refused(&pool, refused, at);
        }
        let figures = PoolFigures {
            queue: ms(queue),
            rate: 100.0,
            nominal: 1000.0,
        };
        let measured = meter.figures(&cell, [(&pool, figures)].into_iter(), now + ms(4000));
        let measured = measured.unwrap();
        let capacity = f64::from(measured.capacity) / CAPACITY_UNIT * 10.0;
        assert!(
            (capacity - expected).abs() < 0.05,
            "{queue} {refused}: {capacity}"
        );
        assert!(measured.demand[0].1 > 190_000, "{measured:?}");
    }
}

/// A selector in `d0` with six servers in each of three domains, `d1` nearer than `d2`; the servers
/// of each domain report these running requests of 16.
fn selector(running: [u32; 3], now: Instant) -> ServerSelector {
    let mut selector = ServerSelector::new("d0".into());
    let mut servers = Vec::new();
    for number in 0..18 {
        servers.push(Server {
            id: format!("s{number}").into(),
            pool: "llm".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            domain: format!("d{}", number % 3).into(),
            version: None,
            slots: 16,
            ready: true,
            started_ms: 1,
            cold_remaining: None,
        });
    }
    selector.set_servers(servers);
    for number in 0..18 {
        let report = LoadReport {
            running: running[number % 3],
            waiting: 0,
            slots: 16,
            percent: None,
        };
        selector.record_load(&format!("s{number}"), report, now);
    }
    let mut round_trips = RoundTrips::default();
    for (domain, time) in [("d0", 1), ("d1", 2), ("d2", 10)] {
        round_trips.record(&domain.into(), ms(time), now);
    }
    selector.set_round_trips(round_trips);
    selector
}

/// Domains of 600 requests that are alike but for their seed.
fn selected(
    selector: &ServerSelector,
    request: &SelectionRequest,
    now: Instant,
) -> BTreeMap<Name, u32> {
    let mut domains = BTreeMap::new();
    for seed in 0..600 {
        let request = SelectionRequest {
            pool: "llm".into(),
            seed,
            ..request.clone()
        };
        let server: SelectedServer = selector.select(&request, now).unwrap();
        *domains.entry(server.domain).or_default() += 1;
    }
    domains
}

/// Guards against requests that leave because a round trip below the spreading cost was measured.
#[test]
fn select_room_at_home_no_request_leaves() {
    let now = Instant::now();
    let request = SelectionRequest::default();
    let domains = selected(&selector([11, 11, 11], now), &request, now);
    assert_eq!(domains.get("d0"), Some(&600), "{domains:?}");
}

/// Guards against all instances that leave a full domain at once, and for the same other one, or for
/// one that has no room either.
#[test]
fn select_full_home_sends_the_excess_away() {
    let now = Instant::now();
    let prompt = PromptPart {
        id: "own".into(),
        tokens: 500,
    };
    for prompt in [vec![], vec![prompt]] {
        let request = SelectionRequest {
            prompt,
            ..SelectionRequest::default()
        };
        // Of 16, 13.6 should stay; 8 and 8 have room.
        let domains = selected(&selector([16, 8, 8], now), &request, now);
        let left = 600 - domains["d0"];
        assert!((60..130).contains(&left), "{domains:?}");
        assert!(domains["d2"] * 4 > domains["d1"], "{domains:?}");
        let uneven = selected(&selector([16, 8, 15], now), &request, now);
        assert!(!uneven.contains_key("d2"), "{uneven:?}");
        let none = selected(&selector([16, 15, 15], now), &request, now);
        assert_eq!(none.get("d0"), Some(&600), "{none:?}");
    }
}

/// Large inputs keep their domain also if the instance's own one is full or empty.
#[test]
fn select_inputs_keep_their_domain() {
    let now = Instant::now();
    let request = SelectionRequest {
        input_bytes: vec![("d1".into(), 3_000_000)],
        ..SelectionRequest::default()
    };
    for home in [4, 16] {
        let domains = selected(&selector([home, 8, 8], now), &request, now);
        assert_eq!(domains.get("d1"), Some(&600), "{domains:?}");
    }
}

proptest! {
    #[test]
    fn plan_flows_stay_within_demand_and_room(
        loads in proptest::collection::vec((0.0..2.0_f64, 0.0..2.0_f64, 0_u64..20_000, 0_u64..2000), 1..6),
        crossing in 0_u64..200,
    ) {
        let loads: Vec<DomainLoad> = loads
            .into_iter()
            .map(|(capacity, demand, queue, age)| DomainLoad {
                capacity,
                demand,
                queue: ms(queue),
                age: ms(age),
            })
            .collect();
        let flows = plan_flows(&loads, |_, _| ms(crossing));
        for (index, load) in loads.iter().enumerate() {
            let leaving: f64 = flows[index].iter().sum();
            let arriving: f64 = flows.iter().map(|row| row[index]).sum();
            prop_assert!(leaving <= load.demand + 1e-9, "{flows:?}");
            prop_assert!(arriving <= load.room() + 1e-9, "{flows:?}");
            prop_assert!(flows[index].iter().all(|flow| flow.is_finite() && *flow >= 0.0));
        }
    }
}
