//! The callers' HTTP interface: parses and checks an HTTP request into a [`CallerRequest`].

use std::borrow::Cow;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::io::ReadExt;
use http_types::{Method, Request};
use sardineshore_core::{CustomerId, NotRunReason, Pipeline};
use sardineshore_wire::headers;
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::Settings;

/// Maximum length of a customer's or pipeline's name.
const MAX_NAME_BYTES: usize = 128;
/// Length of the beginning of a prompt that is hashed for prefix caches.
const PREFIX_CHARS: usize = 64;

/// Endpoint that an HTTP request addresses.
#[derive(Debug, PartialEq, Eq)]
pub enum Target {
    /// `GET /healthz`.
    Health,
    /// `GET /readyz`.
    Ready,
    /// `GET /metrics`.
    Metrics,
    /// `POST /v1/pipelines/NAME/requests`.
    Submit {
        /// Name of the pipeline.
        pipeline: Arc<str>,
    },
    /// Any other path or method.
    Unknown,
}

/// A caller's request after all checks that do not need the configuration.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// `Idempotency-Key`, unchecked.
    pub key: Option<Arc<str>>,
    /// Time limit that the caller requests.
    pub deadline: Option<Duration>,
    /// Whether the caller accepts a streamed answer.
    pub streamed: bool,
    /// Body of the request: a JSON document.
    pub body: Arc<[u8]>,
    /// Hash of the beginning of the prompt, for prefix caches; 0 without a prompt.
    pub prefix: u64,
    /// Time when the handling of the request started.
    pub arrived: Instant,
}

/// Rejection of a request, with an explanation in plain text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Reason for the caller.
    pub reason: NotRunReason,
    /// Explanation.
    pub detail: String,
}

impl Rejection {
    /// Creates a rejection.
    pub fn new(reason: NotRunReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
        }
    }
}

/// Determines the endpoint from the method and path of a request.
#[must_use]
pub fn parse_target(req: &Request) -> Target {
    let path: Vec<&str> = req.url().path().trim_matches('/').split('/').collect();
    match (req.method(), path.as_slice()) {
        (Method::Get, ["healthz"]) => Target::Health,
        (Method::Get, ["readyz"]) => Target::Ready,
        (Method::Get, ["metrics"]) => Target::Metrics,
        (Method::Post, ["v1", "pipelines", name, "requests"]) if name.len() <= MAX_NAME_BYTES => {
            Target::Submit {
                pipeline: (*name).into(),
            }
        }
        _ => Target::Unknown,
    }
}

/// Reads and checks a caller's request; rejects a body that is too large or arrives too slowly.
pub async fn read_request(
    req: &mut Request,
    settings: &Settings,
    arrived: Instant,
) -> Result<CallerRequest, Rejection> {
    let customer = customer(req)?;
    let deadline = deadline(req, settings.max_deadline)?;
    let key = req
        .header(headers::IDEMPOTENCY_KEY)
        .map(|values| values.last().as_str().into());
    let accept = req
        .header("accept")
        .map_or("", |values| values.last().as_str());
    let streamed = accept.contains("text/event-stream");
    let read = read_body(req, settings.max_body);
    let body = async_std::future::timeout(settings.receive_timeout, read)
        .await
        .map_err(|_| {
            Rejection::new(NotRunReason::SlowSender, "the body did not arrive in time")
        })??;
    let prefix = hash_prompt_prefix(&body)?;
    Ok(CallerRequest {
        customer,
        key,
        deadline,
        streamed,
        body: body.into(),
        prefix,
        arrived,
    })
}

/// Deadline of a request: the earlier of the pipeline's and the caller's.
#[must_use]
pub fn effective_deadline(caller_request: &CallerRequest, pipeline: &Pipeline) -> Instant {
    let wanted = caller_request.deadline.unwrap_or(pipeline.deadline);
    caller_request.arrived + wanted.min(pipeline.deadline)
}

fn customer(req: &Request) -> Result<CustomerId, Rejection> {
    let bad = |detail: &str| Rejection::new(NotRunReason::BadRequest, detail);
    let Some(values) = req.header(headers::CUSTOMER) else {
        return Err(bad("the header x-sardine-customer is missing"));
    };
    let name = values.last().as_str();
    let known = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(known) {
        return Err(bad(
            "the customer's name must be 1 to 128 letters, digits, '-', '_' or '.'",
        ));
    }
    Ok(name.into())
}

fn deadline(req: &Request, max: Duration) -> Result<Option<Duration>, Rejection> {
    let Some(values) = req.header(headers::DEADLINE_MS) else {
        return Ok(None);
    };
    let bad = |detail: String| Rejection::new(NotRunReason::BadDeadline, detail);
    let text = values.last().as_str();
    let ms: u64 = text
        .parse()
        .map_err(|_| bad(format!("{text:?} is not a number")))?;
    let wanted = Duration::from_millis(ms);
    if wanted.is_zero() || wanted > max {
        return Err(bad(format!(
            "the deadline must be 1 to {} ms",
            max.as_millis()
        )));
    }
    Ok(Some(wanted))
}

async fn read_body(req: &mut Request, max: usize) -> Result<Vec<u8>, Rejection> {
    let too_large = || Rejection::new(NotRunReason::TooLarge, format!("the limit is {max} bytes"));
    let declared = req.len();
    if declared.is_some_and(|len| len > max) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    let limit = u64::try_from(max).unwrap_or(u64::MAX).saturating_add(1);
    req.take_body()
        .take(limit)
        .read_to_end(&mut body)
        .await
        .map_err(|err| Rejection::new(NotRunReason::BadRequest, format!("body: {err}")))?;
    if body.len() > max {
        return Err(too_large());
    }
    if declared.is_some_and(|len| len != body.len()) {
        return Err(Rejection::new(
            NotRunReason::BadRequest,
            "the body was cut short",
        ));
    }
    Ok(body)
}

/// The fields of an input that routing uses.
#[derive(Deserialize)]
struct PromptInput<'a> {
    #[serde(borrow)]
    prompt: Option<Cow<'a, str>>,
}

/// Checks that the body is a JSON object and hashes the beginning of its prompt; 0 without one.
fn hash_prompt_prefix(body: &[u8]) -> Result<u64, Rejection> {
    let bad = |detail: String| Rejection::new(NotRunReason::BadRequest, detail);
    if body.trim_ascii_start().first() != Some(&b'{') {
        return Err(bad("the body is not a JSON object".into()));
    }
    let input: PromptInput<'_> =
        serde_json::from_slice(body).map_err(|err| bad(format!("the body: {err}")))?;
    let prompt = input.prompt.unwrap_or_default();
    let end = prompt
        .char_indices()
        .nth(PREFIX_CHARS)
        .map_or(prompt.len(), |(at, _)| at);
    let beginning = &prompt.as_bytes()[..end];
    Ok(if beginning.is_empty() {
        0
    } else {
        xxh3_64(beginning)
    })
}
