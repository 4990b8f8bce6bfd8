//! The audit finds each kind of violation in hand-made logs.

use std::path::PathBuf;

use sardineshore_load::audit::{Audit, AuditLogs, AuditResult, LogError, Outage};
use sardineshore_load::preset;
use sardineshore_wire::audit_log::{CallRecord, ExecutionEvent, ExecutionRecord};

const ENTRY: &str = "127.0.0.1:7001";

fn execution(tag: &str, stage: &str, event: ExecutionEvent) -> ExecutionRecord {
    ExecutionRecord {
        at_ms: 1_000,
        server: "s1".into(),
        event,
        request: "r1".into(),
        attempt: "a1".into(),
        stage: stage.into(),
        run_id: "".into(),
        tag: tag.into(),
    }
}

fn ran(tag: &str, stage: &str) -> [ExecutionRecord; 2] {
    [
        execution(tag, stage, ExecutionEvent::Begun),
        execution(tag, stage, ExecutionEvent::Finished),
    ]
}

fn booked(tag: &str) -> Vec<ExecutionRecord> {
    [ran(tag, "check"), ran(tag, "book")].concat()
}

fn call(tag: &str, outcome: &str) -> CallRecord {
    let answered = outcome == "answered";
    CallRecord {
        due_ms: 1_000,
        latency_us: 50_000,
        customer: "studio".into(),
        pipeline: "booking".into(),
        entry: ENTRY.into(),
        request: "r1".into(),
        tag: tag.into(),
        key: "k1".into(),
        outcome: outcome.into(),
        reason: "".into(),
        answer_tag: if answered { tag.into() } else { "".into() },
        whole: answered,
        in_time: answered,
        sends: 1,
    }
}

fn check_logs(calls: Vec<CallRecord>, executions: Vec<ExecutionRecord>) -> AuditResult {
    check_with_outages(Vec::new(), calls, executions)
}

fn check_with_outages(
    outages: Vec<Outage>,
    calls: Vec<CallRecord>,
    executions: Vec<ExecutionRecord>,
) -> AuditResult {
    let audit = Audit {
        outages,
        ..Audit::for_workloads(&[preset::tangolin()])
    };
    audit.check(&AuditLogs { executions, calls })
}

fn outage(entry: &str, from_ms: u64, until_ms: u64) -> Outage {
    Outage {
        entry: entry.into(),
        from_ms,
        until_ms,
    }
}

#[test]
fn check_clean_logs() {
    let calls = vec![
        call("t1", "answered"),
        call("t2", "not-run"),
        call("t3", "unknown"),
    ];
    let mut executions = booked("t1");
    executions.extend(ran("t2", "check"));
    executions.push(execution("t3", "book", ExecutionEvent::Begun));
    let result = check_logs(calls, executions);
    assert!(result.is_clean());
    assert_eq!(
        result.to_string(),
        "audit: answered 1 of 3, not run 1, unknown 1, lost 0, doubled 0, misdelivered 0"
    );
}

#[test]
fn check_answer_without_execution() {
    let executions = ran("t1", "check").to_vec();
    let result = check_logs(vec![call("t1", "answered")], executions);
    assert_eq!(result.lost.len(), 1);
    assert_eq!(result.lost[0].text, "stage book has no finished execution");
}

#[test]
fn check_answer_with_unfinished_execution() {
    let mut executions = ran("t1", "check").to_vec();
    executions.push(execution("t1", "book", ExecutionEvent::Begun));
    executions.push(execution("t1", "book", ExecutionEvent::Crashed));
    let result = check_logs(vec![call("t1", "answered")], executions);
    assert_eq!(result.lost.len(), 1);
}

#[test]
fn check_answer_with_execution_of_other_tag() {
    let result = check_logs(vec![call("t1", "answered")], booked("t2"));
    assert_eq!(result.lost.len(), 1);
}

#[test]
fn check_incomplete_answer() {
    let cut = CallRecord {
        whole: false,
        ..call("t1", "answered")
    };
    let result = check_logs(vec![cut], booked("t1"));
    assert_eq!(result.lost.len(), 1);
    assert_eq!(result.lost[0].text, "the answer is incomplete");
}

#[test]
fn check_answer_of_unknown_pipeline() {
    let foreign = CallRecord {
        pipeline: "nowhere".into(),
        ..call("t1", "answered")
    };
    assert_eq!(check_logs(vec![foreign], booked("t1")).lost.len(), 1);
}

#[test]
fn check_no_reply_from_live_instance() {
    let result = check_logs(vec![call("t1", "no-reply")], booked("t1"));
    assert_eq!(result.lost.len(), 1);
    assert_eq!(result.unknown, 0);
}

#[test]
fn check_no_reply_from_failed_instance() {
    let failed = vec![outage(ENTRY, 1_040, 5_000)];
    let result = check_with_outages(failed, vec![call("t1", "no-reply")], Vec::new());
    assert!(result.is_clean());
    assert_eq!(result.unknown, 1);
}

