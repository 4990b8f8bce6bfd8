//! Starts the requests of a schedule when they are due, with a bounded number in flight.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::channel::{self, Receiver, Sender};
use async_std::task;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use indicatif::{ProgressBar, ProgressStyle};
use sardineshore_wire::audit_log::CallRecord;

use crate::caller::Callers;
use crate::report::Pacing;
use crate::schedule::{Arrival, Schedule};

/// A request that starts later than this after it was due counts as late.
const LATE_START: Duration = Duration::from_millis(20);
/// Runs longer than this show a progress bar.
const LONG_RUN: Duration = Duration::from_secs(5);

/// Outcomes of a run.
#[derive(Debug, Default)]
pub struct RunResult {
    /// Records of all logical requests, in the order in which their outcomes became known.
    pub calls: Vec<CallRecord>,
    /// How closely the schedule was kept.
    pub pacing: Pacing,
    /// Time from the start of the run until the last outcome.
    pub elapsed: Duration,
}

/// Receives the record of each logical request as soon as its outcome is known.
pub trait Sink {
    /// Writes one record; an error ends the run.
    fn write(&mut self, call: &CallRecord) -> std::io::Result<()>;
}

/// Runs the whole schedule, with at most `in_flight` logical requests in flight.
///
/// Fails if `sink` does.
pub async fn run(
    callers: Arc<Callers>,
    schedule: Schedule,
    in_flight: usize,
    sink: &mut (dyn Sink + Send),
) -> std::io::Result<RunResult> {
    let bar = progress_bar(&schedule);
    let expected = schedule.arrivals.len();
    let (tx, rx) = channel::unbounded();
    let started = Instant::now();
    let pacer = task::spawn(pace(callers, schedule, started, in_flight, tx));
    let calls = collect(rx, expected, &bar, sink).await?;
    let pacing = pacer.await;
    bar.finish_and_clear();
    Ok(RunResult {
        calls,
        pacing,
        elapsed: started.elapsed(),
    })
}

async fn collect(
    rx: Receiver<CallRecord>,
    expected: usize,
    bar: &ProgressBar,
    sink: &mut (dyn Sink + Send),
) -> std::io::Result<Vec<CallRecord>> {
    let mut all = Vec::with_capacity(expected);
    while let Ok(call) = rx.recv().await {
        sink.write(&call)?;
        bar.inc(1);
        all.push(call);
    }
    Ok(all)
}

/// Starts each request when it is due, waits for all of them, and reports how late they started.
async fn pace(
    callers: Arc<Callers>,
    schedule: Schedule,
    started: Instant,
    in_flight: usize,
    tx: Sender<CallRecord>,
) -> Pacing {
    let mut pacing = Pacing::default();
    let mut open = FuturesUnordered::new();
    for arrival in schedule.arrivals {
        let due = started + arrival.due;
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        while open.len() >= in_flight {
            pacing.waits += 1;
            open.next().await;
        }
        record_lag(&mut pacing, due.elapsed());
        open.push(task::spawn(call(callers.clone(), arrival, due, tx.clone())));
        while let Some(Some(())) = futures::FutureExt::now_or_never(open.next()) {}
    }
    while open.next().await.is_some() {}
    pacing
}

async fn call(callers: Arc<Callers>, arrival: Arrival, due: Instant, tx: Sender<CallRecord>) {
    let record = callers.call(&arrival, due).await;
    let _ = tx.send(record).await;
}

fn record_lag(pacing: &mut Pacing, lag: Duration) {
    let lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
    pacing.max_lag_ms = pacing.max_lag_ms.max(lag_ms);
    if lag > LATE_START {
        pacing.late += 1;
    }
}

fn progress_bar(schedule: &Schedule) -> ProgressBar {
    if schedule.duration() < LONG_RUN {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {elapsed} (left {eta})");
    let bar = ProgressBar::new(schedule.arrivals.len() as u64);
    bar.with_style(style.expect("a constant template"))
}
