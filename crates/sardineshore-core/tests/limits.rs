//! Admission: fairness, bounds, shedding, and the adaptive limits.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use proptest::prelude::*;
use sardineshore_core::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, Completion,
    ConcurrencyLimit, DequeueOutcome, DequeuedRequest, NotRunReason, QueueSample, Ticket,
};

const MS: Duration = Duration::from_millis(1);
const SERVICE: Duration = Duration::from_millis(100);

fn offer(request: &str, customer: &str, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest {
        request: request.into(),
        customer: customer.into(),
        pipeline: "reports".into(),
        weight: 1.0,
        deadline,
        cost_estimate: SERVICE,
    }
}

fn done() -> Completion {
    Completion {
        in_time: true,
        latency: SERVICE,
        service: SERVICE,
    }
}

/// An admission in which one request runs at a time, and its first running ticket.
fn narrow(now: Instant) -> (AdmissionController, Ticket) {
    let mut admission = AdmissionController::new(AdmissionConfig {
        max_running: 1,
        ..AdmissionConfig::default()
    });
    let first = admission.submit(offer("first", "z", now + 60_000 * MS), now);
    let AdmissionDecision::Admitted(ticket) = first.decision else {
        panic!("{first:?}");
    };
    (admission, ticket)
}

/// Offers waiting requests of customers in the order given and returns the order of service.
fn order_of_service(waiting: &[(&str, f64)]) -> Vec<String> {
    let now = Instant::now();
    let (mut admission, mut running) = narrow(now);
    for (customer, weight) in waiting {
        let weighted = AdmissionRequest {
            weight: *weight,
            ..offer(customer, customer, now + 60_000 * MS)
        };
        let verdict = admission.submit(weighted, now).decision;
        assert!(
            matches!(verdict, AdmissionDecision::Queued(_)),
            "{verdict:?}"
        );
    }
    let mut served = Vec::new();
    while let [released] = &admission.finish(running, &done(), now)[..] {
        assert_eq!(released.outcome, DequeueOutcome::Admitted);
        served.push(released.request.to_string());
        running = released.ticket;
    }
    served
}

#[test]
fn queue_greedy_customer_takes_turns() {
    let mut waiting = vec![("greedy", 1.0); 20];
    waiting.extend([("small", 1.0), ("small", 1.0), ("other", 1.0)]);
    let served = order_of_service(&waiting);
    assert_eq!(served.len(), 23);
    let last_small = served.iter().rposition(|name| name != "greedy").unwrap();
    assert!(last_small < 6, "{served:?}");
}

#[test]
fn queue_by_weight() {
    let waiting: Vec<_> = [("heavy", 3.0), ("light", 1.0)].repeat(40);
    let served = order_of_service(&waiting);
    let heavy = served[..40].iter().filter(|name| *name == "heavy").count();
    assert!((29..=31).contains(&heavy), "{heavy} of 40");
}

#[test]
fn offer_full_queue_sheds_longest_line() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(AdmissionConfig {
        max_running: 1,
        max_queued: 4,
        ..AdmissionConfig::default()
    });
    let until = now + 60_000 * MS;
    for at in 0..5 {
        admission.submit(offer(&format!("g{at}"), "greedy", until), now);
    }
    let more = admission.submit(offer("g5", "greedy", until), now);
    assert_eq!(
        more.decision,
        AdmissionDecision::Refused(NotRunReason::Overloaded)
    );
    let small = admission.submit(offer("s", "small", until), now);
    assert!(matches!(small.decision, AdmissionDecision::Queued(_)));
    let [shed] = &small.dequeued[..] else {
        panic!("{small:?}");
    };
    assert_eq!((&*shed.request, admission.queued()), ("g4", 4));
    assert_eq!(
        shed.outcome,
        DequeueOutcome::Refused(NotRunReason::Overloaded)
    );
}

#[test]
fn expired_refuses_what_cant_finish() {
    let now = Instant::now();
    let (mut admission, running) = narrow(now);
    let unreachable = admission.submit(offer("now", "a", now + 50 * MS), now);
    let reason = NotRunReason::DeadlineUnreachable;
    assert_eq!(unreachable.decision, AdmissionDecision::Refused(reason));
    admission.submit(offer("soon", "a", now + 200 * MS), now);
    admission.submit(offer("later", "a", now + 900 * MS), now);
    assert!(admission.remove_expired(now + 90 * MS).is_empty());
    let refused = admission.remove_expired(now + 110 * MS);
    assert_eq!(refused.len(), 1);
    assert_eq!(&*refused[0].request, "soon");
    let next = admission.finish(running, &done(), now + 110 * MS);
    assert_eq!(
        (&*next[0].request, next[0].outcome),
        ("later", DequeueOutcome::Admitted)
    );
}

