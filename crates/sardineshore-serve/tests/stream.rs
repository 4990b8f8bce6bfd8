//! Event filter: streams that break off within an event and are resumed at another server.

use proptest::collection::vec;
use proptest::prelude::*;
use sardineshore_serve::stream::{EventFilter, StreamError};

/// An event whose size depends on its id, so that breaks fall at different places.
fn event(id: u64) -> String {
    format!(
        "id: {id}\ndata: {}\n\n",
        "x".repeat(usize::try_from(id % 7).unwrap())
    )
}

#[test]
fn take_events_partial_event_is_held_back() {
    let mut filter = EventFilter::default();
    filter.push(format!("{}id: 2\ndata", event(1)).as_bytes());
    assert_eq!(filter.take_events().unwrap(), event(1).as_bytes());
    assert!(filter.is_inside_event());
    filter.discard_partial_event();
    // The stream can't end before another server has sent the event.
    assert_eq!(filter.take_events().unwrap(), b"");
    assert!(filter.is_inside_event());
    filter.push(event(2).as_bytes());
    assert_eq!(filter.take_events().unwrap(), event(2).as_bytes());
    assert!(!filter.is_inside_event());
}

#[test]
fn take_events_repeated_event_is_dropped_and_missing_one_is_an_error() {
    let mut filter = EventFilter::resume_after(Some(4));
    filter.push(format!("{}{}", event(4), event(5)).as_bytes());
    assert_eq!(filter.take_events().unwrap(), event(5).as_bytes());
    filter.push(event(7).as_bytes());
    assert_eq!(
        filter.take_events(),
        Err(StreamError::OutOfOrder {
            last: 5,
            received: 7
        })
    );
}

/// Guards against a missing piece: a sound event was dropped, but counted, when a spoiled one followed in
/// the same bytes, so that the next server went on after it.
#[test]
fn take_events_sound_events_before_a_fault_are_returned() {
    let fault = Err(StreamError::OutOfOrder {
        last: 2,
        received: 9,
    });
    let sound = format!("{}{}", event(1), event(2));
    let mut filter = EventFilter::default();
    filter.push(format!("{sound}{}{}", event(9), event(3)).as_bytes());
    assert_eq!(filter.take_events().unwrap(), sound.as_bytes());
    assert_eq!(filter.last_event_id(), Some(2));
    assert_eq!(filter.take_events(), fault);
    filter.discard_partial_event();
    filter.push(event(3).as_bytes());
    assert_eq!(filter.take_events().unwrap(), event(3).as_bytes());
}

/// Guards against the same before an event that is too long.
#[test]
fn take_events_sound_events_before_one_too_long_are_returned() {
    let mut filter = EventFilter::default();
    let too_long = format!("id: 2\ndata: {}", "x".repeat(2 << 20));
    filter.push(format!("{}{too_long}", event(1)).as_bytes());
    assert_eq!(filter.take_events().unwrap(), event(1).as_bytes());
    assert_eq!(filter.take_events(), Err(StreamError::TooLong));
}

#[test]
fn take_events_event_with_crlf_line_ends_is_complete() {
    let mut filter = EventFilter::default();
    filter.push(b"weights: 3\r\nid: 1\r\ndata: a\r\n\r\n");
    assert_eq!(filter.take_events().unwrap().len(), 30);
    assert_eq!(filter.last_event_id(), Some(1));
}

/// Guards against a stream that ends as if it were complete although a server's events went back: those after
/// a first event with a spoiled id, or a last one, were dropped as if the caller had them.
#[test]
fn take_events_id_that_goes_back_at_one_server_is_an_error() {
    for (ids, forwarded) in [([7, 2, 3], 1), ([1, 2, 1], 2), ([1, 1, 2], 1)] {
        let mut filter = EventFilter::default();
        let events: String = ids.into_iter().map(event).collect();
        filter.push(events.as_bytes());
        let sound: String = ids[..forwarded].iter().map(|id| event(*id)).collect();
        assert_eq!(filter.take_events().unwrap(), sound.as_bytes(), "{ids:?}");
        let (last, received) = (ids[forwarded - 1], ids[forwarded]);
        let fault = StreamError::OutOfOrder { last, received };
        assert_eq!(filter.take_events(), Err(fault), "{ids:?}");
    }
    // Another server may begin with events that the caller has.
    let mut filter = EventFilter::default();
    filter.push(format!("{}{}", event(1), event(2)).as_bytes());
    assert!(filter.take_events().is_ok());
    filter.discard_partial_event();
    filter.push(format!("{}{}{}", event(1), event(2), event(3)).as_bytes());
    assert_eq!(filter.take_events().unwrap(), event(3).as_bytes());
}

/// Guards against a stream that another server continues after a wrong id: if the first event has one, it isn't
/// known which events the caller lacks.
#[test]
fn can_resume_not_if_first_id_was_contradicted() {
    for (ids, can_resume) in [([7, 2], false), ([1, 5], true), ([1, 2], true)] {
        let mut filter = EventFilter::default();
        filter.push(ids.into_iter().map(event).collect::<String>().as_bytes());
        while filter.take_events().is_ok_and(|events| !events.is_empty()) {}
        assert_eq!(filter.can_resume(), can_resume, "{ids:?}");
    }
    let mut resumed = EventFilter::resume_after(Some(4));
    resumed.push(event(9).as_bytes());
    assert!(resumed.take_events().is_err() && resumed.can_resume());
}

proptest! {
    #[test]
    fn take_events_stream_is_complete_after_any_number_of_breaks(
        breaks in vec(1_usize..200, 0..6),
        count in 1_u64..30,
    ) {
        let whole: String = (1..=count).map(event).collect();
        let mut filter = EventFilter::default();
        let mut forwarded = Vec::new();
        for break_at in breaks.into_iter().chain([usize::MAX]) {
            let last_id = filter.last_event_id().unwrap_or(0);
            let rest: String = (last_id + 1..=count).map(event).collect();
            filter.push(&rest.as_bytes()[..break_at.min(rest.len())]);
            forwarded.extend(filter.take_events().unwrap());
            filter.discard_partial_event();
        }
        prop_assert_eq!(forwarded, whole.into_bytes());
    }

    /// Guards against pieces that are missing or come twice when servers spoil the ids of events and the
    /// stream goes on after the last event that was forwarded.
    #[test]
    fn take_events_stream_is_whole_after_spoiled_ids(
        spoiled in vec((2_u64..30, 1_u64..60, 1_usize..200), 0..6),
        count in 1_u64..30,
    ) {
        let mut filter = EventFilter::default();
        let mut forwarded = Vec::new();
        for (at, id, step) in spoiled.into_iter().chain([(0, 0, 64)]) {
            let last_id = filter.last_event_id().unwrap_or(0);
            let events = last_id + 1..=count;
            let sent: String = events.map(|n| event(if n == at { id } else { n })).collect();
            'attempt: for part in sent.as_bytes().chunks(step) {
                filter.push(part);
                loop {
                    match filter.take_events() {
                        Ok(events) if events.is_empty() => break,
                        Ok(events) => forwarded.extend(events),
                        Err(_) => break 'attempt,
                    }
                }
            }
            filter.discard_partial_event();
        }
        // A spoiled id may be the right one of another piece.
        let ids: Vec<u64> = String::from_utf8(forwarded).unwrap()
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
        prop_assert_eq!(ids, (1..=count).collect::<Vec<_>>());
    }
}
