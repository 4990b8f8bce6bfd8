//! HTTP listener of the fakes: one task per connection, with injected connection faults.

use std::fmt;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Encoder, Server};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use http_types::{Method, Request, Response, StatusCode};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Handles the HTTP requests of a fake.
#[async_trait]
pub trait Handler: fmt::Debug + Send + Sync + 'static {
    /// Handles one request.
    async fn handle(self: Arc<Self>, req: Request) -> HandlerOutcome;
}

/// What the listener does after a request was handled.
#[derive(Debug)]
pub enum HandlerOutcome {
    /// Writes one response.
    Respond(Box<Response>),
    /// Writes the response, then a second one that belongs to no request.
    RespondTwice(Box<(Response, Response)>),
    /// Closes the connection without a response.
    Close,
}

impl From<Response> for HandlerOutcome {
    fn from(res: Response) -> Self {
        Self::Respond(Box::new(res))
    }
}

/// Accepts connections forever; retries after an accept error, such as too many open files.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>) -> io::Result<()> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(serve_connection(stream, handler.clone()));
            }
            Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn Handler>) {
    let _ = stream.set_nodelay(true);
    let extra = Arc::new(Mutex::new(None));
    let endpoint = |req| handle_request(handler.clone(), extra.clone(), req);
    let mut server = Server::new(stream.clone(), endpoint);
    while let Ok(ConnectionStatus::KeepAlive) = server.accept_one().await {
        let duplicate = extra.lock().expect("extra response lock poisoned").take();
        if let Some(res) = duplicate {
            let encoder = Encoder::new(res, Method::Post);
            if async_std::io::copy(encoder, stream.clone()).await.is_err() {
                return;
            }
        }
    }
}

async fn handle_request(
    handler: Arc<dyn Handler>,
    extra: Arc<Mutex<Option<Response>>>,
    mut req: Request,
) -> http_types::Result<Response> {
    // Read the whole body before responding: async-h1 discards the bytes that it buffered beyond
    // a body that it has to skip, and with them the next pipelined request.
    let body = req.body_bytes().await?;
    req.set_body(body);
    match handler.handle(req).await {
        HandlerOutcome::Respond(res) => Ok(*res),
        HandlerOutcome::RespondTwice(pair) => {
            let (first, second) = *pair;
            *extra.lock().expect("extra response lock poisoned") = Some(second);
            Ok(first)
        }
        HandlerOutcome::Close => Err(http_types::Error::from_str(
            StatusCode::InternalServerError,
            "closed by an injected fault",
        )),
    }
}
