//! Replies that arrive while the request is still being written, and replies with a status that isn't one.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::task;
use http_types::{Method, Request, Url};
use sardineshore_wire::http::{Client, ClientError, Reply, Reuse};
use socket2::SockRef;

/// Longest time for an exchange; no test waits for it.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Far larger than the buffers of both sockets.
const UPLOAD_BYTES: usize = 32 * 1024 * 1024;

/// How a server ends its connection after an early reply.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Reset,
    /// It has unread bytes then, so that this resets the connection.
    CloseUnread,
}

/// Starts a server that replies with these bytes before it has read the body, and returns its address.
fn serve_early(reply: &'static str, end: End) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 1024];
        assert!(stream.read(&mut buf).unwrap() > 0);
        stream.write_all(reply.as_bytes()).unwrap();
        if end == End::Reset {
            let linger = Some(Duration::ZERO);
            SockRef::from(&stream).set_linger(linger).unwrap();
        }
    });
    addr
}

fn request(addr: &str, body_bytes: usize) -> Request {
    let url = Url::parse(&format!("http://{addr}/v1/run")).unwrap();
    let mut req = Request::new(Method::Post, url);
    req.set_body(vec![b'x'; body_bytes]);
    req
}

async fn upload(addr: &str, body_bytes: usize) -> Result<Reply, ClientError> {
    let client = Client::default();
    client.send(addr, request(addr, body_bytes), TIMEOUT).await
}

/// The same, read as a stream; the body if it seems whole.
async fn upload_streamed(addr: &str, body_bytes: usize) -> Result<Vec<u8>, ClientError> {
    let client = Client::default();
    let conn = client.checkout(addr, Reuse::Never, TIMEOUT).await?;
    let req = request(addr, body_bytes);
    let mut head = client.stream(conn, req, TIMEOUT).await?;
    let mut body = Vec::new();
    let read = head.take_body().read_to_end(&mut body).await;
    read.map_err(|err| ClientError::ReplyLost(err.to_string()))?;
    Ok(body)
}

/// Guards against a part of a reply that passes for the whole one, as the writing of the request has used up
/// the report of the connection's reset.
#[test]
fn send_reply_until_close_is_lost_if_connection_is_reset() {
    task::block_on(async {
        let reply = "HTTP/1.1 200 OK\r\n\r\n{\"whole\":0}";
        for end in [End::Reset, End::CloseUnread] {
            for body_bytes in [100_000, UPLOAD_BYTES] {
                for _ in 0..10 {
                    let addr = serve_early(reply, end);
                    let sent = upload(&addr, body_bytes).await;
                    assert!(
                        matches!(sent, Err(ClientError::ReplyLost(_))),
                        "{end:?}, {body_bytes} bytes: {sent:?}"
                    );
                    let addr = serve_early(reply, end);
                    let streamed = upload_streamed(&addr, body_bytes).await;
                    assert!(
                        streamed.is_err(),
                        "{end:?}, {body_bytes} bytes: {streamed:?}"
                    );
                }
            }
        }
    });
}

/// Guards against bytes that are no reply in the protocol and count as one.
#[test]
fn send_reply_with_status_out_of_range_is_lost() {
    task::block_on(async {
        for reply in [
            "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\n{}",
        ] {
            let addr = serve_early(reply, End::CloseUnread);
            let sent = upload(&addr, 0).await;
            assert!(
                matches!(sent, Err(ClientError::ReplyLost(_))),
                "{reply:?}: {sent:?}"
            );
        }
    });
}
