//! Checks that an answer is complete, and finds the tag of the request that it belongs to.

use std::sync::Arc;

use serde::Deserialize;

use crate::workload::PipelineLoad;

/// An answer as a caller received it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReceivedAnswer {
    /// Body of the answer, or data of a stream's last event; JSON text.
    pub document: Vec<u8>,
    /// Streamed tokens in the order in which they came; `None` if the answer was not streamed.
    pub tokens: Option<Vec<Token>>,
}

/// One streamed token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Sequence number; a complete stream counts from 0.
    pub seq: u64,
    /// Text of the token.
    pub text: String,
}

/// Result of the checks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verification {
    /// Tag found in the answer; empty without one.
    pub tag: Arc<str>,
    /// Whether the answer has all stages, or all tokens, in order.
    pub complete: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Document {
    tag: Arc<str>,
    stages: Vec<Arc<str>>,
    text: Option<String>,
}

/// Data of the event that ends a stream.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct StreamEnd {
    tokens: u64,
}

/// Reads the tag of an answer and checks that it is complete. An answer that can't be parsed is
/// incomplete and has an empty tag.
#[must_use]
pub fn verify(answer: &ReceivedAnswer, pipeline: &PipelineLoad) -> Verification {
    match &answer.tokens {
        Some(tokens) => verify_stream(tokens, &answer.document, pipeline),
        None => verify_document(&answer.document, pipeline),
    }
}

fn verify_document(document: &[u8], pipeline: &PipelineLoad) -> Verification {
    let Ok(document) = serde_json::from_slice::<Document>(document) else {
        return Verification::default();
    };
    let expected = pipeline.stages.iter().map(|stage| &stage.name);
    let stages_match = expected.eq(document.stages.iter());
    let text_matches = match document.text {
        Some(text) => text == expected_text(&document.tag, pipeline.max_tokens),
        None => pipeline.max_tokens == 0,
    };
    Verification {
        tag: document.tag,
        complete: stages_match && text_matches,
    }
}

/// Checks a stream, which has no list of stages; the text of each token holds the tag and the
/// token's number.
fn verify_stream(tokens: &[Token], end: &[u8], pipeline: &PipelineLoad) -> Verification {
    let end = serde_json::from_slice::<StreamEnd>(end).unwrap_or_default();
    let first = tokens.first().map_or("", |token| &token.text);
    let tag = first.rsplit_once(':').map_or("", |(tag, _)| tag);
    let as_expected =
        |(seq, token): (u64, &Token)| token.seq == seq && token.text == token_text(tag, seq);
    let in_order = (0..).zip(tokens).all(as_expected);
    let expected = u64::from(pipeline.max_tokens);
    let count_matches = end.tokens == expected && tokens.len() as u64 == expected;
    Verification {
        tag: tag.into(),
        complete: in_order && count_matches,
    }
}

fn expected_text(tag: &str, tokens: u32) -> String {
    let tokens = 0..u64::from(tokens);
    tokens.map(|seq| token_text(tag, seq)).collect()
}

/// Text of one token, as the stand-in engines generate it.
fn token_text(tag: &str, seq: u64) -> String {
    format!("{tag}:{seq} ")
}
