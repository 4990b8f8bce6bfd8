//! Reads the declaration of a backend server.

use pest::iterators::Pair;

use super::grammar::Rule;
use super::read::{Reader, Values};
use super::value;
use crate::BackendServer;

/// Reads a declaration; what it leaves out takes its default.
pub(super) fn read(reader: &mut Reader, pair: Pair<'_, Rule>) -> BackendServer {
    let mut values = Values::of(pair);
    let mut server = BackendServer {
        name: reader.name(&mut values),
        addr: reader.next(&mut values, value::address),
        domain: reader.name(&mut values),
        pool: reader.name(&mut values),
        ..BackendServer::default()
    };
    let mut seen = Vec::new();
    for option in values {
        let rule = option.as_rule();
        if seen.contains(&rule) {
            reader.fault(&option, "this option was given before".to_owned());
        }
        seen.push(rule);
        read_option(reader, &mut server, option);
    }
    server
}

fn read_option(reader: &mut Reader, server: &mut BackendServer, option: Pair<'_, Rule>) {
    let rule = option.as_rule();
    let mut values = Values::of(option);
    match rule {
        Rule::capacity => server.capacity = reader.next(&mut values, value::capacity),
        Rule::cost_per_second => server.cost = reader.next(&mut values, value::cost),
        Rule::answers_status => server.answers_status = true,
        _ => server.fencing = true,
    }
}
