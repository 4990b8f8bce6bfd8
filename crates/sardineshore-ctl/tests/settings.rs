//! The command line: settings and statements are parsed together, and all errors are reported.

use expect_test::{Expect, expect};
use sardineshore_ctl::settings::{command, parse};

fn check(args: &[&str], expect: &Expect) {
    let args = ["sardinectl"].iter().chain(args);
    let matches = command().try_get_matches_from(args).unwrap();
    let lines: Vec<String> = match parse(&matches) {
        Ok(settings) => vec![format!("{:?}", settings.steps)],
        Err(findings) => findings.iter().map(ToString::to_string).collect(),
    };
    expect.assert_eq(&lines.join("\n"));
}

#[test]
fn parse_reports_all_errors_together() {
    let args = [
        "--instance=localhost:1",
        "--output=xml",
        "--operator=a b",
        "--timeout=soon",
        "show servers",
        "drain s1",
    ];
    check(
        &args,
        &expect![[r#"
        setting --instance: "localhost:1" is not IP:PORT
        setting --output: "xml": expected table or json
        setting --operator: name "a b": use letters, digits, '-', '_' and '.', beginning with a letter or digit
        setting --timeout: "soon": expected number at 0
        line 2, column 7: expected `server`, found `s1`"#]],
    );
}

#[test]
fn parse_without_arguments() {
    check(
        &[],
        &expect![[r"
        setting --instance: a value is needed
        setting --statement: a statement or `apply FILE` is needed"]],
    );
}

#[test]
fn parse_missing_file() {
    let args = ["--instance=127.0.0.1:1", "apply", "/nonexistent/changes"];
    check(
        &args,
        &expect![[
            r#"setting FILE: "/nonexistent/changes": No such file or directory (os error 2)"#
        ]],
    );
}

#[test]
fn parse_options_after_statement() {
    let args = ["drain server s1", "--wait", "--instance", "127.0.0.1:1"];
    check(
        &args,
        &expect![[r#"[Submit([DrainServer { name: "s1" }])]"#]],
    );
}

#[test]
fn command_help_lists_exit_codes() {
    let help = command().render_help().to_string();
    for code in [
        "0  done",
        "1  refused",
        "2  faulty",
        "3  no instance gave an answer",
    ] {
        assert!(help.contains(code), "{help}");
    }
}
