//! Checks that an answer is whole and belongs to its request.

use std::sync::Arc;

use serde::Deserialize;

use crate::workload::PipelineLoad;

/// An answer as a caller read it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadAnswer {
    /// The answer's document, JSON text.
    pub document: Vec<u8>,
    /// Streamed tokens in the order in which they came; none for a whole answer.
    pub tokens: Option<Vec<Token>>,
}

/// One streamed token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Its sequence number.
    pub seq: u64,
    /// Its text.
    pub text: String,
}

/// What the checks found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verified {
    /// Tag found in the answer, or empty.
    pub tag: Arc<str>,
    /// Whether all stages and all tokens are there, in order.
    pub whole: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Document {
    tag: Arc<str>,
    stages: Vec<Arc<str>>,
    text: Option<String>,
}

/// What ends a stream.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct End {
    tokens: u64,
}

/// Reads the tag of an answer and checks that it is whole.
#[must_use]
pub fn verify(answer: &ReadAnswer, pipeline: &PipelineLoad) -> Verified {
    match &answer.tokens {
        Some(tokens) => verify_stream(tokens, &answer.document, pipeline),
        None => verify_document(&answer.document, pipeline),
    }
}

fn verify_document(document: &[u8], pipeline: &PipelineLoad) -> Verified {
    let Ok(document) = serde_json::from_slice::<Document>(document) else {
        return Verified::default();
    };
    let wanted = pipeline.stages.iter().map(|stage| &stage.name);
    let stages_whole = wanted.eq(document.stages.iter());
    let text_whole = match document.text {
        Some(text) => text == whole_text(&document.tag, pipeline.max_tokens),
        None => pipeline.max_tokens == 0,
    };
    Verified {
        tag: document.tag,
        whole: stages_whole && text_whole,
    }
}

/// A stream names no stages; its tokens name the tag and their number.
fn verify_stream(tokens: &[Token], end: &[u8], pipeline: &PipelineLoad) -> Verified {
    let end = serde_json::from_slice::<End>(end).unwrap_or_default();
    let first = tokens.first().map_or("", |token| &token.text);
    let tag = first.rsplit_once(':').map_or("", |(tag, _)| tag);
    let as_expected =
        |(seq, token): (u64, &Token)| token.seq == seq && token.text == token_text(tag, seq);
    let in_order = (0..).zip(tokens).all(as_expected);
    let wanted = u64::from(pipeline.max_tokens);
    let complete = end.tokens == wanted && tokens.len() as u64 == wanted;
    Verified {
        tag: tag.into(),
        whole: in_order && complete,
    }
}

fn whole_text(tag: &str, tokens: u32) -> String {
    let tokens = 0..u64::from(tokens);
    tokens.map(|seq| token_text(tag, seq)).collect()
}

/// Text of one token, as the stand-ins of engines generate it.
fn token_text(tag: &str, seq: u64) -> String {
    format!("{tag}:{seq} ")
}
