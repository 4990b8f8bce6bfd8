//! Answers that are cut short, reordered or mixed with another request's are not complete.

use sardineshore_load::preset;
use sardineshore_load::verify::{ReceivedAnswer, Token, Verification, verify};
use sardineshore_load::workload::PipelineLoad;

const COMPLETE: &str =
    r#"{"tag":"t1","stages":["encode","draft"],"text":"t1:0 t1:1 t1:2 ","tokens":3}"#;
const END: &str = r#"{"request":"r1","tokens":3}"#;
const FIRST: (u64, &str) = (0, "t1:0 ");
const SECOND: (u64, &str) = (1, "t1:1 ");
const THIRD: (u64, &str) = (2, "t1:2 ");

fn quote() -> PipelineLoad {
    PipelineLoad {
        max_tokens: 3,
        ..preset::mangos().pipelines[0].clone()
    }
}

fn check(document: &str, tokens: Option<&[(u64, &str)]>) -> Verification {
    let token = |(seq, text): &(u64, &str)| Token {
        seq: *seq,
        text: (*text).to_owned(),
    };
    let answer = ReceivedAnswer {
        document: document.as_bytes().to_vec(),
        tokens: tokens.map(|tokens| tokens.iter().map(token).collect()),
    };
    verify(&answer, &quote())
}

#[test]
fn verify_complete_answer() {
    let verification = check(COMPLETE, None);
    assert!(verification.complete);
    assert_eq!(&*verification.tag, "t1");
}

#[test]
fn verify_complete_stream() {
    let verification = check(END, Some(&[FIRST, SECOND, THIRD]));
    assert!(verification.complete);
    assert_eq!(&*verification.tag, "t1");
}

#[test]
fn verify_text_missing_or_cut() {
    assert!(!check(r#"{"tag":"t1","stages":["encode","draft"]}"#, None).complete);
    assert!(!check(&COMPLETE.replace(" t1:2", ""), None).complete);
}

#[test]
fn verify_missing_stage() {
    assert!(!check(&COMPLETE.replace("\"encode\",", ""), None).complete);
}

#[test]
fn verify_stages_out_of_order() {
    assert!(
        !check(
            &COMPLETE.replace("\"encode\",\"draft\"", "\"draft\",\"encode\""),
            None
        )
        .complete
    );
}

#[test]
fn verify_stage_twice() {
    assert!(
        !check(
            &COMPLETE.replace("\"encode\"", "\"encode\",\"encode\""),
            None
        )
        .complete
    );
}

#[test]
fn verify_missing_doubled_and_swapped_tokens() {
    assert!(!check(END, Some(&[FIRST, SECOND])).complete);
    assert!(!check(END, Some(&[FIRST, FIRST, SECOND, THIRD])).complete);
    assert!(!check(END, Some(&[SECOND, FIRST, THIRD])).complete);
    assert!(!check(END, Some(&[FIRST, (2, "t1:1 "), THIRD])).complete);
    assert!(!check(END, Some(&[FIRST, (1, "t1:2 "), THIRD])).complete);
}

#[test]
fn verify_stream_with_wrong_end() {
    let tokens = [FIRST, SECOND, THIRD];
    assert!(!check(r#"{"tokens":2}"#, Some(&tokens)).complete);
    assert!(!check("", Some(&tokens)).complete);
}

#[test]
fn verify_stream_with_foreign_tokens() {
    assert!(!check(END, Some(&[FIRST, (1, "t2:1 "), THIRD])).complete);
    let foreign = [(0, "t2:0 "), (1, "t2:1 "), (2, "t2:2 ")];
    assert_eq!(&*check(END, Some(&foreign)).tag, "t2");
}

#[test]
fn verify_malformed_document() {
    assert_eq!(check("{\"tag\":\"t1\"", None), Verification::default());
}
