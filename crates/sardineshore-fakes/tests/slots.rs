//! Tests the concurrency limiter: capacity, queue length, priorities and dropped waiters.

use futures::FutureExt;
use sardineshore_fakes::server::slots::{Occupancy, QueueFull, Slots};

#[async_std::test]
async fn acquire_by_priority_then_arrival() {
    let slots = Slots::new(1, 2);
    let first = slots.acquire(4).await.unwrap();
    let mut low = Box::pin(slots.acquire(5));
    let mut high = Box::pin(slots.acquire(1));
    assert!((&mut low).now_or_never().is_none());
    assert!((&mut high).now_or_never().is_none());
    assert_eq!(slots.acquire(0).await.unwrap_err(), QueueFull);
    drop(first);
    assert!((&mut low).now_or_never().is_none());
    let second = (&mut high).now_or_never().unwrap().unwrap();
    drop(second);
    assert!((&mut low).now_or_never().unwrap().is_ok());
}

#[async_std::test]
async fn acquire_dropped_waiter_gives_slot_back() {
    let slots = Slots::new(1, 2);
    let first = slots.acquire(4).await.unwrap();
    let mut granted = Box::pin(slots.acquire(1));
    let mut waiting = Box::pin(slots.acquire(2));
    assert!((&mut granted).now_or_never().is_none());
    assert!((&mut waiting).now_or_never().is_none());
    drop(first);
    drop(granted);
    drop(waiting);
    assert_eq!(slots.occupancy(), Occupancy::default());
}
