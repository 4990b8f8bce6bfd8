//! TCP proxy that counts the bytes between processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::StreamExt;

const BUFFER_BYTES: usize = 16 * 1_024;

/// Forwards connections to one target and counts the payload bytes; dropping it stops accepting.
#[derive(Debug)]
pub struct CountingProxy {
    /// `IP:PORT` at which the proxy listens.
    pub addr: String,
    bytes: Arc<AtomicU64>,
    task: Option<task::JoinHandle<()>>,
}

impl CountingProxy {
    /// Starts a proxy for `target` on a free port.
    pub async fn start(target: &str) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?.to_string();
        let bytes: Arc<AtomicU64> = Arc::default();
        let forward = forward_all(listener, target.into(), bytes.clone());
        Ok(Self {
            addr,
            bytes,
            task: Some(task::spawn(forward)),
        })
    }

    /// Payload bytes forwarded so far, in both directions.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for CountingProxy {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task::spawn(task.cancel());
        }
    }
}

async fn forward_all(listener: TcpListener, target: Arc<str>, bytes: Arc<AtomicU64>) {
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else {
            continue;
        };
        let (target, bytes) = (target.clone(), bytes.clone());
        task::spawn(async move {
            // An error closes the connection for both sides, as it would without the proxy.
            let _ = forward(stream, &target, &bytes).await;
        });
    }
}

async fn forward(from: TcpStream, target: &str, bytes: &AtomicU64) -> std::io::Result<()> {
    let to = TcpStream::connect(target).await?;
    from.set_nodelay(true)?;
    to.set_nodelay(true)?;
    let upstream = copy(from.clone(), to.clone(), bytes);
    let downstream = copy(to, from, bytes);
    futures::future::try_join(upstream, downstream).await?;
    Ok(())
}

async fn copy(mut from: TcpStream, mut to: TcpStream, bytes: &AtomicU64) -> std::io::Result<()> {
    let mut buf = vec![0_u8; BUFFER_BYTES];
    loop {
        let n = from.read(&mut buf).await?;
        if n == 0 {
            return to.shutdown(std::net::Shutdown::Write);
        }
        bytes.fetch_add(n as u64, Ordering::Relaxed);
        to.write_all(&buf[..n]).await?;
    }
}
