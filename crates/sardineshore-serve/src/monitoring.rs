//! A minimal HTTP server for monitoring: the balancer's readiness checks and the metrics.
//!
//! [`crate::instance`] starts one for each of the two addresses.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::http1::{RequestHead, parse_request};

/// A connection on which no bytes arrive for this time is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest request head, in bytes.
const MAX_HEAD_BYTES: usize = 8192;

/// Maps the head of a request to the status and body of the response.
pub type Handler = Rc<dyn Fn(&RequestHead) -> (u16, String)>;

/// Listens on `address` and answers every request with `handler`; returns only if it can't listen.
pub async fn serve(address: SocketAddr, handler: Handler) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            // A client that disconnects is not worth a log line.
            let _closed = serve_connection(stream, handler).await;
        });
    }
}

async fn serve_connection(mut stream: TcpStream, handler: Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buf = BytesMut::new();
    loop {
        let (head, used) = match parse_request(&buf) {
            Ok(Some(parsed)) => parsed,
            Ok(None) if buf.len() < MAX_HEAD_BYTES => {
                match tokio::time::timeout(IDLE_TIMEOUT, stream.read_buf(&mut buf)).await {
                    Ok(Ok(count)) if count > 0 => continue,
                    _ => return Ok(()),
                }
            }
            _ => return Ok(()),
        };
        let _consumed = buf.split_to(used);
        let (status, body) = handler(&head);
        let reason = crate::http1::reason_phrase(status);
        let response = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(response.as_bytes()).await?;
    }
}
