//! Replies and requests of the stand-ins' HTTP forms.

use http_types::{Body, Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A reply with a JSON body.
///
/// # Panics
///
/// Panics if the value can't be serialized.
pub fn json<T: Serialize>(value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("a reply serializes");
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_bytes(body));
    res.insert_header("content-type", "application/json");
    res
}

/// A reply without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response {
    Response::new(status)
}

/// A reply that tells what is wrong with the request.
#[must_use]
pub fn bad_request(message: &str) -> Response {
    let mut res = Response::new(StatusCode::BadRequest);
    res.set_body(message);
    res
}

/// Reads a request's body as JSON; the error is a reply.
pub async fn parse<T: DeserializeOwned>(req: &mut Request) -> Result<T, Response> {
    let body = req
        .body_bytes()
        .await
        .map_err(|err| bad_request(&err.to_string()))?;
    serde_json::from_slice(&body).map_err(|err| bad_request(&err.to_string()))
}

/// Value of a request's header, or an empty text.
#[must_use]
pub fn header<'a>(req: &'a Request, name: &str) -> &'a str {
    req.header(name).map_or("", |values| values.last().as_str())
}

/// Value of a parameter in a request's query, or an empty text.
#[must_use]
pub fn query(req: &Request, name: &str) -> String {
    req.url()
        .query_pairs()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
        .unwrap_or_default()
}

/// Method and path of a request, to route by.
#[must_use]
pub fn route(req: &Request) -> (Method, String) {
    (req.method(), req.url().path().to_owned())
}
