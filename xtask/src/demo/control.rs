//! HTTP and JSON-RPC calls to the processes of a fleet: faults, instance list, configuration and
//! readiness.

use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use async_std::task;
use http_types::{Method, Request, Url};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use sardineshore_core::{Change, Version};
use sardineshore_wire::http::{Client, Reply};
use sardineshore_wire::operator::{OperatorClient, Submission, SubmitReply};
use serde::Serialize;
use uuid::Uuid;

const TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time until a process listens or is ready, or until a version is active.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Sends a GET request and reads the whole response.
pub async fn get(addr: &str, path: &str) -> anyhow::Result<Reply> {
    send(addr, Request::new(Method::Get, url(addr, path)?)).await
}

/// Sends a JSON document; any status other than 200 is an error.
pub async fn send_json<T: Serialize>(
    method: Method,
    addr: &str,
    path: &str,
    body: &T,
) -> anyhow::Result<()> {
    let mut req = Request::new(method, url(addr, path)?);
    req.set_body(serde_json::to_vec(body)?);
    let reply = send(addr, req).await?;
    if reply.status != 200 {
        bail!("{method} {path} at {addr}: status {}", reply.status);
    }
    Ok(())
}

/// Whether a GET request of the path gets a response with status 200.
pub async fn responds_ok(addr: &str, path: &str) -> bool {
    get(addr, path).await.is_ok_and(|reply| reply.status == 200)
}

/// Waits until a process listens at `addr`.
pub async fn wait_listening(addr: &str) -> anyhow::Result<()> {
    let started = Instant::now();
    while async_std::net::TcpStream::connect(addr).await.is_err() {
        if started.elapsed() > MAX_WAIT {
            bail!("no process listens at {addr}");
        }
        task::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Waits until an entry instance is ready for callers.
pub async fn wait_ready(addr: &str) -> anyhow::Result<()> {
    let started = Instant::now();
    while !responds_ok(addr, "/readyz").await {
        if started.elapsed() > MAX_WAIT {
            bail!("the entry instance at {addr} is not ready");
        }
        task::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Submits changes to the entry instance at `peer` and waits until they are active on every live
/// instance.
pub async fn apply(peer: &str, changes: Vec<Change>) -> anyhow::Result<Version> {
    let client = HttpClientBuilder::default()
        .request_timeout(TIMEOUT)
        .build(format!("http://{peer}"))
        .context("failed to create the JSON-RPC client")?;
    let submission = Submission {
        command: Uuid::now_v7().to_string().into(),
        operator: "xtask".into(),
        changes,
    };
    let version = submit(&client, &submission).await?;
    wait_until_active(&client, version).await?;
    Ok(version)
}

async fn submit(client: &HttpClient, submission: &Submission) -> anyhow::Result<Version> {
    let started = Instant::now();
    loop {
        match client.submit(submission.clone()).await {
            Ok(SubmitReply::Accepted { version }) => return Ok(version),
            Ok(SubmitReply::Refused {
                change, refusal, ..
            }) => bail!("change {change} was refused: {refusal}"),
            other if started.elapsed() > MAX_WAIT => bail!("not accepted: {other:?}"),
            _ => task::sleep(POLL_INTERVAL).await,
        }
    }
}

async fn wait_until_active(client: &HttpClient, version: Version) -> anyhow::Result<()> {
    let started = Instant::now();
    loop {
        let progress = client.progress(version).await;
        if progress.as_ref().is_ok_and(|progress| progress.in_force) {
            return Ok(());
        }
        if started.elapsed() > MAX_WAIT {
            bail!("version {version} did not become active in time: {progress:?}");
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

fn url(addr: &str, path: &str) -> anyhow::Result<Url> {
    Url::parse(&format!("http://{addr}{path}")).context("invalid URL")
}

async fn send(addr: &str, req: Request) -> anyhow::Result<Reply> {
    let reply = Client::default().send(addr, req, TIMEOUT).await;
    reply.with_context(|| format!("request to {addr} failed"))
}
