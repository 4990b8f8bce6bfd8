//! Keeps a list of the results that the owner of a cell holds in the store, so that the next owner can
//! release them if this one is lost.
//!
//! Servers keep results until they are released or expire. While their memory is short, results that
//! nobody knows any more keep new jobs from being served.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sardineshore_core::flow::config::Name;
use slog::{debug, info, warn};
use tokio::time::sleep;

use super::CellRunner;
use crate::dialect::{StoreRow, Table};
use crate::store::StoreError;

/// How often an owner writes its list while its servers are short of memory.
const WRITE_INTERVAL: Duration = Duration::from_millis(300);
/// Time within which an owner that is alive has written its list again, and within which the requests
/// of a lost one have submitted their jobs again.
const CONFIRM_TIME: Duration = Duration::from_millis(650);
/// Most bytes of a list in the store.
const MAX_LIST_BYTES: usize = 40 << 10;

/// Handles of results, by server.
type ResultList = Vec<(Name, Vec<Name>)>;

/// Writes the list of a cell's results while memory is short, forever.
pub(super) async fn list_results(runner: Rc<CellRunner>) {
    // An earlier process of this instance may have left a list, which is still to be read.
    sleep(CONFIRM_TIME).await;
    let key = row_key(&runner.cell, &runner.shared.instance);
    let store = &runner.shared.store;
    let mut is_listed = false;
    loop {
        sleep(WRITE_INTERVAL).await;
        let results = runner.sched.borrow().scarce_results();
        let written = if !results.is_empty() {
            is_listed = true;
            store.put(Table::Results, &key, &encode(results)).await
        } else if is_listed {
            let removed = store.remove(Table::Results, &key).await;
            is_listed = removed.is_err();
            removed
        } else {
            continue;
        };
        if let Err(error) = written {
            debug!(runner.shared.log, "can't write the list of results"; "cell" => &*runner.cell, "fault" => error.to_string());
        }
    }
}

/// Releases the results of lost owners whenever the cell is taken over, forever.
pub(super) async fn release_orphans(runner: Rc<CellRunner>) {
    loop {
        runner.taken_over.notified().await;
        if let Err(error) = release_lists(&runner).await {
            info!(runner.shared.log, "can't release results of lost owners"; "cell" => &*runner.cell, "fault" => error.to_string());
        }
    }
}

/// Releases the results on lists of the cell that nobody writes any more.
async fn release_lists(runner: &CellRunner) -> Result<(), StoreError> {
    let shared = &runner.shared;
    let listed = read_lists(runner).await?;
    if listed.is_empty() {
        return Ok(());
    }
    sleep(CONFIRM_TIME).await;
    let confirmed: HashSet<_> = read_lists(runner)
        .await?
        .into_iter()
        .map(|row| (row.key, row.version))
        .collect();
    for row in listed {
        let Some(value) = row
            .value
            .filter(|_| confirmed.contains(&(row.key.clone(), row.version)))
        else {
            continue;
        };
        match postcard::from_bytes::<ResultList>(&value) {
            Ok(results) => {
                let count: usize = results.iter().map(|(_, handles)| handles.len()).sum();
                info!(shared.log, "releasing results of a lost owner"; "cell" => &*runner.cell, "list" => &*row.key, "results" => count);
                runner
                    .sched
                    .borrow_mut()
                    .release_orphans(results, Instant::now());
                runner.wake.notify_one();
            }
            Err(error) => {
                warn!(shared.log, "can't decode the list of results"; "list" => &*row.key, "fault" => error.to_string());
            }
        }
        shared.store.remove(Table::Results, &row.key).await?;
    }
    Ok(())
}

/// The lists of a cell in the store.
async fn read_lists(runner: &CellRunner) -> Result<Vec<StoreRow>, StoreError> {
    let timed = runner.shared.store.read(Table::Results).await?;
    let prefix = row_key(&runner.cell, "");
    let rows = timed.page.rows.into_iter();
    Ok(rows.filter(|row| row.key.starts_with(&prefix)).collect())
}

/// Encodes a list; leaves out results that don't fit.
fn encode(mut results: ResultList) -> Vec<u8> {
    loop {
        match postcard::to_stdvec(&results) {
            Ok(value) if value.len() <= MAX_LIST_BYTES || results.is_empty() => return value,
            _ => results.truncate(results.len() / 2),
        }
    }
}

fn row_key(cell: &str, instance: &str) -> String {
    format!("{cell}/{instance}")
}
