//! Events of streams, torn and resumed.

use proptest::collection::vec;
use proptest::prelude::*;
use sardineshore_serve::stream::{EventFilter, StreamFault};

fn event(id: u64) -> String {
    format!(
        "id: {id}\ndata: {}\n\n",
        "x".repeat(usize::try_from(id % 7).unwrap())
    )
}

#[test]
fn torn_event_is_not_passed_on() {
    let mut filter = EventFilter::default();
    filter.push(format!("{}id: 2\ndata", event(1)).as_bytes());
    assert_eq!(filter.take().unwrap(), event(1).as_bytes());
    assert!(filter.is_torn());
    filter.restart();
    filter.push(event(2).as_bytes());
    assert_eq!(filter.take().unwrap(), event(2).as_bytes());
}

#[test]
fn repeated_event_is_dropped_and_a_missing_one_is_a_fault() {
    let mut filter = EventFilter::after(Some(4));
    filter.push(format!("{}{}", event(4), event(5)).as_bytes());
    assert_eq!(filter.take().unwrap(), event(5).as_bytes());
    filter.push(event(7).as_bytes());
    assert_eq!(
        filter.take(),
        Err(StreamFault::OutOfOrder { last: 5, got: 7 })
    );
}

#[test]
fn event_with_line_ends_of_both_kinds_is_whole() {
    let mut filter = EventFilter::default();
    filter.push(b"weights: 3\r\nid: 1\r\ndata: a\r\n\r\n");
    assert_eq!(filter.take().unwrap().len(), 30);
    assert_eq!(filter.last_event(), Some(1));
}

proptest! {
    #[test]
    fn stream_is_whole_however_often_it_breaks(
        breaks in vec(1_usize..200, 0..6),
        count in 1_u64..30,
    ) {
        let whole: String = (1..=count).map(event).collect();
        let mut filter = EventFilter::default();
        let mut passed = Vec::new();
        for cut in breaks.into_iter().chain([usize::MAX]) {
            let after = filter.last_event().unwrap_or(0);
            let rest: String = (after + 1..=count).map(event).collect();
            filter.push(&rest.as_bytes()[..cut.min(rest.len())]);
            passed.extend(filter.take().unwrap());
            filter.restart();
        }
        prop_assert_eq!(passed, whole.into_bytes());
    }
}
