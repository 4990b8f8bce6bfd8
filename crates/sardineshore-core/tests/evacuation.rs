//! Evacuated failure domains: the rule that nothing is sent there, replayed with a store whose responses are
//! late, lost or out of order, and the gradual moves.

use std::time::{Duration, Instant};

use sardineshore_core::flow::config::{Name, Server};
use sardineshore_core::flow::evacuation::{EvacuatedDomains, earliest_write};
use sardineshore_core::flow::replica::{
    ApplyError, StoreRow, StoreVersion, TableChanges, TableReplica,
};
use sardineshore_core::flow::selection::{
    PromptPart, RequiredVersion, SelectionRequest, ServerSelector,
};
use sardineshore_core::flow::store_era::SETTLE_TIME;

/// Time after the write of a row from which on nothing may be sent to its domain.
const BOUND: Duration = Duration::from_secs(5);
/// Longest wait of a call to the store.
const WAIT: Duration = Duration::from_millis(800);
const DOMAINS: [&str; 3] = ["x", "y", "z"];

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The operators' table.
struct Store {
    version: StoreVersion,
    rows: Vec<StoreRow>,
}

impl Store {
    fn new() -> Self {
        let version = StoreVersion { era: 1, number: 1 };
        let rows = Vec::new();
        Self { version, rows }
    }

    /// Writes the row of a domain, or removes it.
    fn write(&mut self, domain: &str, is_evacuated: bool) {
        self.version.number += 1;
        self.rows.retain(|row| *row.key != *domain);
        self.rows.push(StoreRow {
            key: domain.into(),
            value: is_evacuated.then(|| (*b"{}").into()),
            version: self.version,
        });
    }

    /// All rows, or the changes after a version.
    fn read(&self, after: Option<StoreVersion>) -> TableChanges {
        let rows = self.rows.iter().filter(|row| match after {
            Some(after) => row.version > after,
            None => row.value.is_some(),
        });
        TableChanges {
            after: after.unwrap_or_default(),
            version: self.version,
            is_snapshot: after.is_none(),
            rows: rows.cloned().collect(),
            missing: Vec::new(),
        }
    }

    /// The store as it comes back from a copy.
    fn restore(&mut self, copy: &[StoreRow]) {
        let era = self.version.era + 1;
        self.version = StoreVersion { era, number: 1 };
        self.rows = copy.to_vec();
        for row in &mut self.rows {
            row.version = self.version;
        }
    }
}

/// An instance that follows the table.
struct Instance {
    replica: TableReplica,
    selector: ServerSelector,
    /// When the store produced the newest response.
    confirmed: Option<Instant>,
}

impl Instance {
    /// An instance that has just started, with a server in each domain.
    fn new() -> Self {
        let mut selector = ServerSelector::new("x".into());
        selector.set_evacuation_bound(Some(BOUND));
        selector.set_servers(DOMAINS.iter().map(|domain| server(domain)).collect());
        Self {
            replica: TableReplica::default(),
            selector,
            confirmed: None,
        }
    }

    /// Takes a response that the store produced at `produced`.
    fn receive(
        &mut self,
        changes: TableChanges,
        produced: Instant,
        now: Instant,
    ) -> Result<(), ApplyError> {
        let is_restored = (self.replica.version()).is_some_and(|v| v.era < changes.version.era);
        self.replica.apply(changes)?;
        let rows = self.replica.rows().filter(|row| row.value.is_some());
        let rows: Vec<(Name, StoreVersion)> =
            rows.map(|row| (row.key.clone(), row.version)).collect();
        if is_restored {
            (self.selector).set_restored_evacuations(&rows, now + SETTLE_TIME, now);
        } else {
            let earliest = earliest_write(self.confirmed, WAIT, now);
            self.selector.set_evacuations(&rows, earliest, now);
        }
        self.confirmed = self.confirmed.max(Some(produced));
        Ok(())
    }

    /// Reads the store without delay.
    fn sync(&mut self, store: &Store, now: Instant) {
        let known = self
            .replica
            .version()
            .filter(|v| v.era == store.version.era);
        self.receive(store.read(known), now, now).unwrap();
    }

