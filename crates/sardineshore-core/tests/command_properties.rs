//! Properties of the command language over random text and random statements.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sardineshore_core::command::parse;
use sardineshore_core::{
    BackendServer, Change, CostGrouping, EngineAction, Location, Objective, Pipeline, Query, Stage,
    StageKind, Statement,
};

fn assert_findings_within_text(text: &str) {
    let Err(findings) = parse(text) else { return };
    assert!(!findings.is_empty());
    let lines: Vec<&str> = text.lines().collect();
    for finding in findings {
        let Location::Text { line, column } = finding.place else {
            panic!("the finding has no line and column: {finding}");
        };
        let width = lines[line - 1].chars().count();
        assert!((1..=width + 1).contains(&column), "{finding} of {text:?}");
    }
}

fn name() -> impl Strategy<Value = Arc<str>> {
    "[A-Za-z0-9][A-Za-z0-9._-]{0,127}".prop_map(Arc::from)
}

fn deadline() -> impl Strategy<Value = Duration> {
    (1..=3_600_000_000_u64).prop_map(Duration::from_micros)
}

fn kind() -> impl Strategy<Value = StageKind> {
    prop_oneof![
        Just(StageKind::Encode),
        Just(StageKind::Retrieve),
        Just(StageKind::Rerank),
        Just(StageKind::Generate),
        Just(StageKind::Service),
    ]
}

fn stage() -> impl Strategy<Value = Stage> {
    let fields = (name(), kind(), name(), any::<bool>());
    fields.prop_map(|(name, kind, pool, idempotent)| Stage {
        name,
        kind,
        pool,
        idempotent,
    })
}

fn pipeline() -> impl Strategy<Value = Pipeline> {
    let stages = prop::collection::vec(stage(), 1..6).prop_map(|mut stages| {
        stages.sort_by(|a, b| a.name.cmp(&b.name));
        stages.dedup_by(|a, b| a.name == b.name);
        stages
    });
    let fields = (name(), stages, deadline());
    fields.prop_map(|(name, stages, deadline)| Pipeline {
        name,
        stages,
        deadline,
    })
}

fn server() -> impl Strategy<Value = BackendServer> {
    let place = (name(), any::<std::net::SocketAddr>(), name(), name());
    let options = (1..u32::MAX, 0.0..1e9, any::<bool>(), any::<bool>());
    let with_port = place.prop_filter("port 0", |place| place.1.port() != 0);
    (with_port, options).prop_map(|(place, options)| BackendServer {
        name: place.0,
        addr: place.1.to_string(),
        domain: place.2,
        pool: place.3,
        capacity: options.0,
        cost: options.1,
        answers_status: options.2,
        fencing: options.3,
        ..BackendServer::default()
    })
}

fn query() -> impl Strategy<Value = Query> {
    prop_oneof![
        Just(Query::Instances),
        Just(Query::Pipelines),
        prop::option::of(name()).prop_map(|pool| Query::Servers { pool }),
        Just(Query::Customers),
        Just(Query::Cost {
            by: CostGrouping::Stage
        }),
        Just(Query::Cost {
            by: CostGrouping::Customer
        }),
        Just(Query::Versions),
        name().prop_map(|request| Query::Explain { request }),
        Just(Query::Quarantine),
    ]
}

fn change() -> impl Strategy<Value = Change> {
    let objective = prop_oneof![Just(Objective::Attainment), Just(Objective::Cost)];
    prop_oneof![
        pipeline().prop_map(|pipeline| Change::CreatePipeline { pipeline }),
        name().prop_map(|name| Change::RemovePipeline { name }),
        (name(), deadline()).prop_map(|(name, deadline)| Change::SetDeadline { name, deadline }),
        (name(), name(), any::<bool>()).prop_map(|(pipeline, stage, idempotent)| {
            Change::MarkStage {
                pipeline,
                stage,
                idempotent,
            }
        }),
        server().prop_map(|server| Change::AddServer { server }),
        server().prop_map(|server| Change::ReconfigureServer { server }),
        name().prop_map(|name| Change::DrainServer { name }),
        name().prop_map(|name| Change::ResumeServer { name }),
        name().prop_map(|name| Change::RemoveServer { name }),
        (name(), 1e-6..1e6).prop_map(|(name, weight)| Change::SetWeight { name, weight }),
        objective.prop_map(|objective| Change::SetObjective { objective }),
    ]
}

fn statement() -> impl Strategy<Value = Statement> {
    let action = prop_oneof![
        (name(), name()).prop_map(|(model, version)| EngineAction::LoadModel { model, version }),
        name().prop_map(|adapter| EngineAction::LoadAdapter { adapter }),
        name().prop_map(|role| EngineAction::SetRole { role }),
    ];
    let fingerprint = "[0-9a-f]{64}".prop_map(Arc::from);
    prop_oneof![
        query().prop_map(|query| Statement::Query { query }),
        change().prop_map(|change| Statement::Change { change }),
        (name(), action).prop_map(|(server, action)| Statement::Order { server, action }),
        fingerprint.prop_map(|fingerprint| Statement::Release { fingerprint }),
    ]
}

/// Text made of tokens of the command language, in random order.
fn tokens() -> impl Strategy<Value = String> {
    let token = prop::sample::select(vec![
        "show",
        "servers",
        "in",
        "create",
        "pipeline",
        "deadline",
        "6s",
        "stages",
        "encode:p",
        "as",
        ",",
        "not",
        "idempotent",
        "set",
        "weight",
        "of",
        "to",
        "-1",
        "add",
        "server",
        "at",
        "127.0.0.1:1",
        "for",
        "order",
        "load",
        "model",
        "release",
        "#",
        "\n",
        "\r\n",
        "\u{e9}",
    ]);
    prop::collection::vec(token, 0..40).prop_map(|tokens| tokens.join(" "))
}

/// Uses a fixed seed, so that every run checks the same cases.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn parse_any_text_findings_within_text(text in any::<String>()) {
        assert_findings_within_text(&text);
    }

    #[test]
    fn parse_random_tokens_findings_within_text(text in tokens()) {
        assert_findings_within_text(&text);
    }

    #[test]
    fn parse_displayed_statement_round_trips(statement in statement()) {
        prop_assert_eq!(parse(&statement.to_string()), Ok(vec![statement]));
    }
}
