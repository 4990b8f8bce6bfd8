//! Answers the balancer's question for readiness, and serves metrics.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::http1::{RequestHead, parse_request};

/// Idle time after which a connection is closed.
const IDLE: Duration = Duration::from_secs(30);
/// Most bytes of a request.
const MAX_HEAD: usize = 8192;

/// Answer of a small interface: status and body.
pub type Handler = Rc<dyn Fn(&RequestHead) -> (u16, String)>;

/// Serves a small interface on an address for ever.
pub async fn serve(address: SocketAddr, answering: Handler) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let answering = answering.clone();
        tokio::task::spawn_local(async move {
            // A peer that breaks off is not an event of its own.
            let _closed = answer_all(stream, answering).await;
        });
    }
}

async fn answer_all(mut stream: TcpStream, answering: Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buf = BytesMut::new();
    loop {
        let (head, used) = match parse_request(&buf) {
            Ok(Some(parsed)) => parsed,
            Ok(None) if buf.len() < MAX_HEAD => {
                match tokio::time::timeout(IDLE, stream.read_buf(&mut buf)).await {
                    Ok(Ok(count)) if count > 0 => continue,
                    _ => return Ok(()),
                }
            }
            _ => return Ok(()),
        };
        let _consumed = buf.split_to(used);
        let (status, body) = answering(&head);
        let reason = crate::http1::reason(status);
        let answer = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).await?;
    }
}
