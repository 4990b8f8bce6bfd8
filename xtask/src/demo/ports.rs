//! Chooses free ports of the loopback address at run time.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::Mutex;

use anyhow::bail;
use rand::Rng;

/// First port of the range. The range lies below the ephemeral ports of the system, so that no
/// outgoing connection takes the port of a process that is being restarted.
const FIRST_PORT: u16 = 12_000;
const END_PORT: u16 = 30_000;
const MAX_TRIES: u32 = 10_000;

/// Ports that this process has already chosen and must not choose again.
static CHOSEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Chooses `count` distinct addresses `127.0.0.1:PORT` on which nothing listens.
pub fn choose(count: usize) -> anyhow::Result<Vec<String>> {
    let mut chosen = CHOSEN.lock().expect("ports lock poisoned");
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..MAX_TRIES {
        if listeners.len() == count {
            break;
        }
        let port = rand::rng().random_range(FIRST_PORT..END_PORT);
        if chosen.contains(&port) {
            continue;
        }
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            chosen.insert(port);
            listeners.push(listener);
        }
    }
    if listeners.len() < count {
        bail!("only {} of {count} free ports found", listeners.len());
    }
    let addr = |listener: &TcpListener| Ok(listener.local_addr()?.to_string());
    listeners.iter().map(addr).collect()
}