#[test]
fn check_no_reply_beside_another_instance_outage() {
    let other = vec![outage("127.0.0.1:7002", 0, 9_000)];
    let result = check_with_outages(other, vec![call("t1", "no-reply")], Vec::new());
    assert_eq!(result.lost.len(), 1);
}

#[test]
fn check_no_reply_outside_outage() {
    let calls = vec![call("t1", "no-reply")];
    let before = vec![outage(ENTRY, 0, 999)];
    assert_eq!(
        check_with_outages(before, calls.clone(), Vec::new())
            .lost
            .len(),
        1
    );
    let after = vec![outage(ENTRY, 1_051, 9_000)];
    assert_eq!(check_with_outages(after, calls, Vec::new()).lost.len(), 1);
}

#[test]
fn check_invalid_outcome() {
    assert_eq!(
        check_logs(vec![call("t1", "perhaps")], Vec::new())
            .lost
            .len(),
        1
    );
}

#[test]
fn check_doubled_stage_on_two_servers() {
    let mut executions = booked("t1");
    executions.push(ExecutionRecord {
        server: "s2".into(),
        run_id: "other".into(),
        ..execution("t1", "book", ExecutionEvent::Begun)
    });
    let result = check_logs(vec![call("t1", "answered")], executions);
    assert_eq!(result.doubled.len(), 1);
    assert_eq!(result.doubled[0].text, "stage book began 2 times");
}

#[test]
fn check_doubled_run_id_under_other_tags() {
    let begun = |tag: &str| ExecutionRecord {
        run_id: "run1".into(),
        ..execution(tag, "book", ExecutionEvent::Begun)
    };
    let result = check_logs(Vec::new(), vec![begun("t1"), begun("t2")]);
    assert_eq!(result.doubled.len(), 1);
    assert_eq!(result.doubled[0].text, "run id run1 began 2 times");
}

#[test]
fn check_doubled_behind_unknown() {
    let mut executions = booked("t1");
    executions.extend(ran("t1", "book"));
    let result = check_logs(vec![call("t1", "unknown")], executions);
    assert_eq!(result.doubled.len(), 1);
}

#[test]
fn check_repeated_idempotent_stage() {
    let mut executions = booked("t1");
    executions.extend(ran("t1", "check"));
    assert!(check_logs(vec![call("t1", "answered")], executions).is_clean());
}

#[test]
fn check_not_run_that_began() {
    let executions = vec![execution("t1", "book", ExecutionEvent::Begun)];
    let result = check_logs(vec![call("t1", "not-run")], executions);
    assert_eq!(result.doubled.len(), 1);
    assert_eq!(
        result.doubled[0].text,
        "the outcome was not-run, but stage book had begun"
    );
}

#[test]
fn check_not_run_that_was_refused() {
    let executions = vec![execution("t1", "book", ExecutionEvent::Refused)];
    assert!(check_logs(vec![call("t1", "not-run")], executions).is_clean());
}

#[test]
fn check_misdelivered_answer() {
    let swapped = CallRecord {
        answer_tag: "t2".into(),
        ..call("t1", "answered")
    };
    let result = check_logs(vec![swapped], booked("t1"));
    assert_eq!(result.misdelivered.len(), 1);
    assert_eq!(
        result.to_string(),
        "audit: answered 1 of 1, not run 0, unknown 0, lost 0, doubled 0, misdelivered 1"
    );
}

fn log_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sardine-audit-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn read_missing_log() {
    let path = std::env::temp_dir().join("sardine-audit-no-such-log");
    let read = AuditLogs::default().read_execution_log(&path);
    assert!(matches!(read, Err(LogError::Unreadable { .. })));
}

#[test]
fn read_empty_log() {
    let path = log_file("empty", "\n");
    let read = AuditLogs::default().read_execution_log(&path);
    std::fs::remove_file(&path).unwrap();
    assert!(matches!(read, Err(LogError::Empty { .. })));
}

#[test]
fn read_truncated_log() {
    let line = serde_json::to_string(&execution("t1", "book", ExecutionEvent::Begun)).unwrap();
    let path = log_file("truncated", &format!("{line}\n{}", &line[..40]));
    let read = AuditLogs::default().read_execution_log(&path);
    std::fs::remove_file(&path).unwrap();
    assert!(matches!(read, Err(LogError::Malformed { line: 2, .. })));
}

#[test]
fn read_callers_log_with_missing_lines() {
    let line = serde_json::to_string(&call("t1", "answered")).unwrap();
    let path = log_file("short", &line);
    let mut logs = AuditLogs::default();
    let short = logs.read_call_log(&path, 2);
    assert!(matches!(
        short,
        Err(LogError::Incomplete {
            found: 1,
            expected: 2,
            ..
        })
    ));
    logs.read_call_log(&path, 1).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(logs.calls.len(), 1);
}
