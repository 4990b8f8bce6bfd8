//! A non-idempotent request runs at most once, with real instances and backend servers.

use async_std::task;
use futures::future::join_all;
use sardineshore_core::{NotRunReason, Stage, UnknownReason};
use sardineshore_fakes::server::faults::ServerFaults;
use sardineshore_wire::headers;
use sardineshore_wire::http::Reply;
use uuid::Uuid;

use crate::support::table::TableFault;
use crate::support::{ANSWERS_STATUS, Backend, Site, tag};

/// A key made at this moment.
pub fn fresh_key() -> String {
    Uuid::now_v7().to_string()
}

fn once() -> Stage {
    Stage {
        name: ANSWERS_STATUS.into(),
        idempotent: false,
        ..Stage::default()
    }
}

fn begun(site: &Site) -> usize {
    site.backends.iter().map(Backend::begun).sum()
}

/// Outcome and reason of a reply.
fn told(reply: &Reply) -> (String, String) {
    let header = |name| reply.header(name).to_owned();
    (header(headers::OUTCOME), header(headers::REASON))
}

fn not_run(reason: NotRunReason) -> (String, String) {
    let reason = serde_json::to_value(reason).unwrap();
    ("not-run".into(), reason.as_str().unwrap().into())
}

fn answered() -> (String, String) {
    ("answered".into(), String::new())
}

/// Waits until no claim is at work.
async fn settled(site: &Site) {
    while site.instance.shutdown.in_flight() > 0 {
        task::yield_now().await;
    }
}

#[test]
fn claim_repeat_receives_the_recorded_answer() {
    task::block_on(async {
        let site = Site::start("repeat", once(), vec![ServerFaults::default()]).await;
        let other = site.beside("repeat-2").await;
        let key = fresh_key();
        let first = site.submit("t", Some(&key)).await;
        settled(&site).await;
        site.cut_off();
        let second = other.submit("t", Some(&key)).await;
        assert_eq!((told(&first), told(&second)), (answered(), answered()));
        assert_eq!(first.body, second.body);
        assert_eq!(begun(&site), 1);
        assert_eq!(
            site.table.commits(),
            3,
            "claim, record, and the repeat's claim"
        );
        site.stop().await;
        other.stop().await;
    });
}

#[test]
fn claim_repeat_joins_the_run_in_flight() {
    task::block_on(async {
        let faults = ServerFaults {
            late_answer_ms: 300,
            ..ServerFaults::default()
        };
        let site = Site::start("join", once(), vec![faults]).await;
        let other = site.beside("join-2").await;
        let key = fresh_key();
        let sites = [&site, &other, &site];
        let replies = join_all(sites.map(|site| site.submit("t", Some(&key)))).await;
        for reply in &replies {
            assert_eq!(told(reply), answered());
            assert_eq!(tag(reply), "t");
        }
        assert_eq!(begun(&site), 1);
        site.stop().await;
        other.stop().await;
    });
}

#[test]
fn claim_confirmation_lost_runs_once() {
    task::block_on(async {
        let site = Site::start("lost", once(), vec![ServerFaults::default()]).await;
        site.table.set_fault(TableFault::LoseAnswer);
        let reply = site.submit("t", Some(&fresh_key())).await;
        assert_eq!(told(&reply), answered());
        assert_eq!(begun(&site), 1);
        site.stop().await;
    });
}

#[test]
fn claim_store_outage_not_run_then_runs() {
    task::block_on(async {
        let site = Site::start("outage", once(), vec![ServerFaults::default()]).await;
        let key = fresh_key();
        site.table.set_fault(TableFault::HoldBack);
        let refused = site.submit("t", Some(&key)).await;
        assert_eq!(told(&refused), not_run(NotRunReason::StoreUnavailable));
        assert_eq!(begun(&site), 0);
        site.table.set_fault(TableFault::None);
        site.table.land();
        let repeated = site.submit("t", Some(&key)).await;
        assert_eq!(told(&repeated), answered());
        assert_eq!(begun(&site), 1);
        site.stop().await;
    });
}

