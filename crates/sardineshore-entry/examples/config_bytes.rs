//! Measures the bytes of one exchange between peers, including HTTP and JSON-RPC.
//!
//! `cargo run --release -p sardineshore-entry --example config_bytes` runs exchanges through a
//! proxy that counts bytes, for fleets of several sizes.

#[path = "../tests/configuration/fleet.rs"]
#[allow(dead_code, reason = "the tests use more of it")]
mod fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, block_on};
use async_trait::async_trait;
use fleet::{Simulation, build, listed};
use sardineshore_core::membership::Member;
use sardineshore_core::{
    Clock, CommandId, EngineAction, Query, QueryResponse, ServerId, SystemClock,
};
use sardineshore_entry::config::{ConfigService, ConfigSettings};
use sardineshore_entry::operator::{OperatorApi, OrderExecutor, QuarantineRelease, QueryHandler};
use sardineshore_entry::peers::link::RpcPeerLink;
use sardineshore_entry::peers::serve::serve;
use sardineshore_wire::operator::OrderOutcome;
use sardineshore_wire::platform::ProcessRole;

const EXCHANGES: u64 = 200;
const TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct NoServices;

impl QueryHandler for NoServices {
    fn answer(&self, _query: &Query) -> Option<QueryResponse> {
        None
    }
}

#[async_trait]
impl OrderExecutor for NoServices {
    async fn order(&self, _: CommandId, _: ServerId, _: EngineAction) -> OrderOutcome {
        OrderOutcome::Done
    }
}

#[async_trait]
impl QuarantineRelease for NoServices {
    async fn release(&self, _: Arc<str>) -> bool {
        false
    }
}

#[derive(Debug, Default)]
struct ByteCounts {
    requests: AtomicU64,
    replies: AtomicU64,
}

fn main() {
    for members in [9, 100, 410] {
        block_on(measure(members));
    }
}

async fn measure(members: usize) {
    let simulation = Arc::<Simulation>::default();
    for n in 0..members {
        let line = listed(&format!("entry-{n:03}"), ProcessRole::Entry);
        simulation.store().listed.push(line);
    }
    let asker = service(&simulation, 0).await;
    let asked = service(&simulation, 1).await;
    let no_services = Arc::new(NoServices);
    let api = OperatorApi::new(asked, no_services.clone(), no_services.clone(), no_services);
    let serving = serve("127.0.0.1:0", api).await.expect("serves");
    let counted = Arc::new(ByteCounts::default());
    let peer = Member {
        name: "entry-001".into(),
        addr: forward(serving.addr.to_string(), &counted).await.into(),
        domain: "d".into(),
        leaving: false,
    };
    for _ in 0..EXCHANGES {
        asker.exchange_one(&peer).await.expect("the peer answers");
    }
    let mean = |sum: &AtomicU64| sum.load(Ordering::Relaxed) / EXCHANGES;
    let (question, answer) = (mean(&counted.requests), mean(&counted.replies));
    println!("members {members}: question {question} B, answer {answer} B");
    let _ = serving.handle.stop();
}

async fn service(simulation: &Arc<Simulation>, n: usize) -> Arc<ConfigService> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let settings = ConfigSettings {
        name: format!("entry-{n:03}").into(),
        ..ConfigSettings::default()
    };
    let link = Arc::new(RpcPeerLink::new(TIMEOUT));
    let service = build(simulation, &clock, settings, Some(link)).service;
    service.poll_list().await.expect("the list answers");
    service.poll_head().await.expect("the table answers");
    service
}

/// Forwards connections to `addr` and counts the bytes of both directions.
async fn forward(addr: String, counted: &Arc<ByteCounts>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let local = listener.local_addr().expect("bound").to_string();
    let counted = counted.clone();
    task::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(&addr).await.expect("the server listens");
            let (requests, replies) = (counted.clone(), counted.clone());
            task::spawn(copy(client.clone(), server.clone(), move |n| {
                requests.requests.fetch_add(n, Ordering::Relaxed);
            }));
            task::spawn(copy(server, client, move |n| {
                replies.replies.fetch_add(n, Ordering::Relaxed);
            }));
        }
    });
    local
}

async fn copy(mut from: TcpStream, mut to: TcpStream, count: impl Fn(u64)) {
    let mut buf = vec![0; 64 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        count(n as u64);
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