    /// Domains to whose servers some request may go.
    fn open(&self, now: Instant) -> Vec<&str> {
        let mut open = DOMAINS.to_vec();
        open.retain(|domain| self.admitted(domain, now) > 0);
        open
    }

    /// How many of 100 requests without prompts may go to a domain.
    fn admitted(&self, domain: &str, now: Instant) -> usize {
        let admits = |seed: &u64| {
            let mut request = request(*seed);
            // The server of the domain is chosen if it may be.
            request.favored_version = Some((domain.into(), Duration::from_secs(9)));
            let selected = self.selector.select(&request, now);
            selected.is_some_and(|server| *server.domain == *domain)
        };
        (0..100).filter(admits).count()
    }
}

/// A server that is named like its domain.
fn server(domain: &str) -> Server {
    Server {
        id: domain.into(),
        pool: "p".into(),
        domain: domain.into(),
        version: Some(domain.into()),
        slots: 8,
        ready: true,
        address: ([127, 0, 0, 1], 1).into(),
        started_ms: 1,
        cold_remaining: None,
    }
}

fn request(seed: u64) -> SelectionRequest {
    SelectionRequest {
        pool: "p".into(),
        seed,
        ..SelectionRequest::default()
    }
}

/// Requests leave gradually, and none is sent when the bound has passed.
#[test]
fn replace_domain_drains_and_returns_gradually() {
    let (mut store, mut instance, t) = (Store::new(), Instance::new(), Instant::now());
    instance.sync(&store, t);
    store.write("z", true);
    instance.sync(&store, t + ms(10));
    let at = |instance: &Instance, after| instance.admitted("z", t + ms(after));
    assert!(at(&instance, 20) >= 98);
    assert!((30..70).contains(&at(&instance, 1010)));
    assert_eq!(at(&instance, 2010), 0);
    assert_eq!(instance.admitted("y", t + ms(2010)), 100);
    store.write("z", false);
    instance.sync(&store, t + ms(9000));
    assert!(at(&instance, 9100) < 15);
    assert!((30..70).contains(&at(&instance, 10_500)));
    assert_eq!(at(&instance, 12_000), 100);
}

/// Requests with one prompt prefix move at the same time, so that its tokens are cached again once.
#[test]
fn select_prompts_with_equal_prefix_leave_together() {
    let (mut store, mut instance, t) = (Store::new(), Instance::new(), Instant::now());
    instance.sync(&store, t);
    store.write("z", true);
    instance.sync(&store, t);
    for prefix in 0..20 {
        let part = |id: String| PromptPart {
            id: id.into(),
            tokens: 900,
        };
        let goes = |seed: u64| {
            let mut request = request(seed);
            request.prompt = vec![part(prefix.to_string()), part(format!("own {seed}"))];
            instance.selector.usable_servers(&request, t + ms(1000)) == 3
        };
        let first = goes(0);
        assert!((1..20).all(|seed| goes(seed) == first), "prefix {prefix}");
    }
}

/// Guards against refusals because of the gradual moves: a request for which there is no other server goes to
/// a domain that drains or returns.
#[test]
fn select_only_server_takes_all_requests_until_its_domain_is_closed() {
    let (mut store, mut instance, t) = (Store::new(), Instance::new(), Instant::now());
    instance.sync(&store, t);
    for domain in DOMAINS {
        store.write(domain, true);
    }
    instance.sync(&store, t);
    let served = |instance: &Instance, after| {
        let selects = |seed: &u64| {
            let selected = (instance.selector).select(&request(*seed), t + ms(after));
            selected.is_some()
        };
        (0..100).filter(selects).count()
    };
    assert_eq!((served(&instance, 1990), served(&instance, 2000)), (100, 0));
    store.write("z", false);
    instance.sync(&store, t + ms(5000));
    assert_eq!(served(&instance, 5010), 100);
    assert_eq!(instance.open(t + ms(5010)), ["z"]);
}

