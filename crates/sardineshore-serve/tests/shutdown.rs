//! What an instance that stops still takes.

use std::time::Duration;

use sardineshore_serve::shutdown::{Phase, Shutdown, phase};

const GRACE: Duration = Duration::from_secs(8);

#[test]
fn phase_ends_all_requests_within_the_grace() {
    let at = |ms| phase(Duration::from_millis(ms), GRACE);
    assert_eq!(at(0), Phase::AcceptAll);
    assert_eq!(at(3000), Phase::AcceptShort);
    // A request that is taken last still has 1.5 s.
    assert_eq!(at(6500), Phase::RefuseAll);
    assert_eq!(at(7350), Phase::RefuseAll);
}

#[test]
fn wait_for_the_refusing_phase_ends_within_the_grace() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    runtime.block_on(async {
        let shutdown = Shutdown::new(Duration::from_millis(20));
        shutdown.begin();
        shutdown.wait_refuse_all().await;
        assert_eq!(shutdown.phase(), Some(Phase::RefuseAll));
    });
}
