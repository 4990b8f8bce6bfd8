//! Periodic deletion of claim rows whose idempotency keys have expired on every instance.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use async_std::task;
use sardineshore_core::claim::Retention;
use sardineshore_core::event::claim as events;
use sardineshore_core::{StoreError, Txn};
use sardineshore_wire::platform::Table;

use super::relay::WriteRouter;
use crate::instance::Instance;

const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);
const CLAIM_KEY_PREFIX: &str = "claim/";
/// Maximum number of rows deleted by one transaction.
const MAX_ROWS_PER_TXN: usize = 64;

/// Deletes expired rows periodically if the router assigns the task to this instance; never
/// returns.
///
/// Two instances may both run the task while their member lists differ. That is safe, because
/// deletion is idempotent.
pub async fn run(instance: Arc<Instance>, table: Arc<dyn Table>, router: Arc<dyn WriteRouter>) {
    loop {
        task::sleep(EXPIRY_INTERVAL).await;
        if !router.is_assigned_here(CLAIM_KEY_PREFIX) {
            continue;
        }
        let wall = instance.clock.wall_time();
        match delete_expired(&*table, instance.claims.retention(), wall).await {
            Ok(0) => (),
            Ok(rows) => instance.event_log.info(
                &events::CLAIMS_DELETED,
                format!("deleted {rows} expired rows"),
            ),
            Err(err) => instance
                .event_log
                .info(&events::CLAIM_STORE_FAILED, err.to_string()),
        }
    }
}

/// Deletes all expired rows and returns their number.
pub async fn delete_expired(
    table: &dyn Table,
    retention: &Retention,
    wall: SystemTime,
) -> Result<usize, StoreError> {
    let mut deleted = 0;
    loop {
        let page = table.scan(CLAIM_KEY_PREFIX, "", MAX_ROWS_PER_TXN).await?;
        let expired = page
            .iter()
            .filter(|row| retention.is_expired(&row.key, wall));
        let deletes: Vec<Arc<str>> = expired.map(|row| row.key.clone()).collect();
        let page_is_full = deletes.len() == MAX_ROWS_PER_TXN;
        if deletes.is_empty() {
            return Ok(deleted);
        }
        deleted += deletes.len();
        let txn = Txn {
            deletes,
            ..Txn::default()
        };
        table.commit(&txn).await?;
        if !page_is_full {
            return Ok(deleted);
        }
    }
}
