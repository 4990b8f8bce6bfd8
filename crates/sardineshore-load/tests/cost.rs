//! Costs of one run, as the difference of two totals since the instances started.

use sardineshore_core::CostRow;
use sardineshore_load::cost::Costs;

fn row(group: &str, attempts: u64, cost: f64) -> CostRow {
    CostRow {
        group: group.into(),
        attempts,
        extra: 0,
        seconds: cost,
        cost,
    }
}

#[test]
fn since_leaves_out_what_was_spent_before() {
    let before = Costs {
        stages: vec![row("a/x", 3, 1.5), row("b/y", 2, 1.0)],
        customers: Vec::new(),
    };
    let after = Costs {
        stages: vec![row("a/x", 5, 2.0), row("b/y", 2, 1.0), row("c/z", 1, 0.5)],
        customers: vec![row("studio", 1, 0.5)],
    };
    let run = after.since(&before);
    assert_eq!(run.stages, vec![row("a/x", 2, 0.5), row("c/z", 1, 0.5)]);
    assert_eq!(run.customers, after.customers);
}
