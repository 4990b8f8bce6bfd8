//! What an instance that stops still takes.

use std::time::Duration;

use sardineshore_serve::stop::{Phase, Stop, phase};

const GRACE: Duration = Duration::from_secs(8);

#[test]
fn phase_ends_all_requests_within_the_grace() {
    let at = |ms| phase(Duration::from_millis(ms), GRACE);
    assert_eq!(at(0), Phase::Lingering);
    assert_eq!(at(3000), Phase::Short);
    // A request that is taken last still has 1.5 s.
    assert_eq!(at(6500), Phase::Refusing);
    assert_eq!(at(7350), Phase::Refusing);
}

#[test]
fn wait_for_the_refusing_phase_ends_within_the_grace() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    runtime.block_on(async {
        let stop = Stop::new(Duration::from_millis(20));
        stop.begin();
        stop.wait_refusing().await;
        assert_eq!(stop.phase(), Some(Phase::Refusing));
    });
}
