//! Routes, freshness, allowance, owners and placement.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sardineshore_core::flow::cells::{
    GLOBAL_CELL, OwnerCandidate, choose_cell, domain_cells, home_cell, rank_owners,
};
use sardineshore_core::flow::config::{
    ConfigIndex, CustomerSpec, MAX_RANK, Name, Route, Server, ServingConfig, request_rank,
};
use sardineshore_core::flow::freshness::Freshness;
use sardineshore_core::flow::retry_budget::{RetryBudget, RetryBudgetConfig};
use sardineshore_core::flow::selection::{
    AttemptOutcome, LoadReport, PromptPart, SelectionRequest, ServerSelector,
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn route(host: &str, prefix: &str, name: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        ..Route::default()
    }
}

#[test]
fn route_longest_prefix_wins() {
    let index = ConfigIndex::new(ServingConfig {
        routes: vec![route("h", "/a/", "short"), route("h", "/a/b/", "long")],
        ..ServingConfig::default()
    });
    let name = |path| index.route("h", path).map(|route| route.name.to_string());
    assert_eq!(name("/a/b/c"), Some("long".into()));
    assert_eq!(name("/a/bc"), Some("short".into()));
    assert_eq!(name("/a?x=/a/b/"), None);
    assert_eq!(name("/b/"), None);
    assert!(index.route("other", "/a/").is_none());
}

#[test]
fn caller_key_that_was_taken_away_is_unknown() {
    let account = CustomerSpec {
        name: "c".into(),
        api_keys: vec!["k".into()],
        priority: Some(2),
    };
    let index = ConfigIndex::new(ServingConfig {
        customers: vec![account],
        ..ServingConfig::default()
    });
    assert_eq!(index.caller("k").unwrap().priority, Some(2));
    assert!(index.caller("old").is_none());
}

#[test]
fn request_rank_customers_go_before_routes() {
    let ranks = [
        request_rank(Some(0), 0),
        request_rank(Some(0), 1),
        request_rank(Some(1), 0),
        request_rank(Some(1), 1),
        request_rank(Some(1), 2),
        request_rank(Some(2), 0),
    ];
    assert!(ranks.windows(2).all(|pair| pair[0] < pair[1]), "{ranks:?}");
    assert!(request_rank(None, 0) < request_rank(None, 1));
    assert_eq!(request_rank(Some(1000), 1000), MAX_RANK);
}

#[test]
fn freshness_dates_a_long_wait_by_its_answer() {
    let mut freshness = Freshness::default();
    assert!(!freshness.within(ms(0), ms(5000)));
    freshness.record(ms(1000), ms(1010), 501_000);
    // Waited for two seconds: the proof is as old as the answer, not as the question.
    freshness.record(ms(1010), ms(3020), 503_010);
    let age = freshness.age(ms(3020)).unwrap();
    assert!(age <= ms(20), "{age:?}");
}

#[test]
fn freshness_of_a_clock_that_started_anew_is_that_of_the_question() {
    let mut freshness = Freshness::default();
    freshness.record(ms(1000), ms(1010), 501_000);
    freshness.record(ms(4000), ms(4500), 20);
    assert_eq!(freshness.age(ms(4500)), Some(ms(500)));
}

#[test]
fn allowance_of_all_instances_holds_the_bound() {
    let config = RetryBudgetConfig {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 50.0,
    };
    let pool = Name::from("p");
    let now = Instant::now();
    let mut taken = 0;
    for _ in 0..9 {
        let mut budget = RetryBudget::new(config);
        for _ in 0..20 {
            budget.record_first_send(&pool, now);
        }
        taken += (0..1000)
            .filter(|_| budget.try_acquire(&pool, 9, now))
            .count();
    }
    assert!(taken as f64 <= 0.2 * 180.0 + 50.0, "{taken}");
    assert!(taken > 20, "{taken}");
}

fn candidate(name: &str, domain: &str, weight: f64) -> OwnerCandidate {
    OwnerCandidate {
        name: name.into(),
        domain: domain.into(),
        weight,
    }
}

#[test]
fn owner_of_a_domain_cell_is_in_that_domain() {
    let candidates = [
        candidate("a", "east", 0.5),
        candidate("b", "west", 0.1),
        candidate("c", "west", 0.1),
    ];
    let ranked = rank_owners("west", &candidates);
    assert_ne!(&*ranked[0], "a");
    assert_eq!(ranked.len(), 3);
}

#[test]
fn owner_order_of_the_others_stays_when_one_leaves() {
    let all: Vec<OwnerCandidate> = (0..9)
        .map(|n| candidate(&format!("n{n}"), "d", 1.0))
        .collect();
    let before = rank_owners(GLOBAL_CELL, &all);
    let rest: Vec<OwnerCandidate> = all.into_iter().filter(|c| c.name != before[0]).collect();
    assert_eq!(rank_owners(GLOBAL_CELL, &rest), before[1..]);
}

#[test]
fn cells_need_servers_of_every_pool_in_every_domain() {
    let pool = |domains: &[&str]| domains.iter().map(|d| Name::from(*d)).collect::<Vec<_>>();
    let mut pools: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
    pools.insert("p".into(), pool(&["x", "x", "y", "y"]));
    pools.insert("q".into(), pool(&["x", "y", "y"]));
    assert!(domain_cells(&pools).is_empty());
    pools.insert("q".into(), pool(&["x", "x", "x", "y"]));
    let cells = domain_cells(&pools);
    assert_eq!(cells, [Name::from("x"), Name::from("y")]);
    assert_eq!(home_cell("r", &"y".into(), &cells), "y".into());
    assert!(cells.contains(&home_cell("r", &"elsewhere".into(), &cells)));
    assert_eq!(home_cell("r", &"y".into(), &[]), GLOBAL_CELL.into());
}

