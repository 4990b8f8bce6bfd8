//! A caller receives the complete answer to its own request, even if backend servers reply wrongly.

#[path = "answers/claims.rs"]
mod claims;
#[path = "answers/hedges.rs"]
mod hedges;
#[path = "answers/shutdown.rs"]
mod shutdown;
#[path = "answers/streams.rs"]
mod streams;
#[path = "support/entry.rs"]
mod support;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock, Weak};

use async_std::task;
use futures::future::join_all;
use sardineshore_core::{Change, Deployment, Stage};
use sardineshore_entry::{DispatchGate, Instance};
use sardineshore_fakes::server::faults::ServerFaults;
use sardineshore_wire::headers;

use support::{TestEntry, tag};

fn no_faults() -> ServerFaults {
    ServerFaults::default()
}

/// Sends `n` requests at once and checks that each is answered with its own tag.
async fn assert_own_answers(entry: &TestEntry, n: usize) {
    let tags: Vec<String> = (0..n).map(|i| format!("t{i}")).collect();
    let replies = join_all(tags.iter().map(|tag| entry.submit(tag, None))).await;
    for (wanted, reply) in tags.iter().zip(&replies) {
        assert_eq!(
            reply.status,
            200,
            "{}",
            String::from_utf8_lossy(&reply.body)
        );
        assert_eq!(&tag(reply), wanted);
    }
}

#[test]
fn answer_of_another_attempt_discarded() {
    task::block_on(async {
        let faults = ServerFaults {
            wrong_attempt: 0.5,
            repeat_answer: 0.5,
            ..no_faults()
        };
        let entry = TestEntry::start(
            "wrong",
            Stage::default(),
            vec![faults, no_faults(), no_faults()],
        )
        .await;
        assert_own_answers(&entry, 8).await;
        entry.stop().await;
    });
}

#[test]
fn answer_truncated_retried_on_other_server() {
    task::block_on(async {
        let faults = ServerFaults {
            truncate: 1.0,
            ..no_faults()
        };
        let entry = TestEntry::start("cut", Stage::default(), vec![faults, no_faults()]).await;
        assert_own_answers(&entry, 4).await;
        entry.stop().await;
    });
}

#[test]
fn answer_non_idempotent_truncated_unknown() {
    task::block_on(async {
        let faults = ServerFaults {
            truncate: 1.0,
            ..no_faults()
        };
        let stage = Stage {
            idempotent: false,
            ..Stage::default()
        };
        let entry = TestEntry::start("once", stage, vec![faults.clone(), faults]).await;
        let reply = entry.submit("t", Some(&claims::fresh_key())).await;
        assert_eq!(reply.header(headers::OUTCOME), "unknown");
        let started_attempts: usize = entry
            .backends
            .iter()
            .map(support::Backend::started_attempts)
            .sum();
        assert_eq!(started_attempts, 1);
        entry.stop().await;
    });
}

#[test]
fn dispatch_draining_server_receives_nothing() {
    task::block_on(async {
        let mut entry =
            TestEntry::start("drain", Stage::default(), vec![no_faults(), no_faults()]).await;
        let name = entry
            .deployment
            .servers
            .keys()
            .next()
            .expect("declared")
            .clone();
        entry
            .deployment
            .apply(&Change::DrainServer { name })
            .expect("the change fits");
        let deployment = entry.deployment.clone().into();
        entry.instance.tables.activate(deployment, &BTreeSet::new());
        assert_own_answers(&entry, 16).await;
        assert_eq!(entry.backends[0].started_attempts(), 0);
        assert_eq!(entry.backends[1].started_attempts(), 16);
        entry.stop().await;
    });
}

/// Guards against attempts at a server whose load reports say that it shuts down.
#[test]
fn dispatch_server_that_reports_leaving_receives_no_further_attempts() {
    task::block_on(async {
        let leaving = ServerFaults {
            leaving: true,
            ..no_faults()
        };
        let backends = vec![leaving, no_faults()];
        let entry = TestEntry::start("leaves", Stage::default(), backends).await;
        for _ in 0..32 {
            assert_own_answers(&entry, 1).await;
        }
        let reached = entry.backends[0].started_attempts();
        assert!(reached <= 1, "{reached} attempts");
        entry.stop().await;
    });
}

