//! Tests the timelines of faults, the plan of the fault runs and the results file.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;

use sardineshore_load::audit::{AuditResult, Violation};
use xtask::demo::fault::{self, Action, Fault, Targets};
use xtask::faults::plan::{Plan, Run};
use xtask::faults::results::{Results, RunResult};

const TARGETS: Targets = Targets {
    entries: 3,
    servers: 28,
    duration: Duration::from_secs(4),
};

const PLAN: Plan = Plan {
    seeds: 20,
    pair_seeds: 3,
    only: None,
};

fn file(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("xtask-{}-{name}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

fn result(seed: u64, passed: bool) -> RunResult {
    let violation = Violation {
        tag: "t1".into(),
        request: "r1".into(),
        text: "no reply".into(),
    };
    RunResult {
        faults: vec![Fault::Burst],
        seed,
        passed,
        detail: String::new(),
        seconds: 1.0,
        verdict: AuditResult {
            offered: 10,
            answered: 9,
            lost: if passed { Vec::new() } else { vec![violation] },
            ..AuditResult::default()
        },
    }
}

fn run(seed: u64) -> Run {
    Run {
        faults: vec![Fault::Burst],
        seed,
    }
}

#[test]
fn fault_names_round_trip() {
    for fault in fault::ALL {
        assert_eq!(fault.to_string().parse(), Ok(*fault));
    }
    assert!("kill-everything".parse::<Fault>().is_err());
}

#[test]
fn timeline_same_seed() {
    let timeline = |seed| fault::timeline(fault::ALL, seed, TARGETS);
    assert_eq!(timeline(3), timeline(3));
    assert_ne!(timeline(3), timeline(4));
    assert!(timeline(3).is_sorted_by_key(|step| step.due));
}

#[test]
fn timeline_ends_every_lasting_fault() {
    for seed in 1..50 {
        let steps = fault::timeline(fault::ALL, seed, TARGETS);
        let last = |wanted: fn(&Action) -> bool| {
            let found = steps.iter().rev().find(|step| wanted(&step.action));
            found.map(|step| step.action)
        };
        let outage = last(|action| matches!(action, Action::StoreOutage(_)));
        assert_eq!(outage, Some(Action::StoreOutage(None)));
        let delay = last(|action| matches!(action, Action::StoreDelay(_)));
        assert_eq!(delay, Some(Action::StoreDelay(0)));
        let stopped =
            last(|action| matches!(action, Action::StopEntry(_) | Action::ContinueEntry(_)));
        assert!(matches!(stopped, Some(Action::ContinueEntry(_))));
    }
}

#[test]
fn plan_runs_all_seeds_and_pairs() {
    let runs = PLAN.runs();
    assert_eq!(runs.len(), 10 * 20 + 45 * 3);
    let distinct: BTreeSet<String> = runs.iter().map(ToString::to_string).collect();
    assert_eq!(distinct.len(), runs.len());
    assert_eq!(PLAN.fault_groups().len(), 55);
}

#[test]
fn plan_only_one_fault() {
    let plan = Plan {
        only: Some(Fault::Poison),
        ..PLAN
    };
    assert_eq!(plan.runs().len(), 20 + 9 * 3);
    assert!(
        plan.runs()
            .iter()
            .all(|run| run.faults.contains(&Fault::Poison))
    );
}

#[test]
fn results_resume_from_file() {
    let path = file("resume");
    let mut results = Results::open(&path).unwrap();
    results.add(result(1, true)).unwrap();
    results.add(result(2, false)).unwrap();
    let resumed = Results::open(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(resumed.contains(&run(1)) && resumed.contains(&run(2)) && !resumed.contains(&run(3)));
    assert!(!resumed.all_passed());
}

#[test]
fn results_table_counts_failed_and_not_run() {
    let path = file("table");
    let mut results = Results::open(&path).unwrap();
    results.add(result(1, true)).unwrap();
    results.add(result(2, false)).unwrap();
    std::fs::remove_file(&path).unwrap();
    let table = results.table(&PLAN);
    assert!(
        table.contains("| burst | 2 | 1 | 18 | 20 | 18 | 0 | 0 |"),
        "{table}"
    );
    assert!(table.contains("| kill-instance | 0 | 0 | 20 | 0 | 0 | 0 | 0 |"));
}

#[test]
fn results_torn_line_is_an_error() {
    let path = file("torn");
    std::fs::write(&path, "{\"faults\":[\"bur").unwrap();
    let opened = Results::open(&path);
    std::fs::remove_file(&path).unwrap();
    assert!(opened.is_err());
}
