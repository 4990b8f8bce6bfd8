//! A caller receives the whole answer to its own request, whatever backend servers answer.

#[path = "answers/claims.rs"]
mod claims;
#[path = "answers/hedges.rs"]
mod hedges;
#[path = "answers/streams.rs"]
mod streams;
#[path = "support/site.rs"]
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

use support::{Site, tag};

fn sound() -> ServerFaults {
    ServerFaults::default()
}

/// Sends `n` requests at once and checks that each is answered with its own tag.
async fn each_gets_its_own(site: &Site, n: usize) {
    let tags: Vec<String> = (0..n).map(|i| format!("t{i}")).collect();
    let replies = join_all(tags.iter().map(|tag| site.submit(tag, None))).await;
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
            ..sound()
        };
        let site = Site::start("wrong", Stage::default(), vec![faults, sound(), sound()]).await;
        each_gets_its_own(&site, 8).await;
        site.stop().await;
    });
}

#[test]
fn answer_cut_short_tried_elsewhere() {
    task::block_on(async {
        let faults = ServerFaults {
            truncate: 1.0,
            ..sound()
        };
        let site = Site::start("cut", Stage::default(), vec![faults, sound()]).await;
        each_gets_its_own(&site, 4).await;
        site.stop().await;
    });
}

#[test]
fn answer_non_idempotent_cut_short_unknown() {
    task::block_on(async {
        let faults = ServerFaults {
            truncate: 1.0,
            ..sound()
        };
        let stage = Stage {
            idempotent: false,
            ..Stage::default()
        };
        let site = Site::start("once", stage, vec![faults.clone(), faults]).await;
        let reply = site.submit("t", Some(&claims::fresh_key())).await;
        assert_eq!(reply.header(headers::OUTCOME), "unknown");
        let begun: usize = site.backends.iter().map(support::Backend::begun).sum();
        assert_eq!(begun, 1);
        site.stop().await;
    });
}

#[test]
fn dispatch_draining_server_receives_nothing() {
    task::block_on(async {
        let mut site = Site::start("drain", Stage::default(), vec![sound(), sound()]).await;
        let name = site
            .deployment
            .servers
            .keys()
            .next()
            .expect("declared")
            .clone();
        site.deployment
            .apply(&Change::DrainServer { name })
            .expect("the change fits");
        let deployment = site.deployment.clone().into();
        site.instance.tables.activate(deployment, &BTreeSet::new());
        each_gets_its_own(&site, 16).await;
        assert_eq!(site.backends[0].begun(), 0);
        assert_eq!(site.backends[1].begun(), 16);
        site.stop().await;
    });
}

/// A gate that drains one backend server just before its first send, when it was chosen already.
#[derive(Debug, Default)]
struct DrainBeforeSend {
    site: OnceLock<(Weak<Instance>, Deployment)>,
}

impl DispatchGate for DrainBeforeSend {
    fn may_dispatch(&self) -> bool {
        if let Some((instance, drained)) = self.site.get()
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
        let site = Site::start_behind(gate.clone(), "late", stage, vec![sound()]).await;
        let mut drained = site.deployment.clone();
        let name = drained.servers.keys().next().expect("declared").clone();
        drained
            .apply(&Change::DrainServer { name })
            .expect("the change fits");
        let watched = (Arc::downgrade(&site.instance), drained);
        gate.site.set(watched).expect("set once");
        let reply = site.submit("t", None).await;
        assert_eq!(reply.header(headers::OUTCOME), "not-run");
        assert_eq!(site.backends[0].begun(), 0);
        site.stop().await;
    });
}

/// A gate that closes once a request was admitted.
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
fn dispatch_unconfirmed_after_admission_named() {
    task::block_on(async {
        let gate = Arc::new(CloseAfterAdmission::default());
        let site = Site::start_behind(gate, "gate", Stage::default(), vec![sound()]).await;
        let reply = site.submit("t", None).await;
        assert_eq!(reply.header(headers::REASON), "configuration-unconfirmed");
        assert_eq!(site.backends[0].begun(), 0);
        site.stop().await;
    });
}

#[test]
fn stop_request_in_flight_answered() {
    task::block_on(async {
        let faults = ServerFaults {
            late_answer_ms: 200,
            ..sound()
        };
        let site = Site::start("stop", Stage::default(), vec![faults]).await;
        let submit = site.submit("t", None);
        let stop = async {
            while site.instance.shutdown.in_flight() == 0 {
                task::yield_now().await;
            }
            assert!(site.instance.shutdown.begin());
            site.instance.shutdown.close_idle();
            site.instance
                .shutdown
                .wait_until_drained(support::PATIENCE)
                .await
        };
        let (reply, left) = futures::join!(submit, stop);
        assert_eq!((reply.status, left), (200, 0));
        assert!(
            !site.instance.shutdown.begin(),
            "a second signal changes nothing"
        );
        site.stop().await;
    });
}
