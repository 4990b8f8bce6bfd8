//! Replies of backend servers that have neither a length nor chunks and end with their connection.

use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Request, Url};
use sardineshore_wire::http::{Client, ClientError, Reply};

/// Longest time for an exchange; no test waits for it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Sends a request to a server that replies with these bytes and closes the connection.
async fn exchange(reply: &'static [u8]) -> Result<Reply, ClientError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        assert!(stream.read(&mut buf).await.unwrap() > 0);
        stream.write_all(reply).await.unwrap();
    });
    let url = Url::parse(&format!("http://{addr}/v1/run")).unwrap();
    let req = Request::new(Method::Get, url);
    Client::default().send(&addr, req, TIMEOUT).await
}

#[test]
fn send_reply_until_close_is_whole() {
    task::block_on(async {
        let reply = exchange(b"HTTP/1.1 200 OK\r\n\r\n{\"whole\":1}")
            .await
            .unwrap();
        assert_eq!(reply.body, b"{\"whole\":1}");
        let empty = exchange(b"HTTP/1.1 204 No Content\r\n\r\n").await.unwrap();
        assert!(empty.body.is_empty());
    });
}

#[test]
fn send_reply_shorter_than_its_length_is_lost() {
    task::block_on(async {
        let reply = exchange(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"half").await;
        assert!(matches!(reply, Err(ClientError::ReplyLost(_))), "{reply:?}");
        let reply =
            exchange(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n{\"half\r\n")
                .await;
        assert!(matches!(reply, Err(ClientError::ReplyLost(_))), "{reply:?}");
    });
}
