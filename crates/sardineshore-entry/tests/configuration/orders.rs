//! Orders to engines under leases, with a scripted engine.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task::block_on;
use async_trait::async_trait;
use sardineshore_core::lease::LeaseConfig;
use sardineshore_core::{
    BackendServer, Change, Clock, EngineAction, FencingToken, ManualClock, SystemClock,
};
use sardineshore_entry::config::ConfigSettings;
use sardineshore_entry::operator::OrderExecutor;
use sardineshore_entry::orders::{EngineLink, LeasedOrderExecutor, OrderSettings};
use sardineshore_wire::backend::{FencedOrder, OrderReply};
use sardineshore_wire::operator::{OrderOutcome, Submission};

use crate::fleet::{Simulation, start, table};

/// Order timeout that is not reached in a passing test.
const NEVER_REACHED_TIMEOUT: Duration = Duration::from_secs(60);
/// Order timeout that expires, because the engine does not respond.
const SHORT_TIMEOUT: Duration = Duration::from_millis(600);

/// An engine that responds from a script, and afterwards completes every order.
#[derive(Debug, Default)]
struct Engine {
    script: Mutex<Vec<Option<OrderReply>>>,
    received: Mutex<Vec<FencedOrder>>,
}

impl Engine {
    fn fences(&self) -> Vec<FencingToken> {
        let received = self.received.lock().unwrap();
        received.iter().map(|order| order.fence).collect()
    }
}

#[async_trait]
impl EngineLink for Engine {
    async fn send(&self, _addr: &str, order: &FencedOrder) -> Option<OrderReply> {
        self.received.lock().unwrap().push(order.clone());
        let next = self.script.lock().unwrap().pop();
        next.unwrap_or(Some(OrderReply::Done))
    }
}

/// An instance that sends orders.
async fn orders(
    simulation: &Arc<Simulation>,
    name: &str,
    engine: &Arc<Engine>,
    order_timeout: Duration,
) -> LeasedOrderExecutor {
    let clock: Arc<dyn Clock> = Arc::new(ManualClock::default());
    let settings = ConfigSettings {
        name: name.into(),
        ..ConfigSettings::default()
    };
    let node = start(simulation, &clock, settings);
    node.service.poll_list().await.unwrap();
    node.service.poll_head().await.unwrap();
    let settings = OrderSettings {
        holder: name.into(),
        order_timeout,
        lease: LeaseConfig {
            max_order_delay: Duration::from_secs(60),
            ..LeaseConfig::default()
        },
    };
    LeasedOrderExecutor::new(
        settings,
        Arc::new(SystemClock),
        table(simulation, name),
        engine.clone(),
        node.service,
    )
}

/// A simulation whose configuration declares one engine.
async fn simulation_with_engine() -> Arc<Simulation> {
    let simulation = Arc::<Simulation>::default();
    let clock: Arc<dyn Clock> = Arc::new(ManualClock::default());
    let settings = ConfigSettings {
        name: "writer".into(),
        ..ConfigSettings::default()
    };
    let writer = start(&simulation, &clock, settings).service;
    writer.poll_list().await.unwrap();
    writer.poll_head().await.unwrap();
    let server = BackendServer {
        name: "engine".into(),
        addr: "127.0.0.1:9000".into(),
        pool: "pool".into(),
        ..BackendServer::default()
    };
    let submission = Submission {
        command: "c-1".into(),
        operator: "ana".into(),
        changes: vec![Change::AddServer { server }],
    };
    writer.submit(submission).await;
    simulation
}

async fn load(orders: &LeasedOrderExecutor, command: &str) -> OrderOutcome {
    let action = EngineAction::LoadAdapter {
        adapter: "tango".into(),
    };
    orders.order(command.into(), "engine".into(), action).await
}

#[test]
fn order_alternating_holders_with_growing_fencing_tokens() {
    block_on(async {
        let simulation = simulation_with_engine().await;
        let engine = Arc::new(Engine::default());
        let first = orders(&simulation, "i1", &engine, NEVER_REACHED_TIMEOUT).await;
        let second = orders(&simulation, "i2", &engine, NEVER_REACHED_TIMEOUT).await;
        for (n, by) in [&first, &second, &first].into_iter().enumerate() {
            assert_eq!(load(by, &format!("o-{n}")).await, OrderOutcome::Done);
        }
        assert_eq!(engine.fences(), [1, 2, 3]);
    });
}

#[test]
fn order_in_progress_is_retried_until_done() {
    block_on(async {
        let simulation = simulation_with_engine().await;
        let engine = Arc::new(Engine::default());
        *engine.script.lock().unwrap() = vec![Some(OrderReply::InProgress)];
        let orders = orders(&simulation, "i1", &engine, NEVER_REACHED_TIMEOUT).await;
        assert_eq!(load(&orders, "o-1").await, OrderOutcome::Done);
        let received = engine.received.lock().unwrap();
        assert_eq!(received.len(), 2);
        assert_eq!(received[0], received[1]);
    });
}

#[test]
fn order_without_response_is_unknown_and_blocks_other_holders() {
    block_on(async {
        let simulation = simulation_with_engine().await;
        let engine = Arc::new(Engine::default());
        *engine.script.lock().unwrap() = vec![None; 8];
        let first = orders(&simulation, "i1", &engine, SHORT_TIMEOUT).await;
        let lost = load(&first, "o-1").await;
        assert!(matches!(lost, OrderOutcome::Unknown { .. }), "{lost:?}");
        let sent = engine.fences().len();
        let second = orders(&simulation, "i2", &engine, SHORT_TIMEOUT).await;
        let waits = load(&second, "o-2").await;
        assert!(matches!(waits, OrderOutcome::NotSent { .. }), "{waits:?}");
        assert_eq!(engine.fences().len(), sent);
    });
}

#[test]
fn order_with_stale_token_is_not_sent() {
    block_on(async {
        let simulation = simulation_with_engine().await;
        let engine = Arc::new(Engine::default());
        *engine.script.lock().unwrap() = vec![Some(OrderReply::Fenced { highest: 7 })];
        let orders = orders(&simulation, "i1", &engine, NEVER_REACHED_TIMEOUT).await;
        let refused = load(&orders, "o-1").await;
        assert!(
            matches!(refused, OrderOutcome::NotSent { .. }),
            "{refused:?}"
        );
    });
}

#[test]
fn order_to_undeclared_engine_is_not_sent() {
    block_on(async {
        let simulation = simulation_with_engine().await;
        let engine = Arc::new(Engine::default());
        let orders = orders(&simulation, "i1", &engine, NEVER_REACHED_TIMEOUT).await;
        let action = EngineAction::SetRole {
            role: "decode".into(),
        };
        let other = orders.order("o-1".into(), "other".into(), action).await;
        assert!(matches!(other, OrderOutcome::NotSent { .. }), "{other:?}");
        assert!(engine.fences().is_empty());
    });
}