fn server(id: &str, domain: &str) -> Server {
    Server {
        id: id.into(),
        pool: "llm".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: domain.into(),
        slots: 16,
        ready: true,
        started_ms: 1,
    }
}

fn selector(count: usize) -> ServerSelector {
    let mut selector = ServerSelector::new("d0".into());
    let servers = (0..count).map(|n| server(&format!("s{n}"), &format!("d{}", n % 2)));
    selector.set_servers(servers.collect());
    selector
}

fn need(subject: &str) -> SelectionRequest {
    let part = |id: &str, tokens| PromptPart {
        id: id.into(),
        tokens,
    };
    SelectionRequest {
        pool: "llm".into(),
        prompt: vec![part("common", 2000), part(subject, 4000), part("own", 3000)],
        ..SelectionRequest::default()
    }
}

#[test]
fn placement_of_a_prefix_is_the_same_on_all_instances() {
    let now = Instant::now();
    let (mut one, other) = (selector(9), selector(9));
    let place = one.select(&need("subject"), now).unwrap();
    assert_eq!(other.select(&need("subject"), now).unwrap().id, place.id);
    assert_eq!(place.uncached_tokens, 3000);
    one.record_start(&place, &need("subject"), now);
    assert_eq!(one.select(&need("subject"), now).unwrap().id, place.id);
}

/// Load pattern: one subject gets much of the traffic.
#[test]
fn placement_of_a_hot_prefix_spreads_under_load() {
    let now = Instant::now();
    let mut selector = selector(9);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let place = selector.select(&need("hot"), now).unwrap();
        selector.record_start(&place, &need("hot"), now);
        used.insert(place.id);
    }
    assert!(used.len() > 2, "{used:?}");
}

/// Load pattern: many instances that don't see each other's sends, requests without a common
/// prompt.
#[test]
fn placement_of_equal_servers_is_spread_over_instances() {
    let now = Instant::now();
    let mut used: BTreeMap<Name, u32> = BTreeMap::new();
    for instance in 0..20 {
        let selector = selector(20);
        for request in 0..10 {
            let need = SelectionRequest {
                pool: "llm".into(),
                prompt: vec![PromptPart {
                    id: "own".into(),
                    tokens: 500,
                }],
                seed: instance * 1000 + request,
                ..SelectionRequest::default()
            };
            *used
                .entry(selector.select(&need, now).unwrap().id)
                .or_default() += 1;
        }
    }
    // Ten of the servers are in the instances' own domain: 20 requests each on average.
    assert_eq!(used.len(), 10, "{used:?}");
    assert!(used.values().all(|count| *count <= 40), "{used:?}");
}

#[test]
fn placement_leaves_a_broken_server_and_comes_back() {
    let now = Instant::now();
    let mut selector = selector(3);
    let home = selector.select(&need("s"), now).unwrap();
    selector.record_start(&home, &need("s"), now);
    selector.record_end(&home, false, AttemptOutcome::Broken, now);
    assert_ne!(selector.select(&need("s"), now).unwrap().id, home.id);
    let later = now + Duration::from_secs(5);
    assert_eq!(selector.select(&need("s"), later).unwrap().id, home.id);
}

#[test]
fn placement_never_takes_a_leaving_server() {
    let now = Instant::now();
    let mut selector = selector(2);
    let mut leaving = server("s0", "d0");
    leaving.ready = false;
    selector.set_servers(vec![leaving.clone(), server("s1", "d1")]);
    for n in 0..20 {
        let place = selector.select(&need(&format!("s{n}")), now).unwrap();
        assert_eq!(&*place.id, "s1");
    }
    selector.set_servers(vec![leaving]);
    assert!(selector.select(&need("s"), now).is_none());
}

#[test]
fn placement_follows_heavy_inputs_for_a_short_prompt() {
    let now = Instant::now();
    let selector = selector(6);
    let mut need = SelectionRequest {
        pool: "llm".into(),
        ..SelectionRequest::default()
    };
    for domain in ["d0", "d1"] {
        need.input_bytes = vec![(domain.into(), 3_000_000)];
        assert_eq!(&*selector.select(&need, now).unwrap().domain, domain);
    }
}

#[test]
fn placement_counts_what_a_server_reports() {
    let now = Instant::now();
    let mut selector = selector(2);
    let need = SelectionRequest {
        pool: "llm".into(),
        ..SelectionRequest::default()
    };
    let report = LoadReport {
        running: 16,
        waiting: 20,
        slots: 16,
    };
    selector.record_load("s0", report, now);
    assert_eq!(&*selector.select(&need, now).unwrap().id, "s1");
}

/// Load pattern: the servers of one failure domain are lost while requests go on.
#[test]
fn cell_with_a_long_backlog_is_passed_over() {
    let cells: Vec<Name> = ["x", "y", "z"].map(Name::from).to_vec();
    let backlog = |cell: &str| ms(if cell == "x" { 900 } else { 100 });
    for number in 0..50 {
        let request = format!("r{number}");
        assert_ne!(&*choose_cell(&request, &"x".into(), &cells, backlog), "x");
        assert_ne!(&*choose_cell(&request, &"".into(), &cells, backlog), "x");
        assert_eq!(&*choose_cell(&request, &"y".into(), &cells, backlog), "y");
    }
}
