//! Free ports of the loopback address, chosen at run time.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::Mutex;

use anyhow::bail;
use rand::Rng;

/// First port tried; the range lies below the ports that the system gives to outgoing connections,
/// so that a restarted process finds its port free.
const FIRST: u16 = 12_000;
const LAST: u16 = 30_000;
const TRIES: u32 = 10_000;

/// Ports given out by this process, which none of its later calls may choose.
static CHOSEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Chooses `count` distinct addresses `127.0.0.1:PORT` on which nothing listens.
pub fn choose(count: usize) -> anyhow::Result<Vec<String>> {
    let mut chosen = CHOSEN.lock().expect("ports lock poisoned");
    let mut held = Vec::with_capacity(count);
    for _ in 0..TRIES {
        if held.len() == count {
            break;
        }
        let port = rand::rng().random_range(FIRST..LAST);
        if chosen.contains(&port) {
            continue;
        }
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            chosen.insert(port);
            held.push(listener);
        }
    }
    if held.len() < count {
        bail!("only {} of {count} free ports found", held.len());
    }
    let addr = |listener: &TcpListener| Ok(listener.local_addr()?.to_string());
    held.iter().map(addr).collect()
}