/// Guards against requests after the bound because the row arrived late or because responses were lost, and
/// against draining for 2 s from a late arrival.
#[test]
fn replace_late_row_closes_domain_within_bound_of_its_write() {
    for late in (0..4800).step_by(100) {
        let (mut store, mut instance, t) = (Store::new(), Instance::new(), Instant::now());
        instance.sync(&store, t);
        store.write("z", true);
        // All responses between the write and this one were lost.
        instance.sync(&store, t + ms(late));
        assert_eq!(instance.open(t + BOUND), ["x", "y"], "late by {late} ms");
        if late > 1000 {
            assert_eq!(instance.open(t + ms(late)), ["x", "y"], "{late} ms");
        }
    }
}

/// Guards against the drain of a small bound taking longer than the bound.
#[test]
fn begin_small_bound_shortens_drain() {
    let t = Instant::now();
    let mut domains = EvacuatedDomains::new(Some(ms(1000)));
    domains.begin(&"z".into(), StoreVersion::default(), Some(t), t);
    assert!(domains.access("z", 0.1, t + ms(300)));
    assert!(domains.is_closed("z", t + ms(600)));
    assert_eq!(domains.next_change(t), Some(t + ms(600)));
}

/// Guards against an older response that opens a domain again.
#[test]
fn replace_older_response_changes_nothing() {
    let (mut store, mut instance, t) = (Store::new(), Instance::new(), Instant::now());
    instance.sync(&store, t);
    let (older_all, known) = (store.read(None), Some(store.version));
    let older_changes = store.read(known);
    store.write("z", true);
    let newer = store.read(known);
    instance.receive(newer, t + ms(20), t + ms(30)).unwrap();
    for older in [older_all, older_changes] {
        let received = instance.receive(older, t, t + ms(40));
        assert_eq!(received, Err(ApplyError::Stale));
    }
    assert_eq!(instance.open(t + ms(2100)), ["x", "y"]);
}

/// Guards against a starting or returning instance that drains a domain which others closed long ago.
#[test]
fn replace_after_restart_or_freeze_closes_at_once() {
    let (mut store, t) = (Store::new(), Instant::now());
    let (mut frozen, mut started) = (Instance::new(), Instance::new());
    frozen.sync(&store, t);
    store.write("z", true);
    let back = t + Duration::from_secs(30);
    for instance in [&mut frozen, &mut started] {
        instance.sync(&store, back);
        assert_eq!(instance.open(back), ["x", "y"]);
        let server = instance.selector.started_ms("z", back);
        assert_eq!(server, None, "{:?}", instance.selector.evacuations());
    }
}

/// What an instance knew stays in force while it is cut off, and a removal it missed is learned afterwards.
#[test]
fn replace_cut_off_instance_keeps_rows_until_it_is_back() {
    let (mut store, mut instance, t) = (Store::new(), Instance::new(), Instant::now());
    store.write("z", true);
    instance.sync(&store, t);
    store.write("z", false);
    store.write("y", true);
    let cut = t + Duration::from_secs(600);
    assert!(
        instance
            .selector
            .update_evacuations(Some(t), cut)
            .is_empty()
    );
    assert_eq!(instance.open(cut), ["x", "y"]);
    // All rows are read, as the store has forgotten the changes.
    instance.receive(store.read(None), cut, cut).unwrap();
    assert_eq!(instance.open(cut + ms(1)), ["x"]);
    assert_eq!(instance.open(cut + ms(3000)), ["x", "z"]);
}

/// Two domains one after the other, then all but one, then all: each row acts for its own domain only.
#[test]
fn replace_several_domains_are_closed_independently() {
    let (mut store, mut instance, t) = (Store::new(), Instance::new(), Instant::now());
    let second = |n| t + Duration::from_secs(n);
    for n in 0..40 {
        match n {
            4 => store.write("z", false),
            5 | 11 => store.write("y", true),
            9 => store.write("y", false),
            1 | 12 => store.write("z", true),
            16 => store.write("x", true),
            25 => store.write("x", false),
            _ => {}
        }
        // Responses confirm the table several times a second.
        for part in 0..4 {
            instance.sync(&store, second(n) + ms(250 * part));
        }
        let open = match n {
            3 => Some(vec!["x", "y"]),
            7 | 8 => Some(vec!["x", "z"]),
            14 | 15 | 28..40 => Some(vec!["x"]),
            18..25 => Some(vec![]),
            _ => None,
        };
        let now = second(n) + ms(999);
        if let Some(open) = open {
            assert_eq!(instance.open(now), open, "second {n}");
        }
        assert!(instance.selector.update_evacuations(None, now).is_empty());
    }
}