/// What a refusal speaks of.
fn covers(reply: &Reply) -> &str {
    reply.header(headers::COVERS)
}

#[test]
fn claim_not_run_tells_what_it_covers() {
    task::block_on(async {
        let refusing = ServerFaults {
            refuse: 1.0,
            ..ServerFaults::default()
        };
        let site = Site::start("covers", once(), vec![refusing]).await;
        let proven = site.submit("t", Some(&fresh_key())).await;
        assert_eq!((&*told(&proven).0, covers(&proven)), ("not-run", "request"));
        site.table.set_fault(TableFault::HoldBack);
        let unproven = site.submit("t", Some(&fresh_key())).await;
        assert_eq!(told(&unproven), not_run(NotRunReason::StoreUnavailable));
        assert_eq!(covers(&unproven), "send");
        site.table.set_fault(TableFault::None);
        site.table.land();
        site.stop().await;
    });
}

#[test]
fn claim_record_lost_repeat_asks_the_server() {
    task::block_on(async {
        let site = Site::start("record", once(), vec![ServerFaults::default()]).await;
        let other = site.beside("record-2").await;
        let key = fresh_key();
        let first = site.submit("t", Some(&key)).await;
        settled(&site).await;
        forget_the_record(&site);
        site.cut_off();
        let second = other.submit("t", Some(&key)).await;
        assert_eq!(told(&second), answered());
        assert_eq!(first.body, second.body);
        assert_eq!(begun(&site), 1);
        site.stop().await;
        other.stop().await;
    });
}

/// Puts the row back into the state that it has when the claimant dies before it records.
fn forget_the_record(site: &Site) {
    site.table.edit(|value| {
        let mut row: serde_json::Value = serde_json::from_str(value).unwrap();
        row["state"] = serde_json::json!({ "state": "claimed" });
        row.to_string()
    });
}

#[test]
fn claim_answer_cut_short_resolved_by_the_server() {
    task::block_on(async {
        let faults = ServerFaults {
            truncate: 1.0,
            ..ServerFaults::default()
        };
        let site = Site::start("resolve", once(), vec![faults.clone(), faults]).await;
        let reply = site.submit("t", Some(&fresh_key())).await;
        assert_eq!(told(&reply), answered());
        assert_eq!(tag(&reply), "t");
        assert_eq!(begun(&site), 1);
        site.stop().await;
    });
}

#[test]
fn claim_key_reused_runs_nothing() {
    task::block_on(async {
        let site = Site::start("reuse", once(), vec![ServerFaults::default()]).await;
        let key = fresh_key();
        site.submit("t", Some(&key)).await;
        let other = site.submit("u", Some(&key)).await;
        assert_eq!(told(&other), not_run(NotRunReason::KeyReused));
        let old = site
            .submit("t", Some("01940000-0000-7000-8000-000000000001"))
            .await;
        assert_eq!(told(&old), not_run(NotRunReason::KeyExpired));
        assert_eq!(begun(&site), 1);
        site.stop().await;
    });
}

#[test]
fn claim_of_unreachable_instance_unknown_without_status() {
    task::block_on(async {
        let faults = ServerFaults {
            truncate: 1.0,
            ..ServerFaults::default()
        };
        let stage = Stage {
            idempotent: false,
            ..Stage::default()
        };
        let site = Site::start("unknown", stage, vec![faults]).await;
        let other = site.beside("unknown-2").await;
        let key = fresh_key();
        let first = site.submit("t", Some(&key)).await;
        site.cut_off();
        let second = other.submit("t", Some(&key)).await;
        assert_eq!(told(&first).0, "unknown");
        let reason = serde_json::to_value(UnknownReason::ClaimantUnreachable).unwrap();
        assert_eq!(
            told(&second),
            ("unknown".into(), reason.as_str().unwrap().into())
        );
        assert_eq!(begun(&site), 1);
        site.stop().await;
        other.stop().await;
    });
}
