//! The platform's store: tables of rows with one version counter, transactions, reads and feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Conn, parameter, response};
use crate::json::{self, Json, quote};

/// Time that the store takes for an answer, as the pages' deployments have it.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most rows of one response.
const PAGE_ROWS: usize = 500;

type RowId = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    /// Base64; `None` if the row was dropped.
    value: Option<String>,
    ver: u64,
}

#[derive(Debug, Clone, Default)]
struct State {
    rows: BTreeMap<RowId, Row>,
    ver: u64,
    /// Number of times that the store came back from a copy.
    era: u64,
    /// Whether the store is away: it does nothing, and says so.
    is_away: bool,
}

/// A copy of the store's rows.
#[derive(Debug, Clone)]
pub struct Copy(State);

/// A store that stays up.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let served = store.clone();
        http::serve(listener, move |conn| served.serve(conn));
        Ok((store, address))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row as the operator or an engine does, and returns its version: the acknowledgement.
    pub fn put(&self, table: &str, key: &str, text: &str) -> u64 {
        let mut state = self.lock();
        state.ver += 1;
        let ver = state.ver;
        let id = (table.to_owned(), String::new(), key.to_owned());
        let value = Some(base64(text.as_bytes()));
        state.rows.insert(id, Row { value, ver });
        drop(state);
        self.changed.notify_all();
        ver
    }

    /// A copy of all rows as they are.
    pub fn copy(&self) -> Copy {
        Copy(self.lock().clone())
    }

    /// Answers 503 from now on.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.changed.notify_all();
    }

    /// Comes back with the rows of a copy, in the next era.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.lock();
        let era = state.era + 1;
        *state = copy.0;
        (state.era, state.is_away) = (era, false);
        drop(state);
        self.changed.notify_all();
    }

    /// Number of rows that a table has.
    pub fn count(&self, table: &str) -> usize {
        let state = self.lock();
        let rows = state.rows.iter();
        rows.filter(|((t, _, _), row)| t == table && row.value.is_some())
            .count()
    }

    /// Drops a row, as an engine that leaves has its entry dropped.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.lock();
        state.ver += 1;
        let ver = state.ver;
        let id = (table.to_owned(), String::new(), key.to_owned());
        state.rows.insert(id, Row { value: None, ver });
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(head) = conn.head(None) {
            let Ok(body) = conn.body(&head, None) else {
                return;
            };
            let path = head
                .target()
                .split('?')
                .next()
                .unwrap_or_default()
                .to_owned();
            std::thread::sleep(ANSWER_TIME);
            let (status, text) = match path.as_str() {
                _ if self.lock().is_away => (503, String::from("{}")),
                "/api/rows-get" => (200, self.get(head.target())),
                "/api/rows-feed" => self.feed(head.target()),
                "/api/rows-tx" => self.transact(&String::from_utf8_lossy(&body)),
                _ => (404, String::from("{}")),
            };
            let era = self.lock().era;
            let fields = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if conn.write(&response(status, &fields, &text)).is_err() {
                return;
            }
        }
    }

    fn page(&self, state: &State, rows: &[(&RowId, &Row)], has_more: bool) -> String {
        let rows: Vec<String> = rows.iter().map(|(id, row)| row_json(id, row)).collect();
        let now_ms = self.started.elapsed().as_millis() + 50_000;
        let (rows, ver) = (rows.join(","), state.ver);
        format!("{{\"rows\":[{rows}],\"has_more\":{has_more},\"ver\":{ver},\"now_ms\":{now_ms}}}")
    }

    fn get(&self, target: &str) -> String {
        let argument = |name| parameter(target, name).unwrap_or_default();
        let (table, part, from, to) = (
            argument("table"),
            argument("part"),
            argument("from"),
            argument("to"),
        );
        let limit: usize = argument("limit").parse().unwrap_or(PAGE_ROWS);
        let state = self.lock();
        let rows = state.rows.iter().filter(|((t, p, key), row)| {
            *t == table
                && *p == part
                && *key >= from
                && (to.is_empty() || *key < to)
                && row.value.is_some()
        });
        let rows: Vec<_> = rows.collect();
        let limit = limit.min(PAGE_ROWS);
        let has_more = rows.len() > limit;
        self.page(&state, &rows[..rows.len().min(limit)], has_more)
    }

    fn feed(&self, target: &str) -> (u16, String) {
        let argument = |name| parameter(target, name).unwrap_or_default();
        let table = argument("table");
        let after: u64 = argument("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(argument("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let mut state = self.lock();
        loop {
            if state.is_away {
                return (503, String::from("{}"));
            }
            if after > state.ver {
                return (410, String::from("{}"));
            }
            let mut rows: Vec<_> = state
                .rows
                .iter()
                .filter(|((t, _, _), row)| *t == table && row.ver > after)
                .collect();
            rows.sort_by_key(|(_, row)| row.ver);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, self.page(&state, &rows, false));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, text: &str) -> (u16, String) {
        let Some(call) = json::parse(text) else {
            return (400, String::from("{}"));
        };
        let id = |entry: &Json| -> RowId {
            (
                entry.text("table").into(),
                entry.text("part").into(),
                entry.text("key").into(),
            )
        };
        let mut state = self.lock();
        let writes = call.list("set_keys").iter().chain(call.list("remove"));
        if writes
            .clone()
            .any(|entry| ["op", "servers"].contains(&entry.text("table")))
        {
            return (403, String::from("{}"));
        }
        let holds = call.list("expect").iter().all(|entry| {
            let row = state.rows.get(&id(entry)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.ver) == entry.number("ver") as u64
        });
        if !holds {
            return (412, self.page(&state, &[], false));
        }
        state.ver += 1;
        let ver = state.ver;
        for entry in call.list("set_keys") {
            let value = Some(entry.text("value").to_owned());
            state.rows.insert(id(entry), Row { value, ver });
        }
        for entry in call.list("remove") {
            if let Some(row) = state.rows.get_mut(&id(entry)) {
                *row = Row { value: None, ver };
            }
        }
        let answer = self.page(&state, &[], false);
        drop(state);
        self.changed.notify_all();
        (200, answer)
    }
}

fn row_json((table, part, key): &RowId, row: &Row) -> String {
    let place = format!(
        "\"table\":{},\"part\":{},\"key\":{}",
        quote(table),
        quote(part),
        quote(key)
    );
    match &row.value {
        Some(value) => format!("{{{place},\"value\":{},\"ver\":{}}}", quote(value), row.ver),
        None => format!("{{{place},\"ver\":{},\"tombstone\":true}}", row.ver),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let byte = |index| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            let is_padding = digit > group.len();
            out.push(if is_padding {
                '='
            } else {
                char::from(DIGITS[index as usize])
            });
        }
    }
    out
}
