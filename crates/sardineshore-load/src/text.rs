//! Renders the report as text for people.

use std::fmt::Write as _;

use comfy_table::{Table, presets};

use crate::cost::Costs;
use crate::report::{Group, Report};

const HEADER: &[&str] = &[
    "",
    "offered",
    "answered",
    "in time",
    "not run",
    "unknown",
    "no reply",
    "repeats",
    "attainment",
    "goodput/s",
    "p50 ms",
    "p90 ms",
    "p99 ms",
    "max ms",
];

/// Renders the report as tables and lines of text.
#[must_use]
pub fn render(report: &Report) -> String {
    let mut text = format!(
        "{} (seed {}): {} requests in {:.1} s\n",
        report.workload, report.seed, report.total.offered, report.seconds
    );
    let mut table = new_table(HEADER);
    table.add_row(row(&report.total));
    for group in report.pipelines.iter().chain(&report.customers) {
        table.add_row(row(group));
    }
    let _ = writeln!(text, "{table}");
    let _ = writeln!(
        text,
        "fairness between customers (Jain): {:.4}",
        report.fairness
    );
    for count in &report.reasons {
        let _ = writeln!(
            text,
            "{} {}: {}",
            count.outcome, count.reason, count.requests
        );
    }
    text.push_str(&pacing_line(report));
    if let Some(costs) = &report.costs {
        let _ = writeln!(text, "{}", cost_table(costs));
    }
    text
}

fn cost_table(costs: &Costs) -> Table {
    let mut table = new_table(&["cost of", "attempts", "extra", "seconds", "cost"]);
    for row in costs.stages.iter().chain(&costs.customers) {
        table.add_row(vec![
            row.group.to_string(),
            row.attempts.to_string(),
            row.extra.to_string(),
            format!("{:.3}", row.seconds),
            format!("{:.3}", row.cost),
        ]);
    }
    table
}

/// A warning if the schedule was not kept, otherwise nothing.
fn pacing_line(report: &Report) -> String {
    let pacing = report.pacing;
    if pacing.late == 0 && pacing.waits == 0 {
        return String::new();
    }
    format!(
        "schedule not kept: {} requests started late (at most {} ms), {} waits because too many were in flight\n",
        pacing.late, pacing.max_lag_ms, pacing.waits
    )
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(header);
    table
}

fn row(group: &Group) -> Vec<String> {
    let latency = group.latency;
    vec![
        group.name.to_string(),
        group.offered.to_string(),
        group.answered.to_string(),
        group.in_time.to_string(),
        group.not_run.to_string(),
        group.unknown.to_string(),
        group.no_reply.to_string(),
        group.repeats.to_string(),
        format!("{:.4}", group.attainment),
        format!("{:.1}", group.goodput),
        format!("{:.1}", latency.p50_ms),
        format!("{:.1}", latency.p90_ms),
        format!("{:.1}", latency.p99_ms),
        format!("{:.1}", latency.max_ms),
    ]
}
