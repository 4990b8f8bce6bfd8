//! Calls to the processes of a fleet: faults, instance list, configuration, readiness.

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
const POLL: Duration = Duration::from_millis(50);
/// Longest wait until a process listens, is ready, or a version is in force.
const PATIENCE: Duration = Duration::from_secs(30);

/// Sends a GET and reads the whole reply.
pub async fn get(addr: &str, path: &str) -> anyhow::Result<Reply> {
    send(addr, Request::new(Method::Get, url(addr, path)?)).await
}

/// Sends a JSON document; any status but 200 is an error.
pub async fn put<T: Serialize>(
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

/// Whether the path answers with status 200.
pub async fn answers(addr: &str, path: &str) -> bool {
    get(addr, path).await.is_ok_and(|reply| reply.status == 200)
}

/// Waits until something listens at `addr`.
pub async fn wait_listening(addr: &str) -> anyhow::Result<()> {
    let started = Instant::now();
    while async_std::net::TcpStream::connect(addr).await.is_err() {
        if started.elapsed() > PATIENCE {
            bail!("nothing listens at {addr}");
        }
        task::sleep(POLL).await;
    }
    Ok(())
}

/// Waits until an entry instance is ready for callers.
pub async fn wait_ready(addr: &str) -> anyhow::Result<()> {
    let started = Instant::now();
    while !answers(addr, "/readyz").await {
        if started.elapsed() > PATIENCE {
            bail!("the entry instance at {addr} is not ready");
        }
        task::sleep(POLL).await;
    }
    Ok(())
}

/// Submits changes through the entry instance at `peer` and waits until they are in force on
/// every live instance.
pub async fn apply(peer: &str, changes: Vec<Change>) -> anyhow::Result<Version> {
    let client = HttpClientBuilder::default()
        .request_timeout(TIMEOUT)
        .build(format!("http://{peer}"))
        .context("JSON-RPC client")?;
    let submission = Submission {
        command: Uuid::now_v7().to_string().into(),
        operator: "xtask".into(),
        changes,
    };
    let version = submit(&client, &submission).await?;
    wait_in_force(&client, version).await?;
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
            other if started.elapsed() > PATIENCE => bail!("not accepted: {other:?}"),
            _ => task::sleep(POLL).await,
        }
    }
}

async fn wait_in_force(client: &HttpClient, version: Version) -> anyhow::Result<()> {
    let started = Instant::now();
    loop {
        let progress = client.progress(version).await;
        if progress.as_ref().is_ok_and(|progress| progress.in_force) {
            return Ok(());
        }
        if started.elapsed() > PATIENCE {
            bail!("version {version} is not in force: {progress:?}");
        }
        task::sleep(POLL).await;
    }
}

fn url(addr: &str, path: &str) -> anyhow::Result<Url> {
    Url::parse(&format!("http://{addr}{path}")).context("URL")
}

async fn send(addr: &str, req: Request) -> anyhow::Result<Reply> {
    let reply = Client::default().send(addr, req, TIMEOUT).await;
    reply.with_context(|| format!("call to {addr}"))
}
