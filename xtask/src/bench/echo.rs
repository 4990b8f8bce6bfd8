//! The smallest deployment: one pipeline of one stage that takes no time.

use std::sync::Arc;
use std::time::Duration;

use http_types::{Method, Request, Url};
use sardineshore_core::{Pipeline, Stage, StageKind};
use sardineshore_wire::headers;

use crate::demo::layout::{Layout, PoolPlan};

/// Size of a request's body in bytes.
pub const BODY_BYTES: usize = 1_024;
const DEADLINE_MS: &str = "5000";
const NAME: &str = "echo";

/// A pool of servers that answer at once.
#[must_use]
pub fn layout(servers: usize) -> Layout {
    let pool = PoolPlan {
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

/// A JSON document of [`BODY_BYTES`].
#[must_use]
pub fn body() -> Arc<[u8]> {
    let empty = r#"{"tag":"bench","prompt":""}"#;
    let prompt = "x".repeat(BODY_BYTES - empty.len());
    let body = format!(r#"{{"tag":"bench","prompt":"{prompt}"}}"#);
    body.into_bytes().into()
}

/// A caller's request to an entry instance.
#[must_use]
pub fn to_entry(addr: &str, body: &[u8]) -> Request {
    let mut req = post(addr, "/v1/pipelines/echo/requests", body);
    req.insert_header(headers::CUSTOMER, "bench");
    req
}

/// The same work, asked of the backend server itself.
#[must_use]
pub fn to_server(addr: &str, body: &[u8]) -> Request {
    let mut req = post(addr, "/v1/run", body);
    req.insert_header(headers::REQUEST, "bench");
    req.insert_header(headers::ATTEMPT, "bench");
    req.insert_header(headers::STAGE, NAME);
    req
}

fn post(addr: &str, path: &str, body: &[u8]) -> Request {
    let url = Url::parse(&format!("http://{addr}{path}"));
    let mut req = Request::new(Method::Post, url.expect("a chosen address forms a URL"));
    req.insert_header(headers::DEADLINE_MS, DEADLINE_MS);
    req.set_body(body.to_vec());
    req.insert_header("content-type", "application/json");
    req
}