/// Keeps as many requests running as the limit allows while `ends` of them end after `latency`.
fn keep_running(
    admission: &mut AdmissionController,
    ends: usize,
    latency: Duration,
    now: Instant,
) -> f64 {
    let mut running = VecDeque::new();
    for _ in 0..ends {
        while let AdmissionDecision::Admitted(ticket) = admission
            .submit(offer("r", "c", now + 60_000 * MS), now)
            .decision
        {
            running.push_back(ticket);
        }
        let ticket = running.pop_front().expect("a request runs");
        let end = Completion { latency, ..done() };
        for released in admission.finish(ticket, &end, now) {
            running.push_back(released.ticket);
        }
    }
    for released in admission.remove_expired(now + 120_000 * MS) {
        assert_ne!(released.outcome, DequeueOutcome::Admitted);
    }
    while let Some(ticket) = running.pop_front() {
        admission.finish(ticket, &Completion::default(), now);
    }
    admission.limit("reports").expect("requests were offered")
}

#[test]
fn limit_follows_stretch() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(AdmissionConfig::default());
    let unstretched = keep_running(&mut admission, 112, SERVICE, now);
    assert!((unstretched - 128.0).abs() < 1e-9, "{unstretched}");
    let stretched = keep_running(&mut admission, 2_000, 5 * SERVICE, now);
    assert!(stretched <= 8.0, "{stretched}");
    let recovered = keep_running(&mut admission, 2_000, SERVICE, now);
    assert!(
        recovered >= 4.0 * stretched,
        "{recovered} after {stretched}"
    );
}

#[test]
fn concurrency_limit_shrinks_and_grows() {
    let mut now = Instant::now();
    let mut limit = ConcurrencyLimit::new(8);
    let sample = |queued| QueueSample {
        in_flight: 8,
        queued,
        service: SERVICE,
    };
    for _ in 0..50 {
        limit.answered(sample(3 * SERVICE), now);
    }
    assert!(
        (limit.get() - 7.2).abs() < 1e-9,
        "once in a time of service"
    );
    for _ in 0..100 {
        now += SERVICE;
        limit.refused(SERVICE, now);
    }
    assert!((limit.get() - 1.0).abs() < f64::EPSILON);
    for _ in 0..10_000 {
        limit.answered(sample(Duration::ZERO), now);
    }
    assert!(limit.get() <= 32.0);
    assert!(limit.get() > 8.0);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Every request gets exactly one verdict in the end, and none waits while a place is free.
    #[test]
    fn admission_any_history(steps in proptest::collection::vec((0..4_u8, 0..4_u8, 1..2_000_u64), 1..200)) {
        let mut now = Instant::now();
        let mut admission = AdmissionController::new(AdmissionConfig {
            initial_limit: 2.0,
            max_queued: 8,
            max_queued_per_customer: 5,
            ..AdmissionConfig::default()
        });
        let mut running = VecDeque::new();
        let mut waiting = BTreeMap::new();
        for (number, (step, customer, ms)) in steps.into_iter().enumerate() {
            let mut released: Vec<DequeuedRequest> = Vec::new();
            match step {
                0 | 1 => {
                    let deadline = now + Duration::from_millis(ms);
                    let request = number.to_string();
                    let offered = admission.submit(offer(&request, &customer.to_string(), deadline), now);
                    match offered.decision {
                        AdmissionDecision::Admitted(ticket) => running.push_back(ticket),
                        AdmissionDecision::Queued(ticket) => drop(waiting.insert(ticket, request)),
                        AdmissionDecision::Refused(_) => {}
                    }
                    released = offered.dequeued;
                }
                2 => {
                    if let Some(ticket) = running.pop_front() {
                        released = admission.finish(ticket, &done(), now);
                    }
                }
                _ => {
                    now += Duration::from_millis(ms / 4);
                    released = admission.remove_expired(now);
                }
            }
            for DequeuedRequest { ticket, request, outcome } in released {
                let known = waiting.remove(&ticket);
                prop_assert_eq!(known.as_deref(), Some(&*request));
                if outcome == DequeueOutcome::Admitted {
                    running.push_back(ticket);
                }
            }
            prop_assert_eq!(admission.running(), running.len());
            prop_assert_eq!(admission.queued(), waiting.len());
            let limit = admission.limit("reports").unwrap_or(f64::MAX);
            prop_assert!(waiting.is_empty() || admission.running() as f64 >= limit);
        }
    }
}
