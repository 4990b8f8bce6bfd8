//! Tests of panics that end one piece of work.

use std::process::Command;

use sardineshore_serve::containment::{contain, contain_future, install_hook};

/// Tells the test program, started by itself, which panics to cause.
const PANICS: &str = "CONTAINMENT_TEST_PANICS";

#[test]
fn contain_returns_panic_and_result() {
    let panicked = contain(|| panic!("no {}", "rate"))
        .map(|(): ()| ())
        .unwrap_err();
    assert_eq!(panicked.message, "no rate");
    assert_eq!(contain(|| 7), Ok(7));
}

#[tokio::test(flavor = "current_thread")]
async fn contain_future_returns_panic_after_await() {
    let work = async {
        tokio::task::yield_now().await;
        assert!(std::hint::black_box(false), "after the wait");
        7
    };
    let panicked = contain_future(work).await.unwrap_err();
    assert_eq!(panicked.message, "after the wait");
    assert_eq!(contain_future(async { 7 }).await, Ok(7));
}

/// Not a test by itself: panics as the variable says, and ends normally if it outlives that.
#[test]
fn child_panics() {
    let Ok(panics) = std::env::var(PANICS) else {
        return;
    };
    install_hook();
    let Ok(count) = panics.parse::<usize>() else {
        panic!("not contained");
    };
    for _ in 0..count {
        let panicked = contain(|| panic!("contained"))
            .map(|(): ()| ())
            .unwrap_err();
        assert!(panicked.place.contains("containment.rs"), "{panicked}");
    }
}

/// Whether the test program outlives these panics.
fn outlives(panics: &str) -> bool {
    let program = std::env::current_exe().unwrap();
    let mut child = Command::new(program);
    child.args(["--exact", "child_panics"]).env(PANICS, panics);
    child.output().unwrap().status.success()
}

/// Guards against a process that runs on with a part of its tasks, or with damaged state.
#[test]
fn install_hook_aborts_unless_panics_are_contained_and_few() {
    assert!(outlives("0"));
    assert!(outlives("3"));
    assert!(!outlives("uncontained"));
    assert!(!outlives("100"));
}
