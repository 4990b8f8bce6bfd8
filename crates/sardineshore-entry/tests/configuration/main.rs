//! Configuration of several instances under faults of the store and the network. The tests run the
//! steps of the instances one by one, with a manual clock.

mod arbitrary;
mod fleet;
mod orders;
mod rpc;

use std::sync::Arc;
use std::time::Duration;

use async_std::task::block_on;
use fleet::{Node, Simulation, listed, start};
use futures::future::join_all;
use sardineshore_core::{BackendServer, Change, Clock, ManualClock, MemoryTable, Version};
use sardineshore_entry::config::ConfigSettings;
use sardineshore_wire::operator::{Submission, SubmitReply};
use sardineshore_wire::platform::ProcessRole;

const STEP: Duration = Duration::from_millis(500);

struct Fleet {
    simulation: Arc<Simulation>,
    clock: Arc<ManualClock>,
    nodes: Vec<Node>,
}

impl Fleet {
    fn empty() -> Self {
        let clock = Arc::new(ManualClock::default());
        clock.advance(Duration::from_secs(60));
        Self {
            simulation: Arc::default(),
            clock,
            nodes: Vec::new(),
        }
    }

    /// Starts instances `i1`, `i2`, … and runs until they are confirmed and know each other.
    async fn started(count: usize) -> Self {
        let mut fleet = Self::empty();
        for number in 1..=count {
            fleet.add(&format!("i{number}"));
        }
        fleet.run_rounds(3).await;
        fleet
    }

    fn add(&mut self, name: &str) -> Node {
        let settings = ConfigSettings {
            name: name.into(),
            accept_timeout: Duration::from_millis(100),
            ..ConfigSettings::default()
        };
        let clock: Arc<dyn Clock> = self.clock.clone();
        let node = start(&self.simulation, &clock, settings);
        self.nodes.push(node.clone());
        node
    }

    /// Lets each instance read the list and the head and exchange with two peers, then advances
    /// the clock.
    async fn run_round(&self) {
        for node in &self.nodes {
            let _ = node.service.poll_list().await;
            let _ = node.service.poll_head().await;
            node.service.exchange_next().await;
            node.service.exchange_next().await;
        }
        self.clock.advance(STEP);
    }

    async fn run_rounds(&self, count: usize) {
        for _ in 0..count {
            self.run_round().await;
        }
    }

    fn ready(&self) -> Vec<bool> {
        let ready = self.nodes.iter().map(|node| node.service.is_ready());
        ready.collect()
    }

    fn versions(&self) -> Vec<Version> {
        let version = |node: &Node| node.service.state().log.version();
        self.nodes.iter().map(version).collect()
    }

    async fn submit(&self, node: usize, submission: &Submission) -> SubmitReply {
        self.nodes[node].service.submit(submission.clone()).await
    }
}

fn add(command: &str, server: &str) -> Submission {
    let server = BackendServer {
        name: server.into(),
        addr: "127.0.0.1:9000".into(),
        ..BackendServer::default()
    };
    Submission {
        command: command.into(),
        operator: "ana".into(),
        changes: vec![Change::AddServer { server }],
    }
}

fn accepted(version: Version) -> SubmitReply {
    SubmitReply::Accepted { version }
}

#[test]
fn submit_active_everywhere() {
    block_on(async {
        let fleet = Fleet::started(3).await;
        assert_eq!(fleet.ready(), [true; 3]);
        assert_eq!(fleet.submit(0, &add("c-1", "a")).await, accepted(1));
        fleet.nodes[0].service.replicate_to_remaining().await;
        assert_eq!(fleet.versions(), [1; 3]);
        assert!(fleet.nodes[0].service.progress(1).in_force);
        fleet.run_rounds(2).await;
        for node in &fleet.nodes {
            let progress = node.service.progress(1);
            assert!(progress.in_force && progress.pending.is_empty());
            assert_eq!(node.recorder.versions().last(), Some(&1));
        }
        assert!(!fleet.nodes[0].service.progress(2).in_force);
    });
}

#[test]
fn submit_racing_operators() {
    block_on(async {
        let fleet = Fleet::started(3).await;
        let submissions = [add("c-1", "a"), add("c-2", "a"), add("c-3", "b")];
        let submitted = submissions.iter().enumerate();
        let replies = join_all(submitted.map(|(node, one)| fleet.submit(node, one))).await;
        let won = |reply: &SubmitReply| matches!(reply, SubmitReply::Accepted { .. });
        assert_eq!(
            replies.iter().filter(|reply| won(reply)).count(),
            2,
            "{replies:?}"
        );
        assert!(won(&replies[2]));
        let refused = replies.iter().find(|reply| !won(reply)).unwrap();
        assert!(
            matches!(refused, SubmitReply::Refused { .. }),
            "{refused:?}"
        );
        fleet.run_rounds(2).await;
        assert_eq!(fleet.versions(), [2; 3]);
        for (one, reply) in submissions.iter().zip(&replies) {
            let again = fleet.submit(1, one).await;
            assert_eq!(won(&again), won(reply), "{again:?}");
        }
        assert_eq!(fleet.versions(), [2; 3]);
    });
}

