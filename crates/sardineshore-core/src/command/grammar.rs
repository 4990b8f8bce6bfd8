//! Parser generated from the grammar.

#[derive(pest_derive::Parser)]
#[grammar = "command/grammar.pest"]
pub(super) struct Grammar;
