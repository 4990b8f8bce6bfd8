//! Stand-in for the platform's store: tables of rows, transactions, a feed of changes, and the drill in
//! which it is away for a moment and comes back from a copy.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{self, Json};
use crate::record::Record;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Table, part and key.
type Key = (String, String, String);

#[derive(Debug, Clone)]
struct Row {
    /// Base64; `None` once the row was removed.
    value: Option<String>,
    version: u64,
}

/// A copy of all rows.
#[derive(Clone)]
pub struct Copy {
    rows: BTreeMap<Key, Row>,
    version: u64,
}

struct State {
    rows: BTreeMap<Key, Row>,
    version: u64,
    era: u64,
    is_away: bool,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started_at: Instant,
    address: SocketAddr,
    record: Record,
}

/// The link of one instance to the store.
pub struct Link {
    pub address: SocketAddr,
    /// Whether the link is cut.
    pub is_cut: Arc<AtomicBool>,
}

/// An answer of the store; `None` if the connection ends instead.
type Answer = Option<(u16, String)>;

impl Store {
    pub fn start(ip: &str, record: &Record) -> io::Result<Self> {
        let (listener, address) = http::listen(ip)?;
        let state = State {
            rows: BTreeMap::new(),
            version: 0,
            era: 0,
            is_away: false,
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            started_at: Instant::now(),
            address,
            record: record.clone(),
        };
        let served = store.clone();
        let handler = move |request: &Request, out: &mut TcpStream| {
            let answer = served.answer(request);
            answer.map_or(Ok(false), |answer| out.write_all(&answer).map(|()| true))
        };
        http::serve(listener, Arc::new(handler));
        Ok(store)
    }

    /// Listens at one more address, for one instance. While the link is cut, calls there get no answer
    /// and their connections stay open; they end when the link is whole again.
    pub fn listen_at(&self, ip: &str) -> io::Result<Link> {
        let (listener, address) = http::listen(ip)?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let (served, cut) = (self.clone(), is_cut.clone());
        let handler = move |request: &Request, out: &mut TcpStream| {
            let answer = served.answer(request);
            let mut was_cut = false;
            while cut.load(Ordering::Relaxed) {
                was_cut = true;
                std::thread::sleep(ANSWER_TIME);
            }
            let answer = answer.filter(|_| !was_cut);
            answer.map_or(Ok(false), |answer| out.write_all(&answer).map(|()| true))
        };
        http::serve(listener, Arc::new(handler));
        Ok(Link { address, is_cut })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a row, as the operator and servers do. Waits while the store is away.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        while state.is_away {
            state = changed.wait(state).unwrap();
        }
        state.version += 1;
        let row = Row {
            value: Some(encode_base64(value.as_bytes())),
            version: state.version,
        };
        state
            .rows
            .insert((table.into(), String::new(), key.into()), row);
        changed.notify_all();
    }

