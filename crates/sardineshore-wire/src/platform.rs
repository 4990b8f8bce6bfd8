//! Services of the platform that hosts sardineshore, as traits, and an HTTP client for them.
//!
//! The platform publishes this protocol, JSON over HTTP/1.1:
//!
//! * `POST /v1/txn`: a [`Txn`]; answers 200 with a [`CommitOutcome`];
//! * `GET /v1/rows?prefix=P&after=K&limit=N`: rows in key order, after `K` if given;
//! * `GET /v1/row?key=K`: the row, or 404;
//! * `PUT /v1/objects/NAME`, `GET /v1/objects/NAME`: whole objects;
//! * `GET /v1/instances`: a list of [`ListedProcess`]; others may have left odd entries in it.
//!
//! Status 429 means that the request is over the rate limit, 503 that it was rejected; both have
//! no effect. After any other 5xx status the effect is not known.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http_types::{Method, Request, Url};
use sardineshore_core::{CommitOutcome, DomainId, Row, StoreError, Txn};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::http::{Client, ClientError};

/// The transactional table service.
///
/// A [`StoreError`] says whether a write may have taken effect.
#[async_trait]
pub trait Table: fmt::Debug + Send + Sync {
    /// Commits a transaction.
    async fn commit(&self, txn: &Txn) -> Result<CommitOutcome, StoreError>;
    /// Reads one row; `None` if there is no such row.
    async fn read(&self, key: &str) -> Result<Option<Row>, StoreError>;
    /// Reads at most `limit` rows whose key begins with `prefix` and is greater than `after`, in
    /// key order.
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError>;
}

/// The object store, which holds whole objects by name.
#[async_trait]
pub trait ObjectStore: fmt::Debug + Send + Sync {
    /// Writes an object, and replaces one of the same name.
    async fn put(&self, name: &str, body: &str) -> Result<(), StoreError>;
    /// Reads an object; `None` if there is no such object.
    async fn get(&self, name: &str) -> Result<Option<String>, StoreError>;
}

/// The platform's list of entry instances and backend servers, which lags behind the processes.
#[async_trait]
pub trait InstanceList: fmt::Debug + Send + Sync {
    /// Reads the whole list.
    async fn list(&self) -> Result<Listing, StoreError>;
}

/// What was read of the instance list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The listed processes.
    pub processes: Vec<ListedProcess>,
    /// Number of entries that name no process.
    pub unreadable: usize,
}

/// One process in the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedProcess {
    /// Name of the entry instance or backend server.
    pub name: Arc<str>,
    /// `IP:PORT`: the peer address of an entry instance, the HTTP address of a backend server.
    pub addr: String,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Kind of process.
    pub role: ProcessRole,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

/// Kind of a listed process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessRole {
    /// An entry instance.
    Entry,
    /// A backend server.
    Backend,
}

/// HTTP client of all platform services at one address.
#[derive(Debug)]
pub struct PlatformClient {
    client: Client,
    addr: String,
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client for the platform at `addr` (`IP:PORT`); each request ends after `timeout`.
    #[must_use]
    pub fn new(addr: impl Into<String>, timeout: Duration) -> Self {
        Self {
            client: Client::default(),
            addr: addr.into(),
            timeout,
        }
    }

    fn url(&self, path: &str) -> Url {
        Url::parse(&format!("http://{}{path}", self.addr)).expect("a checked address forms a URL")
    }

    /// Sends a request and returns the status and body of a reply below 500.
    async fn call(&self, req: Request) -> Result<(u16, Vec<u8>), StoreError> {
        let result = self.client.send(&self.addr, req, self.timeout).await;
        let reply = result.map_err(|err| match err {
            ClientError::NotSent(_) | ClientError::ConnectTimedOut => StoreError::Unavailable,
            ClientError::ReplyLost(_) | ClientError::TimedOut => StoreError::Unconfirmed,
        })?;
        match reply.status {
            429 => Err(StoreError::Throttled),
            503 => Err(StoreError::Unavailable),
            status if status >= 500 => Err(StoreError::Unconfirmed),
            status => Ok((status, reply.body)),
        }
    }

    async fn get_json<T: serde::de::DeserializeOwned>(
        &self,
        url: Url,
    ) -> Result<Option<T>, StoreError> {
        let (status, body) = self.call(Request::new(Method::Get, url)).await?;
        match status {
            200 => serde_json::from_slice(&body)
                .map(Some)
                .map_err(|_| StoreError::Unconfirmed),
            404 => Ok(None),
            _ => Err(StoreError::Unavailable),
        }
    }
}

#[async_trait]
impl Table for PlatformClient {
    async fn commit(&self, txn: &Txn) -> Result<CommitOutcome, StoreError> {
        let mut req = Request::new(Method::Post, self.url("/v1/txn"));
        req.set_body(serde_json::to_vec(txn).expect("a transaction serializes"));
        let (status, body) = self.call(req).await?;
        if status != 200 {
            return Err(StoreError::Unavailable);
        }
        serde_json::from_slice(&body).map_err(|_| StoreError::Unconfirmed)
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let mut url = self.url("/v1/row");
        url.query_pairs_mut().append_pair("key", key);
        self.get_json(url).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        let mut url = self.url("/v1/rows");
        url.query_pairs_mut()
            .append_pair("prefix", prefix)
            .append_pair("after", after)
            .append_pair("limit", &limit.to_string());
        Ok(self.get_json(url).await?.unwrap_or_default())
    }
}

#[async_trait]
impl ObjectStore for PlatformClient {
    async fn put(&self, name: &str, body: &str) -> Result<(), StoreError> {
        let mut req = Request::new(Method::Put, self.url(&format!("/v1/objects/{name}")));
        req.set_body(body);
        let (status, _) = self.call(req).await?;
        if status == 200 {
            Ok(())
        } else {
            Err(StoreError::Unavailable)
        }
    }

    async fn get(&self, name: &str) -> Result<Option<String>, StoreError> {
        let req = Request::new(Method::Get, self.url(&format!("/v1/objects/{name}")));
        let (status, body) = self.call(req).await?;
        match status {
            200 => String::from_utf8(body)
                .map(Some)
                .map_err(|_| StoreError::Unavailable),
            404 => Ok(None),
            _ => Err(StoreError::Unavailable),
        }
    }
}

#[async_trait]
impl InstanceList for PlatformClient {
    async fn list(&self) -> Result<Listing, StoreError> {
        let entries: Option<Vec<Box<RawValue>>> = self.get_json(self.url("/v1/instances")).await?;
        let entries = entries.unwrap_or_default();
        let processes: Vec<_> = entries.iter().filter_map(|e| decode_listed(e)).collect();
        Ok(Listing {
            unreadable: entries.len() - processes.len(),
            processes,
        })
    }
}

/// Decodes one entry of the instance list; `None` if it names no process. An odd entry must not hide
/// the others, and a member that nobody can reach must not count in a majority.
fn decode_listed(entry: &RawValue) -> Option<ListedProcess> {
    // Serde would decode an array too.
    let entry = entry.get();
    let listed: ListedProcess = serde_json::from_str(entry).ok()?;
    let addr: SocketAddr = listed.addr.parse().ok()?;
    let is_sound = entry.starts_with('{')
        && addr.port() != 0
        && !addr.ip().is_unspecified()
        && !addr.ip().is_multicast();
    is_sound.then_some(listed)
}
