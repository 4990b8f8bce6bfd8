//! Arbitrary input of a caller never causes a panic: it gives a checked request or a rejection.

use std::time::{Duration, Instant};

use async_std::task;
use http_types::{Method, Request, Url};
use proptest::prelude::*;
use sardineshore_entry::Settings;
use sardineshore_entry::api::{Target, parse_target, read_request};
use sardineshore_wire::headers;

const MAX_BODY: usize = 256;

fn request(path: &str, customer: &str, deadline: &str, body: &[u8]) -> Option<Request> {
    let url = Url::parse(&format!("http://entry/{path}")).ok()?;
    let mut req = Request::new(Method::Post, url);
    let valid = |text: &str| text.bytes().all(|b| (32..127).contains(&b));
    if !valid(customer) || !valid(deadline) {
        return None;
    }
    req.insert_header(headers::CUSTOMER, customer);
    req.insert_header(headers::DEADLINE_MS, deadline);
    req.set_body(body);
    Some(req)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn read_request_any_input(
        customer in "[ -~]{0,12}",
        deadline in "[0-9-]{0,22}|[ -~]{0,6}",
        body in prop_oneof![
            proptest::collection::vec(any::<u8>(), 0..400),
            "\\{\"prompt\":\"[^\"\\\\]{0,200}\"\\}".prop_map(String::into_bytes),
            "[ \\[\\]{}:,\"0-9a-z]{0,60}".prop_map(String::into_bytes),
        ],
    ) {
        let settings = Settings { max_body: MAX_BODY, ..Settings::default() };
        let Some(mut req) = request("v1", &customer, &deadline, &body) else {
            return Ok(());
        };
        match task::block_on(read_request(&mut req, &settings, Instant::now())) {
            Ok(caller_request) => {
                prop_assert!(caller_request.body.len() <= MAX_BODY);
                prop_assert_eq!(&caller_request.body[..], &body[..]);
                let parsed: serde_json::Value = serde_json::from_slice(&caller_request.body).unwrap();
                prop_assert!(parsed.is_object());
                let deadline = caller_request.deadline.unwrap_or(Duration::from_millis(1));
                prop_assert!(!deadline.is_zero() && deadline <= settings.max_deadline);
            }
            Err(rejection) => {
                let status = rejection.reason.status();
                prop_assert!((400..500).contains(&status));
                prop_assert!(!rejection.detail.is_empty());
            }
        }
    }

    #[test]
    fn parse_target_any_path(path in "[ -~]{0,40}|v1/pipelines/[ -~]{0,200}/requests") {
        let Some(req) = request(&path, "c", "1", b"{}") else {
            return Ok(());
        };
        if let Target::Submit { pipeline } = parse_target(&req) {
            prop_assert!(!pipeline.contains('/') && pipeline.len() <= 128);
        }
    }
}
