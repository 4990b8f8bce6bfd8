//! Calls to the platform's store.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::dialect::{Dialect, HttpCall, RowPage, Table};
use crate::state::boot_time;
use crate::upstream::{ExchangeFault, Sending, Upstreams};

/// Longest time to open a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that an answer may take beyond the wait that was asked for.
const ANSWER_SLACK: Duration = Duration::from_millis(700);
/// Idle time after which a connection to the store isn't used any more.
const IDLE: Duration = Duration::from_secs(3);

/// Why a call has no result.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The history that was asked for is gone.
    #[error("history is gone")]
    HistoryGone,
    /// The store answered with another status.
    #[error("status {0}")]
    Status(u16),
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeFault),
    /// The answer can't be decoded.
    #[error("answer can't be decoded: {0:#}")]
    Decode(anyhow::Error),
}

/// An answer with the local times between which it was made.
#[derive(Debug)]
pub struct TimedPage {
    /// Rows.
    pub page: RowPage,
    /// When the call was sent, on the clock that counts suspended time.
    pub sent: Duration,
    /// When its answer was received.
    pub received: Duration,
}

/// Client of the store.
#[derive(Debug)]
pub struct Store {
    address: SocketAddr,
    dialect: Rc<dyn Dialect>,
    upstreams: Rc<Upstreams>,
    calls: Cell<u64>,
}

impl Store {
    /// A client of the store at an address.
    #[must_use]
    pub fn new(address: SocketAddr, dialect: Rc<dyn Dialect>, upstreams: Rc<Upstreams>) -> Self {
        Self {
            address,
            dialect,
            upstreams,
            calls: Cell::new(0),
        }
    }

    /// Number of calls made.
    #[must_use]
    pub fn call_count(&self) -> u64 {
        self.calls.get()
    }

    /// All rows of a table as of one moment, or of the oldest page if there are several.
    pub async fn read(&self, table: Table) -> Result<TimedPage, StoreError> {
        let mut all: Option<TimedPage> = None;
        let mut from: Option<String> = None;
        loop {
            let call = self.dialect.read_rows_call(table, from.as_deref());
            let next = self.rows(call, Duration::ZERO).await?;
            let more = next.page.has_more;
            // A range begins with its first key, so the next page begins right behind the last.
            from = next.page.rows.last().map(|row| format!("{}\u{1}", row.key));
            match &mut all {
                None => all = Some(next),
                Some(all) => all.page.rows.extend(next.page.rows),
            }
            if !more || from.is_none() {
                return all.ok_or(StoreError::Timeout);
            }
        }
    }

    /// Changes of a table after a version; waits for the first one.
    pub async fn watch(
        &self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> Result<TimedPage, StoreError> {
        self.rows(self.dialect.watch_rows_call(table, after, wait), wait)
            .await
    }

    /// Writes a row.
    pub async fn put(&self, table: Table, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let call = self.dialect.put_row_call(table, key, value);
        self.call(call, Duration::ZERO).await.map(|_| ())
    }

    /// Removes a row.
    pub async fn remove(&self, table: Table, key: &str) -> Result<(), StoreError> {
        let call = self.dialect.remove_row_call(table, key);
        self.call(call, Duration::ZERO).await.map(|_| ())
    }

    async fn rows(&self, call: HttpCall, wait: Duration) -> Result<TimedPage, StoreError> {
        let sent = boot_time();
        let body = self.call(call, wait).await?;
        let page = self
            .dialect
            .decode_rows(&body)
            .map_err(StoreError::Decode)?;
        Ok(TimedPage {
            page,
            sent,
            received: boot_time(),
        })
    }

    async fn call(&self, call: HttpCall, wait: Duration) -> Result<Vec<u8>, StoreError> {
        self.calls.set(self.calls.get() + 1);
        match tokio::time::timeout(wait + ANSWER_SLACK, self.exchange(&call)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Timeout),
        }
    }

    async fn exchange(&self, call: &HttpCall) -> Result<Vec<u8>, StoreError> {
        let head = encode_call_head(call, self.address);
        let mut conn = self
            .upstreams
            .connect(self.address, IDLE, CONNECT_TIMEOUT)
            .await?;
        let sending = Sending {
            head: &head,
            body: &call.body,
            echo: None,
            head_request: false,
        };
        let mut answer = conn.send(sending).await?;
        let body = conn.whole(&mut answer).await?;
        let status = answer.head.status;
        self.upstreams.keep(conn, &answer);
        match status {
            200..=299 => Ok(body),
            410 => Err(StoreError::HistoryGone),
            _ => Err(StoreError::Status(status)),
        }
    }
}

/// Head of a call with its empty line.
#[must_use]
pub fn encode_call_head(call: &HttpCall, address: SocketAddr) -> Vec<u8> {
    let kind = if call.body.is_empty() {
        ""
    } else {
        "Content-Type: application/json\r\n"
    };
    let length = if call.method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", call.body.len())
    };
    format!(
        "{} {} HTTP/1.1\r\nHost: {address}\r\n{kind}{length}\r\n",
        call.method, call.target
    )
    .into_bytes()
}
