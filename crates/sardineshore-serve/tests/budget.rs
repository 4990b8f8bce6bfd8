//! Servers that send bytes without end, on many connections at once.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use sardineshore_serve::budget::{ReceiveBudget, UNCOUNTED_BYTES};
use sardineshore_serve::upstream::{ConnectionPool, ExchangeError, OutgoingRequest, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: usize = 1 << 20;
const CONNECTIONS: usize = 40;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
const PART: &[u8] = &[b'x'; 4096];

/// Starts a server that answers with these bytes, then with others until the connection ends.
async fn start_server(begin: &'static str, endless: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let mut request = [0; 64];
                let _read = stream.read(&mut request).await;
                let mut written = stream.write_all(begin.as_bytes()).await;
                while endless && written.is_ok() {
                    written = stream.write_all(PART).await;
                }
            });
        }
    });
    address
}

/// Sends a request and reads the body of its response.
async fn fetch(
    pool: &ConnectionPool,
    address: SocketAddr,
) -> Result<(Response, Vec<u8>), ExchangeError> {
    let mut conn = pool.connect_new(address, CONNECT_TIMEOUT).await?;
    let request = OutgoingRequest {
        head: b"GET / HTTP/1.1\r\n\r\n",
        body: b"",
        echo: None,
        is_head: false,
    };
    let mut response = conn.send(request).await?;
    let body = conn.read_body(&mut response).await?;
    Ok((response, body))
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Guards against a process that runs out of memory: each response is bounded, but not all together.
#[test]
fn read_body_large_responses_share_a_budget() {
    run(async {
        let endless = "HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n";
        let address = start_server(endless, true).await;
        let budget = Rc::new(ReceiveBudget::new(LIMIT));
        let pool = ConnectionPool::with_budget(budget.clone());
        let responses = join_all((0..CONNECTIONS).map(|_| fetch(&pool, address))).await;
        let is_too_large =
            |result: &Result<_, _>| matches!(result, Err(ExchangeError::ResponseTooLarge));
        assert!(responses.iter().all(is_too_large));
        assert_eq!(budget.used(), 0);
    });
}

/// Guards against sound responses that are refused while faulty servers use up the budget.
#[test]
fn read_body_small_response_needs_no_budget() {
    run(async {
        let address = start_server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false).await;
        let pool = ConnectionPool::with_budget(Rc::new(ReceiveBudget::new(0)));
        let (_, body) = fetch(&pool, address).await.unwrap();
        assert_eq!(body, b"ok");
    });
}

/// Guards against heads without end.
#[test]
fn send_head_without_end_is_an_error() {
    run(async {
        let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(100).leak();
        for (begin, endless) in [("HTTP/1.1 200 OK\r\nX-Long: ", true), (interim, false)] {
            let address = start_server(begin, endless).await;
            let budget = Rc::new(ReceiveBudget::new(LIMIT));
            let pool = ConnectionPool::with_budget(budget.clone());
            let responses = join_all((0..CONNECTIONS).map(|_| fetch(&pool, address))).await;
            for response in responses {
                let error = response.err().unwrap();
                assert!(matches!(error, ExchangeError::ResponseTooLarge), "{error}");
            }
            assert_eq!(budget.used(), 0);
        }
    });
}

/// Guards against a budget that is given back while the body is still held.
#[test]
fn read_body_counts_until_the_response_is_dropped() {
    run(async {
        let body = "x".repeat(UNCOUNTED_BYTES + 1000);
        let whole = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let address = start_server(whole.leak(), false).await;
        let budget = Rc::new(ReceiveBudget::new(LIMIT));
        let pool = ConnectionPool::with_budget(budget.clone());
        let response = fetch(&pool, address).await.unwrap();
        assert!(budget.used() >= 1000);
        drop(response);
        assert_eq!(budget.used(), 0);
    });
}
