//! Faults of one line, and the words in which they are reported.

use pest::error::{Error, ErrorVariant, LineColLocation};

use super::grammar::Rule;
use crate::{Finding, Place};

/// One fault of a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Fault {
    column: usize,
    message: String,
}

impl Fault {
    /// A fault at a column, counted from 1.
    pub fn at(column: usize, message: String) -> Self {
        Self { column, message }
    }

    /// The fault of a line that the grammar does not accept.
    pub fn of_grammar(error: &Error<Rule>, line: &str) -> Self {
        let column = match error.line_col {
            LineColLocation::Pos((_, column)) | LineColLocation::Span((_, column), _) => column,
        };
        let expected = expected(&error.variant);
        let found = found(line, column);
        Self::at(column, format!("expected {expected}, found {found}"))
    }

    /// The finding of a fault on a line, counted from 1.
    pub fn on_line(self, line: usize) -> Finding {
        let place = Place::Text {
            line,
            column: self.column,
        };
        Finding {
            place,
            message: self.message,
        }
    }
}

fn expected(variant: &ErrorVariant<Rule>) -> String {
    let ErrorVariant::ParsingError { positives, .. } = variant else {
        return "a statement".to_owned();
    };
    let mut words: Vec<String> = positives.iter().map(|rule| word(*rule)).collect();
    words.sort();
    words.dedup();
    match words.pop() {
        None => "a statement".to_owned(),
        Some(last) if words.is_empty() => last,
        Some(last) => format!("{} or {last}", words.join(", ")),
    }
}

/// How a rule is named to operators; the rule of a keyword is named `kw_` and the keyword.
fn word(rule: Rule) -> String {
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

fn found(line: &str, column: usize) -> String {
    let rest: String = line.chars().skip(column - 1).collect();
    match rest.split([' ', '\t']).next() {
        None | Some("") => "the end of the line".to_owned(),
        Some(word) => format!("`{word}`"),
    }
}
