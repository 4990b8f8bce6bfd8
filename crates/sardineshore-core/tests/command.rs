//! The command language of operators: parsed statements and findings as golden text.

use expect_test::{Expect, expect};
use sardineshore_core::command::parse;
use sardineshore_core::{Change, Deployment, ServerState, Statement};

fn check(text: &str, expect: &Expect) {
    let shown: Vec<String> = match parse(text) {
        Ok(statements) => statements.iter().map(ToString::to_string).collect(),
        Err(findings) => findings.iter().map(ToString::to_string).collect(),
    };
    expect.assert_eq(&(shown.join("\n") + "\n"));
}

#[test]
fn parse_every_statement() {
    check(
        "# Mangos, quoting
show instances
show pipelines
show servers
show servers in encoders
show customers
show cost by stage
show cost by customer
show versions
show quarantine
explain request 0197-ab

create pipeline quotes deadline 6s stages encode:encoders as notes, retrieve:retrievers, service:orders not idempotent
remove pipeline quotes
set deadline of quotes to 4s
mark stage service of quotes not idempotent   # booked once
mark stage notes of quotes idempotent
add server encoder-1 at 127.0.0.1:7001 in zone-a for encoders
add server engine-1 at [::1]:7002 in zone-b for engines fencing cost 2.5 capacity 4 answers status
reconfigure server encoder-1 at 127.0.0.1:7001 in zone-a for encoders capacity 16
drain server encoder-1
resume server encoder-1
remove server encoder-1
set weight of cooperative to 2.5
set objective attainment
set objective cost
order engine-1 to load model m1 version 3
order engine-1 to load adapter dialect
order engine-1 to become decode
release aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaabbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb
",
        &expect![[r"
            show instances
            show pipelines
            show servers
            show servers in encoders
            show customers
            show cost by stage
            show cost by customer
            show versions
            show quarantine
            explain request 0197-ab
            create pipeline quotes deadline 6s stages encode:encoders as notes, retrieve:retrievers, service:orders not idempotent
            remove pipeline quotes
            set deadline of quotes to 4s
            mark stage service of quotes not idempotent
            mark stage notes of quotes idempotent
            add server encoder-1 at 127.0.0.1:7001 in zone-a for encoders capacity 8 cost 1
            add server engine-1 at [::1]:7002 in zone-b for engines capacity 4 cost 2.5 answers status fencing
            reconfigure server encoder-1 at 127.0.0.1:7001 in zone-a for encoders capacity 16 cost 1
            drain server encoder-1
            resume server encoder-1
            remove server encoder-1
            set weight of cooperative to 2.5
            set objective attainment
            set objective cost
            order engine-1 to load model m1 version 3
            order engine-1 to load adapter dialect
            order engine-1 to become decode
            release aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaabbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb
        "]],
    );
}

#[test]
fn parse_five_invalid_lines_reports_all() {
    check(
        "show instances
drain encoder-1
create pipeline quotes deadline soon stages encode:encoders
add server e1 at localhost:80 in zone-a for encoders
set weight of cooperative to 0
show cost by stages
",
        &expect![[r#"
            line 2, column 7: expected `server`, found `encoder-1`
            line 3, column 33: "soon" is not a duration such as 6s or 250ms
            line 4, column 18: address "localhost:80" is not IP:PORT
            line 5, column 30: weight "0" is not a number above zero
            line 6, column 14: expected `customer` or `stage`, found `stages`
        "#]],
    );
}

#[test]
fn parse_several_errors_in_one_line_reports_all() {
    check(
        "add server -x at 1.2.3.4 in a/b for p capacity 0 cost -1 capacity 2
create pipeline p deadline 0s stages service:a, service:b, encode:c as d e
create pipeline p deadline 2h stages service:a, service:b
drain server \u{e9}t\u{e9}   # columns are characters
order e1 to load model m1
release 12
explain
stop
set objective speed
",
        &expect![[r#"
            line 1, column 12: name "-x": use letters, digits, '-', '_' and '.', beginning with a letter or digit
            line 1, column 18: address "1.2.3.4" is not IP:PORT
            line 1, column 29: name "a/b": use letters, digits, '-', '_' and '.', beginning with a letter or digit
            line 1, column 48: capacity "0" is not a whole number above zero
            line 1, column 55: cost "-1" is not a number of at least zero
            line 1, column 58: this option is given twice
            line 2, column 74: expected `,`, `not` or the end of the line, found `e`
            line 3, column 28: deadline "2h" is not above zero and at most 1h
            line 3, column 49: stage name "service" is used twice; add `as NAME`
            line 4, column 14: name "été": use letters, digits, '-', '_' and '.', beginning with a letter or digit
            line 5, column 26: expected `version`, found the end of the line
            line 6, column 9: fingerprint "12" is not 64 hexadecimal digits in lower case
            line 7, column 8: expected `request`, found the end of the line
            line 8, column 1: expected `add`, `create`, `drain`, `explain`, `mark`, `order`, `reconfigure`, `release`, `remove`, `resume`, `set` or `show`, found `stop`
            line 9, column 15: expected `attainment` or `cost`, found `speed`
        "#]],
    );
}

#[test]
fn reconfigure_draining_server_stays_draining() {
    let text = "add server s at 127.0.0.1:1 in a for p
drain server s
reconfigure server s at 127.0.0.1:2 in a for p capacity 3";
    let mut deployment = Deployment::default();
    for statement in parse(text).unwrap() {
        let Statement::Change { change } = statement else {
            panic!("{statement} is not a change");
        };
        deployment.apply(&change).unwrap();
    }
    let server = &deployment.servers["s"];
    assert_eq!((server.capacity, server.state), (3, ServerState::Draining));
    deployment
        .apply(&Change::ResumeServer { name: "s".into() })
        .unwrap();
    assert_eq!(deployment.servers["s"].state, ServerState::Active);
}
