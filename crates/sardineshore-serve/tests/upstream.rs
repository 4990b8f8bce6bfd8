//! Responses that arrive while the request is still being written.

use std::net::SocketAddr;
use std::time::Duration;

use sardineshore_serve::upstream::{ConnectionPool, ExchangeError, OutgoingRequest};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Far larger than the buffers of both sockets.
const UPLOAD_BYTES: usize = 32 * 1024 * 1024;

/// How a server ends its connection after an early response.
#[derive(Debug, Clone, Copy)]
enum End {
    Reset,
    /// It has unread bytes then, so that this resets the connection.
    CloseUnread,
    /// It has sent all and reads on.
    ReadOn,
}

/// A server that responds to each upload before it has read its body.
async fn serve_early(response: &'static str, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut first = [0; 1024];
            let _count = stream.read(&mut first).await.unwrap();
            stream.write_all(response.as_bytes()).await.unwrap();
            match end {
                End::Reset => SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap(),
                End::CloseUnread => {}
                End::ReadOn => {
                    stream.shutdown().await.unwrap();
                    tokio::spawn(read_on(stream));
                }
            }
        }
    });
    address
}

async fn read_on(mut stream: TcpStream) {
    let mut buf = vec![0; 65536];
    while stream.read(&mut buf).await.is_ok_and(|count| count > 0) {}
}

/// Sends an upload and reads the response's body.
async fn upload(address: SocketAddr) -> Result<Vec<u8>, ExchangeError> {
    let connections = ConnectionPool::default();
    let timeout = Duration::from_secs(5);
    let mut conn = connections.connect_new(address, timeout).await?;
    let head = format!("POST /x HTTP/1.1\r\nHost: s\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n");
    let body = vec![b'x'; UPLOAD_BYTES];
    let request = OutgoingRequest {
        head: head.as_bytes(),
        body: &body,
        echo: None,
        is_head: false,
    };
    let mut response = conn.send(request).await?;
    assert_eq!(response.head.status, 200);
    conn.read_body(&mut response).await
}

/// Guards against a part of a response that passes for the whole one: a connection that is reset tells so only
/// once, which the writing of the request may use up, and then ends as if it had been closed.
#[tokio::test]
async fn read_body_until_close_is_not_complete_if_connection_is_reset() {
    let response = "HTTP/1.1 200 OK\r\n\r\nhalf of";
    for end in [End::Reset, End::CloseUnread] {
        for _ in 0..20 {
            let address = serve_early(response, end).await;
            let body = upload(address).await;
            assert!(body.is_err(), "{end:?}: {body:?}");
        }
    }
}

/// Guards against early responses that are lost although they are whole.
#[tokio::test]
async fn read_body_of_early_response_is_complete_at_its_end() {
    let until_close = "HTTP/1.1 200 OK\r\n\r\nwhole";
    let with_length = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    let in_chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    for (response, end) in [
        (until_close, End::ReadOn),
        (with_length, End::ReadOn),
        (with_length, End::Reset),
        (in_chunks, End::Reset),
    ] {
        let body = upload(serve_early(response, end).await).await;
        assert_eq!(body.unwrap(), b"whole", "{response:?} {end:?}");
    }
}
