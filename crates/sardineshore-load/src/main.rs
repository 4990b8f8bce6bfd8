//! `sardine-load`: sends open-loop load to entry instances and reports the results.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use async_std::task;
use sardineshore_core::SystemClock;
use sardineshore_load::balancer::Balancer;
use sardineshore_load::caller::Callers;
use sardineshore_load::cost::Costs;
use sardineshore_load::report::Report;
use sardineshore_load::run::{self, Sink};
use sardineshore_load::schedule::Schedule;
use sardineshore_load::settings::{self, Settings};
use sardineshore_load::{plots, text};
use sardineshore_wire::audit_log::CallRecord;
use sardineshore_wire::settings::exit_with_errors;

#[async_std::main]
async fn main() -> anyhow::Result<()> {
    let matches = settings::command().get_matches();
    let settings = settings::parse(&matches).unwrap_or_else(|findings| exit_with_errors(&findings));
    load(settings).await
}

async fn load(settings: Settings) -> anyhow::Result<()> {
    let mut log = CallLog::open(settings.log.as_deref())?;
    let schedule = Schedule::plan(&settings.workload, &settings.schedule);
    let name = settings.workload.name.clone();
    let callers = Arc::new(Callers {
        workload: settings.workload,
        balancer: Balancer::new(settings.entries),
        settings: settings.callers,
        clock: Arc::new(SystemClock),
    });
    let shared = callers.clone();
    let watch = task::spawn(async move { shared.balancer.watch_readiness().await });
    let before = costs(&settings.operators).await?;
    let result = run::run(callers, schedule, settings.in_flight, &mut log).await;
    watch.cancel().await;
    let result = result.context("the call log can't be written")?;
    log.flush().context("the call log can't be written")?;
    let after = costs(&settings.operators).await?;
    let spent = after
        .zip(before)
        .map(|(after, before)| after.since(&before));
    let report = Report::new(&name, settings.schedule.seed, &result).with_costs(spent);
    if let Some(path) = &settings.plots {
        let page = plots::render(&report, &result.calls)?;
        std::fs::write(path, page).with_context(|| format!("can't write {}", path.display()))?;
    }
    print(&report, settings.json)
}

/// Costs since the instances started; `None` without addresses to query.
async fn costs(operators: &[Arc<str>]) -> anyhow::Result<Option<Costs>> {
    if operators.is_empty() {
        return Ok(None);
    }
    Costs::fetch(operators).await.map(Some)
}

fn print(report: &Report, json: bool) -> anyhow::Result<()> {
    if json {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        print!("{}", text::render(report));
    }
    Ok(())
}

/// File of the call log; without a file, records are dropped.
struct CallLog {
    file: Option<BufWriter<File>>,
}

impl CallLog {
    fn open(path: Option<&Path>) -> anyhow::Result<Self> {
        let Some(path) = path else {
            return Ok(Self { file: None });
        };
        let file = File::create(path);
        let file = file.with_context(|| format!("can't create {}", path.display()))?;
        Ok(Self {
            file: Some(BufWriter::new(file)),
        })
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.file.as_mut().map_or(Ok(()), Write::flush)
    }
}

impl Sink for CallLog {
    fn write(&mut self, call: &CallRecord) -> std::io::Result<()> {
        let Some(file) = &mut self.file else {
            return Ok(());
        };
        serde_json::to_writer(&mut *file, call)?;
        file.write_all(b"\n")
    }
}