    /// Keys of the rows of a table, with their parts.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let live = state
            .rows
            .iter()
            .filter(|((t, _, _), row)| t == table && row.value.is_some());
        live.map(|((_, part, key), row)| format!("{part}:{key}@{}", row.version))
            .collect()
    }

    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        Copy {
            rows: state.rows.clone(),
            version: state.version,
        }
    }

    /// From now on calls get no answer: their connections end.
    pub fn leave(&self) {
        let (lock, changed) = &*self.state;
        lock.lock().unwrap().is_away = true;
        changed.notify_all();
    }

    /// Comes back from a copy.
    pub fn come_back_from(&self, copy: Copy) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.rows = copy.rows;
        state.version = copy.version;
        state.era += 1;
        state.is_away = false;
        changed.notify_all();
    }

    /// The whole answer to a call; `None` if its connection ends instead.
    fn answer(&self, request: &Request) -> Option<Vec<u8>> {
        let target = request.head.second_word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (status, body) = match path {
            "/api/rows-get" => self.get(query),
            "/api/rows-feed" => self.feed(query),
            "/api/rows-tx" => self.transact(&request.body),
            _ => Some((404, String::new())),
        }?;
        let era = self.state.0.lock().unwrap().era;
        std::thread::sleep(ANSWER_TIME);
        let head = format!(
            "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        Some([head.as_bytes(), body.as_bytes()].concat())
    }

    fn get(&self, query: &str) -> Answer {
        let state = self.state.0.lock().unwrap();
        if state.is_away {
            return None;
        }
        let (table, part) = (
            param(query, "table")?,
            param(query, "part").unwrap_or_default(),
        );
        let (from, to) = (param(query, "from"), param(query, "to"));
        let limit = param(query, "limit")
            .and_then(|text| text.parse().ok())
            .unwrap_or(500);
        let in_range = |key: &String| {
            from.as_ref().is_none_or(|from| key >= from) && to.as_ref().is_none_or(|to| key < to)
        };
        let rows = state.rows.iter().filter(|((t, p, key), row)| {
            *t == table && *p == part && in_range(key) && row.value.is_some()
        });
        let rows: Vec<_> = rows.take(limit + 1).collect();
        let has_more = rows.len() > limit;
        Some((
            200,
            self.page(&state, rows.into_iter().take(limit), has_more),
        ))
    }

    fn feed(&self, query: &str) -> Answer {
        let (lock, changed) = &*self.state;
        let table = param(query, "table")?;
        let after: u64 = param(query, "after")?.parse().ok()?;
        let wait = Duration::from_millis(param(query, "wait_ms")?.parse().ok()?);
        let until = Instant::now() + wait.min(Duration::from_secs(30));
        let mut state = lock.lock().unwrap();
        let era = state.era;
        loop {
            // The answers to calls that wait are lost when the store leaves.
            if state.is_away || state.era != era {
                return None;
            }
            if after > state.version {
                return Some((410, String::new()));
            }
            let rows = state
                .rows
                .iter()
                .filter(|((t, _, _), row)| *t == table && row.version > after);
            let mut rows: Vec<_> = rows.collect();
            rows.sort_by_key(|(_, row)| row.version);
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return Some((200, self.page(&state, rows.into_iter(), false)));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn page<'a>(
        &self,
        state: &State,
        rows: impl Iterator<Item = (&'a Key, &'a Row)>,
        has_more: bool,
    ) -> String {
        let rows = rows.map(|((table, part, key), row)| {
            let value = row.value.as_deref().unwrap_or_default();
            let tombstone = if row.value.is_none() { r#","tombstone":true"# } else { "" };
            format!(
                r#"{{"table":"{table}","part":"{part}","key":"{key}","value":"{value}","ver":{}{tombstone}}}"#,
                row.version
            )
        });
        let rows: Vec<String> = rows.collect();
        format!(
            r#"{{"rows":[{}],"has_more":{has_more},"ver":{},"now_ms":{}}}"#,
            rows.join(","),
            state.version,
            self.now_ms()
        )
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis() + 50_000
    }

    fn transact(&self, body: &[u8]) -> Answer {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.is_away {
            return None;
        }
        let Some(transaction) = json::parse(body) else {
            return Some((400, String::new()));
        };
        let key = |row: &Json| -> Key {
            (
                row.text("table").into(),
                row.text("part").into(),
                row.text("key").into(),
            )
        };
        for expected in transaction.items("expect") {
            let known = state
                .rows
                .get(&key(expected))
                .filter(|row| row.value.is_some());
            #[allow(clippy::cast_precision_loss)]
            if known.map_or(0.0, |row| row.version as f64) != expected.number("ver") {
                return Some((412, r#"{"rows":[]}"#.into()));
            }
        }
        state.version += 1;
        let version = state.version;
        for row in transaction.items("set_keys") {
            let (table, part, name) = key(row);
            self.record
                .line(&format!("store: set {table}/{part}/{name} at {version}"));
            let row = Row {
                value: Some(row.text("value").into()),
                version,
            };
            state.rows.insert((table, part, name), row);
        }
        for row in transaction.items("remove") {
            let (table, part, name) = key(row);
            self.record
                .line(&format!("store: remove {table}/{part}/{name} at {version}"));
            state.rows.insert(
                (table, part, name),
                Row {
                    value: None,
                    version,
                },
            );
        }
        changed.notify_all();
        Some((
            200,
            format!(r#"{{"ver":{version},"now_ms":{}}}"#, self.now_ms()),
        ))
    }
}

/// A parameter of a query, without percent-encoding.
fn param(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(n, _)| *n == name)?;
    let mut out = Vec::new();
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next()?, bytes.next()?];
            out.push(u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?);
        } else {
            out.push(byte);
        }
    }
    String::from_utf8(out).ok()
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position) & 63) as usize];
            out.push(if position <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}
