//! Settings and statements of `sardinectl`: the command line, parsed and checked as a whole.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};
use sardineshore_core::command::value;
use sardineshore_core::{Diagnostic, Location};
use sardineshore_wire::settings::{SettingsParser, setting};
use uuid::Uuid;

use crate::render::OutputFormat;
use crate::session::SessionSettings;
use crate::step::{self, Step};

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused: nothing was changed
  2  faulty statement, file or setting: nothing was sent
  3  no instance gave an answer, or the outcome is not known, or a version was not in force in time

The statements are described in docs/COMMANDS.md. The line of a finding is the number of the
statement on the command line, or the line of the file.";

/// Parsed command line.
#[derive(Debug)]
pub struct Settings {
    /// Operators' addresses of the entry instances, in the order in which they are called.
    pub instances: Vec<SocketAddr>,
    /// Format of the printed reports.
    pub output: OutputFormat,
    /// Longest time for one call to one instance.
    pub call_timeout: Duration,
    /// Settings of the session.
    pub session: SessionSettings,
    /// Steps to run, in order.
    pub steps: Vec<Step>,
}

/// Declares the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("sardinectl")
        .about("Queries entry instances of sardineshore and sends them commands")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .args(options().map(|arg| arg.global(true)))
        .arg(
            Arg::new("statement")
                .help("Statements, each one argument; changes in a row are accepted together")
                .action(ArgAction::Append),
        )
        .subcommand(
            Command::new("apply")
                .about("Submits all changes of a file together; a faulty line changes nothing")
                .arg(Arg::new("file").value_name("FILE").required(true)),
        )
}

fn options() -> [Arg; 7] {
    [
        Arg::new("instance")
            .long("instance")
            .env("SARDINE_INSTANCES")
            .value_name("IP:PORT")
            .value_delimiter(',')
            .action(ArgAction::Append)
            .help(
                "Operators' address of an entry instance; others are asked if it does not answer",
            ),
        setting(
            "output",
            "SARDINE_OUTPUT",
            "table",
            "Format of the answers: table or json",
        ),
        setting(
            "operator",
            "SARDINE_OPERATOR",
            "operator",
            "Name of the operator, kept with each accepted change",
        ),
        setting(
            "command",
            "SARDINE_COMMAND",
            "",
            "Identifier of the command, to send one again whose outcome is not known",
        ),
        setting(
            "timeout",
            "SARDINE_TIMEOUT",
            "10s",
            "Longest time for a statement, and again for --wait",
        ),
        setting(
            "call-timeout",
            "SARDINE_CALL_TIMEOUT",
            "3s",
            "Longest time for one call to one instance",
        ),
        Arg::new("wait")
            .long("wait")
            .env("SARDINE_WAIT")
            .action(ArgAction::SetTrue)
            .help("Wait until accepted changes are in force on every live instance"),
    ]
}

/// Parses the settings and the statements; the error holds the findings of both.
pub fn parse(matches: &ArgMatches) -> Result<Settings, Vec<Diagnostic>> {
    let mut parser = SettingsParser::new(matches);
    let settings = Settings {
        instances: parse_instances(&mut parser, matches),
        output: parser.parse("output"),
        call_timeout: parser.duration("call-timeout"),
        session: SessionSettings {
            operator: parse_name(&mut parser, "operator"),
            command: match parser.optional("command") {
                Some(_) => parse_name(&mut parser, "command"),
                None => Uuid::now_v7().to_string().into(),
            },
            wait: matches.get_flag("wait"),
            timeout: parser.duration("timeout"),
        },
        steps: Vec::new(),
    };
    let steps = parse_steps(&mut parser, matches);
    match (parser.finish(settings), steps) {
        (Ok(settings), Ok(steps)) => Ok(Settings { steps, ..settings }),
        (Ok(_), Err(findings)) | (Err(findings), Ok(_)) => Err(findings),
        (Err(findings), Err(more)) => Err([findings, more].concat()),
    }
}

fn parse_instances(parser: &mut SettingsParser<'_>, matches: &ArgMatches) -> Vec<SocketAddr> {
    let texts = matches.get_many::<String>("instance").unwrap_or_default();
    let mut addrs = Vec::new();
    for text in texts {
        match text.parse() {
            Ok(addr) => addrs.push(addr),
            Err(_) => parser.add_error("instance", &format!("{text:?} is not IP:PORT")),
        }
    }
    if matches.get_many::<String>("instance").is_none() {
        parser.add_error("instance", "a value is needed");
    }
    addrs
}

fn parse_name(parser: &mut SettingsParser<'_>, flag: &str) -> std::sync::Arc<str> {
    let text = parser.text(flag);
    value::name(&text).unwrap_or_else(|message| {
        parser.add_error(flag, &message);
        text.into()
    })
}

fn parse_steps(
    parser: &mut SettingsParser<'_>,
    matches: &ArgMatches,
) -> Result<Vec<Step>, Vec<Diagnostic>> {
    if let Some(("apply", apply)) = matches.subcommand() {
        let path = apply.get_one::<String>("file").map_or("", String::as_str);
        let text =
            std::fs::read_to_string(path).map_err(|err| vec![unreadable_file(path, &err)])?;
        return step::parse_change_file(&text);
    }
    let Some(statements) = matches.get_many::<String>("statement") else {
        parser.add_error("statement", "a statement or `apply FILE` is needed");
        return Ok(Vec::new());
    };
    let lines: Vec<&str> = statements.map(String::as_str).collect();
    step::parse_steps(&lines.join("\n"))
}

fn unreadable_file(path: &str, err: &std::io::Error) -> Diagnostic {
    Diagnostic {
        place: Location::Setting("FILE".into()),
        message: format!("{path:?}: {err}"),
    }
}
