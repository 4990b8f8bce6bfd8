//! Configuration look-ups, freshness, retry budget, cells and server selection.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use sardineshore_core::flow::cells::{
    GLOBAL_CELL, OwnerCandidate, choose_cell, domain_cells, home_cell, rank_across_domains,
    rank_owners,
};
use sardineshore_core::flow::config::{
    ConfigIndex, CustomerSpec, MAX_RANK, Name, Route, Server, ServingConfig, request_rank,
};
use sardineshore_core::flow::freshness::Freshness;
use sardineshore_core::flow::retry_budget::{RetryBudget, RetryBudgetConfig};
use sardineshore_core::flow::selection::{
    AttemptOutcome, LoadReport, PromptPart, SelectedServer, SelectionRequest, ServerSelector,
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
fn caller_revoked_key_is_unknown() {
    let customer = CustomerSpec {
        name: "c".into(),
        api_keys: vec!["k".into()],
        priority: Some(2),
    };
    let index = ConfigIndex::new(ServingConfig {
        customers: Some(vec![customer]),
        ..ServingConfig::default()
    });
    assert_eq!(index.caller("k").unwrap().priority, Some(2));
    assert!(index.caller("old").is_none());
}

#[test]
fn request_rank_customer_decides_before_route() {
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
fn age_long_poll_counts_from_the_response() {
    let mut freshness = Freshness::default();
    assert!(!freshness.within(ms(0), ms(5000)));
    freshness.record(ms(1000), ms(1010), 501_000);
    // A long poll of 2 s: the confirmation dates from the response, not from the request.
    freshness.record(ms(1010), ms(3020), 503_010);
    let age = freshness.age(ms(3020)).unwrap();
    assert!(age <= ms(20), "{age:?}");
}

#[test]
fn age_restarted_store_clock_counts_from_the_request() {
    let mut freshness = Freshness::default();
    freshness.record(ms(1000), ms(1010), 501_000);
    freshness.record(ms(4000), ms(4500), 20);
    assert_eq!(freshness.age(ms(4500)), Some(ms(500)));
}

/// Guards against retries that aren't counted because another one was prepared in vain.
#[test]
fn try_reserve_cancelled_retry_leaves_sent_ones_counted() {
    let config = RetryBudgetConfig {
        ratio: 0.0,
        window: Duration::from_secs(10),
        slack: 5.0,
    };
    let (pool, now) = (Name::from("p"), Instant::now());
    let mut budget = RetryBudget::new(config);
    assert!(budget.try_reserve(&pool, 1, now));
    assert!(budget.try_reserve(&pool, 1, now));
    let later = now + Duration::from_secs(2);
    budget.use_reserved(&pool, later);
    budget.cancel_reserved(&pool);
    // The sent one counts for the whole window after it was sent.
    let in_window = now + Duration::from_secs(11);
    assert!(budget.try_reserve(&pool, 1, in_window));
    assert!(budget.try_reserve(&pool, 1, in_window));
    assert!(!budget.try_reserve(&pool, 1, in_window));
}

#[test]
fn try_reserve_all_instances_stay_within_the_budget() {
    let config = RetryBudgetConfig {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack: 50.0,
    };
    let pool = Name::from("p");
    let now = Instant::now();
    let mut granted = 0;
    for _ in 0..9 {
        let mut budget = RetryBudget::new(config);
        for _ in 0..20 {
            budget.record_first_send(&pool, now);
        }
        granted += (0..1000)
            .filter(|_| {
                let reserved = budget.try_reserve(&pool, 9, now);
                if reserved {
                    budget.use_reserved(&pool, now);
                }
                reserved
            })
            .count();
    }
    assert!(granted as f64 <= 0.2 * 180.0 + 50.0, "{granted}");
    assert!(granted > 20, "{granted}");
}

fn candidate(name: &str, domain: &str, weight: f64) -> OwnerCandidate {
    OwnerCandidate {
        name: name.into(),
        domain: domain.into(),
        weight,
    }
}

#[test]
fn rank_owners_domain_cell_is_owned_in_its_domain() {
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
fn rank_owners_order_stays_when_the_owner_leaves() {
    let all: Vec<OwnerCandidate> = (0..9)
        .map(|n| candidate(&format!("n{n}"), "d", 1.0))
        .collect();
    let before = rank_owners(GLOBAL_CELL, &all);
    let rest: Vec<OwnerCandidate> = all.into_iter().filter(|c| c.name != before[0]).collect();
    assert_eq!(rank_owners(GLOBAL_CELL, &rest), before[1..]);
}

#[test]
fn domain_cells_need_enough_servers_of_every_pool() {
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
        version: None,
        slots: 16,
        ready: true,
        started_ms: 1,
        cold_remaining: None,
    }
}

fn selector(count: usize) -> ServerSelector {
    let mut selector = ServerSelector::new("d0".into());
    let servers = (0..count).map(|n| server(&format!("s{n}"), &format!("d{}", n % 2)));
    selector.set_servers(servers.collect());
    selector
}

fn request_for(subject: &str) -> SelectionRequest {
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
fn select_prefix_same_server_on_all_instances() {
    let now = Instant::now();
    let (mut one, other) = (selector(9), selector(9));
    let selected = one.select(&request_for("subject"), now).unwrap();
    assert_eq!(
        other.select(&request_for("subject"), now).unwrap().id,
        selected.id
    );
    assert_eq!(selected.uncached_tokens, 3000);
    one.record_start(&selected, &request_for("subject"), now);
    assert_eq!(
        one.select(&request_for("subject"), now).unwrap().id,
        selected.id
    );
}

/// Load pattern: many requests share one prompt prefix. Prefix affinity alone would overload the
/// preferred server.
#[test]
fn select_hot_prefix_spreads_under_load() {
    let now = Instant::now();
    let mut selector = selector(9);
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let selected = selector.select(&request_for("hot"), now).unwrap();
        selector.record_start(&selected, &request_for("hot"), now);
        used.insert(selected.id);
    }
    assert!(used.len() > 2, "{used:?}");
}

/// Load pattern: requests without a shared prompt, at many instances that don't see each other's
/// sends. Without a pseudo-random cost all instances would select the same server.
#[test]
fn select_equal_servers_get_similar_load() {
    let now = Instant::now();
    let mut used: BTreeMap<Name, u32> = BTreeMap::new();
    for instance in 0..20 {
        let selector = selector(20);
        for number in 0..10 {
            let request = SelectionRequest {
                pool: "llm".into(),
                prompt: vec![PromptPart {
                    id: "own".into(),
                    tokens: 500,
                }],
                seed: instance * 1000 + number,
                ..SelectionRequest::default()
            };
            *used
                .entry(selector.select(&request, now).unwrap().id)
                .or_default() += 1;
        }
    }
    // 10 of the servers are in the domain of the instances: 20 requests each on average.
    assert_eq!(used.len(), 10, "{used:?}");
    assert!(used.values().all(|count| *count <= 40), "{used:?}");
}

#[test]
fn select_broken_server_is_avoided_until_back_off_ends() {
    let now = Instant::now();
    let mut selector = selector(3);
    let first = selector.select(&request_for("s"), now).unwrap();
    selector.record_start(&first, &request_for("s"), now);
    selector.record_end(&first, false, AttemptOutcome::Broken, now);
    assert_ne!(
        selector.select(&request_for("s"), now).unwrap().id,
        first.id
    );
    let later = now + Duration::from_secs(5);
    assert_eq!(
        selector.select(&request_for("s"), later).unwrap().id,
        first.id
    );
}

/// Starts attempts at a server of a selector and breaks all of them.
fn break_attempts(selector: &mut ServerSelector, server: &SelectedServer, count: u32, at: Instant) {
    for _ in 0..count {
        selector.record_start(server, &request_for("s"), at);
    }
    for _ in 0..count {
        selector.record_end(server, false, AttemptOutcome::Broken, at);
    }
}

/// Guards against seconds without work for a sound server whose streams a short silence broke.
#[test]
fn usable_servers_one_silence_backs_off_once_for_many_attempts() {
    let now = Instant::now();
    let mut selector = selector(3);
    let silent = selector.select(&request_for("s"), now).unwrap();
    break_attempts(&mut selector, &silent, 30, now);
    assert_eq!(selector.usable_servers(&request_for("s"), now + ms(400)), 2);
    assert_eq!(selector.usable_servers(&request_for("s"), now + ms(600)), 3);
    let later = selector.select(&request_for("s"), now + ms(600)).unwrap();
    assert_eq!(later.id, silent.id);
}

/// Guards against the end of the process by numbers that servers and callers write.
#[test]
fn select_numbers_out_of_range_end_nothing() {
    let now = Instant::now();
    let mut selector = selector(2);
    let mut plain = request_for("s");
    plain.prompt.clear();
    let loaded = selector.select(&plain, now).unwrap();
    let load = LoadReport {
        running: u32::MAX,
        waiting: 0,
        slots: 8,
        percent: None,
    };
    selector.record_load(&loaded.id, load, now);
    assert_ne!(selector.select(&plain, now).unwrap().id, loaded.id);
    let mut long = request_for("s");
    for part in &mut long.prompt {
        part.tokens = u32::MAX;
    }
    assert!(selector.select(&long, now).is_some());
    assert_eq!(long.shared_tokens(), u32::MAX);
}

/// Guards against refusals while all servers of a pool, or of a version, pause.
#[test]
fn usable_servers_silent_ones_count_but_others_are_preferred() {
    let now = Instant::now();
    let mut selector = selector(3);
    let silent = selector.select(&request_for("s"), now).unwrap();
    selector.record_silence(&silent.id, now);
    assert_ne!(
        selector.select(&request_for("s"), now).unwrap().id,
        silent.id
    );
    assert_eq!(selector.usable_servers(&request_for("s"), now), 3);
    let mut only = request_for("s");
    only.tried = selector.servers().map(|s| s.id.clone()).collect();
    only.tried.retain(|id| *id != silent.id);
    assert_eq!(selector.select(&only, now).unwrap().id, silent.id);
}

#[test]
fn usable_servers_back_off_grows_while_trials_break() {
    let mut now = Instant::now();
    let mut selector = selector(3);
    let broken = selector.select(&request_for("s"), now).unwrap();
    let mut back_offs = Vec::new();
    for _ in 0..5 {
        break_attempts(&mut selector, &broken, 1, now);
        let began = now;
        while selector.usable_servers(&request_for("s"), now) < 3 {
            now += ms(100);
        }
        back_offs.push(now - began);
    }
    assert_eq!(back_offs, [500, 1000, 2000, 4000, 4000].map(ms));
}

/// Guards against a server that gets next to nothing for good, as an attempt there broke once.
#[test]
fn select_broken_server_gets_its_share_again() {
    let now = Instant::now();
    let mut selector = ServerSelector::new("d0".into());
    let servers = (0..4).map(|n| server(&format!("s{n}"), "d0"));
    selector.set_servers(servers.collect());
    let broken = selector.select(&request_for("s"), now).unwrap();
    break_attempts(&mut selector, &broken, 1, now);
    let later = now + Duration::from_secs(20);
    let mut count = 0;
    for seed in 0..100 {
        let request = SelectionRequest {
            pool: "llm".into(),
            seed,
            ..SelectionRequest::default()
        };
        let selected = selector.select(&request, later).unwrap();
        selector.record_start(&selected, &request, later);
        let answered = AttemptOutcome::Answered(ms(50));
        selector.record_end(&selected, true, answered, later);
        count += u32::from(selected.id == broken.id);
    }
    assert!(count > 5, "{count} of 100");
}

#[test]
fn select_draining_server_is_never_used() {
    let now = Instant::now();
    let mut selector = selector(2);
    let mut draining = server("s0", "d0");
    draining.ready = false;
    selector.set_servers(vec![draining.clone(), server("s1", "d1")]);
    for n in 0..20 {
        let selected = selector
            .select(&request_for(&format!("s{n}")), now)
            .unwrap();
        assert_eq!(&*selected.id, "s1");
    }
    selector.set_servers(vec![draining]);
    assert!(selector.select(&request_for("s"), now).is_none());
}

#[test]
fn select_large_inputs_decide_the_domain() {
    let now = Instant::now();
    let selector = selector(6);
    let mut request = SelectionRequest {
        pool: "llm".into(),
        ..SelectionRequest::default()
    };
    for domain in ["d0", "d1"] {
        request.input_bytes = vec![(domain.into(), 3_000_000)];
        assert_eq!(&*selector.select(&request, now).unwrap().domain, domain);
    }
}

#[test]
fn select_reported_load_counts() {
    let now = Instant::now();
    let mut selector = selector(2);
    let request = SelectionRequest {
        pool: "llm".into(),
        ..SelectionRequest::default()
    };
    let report = LoadReport {
        running: 16,
        waiting: 20,
        slots: 16,
        percent: None,
    };
    selector.record_load("s0", report, now);
    assert_eq!(&*selector.select(&request, now).unwrap().id, "s1");
}

/// Load pattern: the servers of one failure domain are lost under load, so the backlog of its cell
/// grows.
#[test]
fn choose_cell_long_backlog_is_avoided() {
    let cells: Vec<Name> = ["x", "y", "z"].map(Name::from).to_vec();
    let backlog = |cell: &str| ms(if cell == "x" { 900 } else { 100 });
    for number in 0..50 {
        let request = format!("r{number}");
        assert_ne!(&*choose_cell(&request, &"x".into(), &cells, backlog), "x");
        assert_ne!(&*choose_cell(&request, &"".into(), &cells, backlog), "x");
        assert_eq!(&*choose_cell(&request, &"y".into(), &cells, backlog), "y");
    }
}

/// Guards against copies that are all lost with one failure domain.
#[test]
fn rank_across_domains_uses_each_domain_first() {
    let candidate = |name: &str, domain: &str| OwnerCandidate {
        name: name.into(),
        domain: domain.into(),
        weight: 1.0,
    };
    let candidates: Vec<_> = (0..8)
        .map(|n| candidate(&format!("x{n}"), "x"))
        .chain([candidate("y", "y"), candidate("z", "z")])
        .collect();
    let chosen = rank_across_domains("key", &candidates, 3);
    let in_x = chosen.iter().filter(|name| name.starts_with('x')).count();
    assert_eq!((chosen.len(), in_x), (3, 1));
    let all = rank_across_domains("key", &candidates, 20);
    assert_eq!(all.len(), 10);
    assert_eq!(rank_across_domains("key", &candidates[..2], 3).len(), 2);
    assert!(rank_across_domains("key", &[], 3).is_empty());
}
