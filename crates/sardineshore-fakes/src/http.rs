//! Helpers to build HTTP responses and to read HTTP requests, used by both fakes.

use http_types::{Body, Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Returns a 200 response with a JSON body.
///
/// # Panics
///
/// Panics if the value can't be serialized.
pub fn json<T: Serialize>(value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("a response body serializes");
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_bytes(body));
    res.insert_header("content-type", "application/json");
    res
}

/// Returns a response without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response {
    Response::new(status)
}

/// Returns a 400 response whose body says what is wrong with the request.
#[must_use]
pub fn bad_request(message: &str) -> Response {
    let mut res = Response::new(StatusCode::BadRequest);
    res.set_body(message);
    res
}

/// Parses the request body as JSON; the error is the 400 response to send.
pub async fn parse<T: DeserializeOwned>(req: &mut Request) -> Result<T, Response> {
    let body = req
        .body_bytes()
        .await
        .map_err(|err| bad_request(&err.to_string()))?;
    serde_json::from_slice(&body).map_err(|err| bad_request(&err.to_string()))
}

/// Last value of a request header, or an empty string if the header is missing.
#[must_use]
pub fn header<'a>(req: &'a Request, name: &str) -> &'a str {
    req.header(name).map_or("", |values| values.last().as_str())
}

/// Value of a query parameter, or an empty string if it is missing.
#[must_use]
pub fn query(req: &Request, name: &str) -> String {
    req.url()
        .query_pairs()
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
        .unwrap_or_default()
}

/// Method and path by which a handler routes the request.
#[must_use]
pub fn route(req: &Request) -> (Method, String) {
    (req.method(), req.url().path().to_owned())
}
