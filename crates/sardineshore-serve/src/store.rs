//! Client of the platform's store: reads, watches and writes rows of tables over HTTP.
//!
//! A [`Dialect`] builds the calls and decodes the responses.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;

use crate::dialect::{Dialect, HttpCall, RowPage, StoreVersion, Table};
use crate::state::boot_time;
use crate::upstream::{ConnectionPool, ExchangeError, OutgoingRequest};

/// Longest time to open a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for a response, beyond the wait that the call asks the store for.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// A connection that was idle for longer is not reused.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store no longer keeps the changes after the version that a watch named.
    #[error("the store no longer has the requested changes")]
    HistoryGone,
    /// The store was restored from a copy after the version that a watch named.
    #[error("the store was restored from a copy")]
    Restored,
    /// The store responded with this unexpected status.
    #[error("unexpected status {0}")]
    Status(u16),
    /// No response in time.
    #[error("no response in time")]
    Timeout,
    /// The connection or the response failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The response can't be decoded.
    #[error("can't decode the response: {0:#}")]
    Decode(anyhow::Error),
    /// A row can't be encoded.
    #[error("can't encode a row: {0}")]
    Encode(postcard::Error),
}

/// A page of rows with the local times between which the store produced it.
#[derive(Debug)]
pub struct TimedPage {
    /// Page of rows.
    pub page: RowPage,
    /// When the call was sent, as [`boot_time`].
    pub sent: Duration,
    /// When the response was received, as [`boot_time`].
    pub received: Duration,
}

/// Client of the store.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    dialect: Rc<dyn Dialect>,
    connections: Rc<ConnectionPool>,
    call_count: Cell<u64>,
}

impl Store {
    /// A client of the store at `address`.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        dialect: Rc<dyn Dialect>,
        connections: Rc<ConnectionPool>,
    ) -> Self {
        Self {
            address,
            dialect,
            connections,
            call_count: Cell::new(0),
        }
    }

    /// What translates calls to the store.
    #[must_use]
    pub fn dialect(&self) -> &Rc<dyn Dialect> {
        &self.dialect
    }

    /// Number of calls since the start of the instance.
    #[must_use]
    pub fn call_count(&self) -> u64 {
        self.call_count.get()
    }

    /// Reads all rows of a table, page by page. Version and times are those of the first page, so
    /// that a watch from there on misses no change.
    pub async fn read(&self, table: Table) -> Result<TimedPage, StoreError> {
        let mut all: Option<TimedPage> = None;
        let mut start: Option<String> = None;
        loop {
            let call = self.dialect.read_rows_call(table, start.as_deref());
            let next = self.fetch_page(call, Duration::ZERO).await?;
            if all
                .as_ref()
                .is_some_and(|all| all.page.version.era != next.page.version.era)
            {
                return Err(StoreError::Restored);
            }
            let has_more = next.page.has_more;
            // A page includes its first key, so the next one starts at a key just after the last
            // one.
            start = next.page.rows.last().map(|row| format!("{}\u{1}", row.key));
            match &mut all {
                None => all = Some(next),
                Some(all) => all.page.rows.extend(next.page.rows),
            }
            if !has_more || start.is_none() {
                return all.ok_or(StoreError::Timeout);
            }
        }
    }

    /// Reads the changes of a table after version `after`; waits up to `wait` for the first one.
    pub async fn watch(
        &self,
        table: Table,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<TimedPage, StoreError> {
        let call = self.dialect.watch_rows_call(table, after.number, wait);
        let timed = self.fetch_page(call, wait).await?;
        if timed.page.version.era != after.era {
            return Err(StoreError::Restored);
        }
        Ok(timed)
    }

    /// Writes a row, whether or not it exists.
    pub async fn put(&self, table: Table, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let call = self.dialect.put_row_call(table, key, value);
        self.write(call).await
    }

    /// Removes a row.
    pub async fn remove(&self, table: Table, key: &str) -> Result<(), StoreError> {
        let call = self.dialect.remove_row_call(table, key);
        self.write(call).await
    }

    /// Makes a call that writes.
    pub async fn write(&self, call: HttpCall) -> Result<(), StoreError> {
        self.send(call, Duration::ZERO).await.map(|_| ())
    }

    /// Makes a call that reads one page.
    pub async fn read_page(&self, call: HttpCall) -> Result<RowPage, StoreError> {
        Ok(self.fetch_page(call, Duration::ZERO).await?.page)
    }

    async fn fetch_page(&self, call: HttpCall, wait: Duration) -> Result<TimedPage, StoreError> {
        let sent = boot_time();
        let (body, era) = self.send(call, wait).await?;
        let page = self
            .dialect
            .decode_rows(&body, era)
            .map_err(StoreError::Decode)?;
        Ok(TimedPage {
            page,
            sent,
            received: boot_time(),
        })
    }

    /// Sends a call and returns the body of its response, and the store's era.
    async fn send(&self, call: HttpCall, wait: Duration) -> Result<(Vec<u8>, u64), StoreError> {
        self.call_count.set(self.call_count.get() + 1);
        match tokio::time::timeout(wait + RESPONSE_TIMEOUT, self.exchange(&call)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Timeout),
        }
    }

    async fn exchange(&self, call: &HttpCall) -> Result<(Vec<u8>, u64), StoreError> {
        let head = encode_call_head(call, self.address);
        let mut conn = self
            .connections
            .connect(self.address, MAX_IDLE, CONNECT_TIMEOUT)
            .await?;
        let request = OutgoingRequest {
            head: &head,
            body: &call.body,
            echo: None,
            is_head: false,
        };
        let mut response = conn.send(request).await?;
        let body = conn.read_body(&mut response).await?;
        let status = response.head.status;
        self.connections.recycle(conn, &response);
        let era = response
            .head
            .headers
            .get(self.dialect.header_names().store_era);
        // A store that names no era was never restored.
        let era = era.map_or(Ok(0), |text| text.trim().parse());
        match status {
            200..=299 => {
                let era = era
                    .context("era of the store")
                    .map_err(StoreError::Decode)?;
                Ok((body, era))
            }
            410 => Err(StoreError::HistoryGone),
            _ => Err(StoreError::Status(status)),
        }
    }
}

/// Head of the HTTP request for a call, with the empty line that ends it.
#[must_use]
pub fn encode_call_head(call: &HttpCall, address: SocketAddr) -> Vec<u8> {
    let content_type = if call.body.is_empty() {
        ""
    } else {
        "Content-Type: application/json\r\n"
    };
    let content_length = if call.method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", call.body.len())
    };
    format!(
        "{} {} HTTP/1.1\r\nHost: {address}\r\n{content_type}{content_length}\r\n",
        call.method, call.target
    )
    .into_bytes()
}
