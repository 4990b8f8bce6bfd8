//! Requests around a planned stop: those that outlast it are refused or get a final reply.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use sardineshore_core::Stage;
use sardineshore_entry::shutdown::Shutdown;
use sardineshore_fakes::server::faults::ServerFaults;
use sardineshore_wire::headers;

use crate::claims::fresh_key;
use crate::support::TestEntry;

/// Longest time that the stop waits for requests in flight.
const LIMIT: Duration = Duration::from_secs(2);

/// Guards against requests that are taken late in a planned stop and cut at its end without a reply.
#[test]
fn submit_request_that_outlasts_planned_stop_is_refused_or_answered() {
    for idempotent in [true, false] {
        task::block_on(async {
            let stalled = ServerFaults {
                slow_factor: 1e6,
                ..ServerFaults::default()
            };
            let stage = Stage {
                idempotent,
                ..Stage::default()
            };
            let name = format!("stop-{idempotent}");
            let entry = Arc::new(TestEntry::start(&name, stage, vec![stalled]).await);
            let key = fresh_key();
            let key = (!idempotent).then_some(&*key);
            let submitted = task::spawn({
                let (entry, key) = (entry.clone(), key.map(str::to_owned));
                async move { entry.submit("early", key.as_deref()).await }
            });
            while entry.backends[0].started_attempts() == 0 {
                task::sleep(Duration::from_millis(5)).await;
            }
            let shutdown = &entry.instance.shutdown;
            shutdown.begin();
            shutdown.set_limits(Duration::ZERO, LIMIT, entry.instance.clock.now());
            let late = entry.submit("late", key).await;
            // A claim that is not settled by then remains.
            let _unsettled = shutdown.drain(LIMIT).await;
            let early = submitted.await;
            assert_eq!(
                (early.status, early.header(headers::OUTCOME)),
                (502, "unknown")
            );
            assert_eq!(
                (late.status, late.header(headers::OUTCOME)),
                (503, "not-run")
            );
            assert_eq!(late.header("connection"), "close");
            assert_eq!(entry.backends[0].started_attempts(), 1);
        });
    }
}

#[test]
fn leaves_time_until_counts_delay_and_limit() {
    let shutdown = Shutdown::default();
    let now = Instant::now();
    let after = |seconds| now + Duration::from_secs(seconds);
    assert!(shutdown.leaves_time_until(after(1000)));
    shutdown.set_limits(Duration::from_secs(5), Duration::from_secs(100), now);
    assert!(shutdown.leaves_time_until(after(105)));
    assert!(!shutdown.leaves_time_until(after(106)));
}