/// Guards against a second evacuation that is taken for the first one, or whose drain begins at a higher share
/// than requests had reached.
#[test]
fn replace_same_domain_again_within_a_second() {
    let t = Instant::now();
    for is_seen in [true, false] {
        let (mut store, mut instance) = (Store::new(), Instance::new());
        instance.sync(&store, t);
        store.write("z", true);
        instance.sync(&store, t + ms(100));
        for after in (100..6000).step_by(500) {
            instance.sync(&store, t + ms(after));
        }
        store.write("z", false);
        if is_seen {
            instance.sync(&store, t + ms(6000));
        }
        store.write("z", true);
        let again = t + ms(6600);
        instance.sync(&store, again);
        let limit = if is_seen { 35 } else { 0 };
        assert!(instance.admitted("z", again) <= limit, "{is_seen}");
        assert!(instance.admitted("z", again + ms(300)) <= limit / 2 + 5);
        assert_eq!(instance.admitted("z", again + ms(500)), 0);
        assert!(
            instance
                .selector
                .evacuations()
                .is_closed("z", again + ms(500))
        );
    }
}

/// Guards against an evacuation that ends because a copy of the store lacks its row, although the operators
/// write it again, and against one in the copy that is drained again.
#[test]
fn replace_restored_keeps_rows_for_settle_time_and_takes_those_of_the_copy_at_once() {
    for is_rewritten in [true, false] {
        let (mut store, mut instance, t) = (Store::new(), Instance::new(), Instant::now());
        store.write("y", true);
        let copy = store.rows.clone();
        instance.sync(&store, t);
        store.write("y", false);
        store.write("z", true);
        instance.sync(&store, t + ms(5000));
        assert_eq!(instance.open(t + ms(9000)), ["x", "y"]);
        store.restore(&copy);
        let restored = t + ms(9000);
        instance.sync(&store, restored);
        assert_eq!(instance.open(restored), ["x"]);
        if is_rewritten {
            store.write("z", true);
        }
        let unsettled = restored + SETTLE_TIME.saturating_sub(ms(10));
        instance.sync(&store, unsettled);
        assert_eq!(instance.open(unsettled), ["x"]);
        let mut update = |confirmed, at| {
            (instance.selector).update_evacuations(Some(restored + ms(confirmed)), restored + at)
        };
        // The store may have had the row since its last response.
        assert!(update(1990, ms(60_000)).is_empty());
        let ended = update(2000, ms(60_000));
        let expected: &[Name] = if is_rewritten { &[] } else { &["z".into()] };
        assert_eq!(ended, expected);
        let is_evacuated = instance.selector.evacuations().is_evacuated("z");
        assert_eq!(is_evacuated, is_rewritten);
    }
}

/// Guards against a stream that goes on at a server of an evacuated domain because no other has its version.
#[test]
fn usable_servers_none_if_only_an_evacuated_domain_has_the_version() {
    let (mut store, mut instance, t) = (Store::new(), Instance::new(), Instant::now());
    store.write("z", true);
    instance.sync(&store, t);
    let mut request = request(1);
    request.version = RequiredVersion::Exactly("z".into());
    assert_eq!(instance.selector.usable_servers(&request, t), 0);
    assert_eq!(instance.selector.next_turn(&request, t), None);
    assert!(instance.selector.select(&request, t).is_none());
}

/// Guards against a domain that closes at once, or too late for the bound, at an instance that was cut off from
/// the store and is back.
#[test]
fn begin_after_a_cut_closes_within_a_second() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut domains = EvacuatedDomains::default();
    let assumed = domains.assumed_write(now);
    domains.begin(&"z".into(), StoreVersion::default(), assumed, now);
    let half = now + Duration::from_millis(500);
    assert!(domains.access("z", 0.4, half) && !domains.access("z", 0.6, half));
    assert_eq!(domains.closed(half).count(), 0);
    let end = now + Duration::from_secs(1);
    assert_eq!(domains.closed(end).collect::<Vec<_>>(), [&Name::from("z")]);
}
