//! Smallest deployment, for benchmarks: one pipeline with one stage that responds immediately.

use std::sync::Arc;
use std::time::Duration;

use http_types::{Method, Request, Url};
use sardineshore_core::{Pipeline, Stage, StageKind};
use sardineshore_wire::headers;

use crate::demo::layout::{Layout, PoolSpec};

/// Size of a request body in bytes.
pub const BODY_BYTES: usize = 1_024;
const DEADLINE_MS: &str = "5000";
const NAME: &str = "echo";

/// Returns a layout with one pool of `servers` backend servers with no service time.
#[must_use]
pub fn layout(servers: usize) -> Layout {
    let pool = PoolSpec {
        name: NAME,
        kind: "service",
        servers,
        service_ms: 0,
        capacity: 256,
        cost: 1.0,
        answers_status: false,
    };
    let stage = Stage {
        name: NAME.into(),
        kind: StageKind::Service,
        pool: NAME.into(),
        ..Stage::default()
    };
    let pipeline = Pipeline {
        name: NAME.into(),
        stages: vec![stage],
        deadline: Duration::from_secs(5),
    };
    Layout {
        pools: vec![pool],
        pipelines: vec![pipeline],
        declared_per_server: 1,
    }
}

/// Returns a JSON document of [`BODY_BYTES`].
#[must_use]
pub fn body() -> Arc<[u8]> {
    let empty = r#"{"tag":"bench","prompt":""}"#;
    let prompt = "x".repeat(BODY_BYTES - empty.len());
    let body = format!(r#"{{"tag":"bench","prompt":"{prompt}"}}"#);
    body.into_bytes().into()
}

/// Returns a caller's request to the entry instance at `addr`.
#[must_use]
pub fn entry_request(addr: &str, body: &[u8]) -> Request {
    let mut req = post(addr, "/v1/pipelines/echo/requests", body);
    req.insert_header(headers::CUSTOMER, "bench");
    req
}

/// Returns a request for the same work, sent directly to the backend server at `addr`.
#[must_use]
pub fn server_request(addr: &str, body: &[u8]) -> Request {
    let mut req = post(addr, "/v1/run", body);
    req.insert_header(headers::REQUEST, "bench");
    req.insert_header(headers::ATTEMPT, "bench");
    req.insert_header(headers::STAGE, NAME);
    req
}

fn post(addr: &str, path: &str, body: &[u8]) -> Request {
    let url = Url::parse(&format!("http://{addr}{path}"));
    let mut req = Request::new(
        Method::Post,
        url.expect("an IP address and a port form a URL"),
    );
    req.insert_header(headers::DEADLINE_MS, DEADLINE_MS);
    req.set_body(body.to_vec());
    req.insert_header("content-type", "application/json");
    req
}
