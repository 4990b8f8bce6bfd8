//! Tests the fake platform over HTTP with the client of the product and a manual clock.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use sardineshore_core::{CommitOutcome, ManualClock, StoreError, Txn};
use sardineshore_fakes::platform::faults::{LateWrite, Outage, PlatformFaults};
use sardineshore_fakes::platform::{Platform, PlatformSettings};
use sardineshore_fakes::serve::serve;
use sardineshore_wire::platform::{InstanceList, Listing, ObjectStore, PlatformClient, Table};

/// Longer than any test, so that a lost response shows as a closed connection, not as a timeout.
const TIMEOUT: Duration = Duration::from_secs(60);

struct Fixture {
    clock: Arc<ManualClock>,
    platform: Arc<Platform>,
    client: PlatformClient,
}

async fn start(settings: PlatformSettings) -> Fixture {
    let clock = Arc::new(ManualClock::default());
    let platform = Arc::new(Platform::new(&settings, clock.clone()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    task::spawn(serve(listener, platform.clone()));
    Fixture {
        clock,
        platform,
        client: PlatformClient::new(addr, TIMEOUT),
    }
}

#[async_std::test]
async fn commit_lost_confirmation_takes_effect() {
    let fixture = start(PlatformSettings::default()).await;
    fixture.platform.set_faults(PlatformFaults {
        lose_confirmation: 1.0,
        ..PlatformFaults::default()
    });
    let txn = Txn::insert("k", "1");
    let lost = fixture.client.commit(&txn).await;
    assert_eq!(lost, Err(StoreError::Unconfirmed));
    fixture.platform.set_faults(PlatformFaults::default());
    let row = fixture.client.read("k").await.unwrap().unwrap();
    assert_eq!(&*row.value, "1");
    let again = fixture.client.commit(&txn).await.unwrap();
    assert_eq!(again, CommitOutcome::Conflict { rows: vec![row] });
}

#[async_std::test]
async fn commit_late_write_takes_effect_when_due() {
    let fixture = start(PlatformSettings::default()).await;
    let late = LateWrite {
        probability: 1.0,
        delay_ms: 500,
    };
    fixture.platform.set_faults(PlatformFaults {
        late_write: Some(late),
        ..PlatformFaults::default()
    });
    let lost = fixture.client.commit(&Txn::insert("k", "1")).await;
    assert_eq!(lost, Err(StoreError::Unconfirmed));
    let lost = fixture.client.put("o", "body").await;
    assert_eq!(lost, Err(StoreError::Unconfirmed));
    assert_eq!(fixture.client.read("k").await, Ok(None));
    fixture.clock.advance(Duration::from_millis(500));
    assert!(fixture.client.read("k").await.unwrap().is_some());
    assert_eq!(fixture.client.get("o").await, Ok(Some("body".into())));
}

#[async_std::test]
async fn commit_over_rate_limit_is_throttled() {
    let settings = PlatformSettings {
        writes_per_second: 50.0,
        ..PlatformSettings::default()
    };
    let fixture = start(settings).await;
    for (round, key) in ["a", "b", "c", "d", "e", "f"].iter().enumerate() {
        let commit = fixture.client.commit(&Txn::insert(*key, "1")).await;
        assert_eq!(commit.is_ok(), round < 5, "write {round}");
    }
    assert_eq!(fixture.client.read("f").await, Ok(None));
    fixture.clock.advance(Duration::from_millis(20));
    assert!(fixture.client.commit(&Txn::insert("f", "1")).await.is_ok());
    let stats = fixture.platform.stats();
    assert_eq!((stats.writes, stats.throttled, stats.reads), (6, 1, 1));
}

#[async_std::test]
async fn commit_during_outage_takes_no_effect() {
    let fixture = start(PlatformSettings::default()).await;
    fixture.platform.set_faults(PlatformFaults {
        outage: Some(Outage::default()),
        ..PlatformFaults::default()
    });
    let refused = fixture.client.commit(&Txn::insert("k", "1")).await;
    assert_eq!(refused, Err(StoreError::Unavailable));
    fixture.platform.set_faults(PlatformFaults::default());
    assert_eq!(fixture.client.read("k").await, Ok(None));
}

#[async_std::test]
async fn read_stale_head_returns_old_row() {
    let fixture = start(PlatformSettings::default()).await;
    fixture.client.commit(&Txn::insert("k", "1")).await.unwrap();
    fixture.clock.advance(Duration::from_secs(2));
    let replaced = fixture.client.commit(&Txn::replace("k", 1, "2")).await;
    assert_eq!(replaced, Ok(CommitOutcome::Applied { revision: 2 }));
    fixture.platform.set_faults(PlatformFaults {
        stale_head: 1000,
        ..PlatformFaults::default()
    });
    let row = fixture.client.read("k").await.unwrap().unwrap();
    assert_eq!(&*row.value, "1");
}

#[async_std::test]
async fn list_change_is_seen_after_lag() {
    let fixture = start(PlatformSettings::default()).await;
    let text = r#"[{"name": "e1", "addr": "127.0.0.1:1", "domain": "a", "role": "entry",
        "leaving": true}]"#;
    let list = serde_json::from_str(text).unwrap();
    fixture.platform.replace_instances(list);
    assert_eq!(fixture.client.list().await, Ok(Listing::default()));
    fixture.clock.advance(Duration::from_secs(1));
    assert!(fixture.client.list().await.unwrap().processes[0].leaving);
}
