//! Workload files, reports, and their rendering as text, page and JSON.

use std::sync::Arc;
use std::time::Duration;

use expect_test::expect;
use sardineshore_load::report::{Pacing, Report, jain_index};
use sardineshore_load::run::RunResult;
use sardineshore_load::workload::Workload;
use sardineshore_load::{plots, preset, text};
use sardineshore_wire::audit_log::CallRecord;

fn call(number: u64, customer: &str, outcome: &str) -> CallRecord {
    CallRecord {
        due_ms: 1_000 + number,
        latency_us: 1_000 * number,
        customer: customer.into(),
        pipeline: "order".into(),
        entry: "127.0.0.1:7001".into(),
        request: "r".into(),
        tag: format!("t{number}").into(),
        key: "".into(),
        outcome: outcome.into(),
        reason: if outcome == "answered" {
            ""
        } else {
            "overloaded"
        }
        .into(),
        answer_tag: "".into(),
        whole: true,
        in_time: outcome == "answered",
        sends: 1,
    }
}

fn result() -> RunResult {
    let mut all: Vec<CallRecord> = (1..=98)
        .map(|number| call(number, "large", "answered"))
        .collect();
    all.push(call(99, "small", "answered"));
    all.push(call(100, "small", "not-run"));
    RunResult {
        calls: all,
        pacing: Pacing {
            late: 2,
            max_lag_ms: 31,
            waits: 1,
        },
        elapsed: Duration::from_secs(2),
    }
}

#[test]
fn render_text() {
    let name: Arc<str> = "mangos".into();
    let report = Report::new(&name, 7, &result());
    let text = text::render(&report);
    let text: Vec<&str> = text.lines().map(str::trim_end).collect();
    expect![[r"
        mangos (seed 7): 100 requests in 2.0 s
                offered  answered  in time  not run  unknown  no reply  repeats  attainment  goodput/s  p50 ms  p90 ms  p99 ms  max ms
         total  100      99        99       1        0        0         0        0.9900      49.5       50.0    90.0    99.0    99.0
         order  100      99        99       1        0        0         0        0.9900      49.5       50.0    90.0    99.0    99.0
         large  98       98        98       0        0        0         0        1.0000      49.0       49.0    89.0    98.0    98.0
         small  2        1         1        1        0        0         0        0.5000      0.5        99.0    99.0    99.0    99.0
        fairness between customers (Jain): 0.9000
        not-run overloaded: 1
        schedule not kept: 2 requests started late (at most 31 ms), 1 waits because too many were in flight"]].assert_eq(&text.join("\n"));
}

#[test]
fn render_plots() {
    let report = Report::new(&"mangos".into(), 7, &result());
    let page = plots::render(&report, &result().calls).unwrap();
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(page.contains("p99 ms"));
}

#[test]
fn report_json_round_trip() {
    let report = Report::new(&"mangos".into(), 7, &result());
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report);
}

#[test]
fn jain_index_even_and_uneven() {
    assert!((jain_index(&[0.5, 0.5, 0.5]) - 1.0).abs() < 1e-9);
    assert!((jain_index(&[1.0, 0.0]) - 0.5).abs() < 1e-9);
    assert!((jain_index(&[]) - 1.0).abs() < 1e-9);
}

#[test]
fn findings_of_presets_are_empty() {
    for name in preset::NAMES {
        assert_eq!(preset::find(name).unwrap().findings(), vec![]);
    }
}

#[test]
fn from_json_reports_all_errors_together() {
    let text = r#"{
        "name": "",
        "pipelines": [{"name": "ask", "share": 0, "deadline_ms": 0, "streamed": 2}],
        "customers": []
    }"#;
    let findings = Workload::from_json(text).unwrap_err();
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    expect![[r"
        setting name: it is empty
        setting customers: there are none
        setting pipelines[0].share: it is not a positive number
        setting pipelines[0].deadline_ms: it is 0
        setting pipelines[0].streamed: it is not between 0 and 1
        setting pipelines[0].stages: there are none"]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn from_json_unknown_field_has_place() {
    let findings = Workload::from_json("{\n  \"nam\": 1\n}").unwrap_err();
    assert!(
        findings[0].to_string().starts_with("line 2, column 7:"),
        "{}",
        findings[0]
    );
}
