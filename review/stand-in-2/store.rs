//! The platform's store: rows in tables, with conditional writes and a feed of changes. In a drill it is away for
//! a moment and comes back from a copy.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, response, serve};
use crate::json::{Json, parse};

type RowName = (String, String, String);

#[derive(Default, Clone)]
pub struct Rows {
    /// Number of times that it came back from a copy.
    era: u64,
    /// Whether it answers nobody.
    is_away: bool,
    ver: u64,
    rows: BTreeMap<RowName, (String, u64)>,
    /// All changes: version, name, value or `None` for a removal.
    log: Vec<(u64, RowName, Option<String>)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started_at: Instant,
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let address = listener.local_addr().expect("address");
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
        });
        let served = store.clone();
        serve(listener, move |request, stream| {
            served.handle(request, stream)
        });
        (store, address)
    }

    /// Writes a row as the operator or an engine does; `None` removes it. The return is the acknowledgement.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().expect("rows");
        rows.ver += 1;
        let value = value.map(|value| base64(value.as_bytes()));
        apply(&mut rows, (table.into(), String::new(), key.into()), value);
        self.changed.notify_all();
    }

    /// A copy of all rows.
    pub fn copy(&self) -> Rows {
        self.rows.lock().expect("rows").clone()
    }

    /// Answers nobody from now on.
    pub fn leave(&self) {
        self.rows.lock().expect("rows").is_away = true;
        self.changed.notify_all();
    }

    /// Is back, with the rows of a copy.
    pub fn come_back(&self, copy: Rows) {
        let mut rows = self.rows.lock().expect("rows");
        let era = rows.era + 1;
        *rows = Rows {
            era,
            is_away: false,
            ..copy
        };
        self.changed.notify_all();
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let era = self.rows.lock().expect("rows").era;
        let path = request.target().split('?').next().unwrap_or_default();
        let (status, body) = match (request.method(), path) {
            ("GET", "/api/rows-get") => self.get(request),
            ("GET", "/api/rows-feed") => self.feed(request),
            ("POST", "/api/rows-tx") => self.transact(request),
            _ => (404, String::new()),
        };
        std::thread::sleep(Duration::from_millis(4));
        let mut rows = self.rows.lock().expect("rows");
        let was_away = rows.is_away;
        while rows.is_away {
            rows = self.changed.wait(rows).expect("rows");
        }
        if was_away || rows.era != era {
            // The answer is lost, and the connection delivers nothing further.
            return false;
        }
        drop(rows);
        let headers = [
            ("Content-Type", "application/json".to_owned()),
            ("Store-Era", era.to_string()),
        ];
        stream
            .write_all(&response(status, &headers, body.as_bytes()))
            .is_ok()
    }

    fn now_ms(&self) -> u128 {
        self.started_at.elapsed().as_millis() + 1000
    }

    fn page(&self, rows: &[String], has_more: bool, ver: u64) -> String {
        let (rows, now_ms) = (rows.join(","), self.now_ms());
        format!(r#"{{"rows":[{rows}],"has_more":{has_more},"ver":{ver},"now_ms":{now_ms}}}"#)
    }

    fn get(&self, request: &Message) -> (u16, String) {
        let field = |name| request.query(name).unwrap_or_default();
        let (table, part, from, to) = (field("table"), field("part"), field("from"), field("to"));
        let limit = field("limit").parse().unwrap_or(500);
        let rows = self.rows.lock().expect("rows");
        let all: Vec<String> = (rows.rows.iter())
            .filter(|((t, p, key), _)| *t == table && *p == part && *key >= from)
            .filter(|((_, _, key), _)| to.is_empty() || *key < to)
            .map(|(name, (value, ver))| encode(name, Some(value), *ver))
            .collect();
        let shown = &all[..all.len().min(limit)];
        (200, self.page(shown, shown.len() < all.len(), rows.ver))
    }

    fn feed(&self, request: &Message) -> (u16, String) {
        let field = |name| request.query(name).unwrap_or_default();
        let (table, after) = (field("table"), field("after").parse().unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
        let mut rows = self.rows.lock().expect("rows");
        let era = rows.era;
        loop {
            // A version that it doesn't have.
            if after > rows.ver || rows.era != era {
                return (410, String::new());
            }
            let mut changes: BTreeMap<&RowName, (u64, &Option<String>)> = BTreeMap::new();
            for (ver, name, value) in &rows.log {
                if *ver > after && name.0 == table {
                    changes.insert(name, (*ver, value));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() || rows.is_away {
                let mut changes: Vec<_> = changes.into_iter().collect();
                changes.sort_by_key(|(_, (ver, _))| *ver);
                let encoded: Vec<String> = changes
                    .into_iter()
                    .map(|(name, (ver, value))| encode(name, value.as_ref(), ver))
                    .collect();
                return (200, self.page(&encoded, false, rows.ver));
            }
            rows = self.changed.wait_timeout(rows, left).expect("rows").0;
        }
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let Some(call) = parse(&request.body) else {
            return (400, String::new());
        };
        let name = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let changed = call.list("set_keys").iter().chain(call.list("remove"));
        if changed
            .clone()
            .any(|row| ["op", "servers"].contains(&row.text("table").as_str()))
        {
            return (403, String::new());
        }
        let mut rows = self.rows.lock().expect("rows");
        let holds = call.list("expect").iter().all(|row| {
            let known = rows.rows.get(&name(row)).map_or(0, |(_, ver)| *ver);
            row.number("ver") == Some(known)
        });
        if !holds {
            let known = call.list("expect").iter().filter_map(|row| {
                let name = name(row);
                rows.rows
                    .get(&name)
                    .map(|(value, ver)| encode(&name, Some(value), *ver))
            });
            let known: Vec<String> = known.collect();
            return (412, self.page(&known, false, rows.ver));
        }
        rows.ver += 1;
        for row in call.list("set_keys") {
            apply(&mut rows, name(row), Some(row.text("value")));
        }
        for row in call.list("remove") {
            apply(&mut rows, name(row), None);
        }
        let (ver, now_ms) = (rows.ver, self.now_ms());
        drop(rows);
        self.changed.notify_all();
        (200, format!(r#"{{"ver":{ver},"now_ms":{now_ms}}}"#))
    }
}

fn apply(rows: &mut Rows, name: RowName, value: Option<String>) {
    let ver = rows.ver;
    match &value {
        Some(value) => {
            rows.rows.insert(name.clone(), (value.clone(), ver));
        }
        None => {
            rows.rows.remove(&name);
        }
    }
    rows.log.push((ver, name, value));
}

fn encode((table, part, key): &RowName, value: Option<&String>, ver: u64) -> String {
    let value = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""tombstone":true"#.to_owned(),
    };
    format!(r#"{{"table":"{table}","part":"{part}","key":"{key}",{value},"ver":{ver}}}"#)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let at = |index| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            if digit <= group.len() {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
