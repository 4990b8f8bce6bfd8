//! Sends one HTTP request to an entry instance and reads its reply, in one piece or streamed.

use std::sync::Arc;
use std::time::Duration;

use async_std::io::BufReader;
use async_std::stream::StreamExt;
use http_types::{Body, Method, Request, Response, Url, mime};
use sardineshore_wire::caller::ErrorBody;
use sardineshore_wire::headers;
use sardineshore_wire::http::{Client, ClientError, Reuse, header};
use serde::Deserialize;

use crate::verify::{ReceivedAnswer, Token};

/// Media type of streamed answers.
const EVENT_STREAM: &str = "text/event-stream";

/// One send of a logical request to an entry instance.
#[derive(Debug, Clone)]
pub struct SendRequest {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Name of the pipeline.
    pub pipeline: Arc<str>,
    /// Time within which the caller asks for the answer.
    pub deadline: Duration,
    /// Idempotency key; empty for none.
    pub key: Arc<str>,
    /// Whether to ask for a streamed answer.
    pub streamed: bool,
    /// Body of the request, JSON text.
    pub body: Arc<[u8]>,
    /// How long the caller waits for the end of the reply.
    pub timeout: Duration,
}

/// Outcome of one send.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SendOutcome {
    /// `IP:PORT` of the entry instance that the request was sent to; empty if none was reached.
    pub entry: Arc<str>,
    /// Identifier of the request; empty if the reply names none.
    pub request: Arc<str>,
    /// `answered`, `not-run`, `unknown`, or `no-reply`.
    pub outcome: Arc<str>,
    /// Reason of the outcome; empty for `answered`.
    pub reason: Arc<str>,
    /// The answer, not verified yet; only for `answered`.
    pub answer: Option<ReceivedAnswer>,
}

impl SendOutcome {
    /// Outcome of a send that got no usable reply.
    #[must_use]
    pub fn no_reply(reason: &str) -> Self {
        Self {
            outcome: "no-reply".into(),
            reason: reason.into(),
            ..Self::default()
        }
    }

    /// Sets the entry instance that the request was sent to.
    #[must_use]
    pub fn with_entry(mut self, entry: &Arc<str>) -> Self {
        self.entry = entry.clone();
        self
    }

    fn failed(head: &Response, error: &ErrorBody) -> Self {
        Self {
            request: header(head, headers::REQUEST).into(),
            outcome: error.outcome.clone(),
            reason: error.reason.clone(),
            ..Self::default()
        }
    }

    fn answered(head: &Response, answer: ReceivedAnswer) -> Self {
        Self {
            request: header(head, headers::REQUEST).into(),
            outcome: "answered".into(),
            answer: Some(answer),
            ..Self::default()
        }
    }
}

/// Sends a request to one entry instance and reads the reply to the end.
///
/// A reply that can't be parsed is an outcome `no-reply`, not an error.
pub async fn send_to(
    client: &Client,
    entry: &str,
    send: &SendRequest,
) -> Result<SendOutcome, ClientError> {
    let req = request(entry, send);
    if !send.streamed {
        let reply = client.send(entry, req, send.timeout).await?;
        return Ok(read_body(&reply.head, reply.body));
    }
    let conn = client.checkout(entry, Reuse::Never, send.timeout).await?;
    let head = client.stream(conn, req, send.timeout).await?;
    let read = async_std::future::timeout(send.timeout, read_reply(head)).await;
    read.map_err(|_| ClientError::TimedOut)?
}

fn request(entry: &str, send: &SendRequest) -> Request {
    let url = format!("http://{entry}/v1/pipelines/{}/requests", send.pipeline);
    let url = Url::parse(&url).expect("a checked address and name form a URL");
    let mut req = Request::new(Method::Post, url);
    req.insert_header(headers::CUSTOMER, &*send.customer);
    req.insert_header(headers::DEADLINE_MS, send.deadline.as_millis().to_string());
    if !send.key.is_empty() {
        req.insert_header(headers::IDEMPOTENCY_KEY, &*send.key);
    }
    if send.streamed {
        req.insert_header("accept", EVENT_STREAM);
    }
    let mut body = Body::from_bytes(send.body.to_vec());
    body.set_mime(mime::JSON);
    req.set_body(body);
    req
}

fn read_body(head: &Response, body: Vec<u8>) -> SendOutcome {
    match header(head, headers::OUTCOME) {
        "answered" => SendOutcome::answered(
            head,
            ReceivedAnswer {
                document: body,
                tokens: None,
            },
        ),
        _ => match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(error) => SendOutcome::failed(head, &error),
            Err(_) => SendOutcome::no_reply("no-outcome"),
        },
    }
}

async fn read_reply(mut head: Response) -> Result<SendOutcome, ClientError> {
    let body = head.take_body();
    if header(&head, "content-type").starts_with(EVENT_STREAM) {
        return Ok(read_stream(&head, body).await);
    }
    let body = body.into_bytes().await;
    let body = body.map_err(|err| ClientError::ReplyLost(err.to_string()))?;
    Ok(read_body(&head, body))
}

/// Reads events until `done` or `failed`; a stream that ends without either is no reply.
async fn read_stream(head: &Response, body: Body) -> SendOutcome {
    let mut tokens = Vec::new();
    let mut events = async_sse::decode(BufReader::new(body));
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return SendOutcome::no_reply("stream-broken");
        };
        let async_sse::Event::Message(message) = event else {
            continue;
        };
        match message.name().as_str() {
            "token" => match read_token(&message) {
                Some(token) => tokens.push(token),
                None => return SendOutcome::no_reply("stream-malformed"),
            },
            "done" => {
                let answer = ReceivedAnswer {
                    document: message.into_bytes(),
                    tokens: Some(tokens),
                };
                return SendOutcome::answered(head, answer);
            }
            "failed" => return read_failed(head, message.data()),
            _ => return SendOutcome::no_reply("stream-malformed"),
        }
    }
    SendOutcome::no_reply("stream-cut")
}

fn read_failed(head: &Response, data: &[u8]) -> SendOutcome {
    match serde_json::from_slice::<ErrorBody>(data) {
        Ok(error) => SendOutcome::failed(head, &error),
        Err(_) => SendOutcome::no_reply("stream-malformed"),
    }
}

/// Data of a `token` event.
#[derive(Debug, Deserialize)]
struct TokenData {
    seq: u64,
    text: String,
}

/// Reads a token; `None` if the sequence number in its data differs from the event's id.
fn read_token(message: &async_sse::Message) -> Option<Token> {
    let data: TokenData = serde_json::from_slice(message.data()).ok()?;
    let id = message.id().as_ref()?;
    let ids_match = id.parse() == Ok(data.seq);
    ids_match.then_some(Token {
        seq: data.seq,
        text: data.text,
    })
}