#[test]
fn submit_lost_confirmation() {
    block_on(async {
        let fleet = Fleet::started(3).await;
        fleet.simulation.store().lose_next = true;
        assert_eq!(fleet.submit(0, &add("c-1", "a")).await, accepted(1));
        fleet.simulation.store().lose_next = true;
        fleet.simulation.store().down_after_next = true;
        let reply = fleet.submit(0, &add("c-2", "b")).await;
        assert_eq!(reply, SubmitReply::Unconfirmed);
        fleet.simulation.store().down = false;
        assert_eq!(fleet.submit(1, &add("c-2", "b")).await, accepted(2));
        assert_eq!(fleet.submit(2, &add("c-2", "b")).await, accepted(2));
        let other = fleet.submit(0, &add("c-2", "c")).await;
        assert!(matches!(other, SubmitReply::Refused { .. }), "{other:?}");
        fleet.run_rounds(2).await;
        assert_eq!(fleet.versions(), [2; 3]);
    });
}

#[test]
fn submit_outage_after_commit_replicates_through_peers() {
    block_on(async {
        let mut fleet = Fleet::started(5).await;
        fleet.simulation.store().down_after_next = true;
        assert_eq!(fleet.submit(0, &add("c-1", "a")).await, accepted(1));
        fleet.run_rounds(20).await;
        assert_eq!(fleet.versions(), [1; 5]);
        assert_eq!(
            fleet.ready(),
            [true; 5],
            "the majority goes on without the store"
        );
        assert!(fleet.nodes[4].service.progress(1).in_force);
        let late = fleet.add("late");
        fleet.run_rounds(3).await;
        assert!(late.service.is_ready(), "started during the outage");
        assert_eq!(late.recorder.versions(), [1]);
        let reply = fleet.submit(1, &add("c-2", "b")).await;
        assert!(
            matches!(reply, SubmitReply::NotAccepted { .. }),
            "{reply:?}"
        );
    });
}

#[test]
fn submit_writer_lost_in_outage_is_unconfirmed() {
    block_on(async {
        let fleet = Fleet::started(5).await;
        fleet.simulation.store().down_after_next = true;
        for name in ["i2", "i3", "i4", "i5"] {
            fleet.simulation.disconnect(name);
        }
        let reply = fleet.submit(0, &add("c-1", "a")).await;
        assert_eq!(reply, SubmitReply::Unconfirmed, "no majority holds it");
        fleet.simulation.disconnect("i1");
        for name in ["i2", "i3", "i4", "i5"] {
            fleet.simulation.reconnect(name);
        }
        fleet.run_rounds(20).await;
        assert_eq!(fleet.ready(), [false, true, true, true, true]);
        assert_eq!(fleet.versions(), [1, 0, 0, 0, 0]);
        fleet.simulation.store().down = false;
        fleet.run_rounds(2).await;
        assert_eq!(fleet.versions(), [1; 5]);
        assert_eq!(fleet.submit(1, &add("c-1", "a")).await, accepted(1));
    });
}

#[test]
fn fence_disconnected_instance() {
    block_on(async {
        let fleet = Fleet::started(5).await;
        fleet.simulation.disconnect("i5");
        fleet.run_round().await;
        assert_eq!(fleet.submit(0, &add("c-1", "a")).await, accepted(1));
        assert!(
            !fleet.nodes[0].service.progress(1).in_force,
            "i5 may still dispatch"
        );
        fleet.run_rounds(7).await;
        assert_eq!(fleet.ready(), [true, true, true, true, false]);
        assert_eq!(fleet.versions(), [1, 1, 1, 1, 0]);
        let progress = fleet.nodes[0].service.progress(1);
        assert!(progress.in_force, "i5 is fenced");
        assert_eq!(progress.pending, ["i5".into()]);
        let alone = fleet.submit(4, &add("c-2", "b")).await;
        assert!(
            matches!(alone, SubmitReply::NotAccepted { .. }),
            "{alone:?}"
        );
        fleet.simulation.reconnect("i5");
        fleet.run_rounds(2).await;
        assert_eq!(fleet.ready(), [true; 5]);
        assert_eq!(fleet.versions(), [1; 5]);
    });
}

