//! The last known incarnation of each backend server, and the probe that requests it.
//!
//! An incarnation identifies one run of a server's process, so it changes with each restart.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures::future::join_all;
use http_types::{Method, Request, Url};
use sardineshore_core::ServerId;
use sardineshore_wire::backend::LoadReport;
use sardineshore_wire::http::{ClientError, Conn};

use crate::instance::Instance;

const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Last reported incarnation of each backend server.
#[derive(Debug, Default)]
pub struct Incarnations {
    by_server: Mutex<HashMap<ServerId, u64>>,
}

impl Incarnations {
    /// Last reported incarnation; 0 if none was reported.
    #[must_use]
    pub fn last_known(&self, server: &ServerId) -> u64 {
        self.by_server().get(server).copied().unwrap_or(0)
    }

    /// Records an incarnation; 0 means unknown and is ignored.
    pub fn record(&self, server: &ServerId, incarnation: u64) {
        if incarnation != 0 {
            self.by_server().insert(server.clone(), incarnation);
        }
    }

    fn by_server(&self) -> MutexGuard<'_, HashMap<ServerId, u64>> {
        self.by_server.lock().expect("incarnations lock poisoned")
    }
}

/// Requests the incarnation of the process at the other end of a connection; 0 if its reply names
/// none. After an error the connection must not be used again, because the reply may still come.
pub async fn probe_incarnation(
    instance: &Instance,
    conn: &Conn,
    addr: &str,
) -> Result<u64, ClientError> {
    let url = Url::parse(&format!("http://{addr}/v1/load"));
    let url = url.map_err(|err| ClientError::NotSent(err.to_string()))?;
    let req = Request::new(Method::Get, url);
    let reply = instance
        .client
        .exchange_on(conn, req, PROBE_TIMEOUT)
        .await?;
    let report = serde_json::from_slice::<LoadReport>(&reply.body);
    Ok(report.map_or(0, |report| report.incarnation))
}

/// Probes the servers of a pool that answer status queries and whose incarnation is unknown.
pub async fn probe_unknown(instance: &Arc<Instance>, pool: &str) {
    let deployment = instance.tables.deployment();
    let of_pool = deployment.servers.values();
    let unknown = of_pool.filter(|server| {
        server.pool.as_ref() == pool
            && server.answers_status
            && instance.incarnations.last_known(&server.name) == 0
    });
    let probes = unknown.map(|server| async move {
        let checkout = instance.client.checkout(
            &server.addr,
            sardineshore_wire::http::Reuse::Idle,
            PROBE_TIMEOUT,
        );
        if let Ok(conn) = checkout.await
            && let Ok(incarnation) = probe_incarnation(instance, &conn, &server.addr).await
        {
            instance.incarnations.record(&server.name, incarnation);
        }
    });
    join_all(probes).await;
}
