//! Messages: whole, torn, ambiguous and strange ones.

use bytes::{Bytes, BytesMut};
use proptest::collection::vec;
use proptest::prelude::*;
use sardineshore_serve::http1::{
    BodyDecoder, Decoded, Framing, MessageError, parse_request, parse_response,
};

fn framing(fields: &str) -> Result<Framing, MessageError> {
    let text = format!("POST / HTTP/1.1\r\n{fields}\r\n");
    let (head, _) = parse_request(text.as_bytes()).unwrap().unwrap();
    head.framing()
}

#[test]
fn framing_ambiguous_is_refused() {
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
fn framing_plain_is_understood() {
    assert_eq!(framing("Content-Length: 12\r\n"), Ok(Framing::Length(12)));
    assert_eq!(
        framing("Transfer-Encoding: Chunked\r\n"),
        Ok(Framing::Chunked)
    );
    assert_eq!(framing(""), Ok(Framing::Length(0)));
}

#[test]
fn framing_of_a_response_without_length_ends_with_its_connection() {
    let (head, _) = parse_response(b"HTTP/1.1 200 OK\r\n\r\n").unwrap().unwrap();
    assert_eq!(head.framing(false), Ok(Framing::UntilClose));
    assert_eq!(head.framing(true), Ok(Framing::Length(0)));
}

#[test]
fn request_with_space_before_colon_or_folded_field_is_refused() {
    assert!(parse_request(b"GET / HTTP/1.1\r\nHost : a\r\n\r\n").is_err());
    assert!(parse_request(b"GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n").is_err());
}

#[test]
fn chunk_with_wrong_end_is_refused() {
    let mut buf = BytesMut::from(&b"3\r\nabcXX"[..]);
    let mut decoder = BodyDecoder::new(Framing::Chunked);
    assert_eq!(
        decoder.decode(&mut buf),
        Ok(Decoded::Data(Bytes::from("abc")))
    );
    assert_eq!(decoder.decode(&mut buf), Err(MessageError::Malformed));
}

/// Feeds a decoder pieces of `wire` and returns the body, if it is complete.
fn decode(wire: &[u8], cuts: &[usize], framing: Framing) -> Option<Vec<u8>> {
    let mut decoder = BodyDecoder::new(framing);
    let mut buf = BytesMut::new();
    let mut body = Vec::new();
    let mut rest = wire;
    let mut cuts = cuts.iter().cycle();
    loop {
        match decoder.decode(&mut buf).ok()? {
            Decoded::Data(data) => body.extend_from_slice(&data),
            Decoded::End => return Some(body),
            Decoded::NeedMore => {
                if rest.is_empty() {
                    return None;
                }
                let cut = cuts.next().copied().unwrap_or(1).clamp(1, rest.len());
                buf.extend_from_slice(&rest[..cut]);
                rest = &rest[cut..];
            }
        }
    }
}

proptest! {
    #[test]
    fn chunked_body_is_the_same_however_it_arrives(
        chunks in vec(vec(any::<u8>(), 1..40), 0..8),
        cuts in vec(1_usize..30, 1..6),
    ) {
        let mut wire = Vec::new();
        for chunk in &chunks {
            wire.extend_from_slice(format!("{:x};x=1\r\n", chunk.len()).as_bytes());
            wire.extend_from_slice(chunk);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\nTrailer: t\r\n\r\n");
        let body = decode(&wire, &cuts, Framing::Chunked);
        prop_assert_eq!(body, Some(chunks.concat()));
        let torn = decode(&wire[..wire.len() - 3], &cuts, Framing::Chunked);
        prop_assert_eq!(torn, None);
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in vec(any::<u8>(), 0..300)) {
        let _request = parse_request(&bytes);
        let _response = parse_response(&bytes);
        for framing in [Framing::Chunked, Framing::Length(50), Framing::UntilClose] {
            let _body = decode(&bytes, &[7], framing);
        }
    }
}
