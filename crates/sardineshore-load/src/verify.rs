//! Checks that an answer is whole and belongs to its request.

use std::sync::Arc;

use serde::Deserialize;

use crate::workload::PipelineMix;

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

/// Reads the tag of an answer and checks that it is whole.
#[must_use]
pub fn verify(answer: &ReadAnswer, pipeline: &PipelineMix) -> Verified {
    let Ok(document) = serde_json::from_slice::<Document>(&answer.document) else {
        return Verified::default();
    };
    let tokens_whole = answer
        .tokens
        .as_ref()
        .is_none_or(|tokens| are_whole(tokens, document.text.as_deref()));
    let stages_whole = passed_all(&document.stages, pipeline);
    Verified {
        tag: document.tag,
        whole: stages_whole && tokens_whole,
    }
}

fn passed_all(passed: &[Arc<str>], pipeline: &PipelineMix) -> bool {
    let wanted = pipeline.stages.iter().map(|stage| &stage.name);
    wanted.eq(passed.iter())
}

/// Whether tokens come in sequence from 0 and add up to the whole text.
fn are_whole(tokens: &[Token], text: Option<&str>) -> bool {
    let in_sequence = (0_u64..).zip(tokens).all(|(seq, token)| token.seq == seq);
    let joined: String = tokens.iter().map(|token| token.text.as_str()).collect();
    in_sequence && text.is_some_and(|text| text == joined)
}
