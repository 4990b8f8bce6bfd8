//! Listener of a stand-in: one task per connection, with faults of the connection.

use std::fmt;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Encoder, Server};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use http_types::{Method, Request, Response, StatusCode};

const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Answers requests.
#[async_trait]
pub trait Handler: fmt::Debug + Send + Sync + 'static {
    /// Answers one request.
    async fn handle(self: Arc<Self>, req: Request) -> Served;
}

/// How a request is answered.
#[derive(Debug)]
pub enum Served {
    /// With one reply.
    Reply(Box<Response>),
    /// With one reply, after which a second one is written that nobody asked for.
    Twice(Box<(Response, Response)>),
    /// Not at all: the connection is closed.
    Close,
}

impl From<Response> for Served {
    fn from(res: Response) -> Self {
        Self::Reply(Box::new(res))
    }
}

/// Accepts connections until the listener fails for good.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) -> io::Result<()> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(connection(stream, handler.clone()));
            }
            Err(_) => task::sleep(ACCEPT_RETRY).await,
        }
    }
}

async fn connection(stream: TcpStream, handler: Arc<dyn Handler>) {
    let _ = stream.set_nodelay(true);
    let extra = Arc::new(Mutex::new(None));
    let endpoint = |req| answer(handler.clone(), extra.clone(), req);
    let mut server = Server::new(stream.clone(), endpoint);
    while let Ok(ConnectionStatus::KeepAlive) = server.accept_one().await {
        let unasked = extra.lock().expect("extra reply lock poisoned").take();
        if let Some(res) = unasked {
            let encoder = Encoder::new(res, Method::Post);
            if async_std::io::copy(encoder, stream.clone()).await.is_err() {
                return;
            }
        }
    }
}

async fn answer(
    handler: Arc<dyn Handler>,
    extra: Arc<Mutex<Option<Response>>>,
    mut req: Request,
) -> http_types::Result<Response> {
    // A reply before the whole body was read could lose the next request: async-h1 drops what it
    // buffered beyond a body that it has to skip.
    let body = req.body_bytes().await?;
    req.set_body(body);
    match handler.handle(req).await {
        Served::Reply(res) => Ok(*res),
        Served::Twice(pair) => {
            let (first, second) = *pair;
            *extra.lock().expect("extra reply lock poisoned") = Some(second);
            Ok(first)
        }
        Served::Close => Err(http_types::Error::from_str(
            StatusCode::InternalServerError,
            "closed by an injected fault",
        )),
    }
}
