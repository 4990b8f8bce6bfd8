//! The platform's balancer in front of the entry instances.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use async_std::task;
use futures::future::join_all;
use http_types::{Method, Request, Url};
use sardineshore_wire::http::{Client, ClientError};

use crate::sender::{Send, Sent, send_to};

/// Time between two checks of readiness.
const CHECK_EVERY: Duration = Duration::from_millis(100);
/// Longest wait for an answer to a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Spreads sends over the ready entry instances by turns; goes on to the next one when a
/// connection is refused.
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
    /// Creates a balancer over entry instances' callers' addresses (`IP:PORT`), all taken for
    /// ready until [`Balancer::watch`] has checked them.
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

    /// Sends once and reads the whole reply.
    pub async fn send(&self, send: &Send) -> Sent {
        for entry in self.by_turns() {
            match send_to(&self.client, &entry.addr, send).await {
                Ok(sent) => return sent.from_entry(&entry.addr),
                Err(ClientError::NotSent(_)) => {}
                Err(ClientError::ReplyLost(_)) => {
                    return Sent::no_reply("connection-lost").from_entry(&entry.addr);
                }
                Err(ClientError::TimedOut) => {
                    return Sent::no_reply("timed-out").from_entry(&entry.addr);
                }
            }
        }
        Sent {
            outcome: "not-run".into(),
            reason: "not-sent".into(),
            ..Sent::default()
        }
    }

    /// Checks the readiness of all entry instances again and again; never returns.
    pub async fn watch(&self) {
        let client = Client::default();
        loop {
            join_all(self.entries.iter().map(|entry| check(&client, entry))).await;
            task::sleep(CHECK_EVERY).await;
        }
    }

    /// Entry instances in the order in which they are tried: ready ones first.
    fn by_turns(&self) -> Vec<&Entry> {
        let first = self.next.fetch_add(1, Ordering::Relaxed) % self.entries.len();
        let (before, after) = self.entries.split_at(first);
        let mut turns: Vec<&Entry> = after.iter().chain(before).collect();
        turns.sort_by_key(|entry| !entry.ready.load(Ordering::Relaxed));
        turns
    }
}

async fn check(client: &Client, entry: &Entry) {
    let url = format!("http://{}/readyz", entry.addr);
    let url = Url::parse(&url).expect("a checked address forms a URL");
    let req = Request::new(Method::Get, url);
    let reply = client.send(&entry.addr, req, CHECK_TIMEOUT).await;
    let ready = reply.is_ok_and(|reply| reply.status == 200);
    entry.ready.store(ready, Ordering::Relaxed);
}
