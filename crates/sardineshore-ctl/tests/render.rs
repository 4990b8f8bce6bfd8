//! Reports rendered as tables and as JSON, and merged answers.

use expect_test::{Expect, expect};
use sardineshore_core::query::merge::merge;
use sardineshore_core::{
    BackendServer, CostRow, CustomerRow, EventRow, InstanceRow, Pipeline, QuarantineRow,
    QueryResponse, ServerRow, ServerState, Stage, StageKind,
};
use sardineshore_ctl::client::InstanceError;
use sardineshore_ctl::render::{OutputFormat, render};
use sardineshore_ctl::report::Report;

fn check(reports: &[Report], output: OutputFormat, expect: &Expect) {
    let rendered = render(reports, output);
    expect.assert_eq(&(rendered.stdout + &rendered.stderr));
}

fn answer(answer: QueryResponse) -> Report {
    let missing = Vec::new();
    Report::Answer { answer, missing }
}

fn servers() -> Report {
    let active = ServerRow {
        server: BackendServer {
            name: "engine-1".into(),
            addr: "127.0.0.1:7001".into(),
            domain: "zone-a".into(),
            pool: "engines".into(),
            cost: 2.5,
            ..BackendServer::default()
        },
        in_flight: 3,
        running: 2,
        queued: 1,
        report_age_ms: Some(120),
        ejected: false,
        leaving: false,
    };
    let draining = ServerRow {
        server: BackendServer {
            name: "engine-10".into(),
            state: ServerState::Draining,
            ..active.server.clone()
        },
        report_age_ms: None,
        ejected: true,
        leaving: true,
        ..active.clone()
    };
    answer(QueryResponse::Servers(vec![active, draining]))
}

fn answers() -> Vec<Report> {
    let instances = QueryResponse::Instances(vec![InstanceRow {
        instance: "i1".into(),
        domain: "zone-a".into(),
        state: "live".into(),
        version: 12,
        heard_ms: 250,
    }]);
    let pipelines = QueryResponse::Pipelines(vec![Pipeline {
        name: "quotes".into(),
        stages: vec![
            Stage {
                name: "notes".into(),
                kind: StageKind::Encode,
                pool: "encoders".into(),
                idempotent: true,
            },
            Stage {
                name: "order".into(),
                kind: StageKind::Service,
                pool: "orders".into(),
                idempotent: false,
            },
        ],
        ..Pipeline::default()
    }]);
    let customers = QueryResponse::Customers(vec![CustomerRow {
        customer: "cooperative".into(),
        weight: 2.5,
        answered: 100,
        not_run: 3,
        unknown: 1,
    }]);
    let cost = QueryResponse::Cost(vec![CostRow {
        group: "quotes/notes".into(),
        attempts: 104,
        extra: 4,
        seconds: 2.0816,
        cost: 5.204,
    }]);
    let events = QueryResponse::Explain(vec![EventRow {
        at_ms: 1_800_000_000_123,
        instance: "i1".into(),
        event: 4001,
        text: "engine-1 was chosen for notes".into(),
    }]);
    let quarantine = QueryResponse::Quarantine(vec![QuarantineRow {
        fingerprint: "ab12".into(),
        crashes: 2,
        servers: vec!["engine-1".into(), "engine-2".into()],
        remaining_ms: 61_500,
    }]);
    let none = QueryResponse::Versions(Vec::new());
    [
        instances, pipelines, customers, cost, events, quarantine, none,
    ]
    .map(answer)
    .to_vec()
}

#[test]
fn render_servers_as_table() {
    check(
        &[servers()],
        OutputFormat::Table,
        &expect![[r"
         SERVER     POOL     DOMAIN  ADDRESS         STATE                       IN FLIGHT  RUNNING  QUEUED  CAPACITY      REPORT  COST/S
         engine-1   engines  zone-a  127.0.0.1:7001  active                              3        2       1         8  120 ms ago     2.5
         engine-10  engines  zone-a  127.0.0.1:7001  draining, leaving, ejected          3        2       1         8        none     2.5
    "]],
    );
}

#[test]
fn render_answers_as_tables() {
    check(
        &answers(),
        OutputFormat::Table,
        &expect![[r"
            INSTANCE  DOMAIN  STATE  VERSION       HEARD
            i1        zone-a  live        12  250 ms ago

            PIPELINE  DEADLINE  STAGE  KIND     POOL      IDEMPOTENT
            quotes    6s        notes  encode   encoders  yes
            quotes    6s        order  service  orders    no

            CUSTOMER     WEIGHT  ANSWERED  NOT RUN  UNKNOWN
            cooperative     2.5       100        3        1

            GROUP         ATTEMPTS  EXTRA  SECONDS   COST
            quotes/notes       104      4    2.082  5.204

            TIME                      INSTANCE  EVENT  WHAT
            2027-01-15T08:00:00.123Z  i1         4001  engine-1 was chosen for notes

            FINGERPRINT  CRASHES  SERVERS               REMAINING
            ab12               2  engine-1, engine-2  1m 1s 500ms

            none
        "]],
    );
}

#[test]
fn merge_parts_of_several_instances() {
    let cost = |group: &str, attempts| CostRow {
        group: group.into(),
        attempts,
        extra: 1,
        seconds: 0.5,
        cost: 2.0,
    };
    let event = |instance: &str, at_ms| EventRow {
        at_ms,
        instance: instance.into(),
        event: 1001,
        text: String::new(),
    };
    let costs = merge(vec![
        QueryResponse::Cost(vec![cost("b", 1), cost("c", 2)]),
        QueryResponse::Cost(vec![cost("a", 3), cost("b", 4)]),
    ]);
    let Some(QueryResponse::Cost(rows)) = costs else {
        panic!("{costs:?}");
    };
    let sums: Vec<_> = rows
        .iter()
        .map(|row| (&*row.group, row.attempts, row.extra))
        .collect();
    assert_eq!(sums, [("a", 3, 1), ("b", 5, 2), ("c", 2, 1)]);
    let events = merge(vec![
        QueryResponse::Explain(vec![event("i1", 1), event("i1", 4)]),
        QueryResponse::Explain(vec![event("i2", 2)]),
    ]);
    let ordered = vec![event("i1", 1), event("i2", 2), event("i1", 4)];
    assert_eq!(events, Some(QueryResponse::Explain(ordered)));
}

#[test]
fn render_reports_as_json() {
    let unconfirmed = Report::Unconfirmed {
        command: "c1".into(),
        errors: vec![InstanceError {
            instance: "127.0.0.1:7000".parse().unwrap(),
            sent: true,
            reason: "timeout".into(),
        }],
        last: None,
    };
    let reports = [answers().remove(0), unconfirmed];
    check(
        &reports,
        OutputFormat::Json,
        &expect![[r#"
            [
              {
                "report": "answer",
                "answer": "instances",
                "rows": [
                  {
                    "instance": "i1",
                    "domain": "zone-a",
                    "state": "live",
                    "version": 12,
                    "heard_ms": 250
                  }
                ],
                "missing": []
              },
              {
                "report": "unconfirmed",
                "command": "c1",
                "errors": [
                  {
                    "instance": "127.0.0.1:7000",
                    "sent": true,
                    "reason": "timeout"
                  }
                ],
                "last": null
              }
            ]
        "#]],
    );
}
