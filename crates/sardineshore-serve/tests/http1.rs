//! HTTP/1.1 parser and body decoder: valid, fragmented, ambiguous and malformed messages.

use bytes::{Bytes, BytesMut};
use proptest::collection::vec;
use proptest::prelude::*;
use sardineshore_serve::http1::{
    BodyDecoder, Decoded, Framing, MessageError, parse_request, parse_response,
};

/// Framing of a request with these header lines, each with its line end.
fn framing(fields: &str) -> Result<Framing, MessageError> {
    let text = format!("POST / HTTP/1.1\r\n{fields}\r\n");
    let (head, _) = parse_request(text.as_bytes()).unwrap().unwrap();
    head.framing()
}

#[test]
fn framing_ambiguous_length_is_rejected() {
    let cases = [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: identity\r\n",
    ];
    for case in cases {
        assert_eq!(framing(case), Err(MessageError::AmbiguousLength), "{case}");
    }
}

#[test]
fn framing_valid_fields_are_accepted() {
    assert_eq!(framing("Content-Length: 12\r\n"), Ok(Framing::Length(12)));
    assert_eq!(
        framing("Transfer-Encoding: Chunked\r\n"),
        Ok(Framing::Chunked)
    );
    assert_eq!(framing(""), Ok(Framing::Length(0)));
}

#[test]
fn framing_response_without_length_lasts_until_close() {
    let (head, _) = parse_response(b"HTTP/1.1 200 OK\r\n\r\n").unwrap().unwrap();
    assert_eq!(head.framing(false), Ok(Framing::UntilClose));
    assert_eq!(head.framing(true), Ok(Framing::Length(0)));
}

/// Guards against bytes that are no response in the protocol and reach the caller as one.
#[test]
fn parse_response_status_out_of_range_is_rejected() {
    for status in ["000", "001", "099", "600", "999"] {
        let response = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        let parsed = parse_response(response.as_bytes());
        assert_eq!(parsed, Err(MessageError::Malformed), "{status}");
    }
    for status in [100, 200, 599] {
        let response = format!("HTTP/1.1 {status} X\r\n\r\n");
        let (head, _) = parse_response(response.as_bytes()).unwrap().unwrap();
        assert_eq!(head.status, status);
    }
}

#[test]
fn parse_request_space_before_colon_or_folded_field_is_rejected() {
    assert!(parse_request(b"GET / HTTP/1.1\r\nHost : a\r\n\r\n").is_err());
    assert!(parse_request(b"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n").is_err());
}

#[test]
fn decode_chunk_without_line_end_is_rejected() {
    let mut buf = BytesMut::from(&b"3\r\nabcXX"[..]);
    let mut decoder = BodyDecoder::new(Framing::Chunked);
    assert_eq!(
        decoder.decode(&mut buf),
        Ok(Decoded::Data(Bytes::from("abc")))
    );
    assert_eq!(decoder.decode(&mut buf), Err(MessageError::Malformed));
}

/// Decodes `wire`, which arrives in fragments of the sizes in `fragment_sizes`, taken in turn;
/// returns the body if it is complete.
fn decode(wire: &[u8], fragment_sizes: &[usize], framing: Framing) -> Option<Vec<u8>> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buf = BytesMut::new();
    let mut body = Vec::new();
    let mut rest = wire;
    let mut sizes = fragment_sizes.iter().cycle();
    loop {
        match decoder.decode(&mut buf).ok()? {
            Decoded::Data(data) => body.extend_from_slice(&data),
            Decoded::End => return Some(body),
            Decoded::NeedMore => {
                if rest.is_empty() {
                    return None;
                }
                let size = sizes.next().copied().unwrap_or(1).clamp(1, rest.len());
                buf.extend_from_slice(&rest[..size]);
                rest = &rest[size..];
            }
        }
    }
}

proptest! {
    #[test]
    fn decode_chunked_body_is_the_same_for_every_fragmentation(
        chunks in vec(vec(any::<u8>(), 1..40), 0..8),
        fragment_sizes in vec(1_usize..30, 1..6),
    ) {
        let mut wire = Vec::new();
        for chunk in &chunks {
            wire.extend_from_slice(format!("{:x};x=1\r\n", chunk.len()).as_bytes());
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\nTrailer: t\r\n\r\n");
        let body = decode(&wire, &fragment_sizes, Framing::Chunked);
        prop_assert_eq!(body, Some(chunks.concat()));
        let truncated = decode(&wire[..wire.len() - 3], &fragment_sizes, Framing::Chunked);
        prop_assert_eq!(truncated, None);
    }

    #[test]
    fn parse_and_decode_arbitrary_bytes_do_not_panic(bytes in vec(any::<u8>(), 0..300)) {
        let _request = parse_request(&bytes);
        let _response = parse_response(&bytes);
        for framing in [Framing::Chunked, Framing::Length(50), Framing::UntilClose] {
            let _body = decode(&bytes, &[7], framing);
        }
    }
}
