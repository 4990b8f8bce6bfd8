//! A non-idempotent request runs at most once, with real instances and backend servers.

use async_std::task;
use futures::future::join_all;
use sardineshore_core::{NotRunReason, Stage, UnknownReason};
use sardineshore_fakes::server::faults::ServerFaults;
use sardineshore_wire::headers;
use sardineshore_wire::http::Reply;
use uuid::Uuid;

use crate::support::table::TableFault;
use crate::support::{ANSWERS_STATUS, Backend, TestEntry, tag};

/// A key made at this moment.
pub fn fresh_key() -> String {
    Uuid::now_v7().to_string()
}

fn non_idempotent_stage() -> Stage {
    Stage {
        name: ANSWERS_STATUS.into(),
        idempotent: false,
        ..Stage::default()
    }
}

fn started_attempts(entry: &TestEntry) -> usize {
    entry.backends.iter().map(Backend::started_attempts).sum()
}

/// Outcome and reason of a reply.
fn outcome_and_reason(reply: &Reply) -> (String, String) {
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

/// Waits until no claim is active.
async fn wait_until_idle(entry: &TestEntry) {
    while entry.instance.shutdown.in_flight() > 0 {
        task::yield_now().await;
    }
}

#[test]
fn claim_retry_receives_recorded_answer() {
    task::block_on(async {
        let entry = TestEntry::start(
            "repeat",
            non_idempotent_stage(),
            vec![ServerFaults::default()],
        )
        .await;
        let other = entry.start_another("repeat-2").await;
        let key = fresh_key();
        let first = entry.submit("t", Some(&key)).await;
        wait_until_idle(&entry).await;
        entry.disconnect();
        let second = other.submit("t", Some(&key)).await;
        assert_eq!(
            (outcome_and_reason(&first), outcome_and_reason(&second)),
            (answered(), answered())
        );
        assert_eq!(first.body, second.body);
        assert_eq!(started_attempts(&entry), 1);
        assert_eq!(
            entry.table.commits(),
            3,
            "claim, record, and the retry's claim"
        );
        entry.stop().await;
        other.stop().await;
    });
}

#[test]
fn claim_retry_joins_run_in_flight() {
    task::block_on(async {
        let faults = ServerFaults {
            late_answer_ms: 300,
            ..ServerFaults::default()
        };
        let entry = TestEntry::start("join", non_idempotent_stage(), vec![faults]).await;
        let other = entry.start_another("join-2").await;
        let key = fresh_key();
        let entries = [&entry, &other, &entry];
        let replies = join_all(entries.map(|entry| entry.submit("t", Some(&key)))).await;
        for reply in &replies {
            assert_eq!(outcome_and_reason(reply), answered());
            assert_eq!(tag(reply), "t");
        }
        assert_eq!(started_attempts(&entry), 1);
        entry.stop().await;
        other.stop().await;
    });
}

#[test]
fn claim_confirmation_lost_runs_once() {
    task::block_on(async {
        let entry = TestEntry::start(
            "lost",
            non_idempotent_stage(),
            vec![ServerFaults::default()],
        )
        .await;
        entry.table.set_fault(TableFault::LoseAnswer);
        let reply = entry.submit("t", Some(&fresh_key())).await;
        assert_eq!(outcome_and_reason(&reply), answered());
        assert_eq!(started_attempts(&entry), 1);
        entry.stop().await;
    });
}

#[test]
fn claim_store_outage_not_run_then_runs() {
    task::block_on(async {
        let entry = TestEntry::start(
            "outage",
            non_idempotent_stage(),
            vec![ServerFaults::default()],
        )
        .await;
        let key = fresh_key();
        entry.table.set_fault(TableFault::DelayCommit);
        let refused = entry.submit("t", Some(&key)).await;
        assert_eq!(
            outcome_and_reason(&refused),
            not_run(NotRunReason::StoreUnavailable)
        );
        assert_eq!(started_attempts(&entry), 0);
        entry.table.set_fault(TableFault::None);
        entry.table.apply_delayed();
        let repeated = entry.submit("t", Some(&key)).await;
        assert_eq!(outcome_and_reason(&repeated), answered());
        assert_eq!(started_attempts(&entry), 1);
        entry.stop().await;
    });
}

/// The sends that a "not run" reply covers.
fn covers(reply: &Reply) -> &str {
    reply.header(headers::COVERS)
}

#[test]
fn claim_not_run_reports_covered_sends() {
    task::block_on(async {
        let refusing = ServerFaults {
            refuse: 1.0,
            ..ServerFaults::default()
        };
        let entry = TestEntry::start("covers", non_idempotent_stage(), vec![refusing]).await;
        let proven = entry.submit("t", Some(&fresh_key())).await;
        assert_eq!(
            (&*outcome_and_reason(&proven).0, covers(&proven)),
            ("not-run", "request")
        );
        entry.table.set_fault(TableFault::DelayCommit);
        let unproven = entry.submit("t", Some(&fresh_key())).await;
        assert_eq!(
            outcome_and_reason(&unproven),
            not_run(NotRunReason::StoreUnavailable)
        );
        assert_eq!(covers(&unproven), "send");
        entry.table.set_fault(TableFault::None);
        entry.table.apply_delayed();
        entry.stop().await;
    });
}

#[test]
fn claim_record_lost_retry_queries_server() {
    task::block_on(async {
        let entry = TestEntry::start(
            "record",
            non_idempotent_stage(),
            vec![ServerFaults::default()],
        )
        .await;
        let other = entry.start_another("record-2").await;
        let key = fresh_key();
        let first = entry.submit("t", Some(&key)).await;
        wait_until_idle(&entry).await;
        reset_to_claimed(&entry);
        entry.disconnect();
        let second = other.submit("t", Some(&key)).await;
        assert_eq!(outcome_and_reason(&second), answered());
        assert_eq!(first.body, second.body);
        assert_eq!(started_attempts(&entry), 1);
        entry.stop().await;
        other.stop().await;
    });
}

/// Resets the row to its state when the instance that claimed it fails before it records the
/// answer.
fn reset_to_claimed(entry: &TestEntry) {
    entry.table.edit(|value| {
        let mut row: serde_json::Value = serde_json::from_str(value).unwrap();
        row["state"] = serde_json::json!({ "state": "claimed" });
        row.to_string()
    });
}

#[test]
fn claim_truncated_answer_resolved_by_server() {
    task::block_on(async {
        let faults = ServerFaults {
            truncate: 1.0,
            ..ServerFaults::default()
        };
        let entry = TestEntry::start(
            "resolve",
            non_idempotent_stage(),
            vec![faults.clone(), faults],
        )
        .await;
        let reply = entry.submit("t", Some(&fresh_key())).await;
        assert_eq!(outcome_and_reason(&reply), answered());
        assert_eq!(tag(&reply), "t");
        assert_eq!(started_attempts(&entry), 1);
        entry.stop().await;
    });
}

#[test]
fn claim_key_reused_runs_nothing() {
    task::block_on(async {
        let entry = TestEntry::start(
            "reuse",
            non_idempotent_stage(),
            vec![ServerFaults::default()],
        )
        .await;
        let key = fresh_key();
        entry.submit("t", Some(&key)).await;
        let other = entry.submit("u", Some(&key)).await;
        assert_eq!(outcome_and_reason(&other), not_run(NotRunReason::KeyReused));
        let old = entry
            .submit("t", Some("01940000-0000-7000-8000-000000000001"))
            .await;
        assert_eq!(outcome_and_reason(&old), not_run(NotRunReason::KeyExpired));
        assert_eq!(started_attempts(&entry), 1);
        entry.stop().await;
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
        let entry = TestEntry::start("unknown", stage, vec![faults]).await;
        let other = entry.start_another("unknown-2").await;
        let key = fresh_key();
        let first = entry.submit("t", Some(&key)).await;
        entry.disconnect();
        let second = other.submit("t", Some(&key)).await;
        assert_eq!(outcome_and_reason(&first).0, "unknown");
        let reason = serde_json::to_value(UnknownReason::ClaimantUnreachable).unwrap();
        assert_eq!(
            outcome_and_reason(&second),
            ("unknown".into(), reason.as_str().unwrap().into())
        );
        assert_eq!(started_attempts(&entry), 1);
        entry.stop().await;
        other.stop().await;
    });
}

/// Replies to no load query in time.
fn silent_at_probe() -> ServerFaults {
    ServerFaults {
        late_load_ms: 2_000,
        ..ServerFaults::default()
    }
}

/// Guards against a call that is sent behind an unanswered probe: the probe's late reply would be
/// taken for the reply of the call, which then counts as unknown although it runs.
#[test]
fn claim_server_silent_at_probe_receives_no_call() {
    task::block_on(async {
        let stage = Stage {
            idempotent: false,
            ..Stage::default()
        };
        let entry = TestEntry::start("silent", stage, vec![silent_at_probe()]).await;
        let reply = entry.submit("t", Some(&fresh_key())).await;
        assert_eq!(outcome_and_reason(&reply), not_run(NotRunReason::NoServer));
        assert_eq!(started_attempts(&entry), 0);
        entry.stop().await;
    });
}

#[test]
fn claim_servers_silent_at_probe_passed_over() {
    task::block_on(async {
        let stage = Stage {
            idempotent: false,
            ..Stage::default()
        };
        let mut servers = vec![silent_at_probe(); 3];
        servers.push(ServerFaults::default());
        let entry = TestEntry::start("pass", stage, servers).await;
        for n in 0..4 {
            let wanted = format!("t{n}");
            let reply = entry.submit(&wanted, Some(&fresh_key())).await;
            assert_eq!(
                (outcome_and_reason(&reply), tag(&reply)),
                (answered(), wanted)
            );
        }
        assert_eq!(started_attempts(&entry), 4);
        entry.stop().await;
    });
}
