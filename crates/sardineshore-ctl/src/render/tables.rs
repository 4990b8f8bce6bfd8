//! Renders the answers to queries as tables.

use std::time::{Duration, UNIX_EPOCH};

use comfy_table::{CellAlignment, Row, Table, presets};
use sardineshore_core::{
    CostRow, CustomerRow, EventRow, InstanceRow, Pipeline, QuarantineRow, QueryResponse, ServerRow,
    ServerState, VersionRow,
};

/// Number of spaces between two columns.
const COLUMN_GAP: u16 = 2;

/// Renders an answer as a table with one line per row, or as `none` without rows.
pub(super) fn answer_table(answer: &QueryResponse) -> String {
    match answer {
        QueryResponse::Instances(rows) => instances(rows),
        QueryResponse::Pipelines(rows) => pipelines(rows),
        QueryResponse::Servers(rows) => servers(rows),
        QueryResponse::Customers(rows) => customers(rows),
        QueryResponse::Cost(rows) => costs(rows),
        QueryResponse::Versions(rows) => versions(rows),
        QueryResponse::Explain(rows) => events(rows),
        QueryResponse::Quarantine(rows) => quarantine(rows),
    }
}

fn instances(rows: &[InstanceRow]) -> String {
    let mut table = new_table(
        &["instance", "domain", "state", "version", "heard"],
        &[3, 4],
    );
    for row in rows {
        table.add_row(Row::from([
            row.instance.to_string(),
            row.domain.to_string(),
            row.state.to_string(),
            row.version.to_string(),
            ago(row.heard_ms),
        ]));
    }
    table_text(&table)
}

fn pipelines(rows: &[Pipeline]) -> String {
    let head = [
        "pipeline",
        "deadline",
        "stage",
        "kind",
        "pool",
        "idempotent",
    ];
    let mut table = new_table(&head, &[]);
    for pipeline in rows {
        for stage in &pipeline.stages {
            table.add_row(Row::from([
                pipeline.name.to_string(),
                humantime::format_duration(pipeline.deadline).to_string(),
                stage.name.to_string(),
                stage.kind.to_string(),
                stage.pool.to_string(),
                yes_no(stage.idempotent),
            ]));
        }
    }
    table_text(&table)
}

fn servers(rows: &[ServerRow]) -> String {
    let head = [
        "server",
        "pool",
        "domain",
        "address",
        "state",
        "in flight",
        "running",
        "queued",
        "capacity",
        "report",
        "cost/s",
    ];
    let mut table = new_table(&head, &[5, 6, 7, 8, 9, 10]);
    for row in rows {
        table.add_row(Row::from([
            row.server.name.to_string(),
            row.server.pool.to_string(),
            row.server.domain.to_string(),
            row.server.addr.clone(),
            server_state(row),
            row.in_flight.to_string(),
            row.running.to_string(),
            row.queued.to_string(),
            row.server.capacity.to_string(),
            row.report_age_ms.map_or_else(|| "none".to_owned(), ago),
            row.server.cost.to_string(),
        ]));
    }
    table_text(&table)
}

fn customers(rows: &[CustomerRow]) -> String {
    let head = ["customer", "weight", "answered", "not run", "unknown"];
    let mut table = new_table(&head, &[1, 2, 3, 4]);
    for row in rows {
        table.add_row(Row::from([
            row.customer.to_string(),
            row.weight.to_string(),
            row.answered.to_string(),
            row.not_run.to_string(),
            row.unknown.to_string(),
        ]));
    }
    table_text(&table)
}

fn costs(rows: &[CostRow]) -> String {
    let mut table = new_table(
        &["group", "attempts", "extra", "seconds", "cost"],
        &[1, 2, 3, 4],
    );
    for row in rows {
        table.add_row(Row::from([
            row.group.to_string(),
            row.attempts.to_string(),
            row.extra.to_string(),
            format!("{:.3}", row.seconds),
            format!("{:.3}", row.cost),
        ]));
    }
    table_text(&table)
}

fn versions(rows: &[VersionRow]) -> String {
    let mut table = new_table(&["instance", "in force", "confirmed"], &[1, 2]);
    for row in rows {
        table.add_row(Row::from([
            row.instance.to_string(),
            row.version.to_string(),
            ago(row.confirmed_ms),
        ]));
    }
    table_text(&table)
}

fn events(rows: &[EventRow]) -> String {
    let mut table = new_table(&["time", "instance", "event", "what"], &[2]);
    for row in rows {
        let at = UNIX_EPOCH + Duration::from_millis(row.at_ms);
        table.add_row(Row::from([
            humantime::format_rfc3339_millis(at).to_string(),
            row.instance.to_string(),
            row.event.to_string(),
            row.text.clone(),
        ]));
    }
    table_text(&table)
}

fn quarantine(rows: &[QuarantineRow]) -> String {
    let mut table = new_table(&["fingerprint", "crashes", "servers", "remaining"], &[1, 3]);
    for row in rows {
        let remaining = Duration::from_millis(row.remaining_ms);
        table.add_row(Row::from([
            row.fingerprint.to_string(),
            row.crashes.to_string(),
            row.servers.join(", "),
            humantime::format_duration(remaining).to_string(),
        ]));
    }
    table_text(&table)
}

/// Creates a table with a header; the columns whose indices are in `numbers` are aligned right.
fn new_table(head: &[&str], numbers: &[usize]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(head.iter().map(|name| name.to_uppercase()));
    for column in table.column_iter_mut() {
        column.set_padding((0, COLUMN_GAP));
    }
    for &number in numbers {
        if let Some(column) = table.column_mut(number) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table
}

fn table_text(table: &Table) -> String {
    if table.row_count() == 0 {
        return "none\n".to_owned();
    }
    table.trim_fmt() + "\n"
}

fn server_state(row: &ServerRow) -> String {
    let mut states = vec![match row.server.state {
        ServerState::Active => "active",
        ServerState::Draining => "draining",
    }];
    if row.leaving {
        states.push("leaving");
    }
    if row.ejected {
        states.push("ejected");
    }
    states.join(", ")
}

fn ago(ms: u64) -> String {
    format!("{ms} ms ago")
}

fn yes_no(yes: bool) -> String {
    if yes { "yes" } else { "no" }.to_owned()
}
