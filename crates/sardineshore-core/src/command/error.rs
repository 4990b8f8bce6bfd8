//! Errors of one line, and the text in which they are reported to operators.

use pest::error::{Error, ErrorVariant, LineColLocation};

use super::grammar::Rule;
use crate::{Diagnostic, Location};

/// One error in a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LineError {
    /// Column in characters, counted from 1.
    column: usize,
    message: String,
}

impl LineError {
    /// Creates an error at a column, counted from 1.
    pub fn at(column: usize, message: String) -> Self {
        Self { column, message }
    }

    /// Creates the error of a line that the grammar does not accept.
    pub fn from_grammar(error: &Error<Rule>, line: &str) -> Self {
        let column = match error.line_col {
            LineColLocation::Pos((_, column)) | LineColLocation::Span((_, column), _) => column,
        };
        let expected = expected(&error.variant);
        let found = found(line, column);
        Self::at(column, format!("expected {expected}, found {found}"))
    }

    /// Turns the error into a finding on a line, counted from 1.
    pub fn on_line(self, line: usize) -> Diagnostic {
        let place = Location::Text {
            line,
            column: self.column,
        };
        Diagnostic {
            place,
            message: self.message,
        }
    }
}

/// Lists what the grammar expected, such as "`add`, `drain` or `show`".
fn expected(variant: &ErrorVariant<Rule>) -> String {
    let ErrorVariant::ParsingError { positives, .. } = variant else {
        return "a statement".to_owned();
    };
    let mut tokens: Vec<String> = positives.iter().map(|rule| describe(*rule)).collect();
    tokens.sort();
    tokens.dedup();
    match tokens.pop() {
        None => "a statement".to_owned(),
        Some(last) if tokens.is_empty() => last,
        Some(last) => format!("{} or {last}", tokens.join(", ")),
    }
}

/// Describes a grammar rule to operators. The rule of a keyword is named `kw_` and the keyword.
fn describe(rule: Rule) -> String {
    let name = format!("{rule:?}");
    if let Some(keyword) = name.strip_prefix("kw_") {
        return format!("`{keyword}`");
    }
    match rule {
        Rule::name => "a name".to_owned(),
        Rule::duration => "a duration".to_owned(),
        Rule::number => "a number".to_owned(),
        Rule::address => "IP:PORT".to_owned(),
        Rule::fingerprint => "a fingerprint".to_owned(),
        Rule::EOI => "the end of the line".to_owned(),
        Rule::comma => "`,`".to_owned(),
        Rule::colon => "`:`".to_owned(),
        Rule::stage => "a stage such as `encode:POOL`".to_owned(),
        _ => "a statement".to_owned(),
    }
}

/// The word at a column of a line, in characters counted from 1.
fn found(line: &str, column: usize) -> String {
    let rest: String = line.chars().skip(column - 1).collect();
    match rest.split([' ', '\t']).next() {
        None | Some("") => "the end of the line".to_owned(),
        Some(word) => format!("`{word}`"),
    }
}