#[test]
fn fence_paused_instance_until_next_poll() {
    block_on(async {
        let fleet = Fleet::started(3).await;
        let paused = &fleet.nodes[2].service;
        fleet.clock.advance(Duration::from_secs(10));
        assert!(!paused.is_ready());
        let _ = paused.poll_head().await;
        assert!(paused.is_ready());
    });
}

#[test]
fn store_older_head_never_reverts() {
    block_on(async {
        let mut fleet = Fleet::started(3).await;
        fleet.submit(0, &add("c-1", "a")).await;
        fleet.simulation.store().freeze_reads();
        assert_eq!(fleet.submit(0, &add("c-2", "b")).await, accepted(2));
        let behind = fleet.submit(0, &add("c-3", "c")).await;
        assert!(
            matches!(behind, SubmitReply::NotAccepted { .. }),
            "{behind:?}"
        );
        fleet.run_rounds(10).await;
        fleet.simulation.store().stale_rows = Some(MemoryTable::default());
        fleet.run_rounds(10).await;
        assert_eq!(fleet.versions(), [2; 3]);
        assert_eq!(
            fleet.ready(),
            [true; 3],
            "peers confirm what the store denies"
        );
        let late = fleet.add("late");
        fleet.run_rounds(3).await;
        assert_eq!(late.service.state().log.version(), 2);
        for node in &fleet.nodes {
            let versions = node.recorder.versions();
            assert!(versions.is_sorted(), "{versions:?}");
        }
    });
}

#[test]
fn start_reads_snapshot_and_log() {
    block_on(async {
        let mut fleet = Fleet::started(2).await;
        for number in 1..=70 {
            let one = add(&format!("c-{number}"), &format!("s{number}"));
            assert_eq!(
                fleet.submit(number % 2, &one).await,
                accepted(number as u64)
            );
        }
        let late = fleet.add("late");
        fleet.simulation.store().calls.clear();
        late.service.poll_list().await.unwrap();
        late.service.poll_head().await.unwrap();
        assert!(late.service.is_ready());
        assert_eq!(late.recorder.versions().first(), Some(&64));
        assert_eq!(late.recorder.versions().last(), Some(&70));
        let calls = fleet.simulation.store().calls.clone();
        assert_eq!((calls["get"], calls["read"], calls["scan"]), (1, 1, 1));
        assert_eq!(
            *fleet.nodes[0].service.state().log.deployment(),
            *late.service.state().log.deployment()
        );
    });
}

#[test]
fn start_in_outage_alone_is_not_ready() {
    block_on(async {
        let mut fleet = Fleet::empty();
        fleet.simulation.store().down = true;
        fleet.add("i1");
        fleet.add("i2");
        fleet.run_rounds(20).await;
        assert_eq!(fleet.ready(), [false; 2], "nobody was ever confirmed");
        fleet.simulation.store().down = false;
        fleet.run_rounds(1).await;
        assert_eq!(fleet.ready(), [true; 2]);
    });
}

#[test]
fn leaving_server_reaches_instances_that_do_not_read_the_list() {
    block_on(async {
        let fleet = Fleet::started(3).await;
        let mut server = listed("s", ProcessRole::Backend);
        server.leaving = true;
        fleet.simulation.store().listed.push(server);
        fleet.nodes[0].service.poll_list().await.unwrap();
        let informed = &fleet.nodes[1];
        informed.service.exchange_next().await;
        informed.service.exchange_next().await;
        assert_eq!(informed.recorder.leaving(), ["s".into()], "by a reply");
        fleet.nodes[0].service.exchange_with_random().await;
        assert_eq!(
            fleet.nodes[2].recorder.leaving(),
            ["s".into()],
            "by a request"
        );
        fleet.simulation.store().listed.pop();
        fleet
            .simulation
            .store()
            .listed
            .push(listed("s", ProcessRole::Backend));
        fleet.clock.advance(STEP);
        fleet.nodes[2].service.poll_list().await.unwrap();
        assert!(fleet.nodes[2].recorder.leaving().is_empty());
        fleet.nodes[0].service.exchange_with_random().await;
        assert!(
            fleet.nodes[2].recorder.leaving().is_empty(),
            "an older reading"
        );
    });
}

#[test]
fn stopped_instance_no_longer_counts() {
    block_on(async {
        let fleet = Fleet::started(3).await;
        let service = &fleet.nodes[2].service;
        service.announce_stopped().await;
        fleet.simulation.disconnect("i3");
        let asked = fleet.nodes[0]
            .service
            .state()
            .quorum
            .status(fleet.clock.now());
        assert_eq!(asked.members, 2);
        let rows = fleet.nodes[0].service.instances();
        let states: Vec<_> = rows.iter().map(|row| &*row.state).collect();
        assert_eq!(states, ["self", "live", "stopped"]);
    });
}
