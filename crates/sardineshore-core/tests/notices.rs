//! What servers say about themselves in responses, and what the selection makes of it.

use std::time::{Duration, Instant};

use sardineshore_core::flow::config::Server;
use sardineshore_core::flow::notices::{NoticeBoard, ServerNotice, ServerRun};
use sardineshore_core::flow::selection::{SelectionRequest, ServerSelector};

const SECOND: Duration = Duration::from_secs(1);

fn pause(time: Duration) -> ServerNotice {
    ServerNotice {
        pause: Some(time),
        ..ServerNotice::default()
    }
}

fn leaving() -> ServerNotice {
    ServerNotice {
        leaving: true,
        ..ServerNotice::default()
    }
}

fn server(id: &str, started_ms: u64) -> Server {
    Server {
        id: id.into(),
        pool: "p".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "d".into(),
        version: None,
        slots: 8,
        ready: true,
        started_ms,
        cold_remaining: None,
    }
}

fn run(id: &str, started_ms: u64) -> ServerRun {
    ServerRun {
        id: id.into(),
        started_ms,
    }
}

fn request() -> SelectionRequest {
    SelectionRequest {
        pool: "p".into(),
        ..SelectionRequest::default()
    }
}

#[test]
fn record_shorter_pause_after_a_longer_one_does_not_end_it() {
    let now = Instant::now();
    let mut board = NoticeBoard::default();
    assert!(board.record(&run("a", 1), pause(5 * SECOND), now));
    assert!(!board.record(&run("a", 1), pause(SECOND), now + SECOND));
    assert_eq!(
        board.paused_until("a", 1, now + SECOND),
        Some(now + 5 * SECOND)
    );
    assert_eq!(board.paused_until("a", 1, now + 5 * SECOND), None);
}

#[test]
fn record_notice_of_unlisted_server_holds_when_its_entry_returns() {
    let now = Instant::now();
    let mut selector = ServerSelector::new("d".into());
    selector.record_notice(&run("a", 3), leaving(), now);
    selector.set_servers(vec![server("a", 3)]);
    assert!(selector.select(&request(), now).is_none());
    selector.set_servers(vec![server("a", 4)]);
    assert!(selector.select(&request(), now).is_some());
}

#[test]
fn record_notice_of_an_earlier_run_is_ignored() {
    let now = Instant::now();
    let mut selector = ServerSelector::new("d".into());
    selector.set_servers(vec![server("a", 4)]);
    for notice in [leaving(), pause(60 * SECOND)] {
        assert!(!selector.record_notice(&run("a", 3), notice, now));
        assert!(selector.select(&request(), now).is_some());
    }
}

#[test]
fn record_notice_holds_while_entry_lapses_and_ends_with_next_start() {
    let now = Instant::now();
    let mut selector = ServerSelector::new("d".into());
    for notice in [leaving(), pause(60 * SECOND)] {
        selector.set_servers(vec![server("a", 3)]);
        assert!(selector.record_notice(&run("a", 3), notice, now));
        selector.set_servers(Vec::new());
        selector.set_servers(vec![server("a", 3)]);
        assert!(selector.select(&request(), now).is_none());
        selector.set_servers(vec![server("a", 4)]);
        assert!(selector.select(&request(), now).is_some());
    }
}

#[test]
fn pause_left_is_time_until_first_server_wants_requests() {
    let now = Instant::now();
    let mut selector = ServerSelector::new("d".into());
    selector.set_servers(vec![server("a", 1), server("b", 1)]);
    assert_eq!(selector.pause_left(&request(), now), None);
    selector.record_notice(&run("a", 1), pause(5 * SECOND), now);
    assert_eq!(selector.pause_left(&request(), now), None);
    assert_eq!(
        &*selector.select(&request(), now).unwrap().id,
        "b",
        "the other server is left"
    );
    selector.record_notice(&run("b", 1), pause(2 * SECOND), now);
    assert_eq!(selector.pause_left(&request(), now), Some(2 * SECOND));
    assert_eq!(selector.next_turn(&request(), now), Some(2 * SECOND));
    assert!(selector.select(&request(), now).is_none());
    assert!(selector.select(&request(), now + 2 * SECOND).is_some());
}

#[test]
fn record_huge_pause_is_cut() {
    let now = Instant::now();
    let mut board = NoticeBoard::default();
    board.record(&run("a", 1), pause(Duration::MAX), now);
    assert!(board.paused_until("a", 1, now).is_some());
}
