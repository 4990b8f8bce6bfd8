//! Admission control: fairness, bounds, shedding, and the adaptive limits.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use proptest::prelude::*;
use sardineshore_core::{
    AdmissionConfig, AdmissionController, AdmissionDecision, AdmissionRequest, Completion,
    ConcurrencyLimit, DequeueOutcome, DequeuedRequest, NotRunReason, QueueSample, Ticket,
};

const MS: Duration = Duration::from_millis(1);
const SERVICE: Duration = Duration::from_millis(100);

fn request(request: &str, customer: &str, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest {
        request: request.into(),
        customer: customer.into(),
        pipeline: "reports".into(),
        weight: 1.0,
        deadline,
        cost_estimate: SERVICE,
    }
}

fn completion() -> Completion {
    Completion {
        in_time: true,
        latency: SERVICE,
        service: SERVICE,
    }
}

/// A controller that runs one request at a time, and the ticket of its running request.
fn single_slot_controller(now: Instant) -> (AdmissionController, Ticket) {
    let mut admission = AdmissionController::new(AdmissionConfig {
        max_running: 1,
        ..AdmissionConfig::default()
    });
    let first = admission.submit(request("first", "z", now + 60_000 * MS), now);
    let AdmissionDecision::Admitted(ticket) = first.decision else {
        panic!("{first:?}");
    };
    (admission, ticket)
}

/// Submits requests of customers in the given order and returns the order in which they run.
fn run_order(waiting: &[(&str, f64)]) -> Vec<String> {
    let now = Instant::now();
    let (mut admission, mut running) = single_slot_controller(now);
    for (customer, weight) in waiting {
        let weighted = AdmissionRequest {
            weight: *weight,
            ..request(customer, customer, now + 60_000 * MS)
        };
        let decision = admission.submit(weighted, now).decision;
        assert!(
            matches!(decision, AdmissionDecision::Queued(_)),
            "{decision:?}"
        );
    }
    let mut served = Vec::new();
    while let [dequeued] = &admission.finish(running, &completion(), now)[..] {
        assert_eq!(dequeued.outcome, DequeueOutcome::Admitted);
        served.push(dequeued.request.to_string());
        running = dequeued.ticket;
    }
    served
}

#[test]
fn dequeue_greedy_customer_takes_turns() {
    let mut waiting = vec![("greedy", 1.0); 20];
    waiting.extend([("small", 1.0), ("small", 1.0), ("other", 1.0)]);
    let served = run_order(&waiting);
    assert_eq!(served.len(), 23);
    let last_small = served.iter().rposition(|name| name != "greedy").unwrap();
    assert!(last_small < 6, "{served:?}");
}

#[test]
fn dequeue_by_weight() {
    let waiting: Vec<_> = [("heavy", 3.0), ("light", 1.0)].repeat(40);
    let served = run_order(&waiting);
    let heavy = served[..40].iter().filter(|name| *name == "heavy").count();
    assert!((29..=31).contains(&heavy), "{heavy} of 40");
}

#[test]
fn submit_full_queue_sheds_from_longest() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(AdmissionConfig {
        max_running: 1,
        max_queued: 4,
        ..AdmissionConfig::default()
    });
    let until = now + 60_000 * MS;
    for at in 0..5 {
        admission.submit(request(&format!("g{at}"), "greedy", until), now);
    }
    let more = admission.submit(request("g5", "greedy", until), now);
    assert_eq!(
        more.decision,
        AdmissionDecision::Refused(NotRunReason::Overloaded)
    );
    let small = admission.submit(request("s", "small", until), now);
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
fn remove_expired_refuses_unreachable_deadlines() {
    let now = Instant::now();
    let (mut admission, running) = single_slot_controller(now);
    let unreachable = admission.submit(request("now", "a", now + 50 * MS), now);
    let reason = NotRunReason::DeadlineUnreachable;
    assert_eq!(unreachable.decision, AdmissionDecision::Refused(reason));
    admission.submit(request("soon", "a", now + 200 * MS), now);
    admission.submit(request("later", "a", now + 900 * MS), now);
    assert!(admission.remove_expired(now + 90 * MS).is_empty());
    let refused = admission.remove_expired(now + 110 * MS);
    assert_eq!(refused.len(), 1);
    assert_eq!(&*refused[0].request, "soon");
    let next = admission.finish(running, &completion(), now + 110 * MS);
    assert_eq!(
        (&*next[0].request, next[0].outcome),
        ("later", DequeueOutcome::Admitted)
    );
}

/// Keeps as many requests running as the limit allows while `ends` of them end after `latency`;
/// returns the limit.
fn keep_running(
    admission: &mut AdmissionController,
    ends: usize,
    latency: Duration,
    now: Instant,
) -> f64 {
    let mut running = VecDeque::new();
    for _ in 0..ends {
        while let AdmissionDecision::Admitted(ticket) = admission
            .submit(request("r", "c", now + 60_000 * MS), now)
            .decision
        {
            running.push_back(ticket);
        }
        let ticket = running.pop_front().expect("a request runs");
        let end = Completion {
            latency,
            ..completion()
        };
        for dequeued in admission.finish(ticket, &end, now) {
            running.push_back(dequeued.ticket);
        }
    }
    for dequeued in admission.remove_expired(now + 120_000 * MS) {
        assert_ne!(dequeued.outcome, DequeueOutcome::Admitted);
    }
    while let Some(ticket) = running.pop_front() {
        admission.finish(ticket, &Completion::default(), now);
    }
    admission.limit("reports").expect("requests were submitted")
}

#[test]
fn limit_follows_latency() {
    let now = Instant::now();
    let mut admission = AdmissionController::new(AdmissionConfig::default());
    let fast = keep_running(&mut admission, 112, SERVICE, now);
    assert!((fast - 128.0).abs() < 1e-9, "{fast}");
    let slow = keep_running(&mut admission, 2_000, 5 * SERVICE, now);
    assert!(slow <= 8.0, "{slow}");
    let recovered = keep_running(&mut admission, 2_000, SERVICE, now);
    assert!(recovered >= 4.0 * slow, "{recovered} after {slow}");
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
        limit.record_answer(sample(3 * SERVICE), now);
    }
    assert!(
        (limit.get() - 7.2).abs() < 1e-9,
        "at most once per service time"
    );
    for _ in 0..100 {
        now += SERVICE;
        limit.record_refusal(SERVICE, now);
    }
    assert!((limit.get() - 1.0).abs() < f64::EPSILON);
    for _ in 0..10_000 {
        limit.record_answer(sample(Duration::ZERO), now);
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
            let mut dequeued: Vec<DequeuedRequest> = Vec::new();
            match step {
                0 | 1 => {
                    let deadline = now + Duration::from_millis(ms);
                    let name = number.to_string();
                    let response = admission.submit(request(&name, &customer.to_string(), deadline), now);
                    match response.decision {
                        AdmissionDecision::Admitted(ticket) => running.push_back(ticket),
                        AdmissionDecision::Queued(ticket) => drop(waiting.insert(ticket, name)),
                        AdmissionDecision::Refused(_) => {}
                    }
                    dequeued = response.dequeued;
                }
                2 => {
                    if let Some(ticket) = running.pop_front() {
                        dequeued = admission.finish(ticket, &completion(), now);
                    }
                }
                _ => {
                    now += Duration::from_millis(ms / 4);
                    dequeued = admission.remove_expired(now);
                }
            }
            for DequeuedRequest { ticket, request, outcome } in dequeued {
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
