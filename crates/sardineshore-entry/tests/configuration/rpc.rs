//! Peers and operators over JSON-RPC on loopback.

use std::sync::Arc;
use std::time::Duration;

use async_std::task::{block_on, sleep};
use async_trait::async_trait;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use sardineshore_core::{
    Change, Clock, CommandId, EngineAction, Objective, Query, QueryResponse, ServerId, SystemClock,
};
use sardineshore_entry::config::ConfigSettings;
use sardineshore_entry::operator::{OperatorApi, OrderExecutor, QuarantineRelease, QueryHandler};
use sardineshore_entry::peers::link::RpcPeerLink;
use sardineshore_entry::peers::serve::{RunningServer, serve};
use sardineshore_wire::operator::{OperatorClient, OrderOutcome, Submission, SubmitReply};
use sardineshore_wire::platform::ProcessRole;

use crate::fleet::{self, Node, Simulation, build, listed};

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
    async fn order(
        &self,
        _command: CommandId,
        _server: ServerId,
        _action: EngineAction,
    ) -> OrderOutcome {
        OrderOutcome::Done
    }
}

#[async_trait]
impl QuarantineRelease for NoServices {
    async fn release(&self, _fingerprint: Arc<str>) -> bool {
        false
    }
}

struct ServedNode {
    node: Node,
    serving: RunningServer,
}

impl ServedNode {
    async fn start(simulation: &Arc<Simulation>, name: &str) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let settings = ConfigSettings {
            name: name.into(),
            ..ConfigSettings::default()
        };
        let link = Arc::new(RpcPeerLink::new(TIMEOUT));
        let node = build(simulation, &clock, settings, Some(link));
        let no_services = Arc::new(NoServices);
        let service = node.service.clone();
        let api = OperatorApi::new(
            service,
            no_services.clone(),
            no_services.clone(),
            no_services,
        );
        let serving = serve("127.0.0.1:0", api).await.unwrap();
        let mut line = listed(name, ProcessRole::Entry);
        line.addr = serving.addr.to_string();
        simulation.store().listed.push(line);
        Self { node, serving }
    }

    fn client(&self) -> HttpClient {
        HttpClientBuilder::default()
            .request_timeout(TIMEOUT)
            .build(format!("http://{}", self.serving.addr))
            .unwrap()
    }
}

#[test]
fn submit_reaches_peers() {
    block_on(async {
        let simulation = Arc::<Simulation>::default();
        let mut fleet = Vec::new();
        for name in ["i1", "i2", "i3"] {
            fleet.push(ServedNode::start(&simulation, name).await);
        }
        let running: Vec<_> = fleet
            .iter()
            .map(|served| fleet::run(&served.node))
            .collect();
        while !fleet.iter().all(|served| served.node.service.is_ready()) {
            sleep(Duration::from_millis(10)).await;
        }
        let client = fleet[0].client();
        let submission = Submission {
            command: "c-1".into(),
            operator: "ana".into(),
            changes: vec![Change::SetObjective {
                objective: Objective::Cost,
            }],
        };
        let mut reply = client.submit(submission.clone()).await.unwrap();
        while reply != (SubmitReply::Accepted { version: 1 }) {
            let refused = matches!(reply, SubmitReply::Refused { .. });
            assert!(!refused, "{reply:?}");
            sleep(Duration::from_millis(10)).await;
            reply = client.submit(submission.clone()).await.unwrap();
        }
        for served in &fleet {
            let client = served.client();
            while !client.progress(1).await.unwrap().in_force {
                sleep(Duration::from_millis(10)).await;
            }
        }
        let QueryResponse::Instances(rows) = client.query(Query::Instances).await.unwrap() else {
            panic!("rows of instances");
        };
        assert_eq!(rows.len(), 3);
        assert!(rows.iter().all(|row| row.version == 1), "{rows:?}");
        let unknown = client.query(Query::Customers).await.unwrap_err();
        assert!(matches!(unknown, ClientError::Call(_)), "{unknown:?}");
        for tasks in running {
            tasks.cancel().await;
        }
    });
}
