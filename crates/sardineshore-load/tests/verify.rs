//! Answers that are cut, reordered or foreign don't pass as whole.

use sardineshore_load::preset;
use sardineshore_load::verify::{ReadAnswer, Token, Verified, verify};
use sardineshore_load::workload::PipelineMix;

const WHOLE: &str = r#"{"tag":"t1","stages":["encode","draft"],"text":"one two","tokens":2}"#;

fn quote() -> PipelineMix {
    preset::mangos().pipelines[0].clone()
}

fn check(document: &str, tokens: Option<&[(u64, &str)]>) -> Verified {
    let token = |(seq, text): &(u64, &str)| Token {
        seq: *seq,
        text: (*text).to_owned(),
    };
    let answer = ReadAnswer {
        document: document.as_bytes().to_vec(),
        tokens: tokens.map(|tokens| tokens.iter().map(token).collect()),
    };
    verify(&answer, &quote())
}

#[test]
fn verify_whole_answer() {
    let verified = check(WHOLE, None);
    assert!(verified.whole);
    assert_eq!(&*verified.tag, "t1");
}

#[test]
fn verify_whole_stream() {
    assert!(check(WHOLE, Some(&[(0, "one "), (1, "two")])).whole);
}

#[test]
fn verify_missing_stage() {
    assert!(!check(r#"{"tag":"t1","stages":["draft"]}"#, None).whole);
}

#[test]
fn verify_stages_out_of_order() {
    assert!(!check(r#"{"tag":"t1","stages":["draft","encode"]}"#, None).whole);
}

#[test]
fn verify_stage_twice() {
    assert!(!check(r#"{"tag":"t1","stages":["encode","encode","draft"]}"#, None).whole);
}

#[test]
fn verify_missing_doubled_and_swapped_tokens() {
    assert!(!check(WHOLE, Some(&[(0, "one ")])).whole);
    assert!(!check(WHOLE, Some(&[(0, "one "), (0, "one "), (1, "two")])).whole);
    assert!(!check(WHOLE, Some(&[(1, "two"), (0, "one ")])).whole);
    assert!(!check(WHOLE, Some(&[(0, "one "), (2, "two")])).whole);
}

#[test]
fn verify_malformed_document() {
    assert_eq!(check("{\"tag\":\"t1\"", None), Verified::default());
}
