//! Parser generated from `grammar.pest`, which accepts one line.

#[derive(pest_derive::Parser)]
#[grammar = "command/grammar.pest"]
pub(super) struct Grammar;
