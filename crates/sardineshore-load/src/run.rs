//! Paces a schedule against callers, with a bounded number of requests in flight.

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

/// A start later than this counts as late.
const LATE_START: Duration = Duration::from_millis(20);
/// Runs longer than this show a progress bar.
const LONG_RUN: Duration = Duration::from_secs(5);

/// What a run gave.
#[derive(Debug, Default)]
pub struct RunResult {
    /// What callers were told, in the order in which they were.
    pub told: Vec<CallRecord>,
    /// How well the schedule was kept.
    pub pacing: Pacing,
    /// From the first request's due time until the last outcome.
    pub elapsed: Duration,
}

/// Receives each outcome as soon as it is known.
pub trait Sink {
    /// Takes one outcome.
    fn take(&mut self, told: &CallRecord) -> std::io::Result<()>;
}

/// Runs the whole schedule; at most `in_flight` logical requests are open at a time.
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
    let told = collect(rx, expected, &bar, sink).await?;
    let pacing = pacer.await;
    bar.finish_and_clear();
    Ok(RunResult {
        told,
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
    while let Ok(told) = rx.recv().await {
        sink.take(&told)?;
        bar.inc(1);
        all.push(told);
    }
    Ok(all)
}

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
        note_lag(&mut pacing, due.elapsed());
        open.push(task::spawn(call(callers.clone(), arrival, due, tx.clone())));
        while let Some(Some(())) = futures::FutureExt::now_or_never(open.next()) {}
    }
    while open.next().await.is_some() {}
    pacing
}

async fn call(callers: Arc<Callers>, arrival: Arrival, due: Instant, tx: Sender<CallRecord>) {
    let told = callers.call(&arrival, due).await;
    let _ = tx.send(told).await;
}

fn note_lag(pacing: &mut Pacing, lag: Duration) {
    let lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
    pacing.max_lag_ms = pacing.max_lag_ms.max(lag_ms);
    if lag > LATE_START {
        pacing.late += 1;
    }
}

fn progress_bar(schedule: &Schedule) -> ProgressBar {
    if schedule.length() < LONG_RUN {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {elapsed} (left {eta})");
    let bar = ProgressBar::new(schedule.arrivals.len() as u64);
    bar.with_style(style.expect("a constant template"))
}
