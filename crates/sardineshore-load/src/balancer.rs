//! Client-side load balancer over the entry instances, which stands in for the platform's.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use async_std::task;
use futures::future::join_all;
use http_types::{Method, Request, Url};
use sardineshore_wire::http::{Client, ClientError};

use crate::sender::{SendOutcome, SendRequest, send_to};

/// Pause between two readiness checks of all instances.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// An instance that does not answer a readiness check within this time is not ready.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Distributes requests over the ready entry instances round-robin; tries the next one if a
/// connection can't be opened.
#[derive(Debug)]
pub struct Balancer {
    entries: Vec<Entry>,
    next: AtomicUsize,
    client: Client,
}

#[derive(Debug)]
struct Entry {
    addr: Arc<str>,
    ready: AtomicBool,
}

impl Balancer {
    /// Creates a balancer over the entry instances that accept callers at these addresses
    /// (`IP:PORT`). All count as ready until [`Balancer::watch_readiness`] has checked them.
    #[must_use]
    pub fn new(entries: Vec<Arc<str>>) -> Self {
        let entry = |addr| Entry {
            addr,
            ready: AtomicBool::new(true),
        };
        Self {
            entries: entries.into_iter().map(entry).collect(),
            next: AtomicUsize::new(0),
            client: Client::default(),
        }
    }

    /// Sends a request to one instance and reads the reply to the end.
    pub async fn send(&self, send: &SendRequest) -> SendOutcome {
        for entry in self.in_round_robin_order() {
            match send_to(&self.client, &entry.addr, send).await {
                Ok(outcome) => return outcome.with_entry(&entry.addr),
                Err(ClientError::NotSent(_) | ClientError::ConnectTimedOut) => {}
                Err(ClientError::ReplyLost(_)) => {
                    return SendOutcome::no_reply("connection-lost").with_entry(&entry.addr);
                }
                Err(ClientError::TimedOut) => {
                    return SendOutcome::no_reply("timed-out").with_entry(&entry.addr);
                }
            }
        }
        SendOutcome {
            outcome: "not-run".into(),
            reason: "not-sent".into(),
            ..SendOutcome::default()
        }
    }

    /// Checks the readiness of all entry instances periodically; never returns.
    pub async fn watch_readiness(&self) {
        let client = Client::default();
        loop {
            join_all(
                self.entries
                    .iter()
                    .map(|entry| check_readiness(&client, entry)),
            )
            .await;
            task::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Entry instances in the order in which to try them: ready ones first, and each call begins
    /// with the next one.
    fn in_round_robin_order(&self) -> Vec<&Entry> {
        let first = self.next.fetch_add(1, Ordering::Relaxed) % self.entries.len();
        let (before, after) = self.entries.split_at(first);
        let mut order: Vec<&Entry> = after.iter().chain(before).collect();
        order.sort_by_key(|entry| !entry.ready.load(Ordering::Relaxed));
        order
    }
}

async fn check_readiness(client: &Client, entry: &Entry) {
    let url = format!("http://{}/readyz", entry.addr);
    let url = Url::parse(&url).expect("a checked address forms a URL");
    let req = Request::new(Method::Get, url);
    let reply = client.send(&entry.addr, req, CHECK_TIMEOUT).await;
    let ready = reply.is_ok_and(|reply| reply.status == 200);
    entry.ready.store(ready, Ordering::Relaxed);
}