/// Guards against attempts at servers that want none, when no other server is left.
#[test]
fn dispatch_servers_that_pause_receive_no_further_attempts() {
    task::block_on(async {
        let pausing = ServerFaults {
            refuse: 1.0,
            pause_ms: 600_000,
            ..no_faults()
        };
        let backends = vec![pausing.clone(), pausing];
        let entry = TestEntry::start("pauses", Stage::default(), backends).await;
        for _ in 0..8 {
            let reply = entry.submit("t", None).await;
            assert_eq!(reply.header(headers::OUTCOME), "not-run");
        }
        for backend in &entry.backends {
            let refused = backend.refused_attempts();
            assert!(refused <= 1, "{refused} attempts");
        }
        entry.stop().await;
    });
}

/// A gate that drains a backend server after it was selected, just before the first send to it.
#[derive(Debug, Default)]
struct DrainBeforeSend {
    entry: OnceLock<(Weak<Instance>, Deployment)>,
}

impl DispatchGate for DrainBeforeSend {
    fn may_dispatch(&self) -> bool {
        if let Some((instance, drained)) = self.entry.get()
            && let Some(instance) = instance.upgrade()
        {
            instance
                .tables
                .activate(Arc::new(drained.clone()), &BTreeSet::new());
        }
        true
    }
}

#[test]
fn dispatch_drained_after_choice_receives_nothing() {
    task::block_on(async {
        let gate = Arc::new(DrainBeforeSend::default());
        let stage = Stage::default();
        let entry =
            TestEntry::start_with_gate(gate.clone(), "late", stage, vec![no_faults()]).await;
        let mut drained = entry.deployment.clone();
        let name = drained.servers.keys().next().expect("declared").clone();
        drained
            .apply(&Change::DrainServer { name })
            .expect("the change fits");
        let watched = (Arc::downgrade(&entry.instance), drained);
        gate.entry.set(watched).expect("set once");
        let reply = entry.submit("t", None).await;
        assert_eq!(reply.header(headers::OUTCOME), "not-run");
        assert_eq!(entry.backends[0].started_attempts(), 0);
        entry.stop().await;
    });
}

/// A gate that closes after one request was accepted.
#[derive(Debug, Default)]
struct CloseAfterAdmission {
    admitted: AtomicBool,
}

impl DispatchGate for CloseAfterAdmission {
    fn may_dispatch(&self) -> bool {
        !self.admitted.swap(true, Ordering::Relaxed)
    }
}

#[test]
fn dispatch_unconfirmed_after_admission_reports_reason() {
    task::block_on(async {
        let gate = Arc::new(CloseAfterAdmission::default());
        let entry =
            TestEntry::start_with_gate(gate, "gate", Stage::default(), vec![no_faults()]).await;
        let reply = entry.submit("t", None).await;
        assert_eq!(reply.header(headers::REASON), "configuration-unconfirmed");
        assert_eq!(entry.backends[0].started_attempts(), 0);
        entry.stop().await;
    });
}

#[test]
fn shutdown_request_in_flight_answered() {
    task::block_on(async {
        let faults = ServerFaults {
            late_answer_ms: 200,
            ..no_faults()
        };
        let entry = TestEntry::start("stop", Stage::default(), vec![faults]).await;
        let submit = entry.submit("t", None);
        let stop = async {
            while entry.instance.shutdown.in_flight() == 0 {
                task::yield_now().await;
            }
            assert!(entry.instance.shutdown.begin());
            entry.instance.shutdown.close_idle();
            entry
                .instance
                .shutdown
                .wait_until_drained(support::TEST_TIMEOUT)
                .await
        };
        let (reply, left) = futures::join!(submit, stop);
        assert_eq!((reply.status, left), (200, 0));
        assert!(
            !entry.instance.shutdown.begin(),
            "a second signal changes nothing"
        );
        entry.stop().await;
    });
}
