//! Which requests an instance still accepts while it shuts down.

use std::time::Duration;

use sardineshore_serve::shutdown::{Phase, Shutdown, ends_in_time, phase};

const GRACE: Duration = Duration::from_secs(8);

#[test]
fn phase_refuses_requests_early_enough_to_end_within_grace() {
    let at = |ms| phase(Duration::from_millis(ms), GRACE);
    assert_eq!(at(0), Phase::AcceptAll);
    assert_eq!(at(3000), Phase::AcceptShort);
    // The last accepted request has at least 1.5 s left to end.
    assert_eq!(at(6500), Phase::RefuseAll);
    assert_eq!(at(7350), Phase::RefuseAll);
}

/// Guards against requests that are accepted late in the grace period and cut at its end.
#[test]
fn ends_in_time_counts_longest_time_of_request() {
    let at = |elapsed, longest| {
        let (elapsed, longest) = (
            Duration::from_millis(elapsed),
            Duration::from_millis(longest),
        );
        ends_in_time(elapsed, GRACE, longest)
    };
    assert!(at(0, 7000) && !at(0, 7100));
    assert!(at(5500, 1500) && !at(5500, 1600));
    assert!(!at(7100, 0));
    assert!(!ends_in_time(Duration::ZERO, GRACE, Duration::MAX));
    assert!(Shutdown::new(GRACE).leaves_time_for(Duration::MAX));
}

#[test]
fn wait_refuse_all_returns_within_grace() {
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
