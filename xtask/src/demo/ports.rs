//! Free ports of the loopback address, chosen at run time.

use std::net::TcpListener;

use anyhow::bail;
use rand::Rng;

/// First port tried; the range lies below the ports that the system gives to outgoing connections,
/// so that a restarted process finds its port free.
const FIRST: u16 = 12_000;
const LAST: u16 = 30_000;
const TRIES: u32 = 10_000;

/// Chooses `count` distinct addresses `127.0.0.1:PORT` on which nothing listens.
pub fn choose(count: usize) -> anyhow::Result<Vec<String>> {
    let mut held = Vec::with_capacity(count);
    for _ in 0..TRIES {
        if held.len() == count {
            break;
        }
        let port = rand::rng().random_range(FIRST..LAST);
        held.extend(TcpListener::bind(("127.0.0.1", port)));
    }
    if held.len() < count {
        bail!("only {} of {count} free ports found", held.len());
    }
    let addr = |listener: &TcpListener| Ok(listener.local_addr()?.to_string());
    held.iter().map(addr).collect()
}
