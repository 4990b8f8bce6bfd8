//! Keep-alive probes on connections to servers and instances.

use std::time::Duration;

use sardineshore_serve::upstream::detect_dead_peer;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// Guards against a connection that ends because one probe was lost on a path that was silent for a
/// second or so.
#[tokio::test]
async fn detect_dead_peer_outlasts_a_short_silence() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    detect_dead_peer(&stream).unwrap();
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().unwrap());
    // From the first probe that has to be lost to the last one.
    let probes = socket.tcp_keepalive_retries().unwrap();
    let silence = socket.tcp_keepalive_interval().unwrap() * (probes - 1);
    assert!(silence >= Duration::from_millis(1500), "{silence:?}");
}
