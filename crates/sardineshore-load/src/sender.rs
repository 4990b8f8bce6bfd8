//! One exchange with an entry instance: a request, and a whole or streamed reply.

use std::sync::Arc;
use std::time::Duration;

use async_std::io::BufReader;
use async_std::stream::StreamExt;
use http_types::{Body, Method, Request, Response, Url, mime};
use sardineshore_wire::caller::ErrorBody;
use sardineshore_wire::headers;
use sardineshore_wire::http::{Client, ClientError, Reuse, header};
use serde::Deserialize;

use crate::verify::{ReadAnswer, Token};

/// Media type of streamed answers.
const EVENT_STREAM: &str = "text/event-stream";

/// One send of a logical request.
#[derive(Debug, Clone)]
pub struct Send {
    /// Customer.
    pub customer: Arc<str>,
    /// Pipeline.
    pub pipeline: Arc<str>,
    /// Deadline that the caller asks for.
    pub deadline: Duration,
    /// Idempotency key, or empty.
    pub key: Arc<str>,
    /// Whether a stream is asked for.
    pub streamed: bool,
    /// JSON document.
    pub body: Arc<[u8]>,
    /// How long the caller waits for the whole reply.
    pub patience: Duration,
}

/// What came of one send.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sent {
    /// `IP:PORT` of the entry instance that was asked last.
    pub entry: Arc<str>,
    /// Request's identifier, or empty.
    pub request: Arc<str>,
    /// `answered`, `not-run`, `unknown`, or `no-reply`.
    pub outcome: Arc<str>,
    /// Reason, or empty.
    pub reason: Arc<str>,
    /// Answer, if there was one.
    pub answer: Option<ReadAnswer>,
}

impl Sent {
    /// A send that got no usable reply.
    #[must_use]
    pub fn no_reply(reason: &str) -> Self {
        Self {
            outcome: "no-reply".into(),
            reason: reason.into(),
            ..Self::default()
        }
    }

    /// Notes the entry instance that was asked.
    #[must_use]
    pub fn from_entry(mut self, entry: &Arc<str>) -> Self {
        self.entry = entry.clone();
        self
    }

    fn refused(head: &Response, refusal: &ErrorBody) -> Self {
        Self {
            request: header(head, headers::REQUEST).into(),
            outcome: refusal.outcome.clone(),
            reason: refusal.reason.clone(),
            ..Self::default()
        }
    }

    fn answered(head: &Response, answer: ReadAnswer) -> Self {
        Self {
            request: header(head, headers::REQUEST).into(),
            outcome: "answered".into(),
            answer: Some(answer),
            ..Self::default()
        }
    }
}

/// Sends once to one entry instance and reads the whole reply.
pub async fn send_to(client: &Client, entry: &str, send: &Send) -> Result<Sent, ClientError> {
    let req = request(entry, send);
    if !send.streamed {
        let reply = client.send(entry, req, send.patience).await?;
        return Ok(read_whole(&reply.head, reply.body));
    }
    let conn = client.checkout(entry, Reuse::Never, send.patience).await?;
    let head = client.stream(conn, req, send.patience).await?;
    let read = async_std::future::timeout(send.patience, read_reply(head)).await;
    read.map_err(|_| ClientError::TimedOut)?
}

fn request(entry: &str, send: &Send) -> Request {
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

fn read_whole(head: &Response, body: Vec<u8>) -> Sent {
    match header(head, headers::OUTCOME) {
        "answered" => Sent::answered(
            head,
            ReadAnswer {
                document: body,
                tokens: None,
            },
        ),
        _ => match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(refusal) => Sent::refused(head, &refusal),
            Err(_) => Sent::no_reply("no-outcome"),
        },
    }
}

async fn read_reply(mut head: Response) -> Result<Sent, ClientError> {
    let body = head.take_body();
    if header(&head, "content-type").starts_with(EVENT_STREAM) {
        return Ok(read_stream(&head, body).await);
    }
    let body = body.into_bytes().await;
    let body = body.map_err(|err| ClientError::ReplyLost(err.to_string()))?;
    Ok(read_whole(&head, body))
}

/// Reads events until `done` or `failed`; a stream without either is no reply.
async fn read_stream(head: &Response, body: Body) -> Sent {
    let mut tokens = Vec::new();
    let mut events = async_sse::decode(BufReader::new(body));
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            return Sent::no_reply("stream-broken");
        };
        let async_sse::Event::Message(message) = event else {
            continue;
        };
        match message.name().as_str() {
            "token" => match read_token(&message) {
                Some(token) => tokens.push(token),
                None => return Sent::no_reply("stream-malformed"),
            },
            "done" => {
                let answer = ReadAnswer {
                    document: message.into_bytes(),
                    tokens: Some(tokens),
                };
                return Sent::answered(head, answer);
            }
            "failed" => return read_failed(head, message.data()),
            _ => return Sent::no_reply("stream-malformed"),
        }
    }
    Sent::no_reply("stream-cut")
}

fn read_failed(head: &Response, data: &[u8]) -> Sent {
    match serde_json::from_slice::<ErrorBody>(data) {
        Ok(refusal) => Sent::refused(head, &refusal),
        Err(_) => Sent::no_reply("stream-malformed"),
    }
}

/// Data of a `token` event.
#[derive(Debug, Deserialize)]
struct TokenData {
    seq: u64,
    text: String,
}

/// Reads a token whose number stands in its data and, the same, in the event's id.
fn read_token(message: &async_sse::Message) -> Option<Token> {
    let data: TokenData = serde_json::from_slice(message.data()).ok()?;
    let id = message.id().as_ref()?;
    let named = id.parse() == Ok(data.seq);
    named.then_some(Token {
        seq: data.seq,
        text: data.text,
    })
}
