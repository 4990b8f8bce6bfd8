//! Deletes claim rows whose keys no instance accepts any more.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use async_std::task;
use sardineshore_core::claim::Retention;
use sardineshore_core::event::claim as events;
use sardineshore_core::{StoreError, Txn};
use sardineshore_wire::platform::Table;

use super::relay::Routes;
use crate::instance::Instance;

const PERIOD: Duration = Duration::from_secs(60);
const PREFIX: &str = "claim/";
/// Rows deleted by one transaction.
const PAGE: usize = 64;

/// Deletes expired rows periodically, on the instance that the routes name; never returns.
///
/// Two instances that both take themselves for it do no harm: deleting again changes nothing.
pub async fn run(instance: Arc<Instance>, table: Arc<dyn Table>, routes: Arc<dyn Routes>) {
    loop {
        task::sleep(PERIOD).await;
        if !routes.is_ours(PREFIX) {
            continue;
        }
        let wall = instance.clock.wall_time();
        match delete_expired(&*table, instance.claims.retention(), wall).await {
            Ok(0) => (),
            Ok(rows) => instance
                .event_log
                .info(&events::CLAIMS_DELETED, format!("{rows} rows")),
            Err(err) => instance
                .event_log
                .info(&events::CLAIM_STORE_FAILED, err.to_string()),
        }
    }
}

/// Deletes all expired rows; returns how many.
pub async fn delete_expired(
    table: &dyn Table,
    retention: &Retention,
    wall: SystemTime,
) -> Result<usize, StoreError> {
    let mut deleted = 0;
    loop {
        let page = table.scan(PREFIX, "", PAGE).await?;
        let expired = page
            .iter()
            .filter(|row| retention.is_expired(&row.key, wall));
        let deletes: Vec<Arc<str>> = expired.map(|row| row.key.clone()).collect();
        let more = deletes.len() == PAGE;
        if deletes.is_empty() {
            return Ok(deleted);
        }
        deleted += deletes.len();
        let txn = Txn {
            deletes,
            ..Txn::default()
        };
        table.commit(&txn).await?;
        if !more {
            return Ok(deleted);
        }
    }
}
