//! Built-in workloads: the traffic of two deployments, scaled down.

use crate::workload::{CustomerShare, PipelineLoad, StageInfo, Workload};

/// Names of the built-in workloads.
pub const NAMES: &[&str] = &["tangolin", "mangos"];

/// The built-in workload of that name, if there is one.
#[must_use]
pub fn find(name: &str) -> Option<Workload> {
    match name {
        "tangolin" => Some(tangolin()),
        "mangos" => Some(mangos()),
        _ => None,
    }
}

/// Traffic of studios: partner matching, bookings of practice slots, and profiles.
#[must_use]
pub fn tangolin() -> Workload {
    Workload {
        name: "tangolin".into(),
        pipelines: vec![
            PipelineLoad {
                name: "match".into(),
                share: 5.0,
                deadline_ms: 4_000,
                streamed: 0.5,
                prompt_bytes: 1_024,
                prefixes: 8,
                max_tokens: 24,
                stages: vec![
                    idempotent("encode"),
                    idempotent("retrieve"),
                    idempotent("rerank"),
                    idempotent("generate"),
                ],
            },
            PipelineLoad {
                name: "booking".into(),
                share: 3.0,
                stages: vec![idempotent("check"), non_idempotent("book")],
                ..PipelineLoad::default()
            },
            PipelineLoad {
                name: "profiles".into(),
                share: 2.0,
                stages: vec![idempotent("profile")],
                ..PipelineLoad::default()
            },
        ],
        customers: customers(&[
            ("studio-taipei", 6.0),
            ("studio-kaohsiung", 3.0),
            ("studio-tainan", 1.0),
            ("studio-hualien", 0.5),
            ("studio-taitung", 0.5),
        ]),
    }
}

/// Traffic of cooperatives: repair quotes, work orders, and warranty claims.
#[must_use]
pub fn mangos() -> Workload {
    Workload {
        name: "mangos".into(),
        pipelines: vec![
            PipelineLoad {
                name: "quote".into(),
                share: 4.0,
                deadline_ms: 3_000,
                streamed: 0.25,
                prompt_bytes: 512,
                prefixes: 6,
                max_tokens: 16,
                stages: vec![idempotent("encode"), idempotent("draft")],
            },
            PipelineLoad {
                name: "order".into(),
                share: 4.0,
                stages: vec![idempotent("stock"), non_idempotent("place")],
                ..PipelineLoad::default()
            },
            PipelineLoad {
                name: "warranty".into(),
                share: 2.0,
                deadline_ms: 3_000,
                max_tokens: 16,
                stages: vec![idempotent("claims"), idempotent("summarise")],
                ..PipelineLoad::default()
            },
        ],
        customers: customers(&[
            ("coop-xela", 5.0),
            ("coop-cantel", 3.0),
            ("coop-salcaja", 1.0),
            ("coop-zunil", 0.5),
            ("bench", 0.5),
        ]),
    }
}

fn idempotent(name: &str) -> StageInfo {
    StageInfo {
        name: name.into(),
        idempotent: true,
    }
}

fn non_idempotent(name: &str) -> StageInfo {
    StageInfo {
        name: name.into(),
        idempotent: false,
    }
}

fn customers(shares: &[(&str, f64)]) -> Vec<CustomerShare> {
    let customer = |(name, share): &(&str, f64)| CustomerShare {
        name: (*name).into(),
        share: *share,
    };
    shares.iter().map(customer).collect()
}
