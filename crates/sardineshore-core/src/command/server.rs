//! Builds the declaration of a backend server from a parsed `add` or `reconfigure` statement.

use pest::iterators::Pair;

use super::grammar::Rule;
use super::parser::{Operands, StatementBuilder};
use super::value;
use crate::BackendServer;

/// Builds a declaration; options that are not given have their defaults.
pub(super) fn build_server(builder: &mut StatementBuilder, pair: Pair<'_, Rule>) -> BackendServer {
    let mut operands = Operands::of(pair);
    let mut server = BackendServer {
        name: builder.next_name(&mut operands),
        addr: builder.next_value(&mut operands, value::address),
        domain: builder.next_name(&mut operands),
        pool: builder.next_name(&mut operands),
        ..BackendServer::default()
    };
    let mut given = Vec::new();
    for option in operands {
        let rule = option.as_rule();
        if given.contains(&rule) {
            builder.add_error(&option, "this option is given twice".to_owned());
        }
        given.push(rule);
        read_option(builder, &mut server, option);
    }
    server
}

fn read_option(builder: &mut StatementBuilder, server: &mut BackendServer, option: Pair<'_, Rule>) {
    let rule = option.as_rule();
    let mut operands = Operands::of(option);
    match rule {
        Rule::capacity => server.capacity = builder.next_value(&mut operands, value::capacity),
        Rule::cost_per_second => server.cost = builder.next_value(&mut operands, value::cost),
        Rule::answers_status => server.answers_status = true,
        _ => server.fencing = true,
    }
}
