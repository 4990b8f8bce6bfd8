//! Settings of `sardinectl`, checked together with the statements.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};
use sardineshore_core::command::value;
use sardineshore_core::{Finding, Place};
use sardineshore_wire::settings::{SettingsParser, setting};
use uuid::Uuid;

use crate::render::Output;
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

/// Everything that a run needs.
#[derive(Debug)]
pub struct Settings {
    /// Instances to ask.
    pub instances: Vec<SocketAddr>,
    /// How to show answers.
    pub output: Output,
    /// Longest time for one call to one instance.
    pub call_timeout: Duration,
    /// Session.
    pub session: SessionSettings,
    /// What to do.
    pub steps: Vec<Step>,
}

/// The command line.
#[must_use]
pub fn command() -> Command {
    Command::new("sardinectl")
        .about("Asks entry instances of sardineshore, and gives them commands")
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
            "Form of the answers: table or json",
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

/// Checks the settings and reads the statements; the error holds all findings.
pub fn check(matches: &ArgMatches) -> Result<Settings, Vec<Finding>> {
    let mut checker = SettingsParser::new(matches);
    let settings = Settings {
        instances: instances(&mut checker, matches),
        output: checker.parse("output"),
        call_timeout: checker.duration("call-timeout"),
        session: SessionSettings {
            operator: name(&mut checker, "operator"),
            command: match checker.optional("command") {
                Some(_) => name(&mut checker, "command"),
                None => Uuid::now_v7().to_string().into(),
            },
            wait: matches.get_flag("wait"),
            timeout: checker.duration("timeout"),
        },
        steps: Vec::new(),
    };
    let steps = steps(&mut checker, matches);
    match (checker.finish(settings), steps) {
        (Ok(settings), Ok(steps)) => Ok(Settings { steps, ..settings }),
        (Ok(_), Err(findings)) | (Err(findings), Ok(_)) => Err(findings),
        (Err(findings), Err(more)) => Err([findings, more].concat()),
    }
}

fn instances(checker: &mut SettingsParser<'_>, matches: &ArgMatches) -> Vec<SocketAddr> {
    let texts = matches.get_many::<String>("instance").unwrap_or_default();
    let mut addrs = Vec::new();
    for text in texts {
        match text.parse() {
            Ok(addr) => addrs.push(addr),
            Err(_) => checker.add_error("instance", &format!("{text:?} is not IP:PORT")),
        }
    }
    if matches.get_many::<String>("instance").is_none() {
        checker.add_error("instance", "a value is needed");
    }
    addrs
}

fn name(checker: &mut SettingsParser<'_>, flag: &str) -> std::sync::Arc<str> {
    let text = checker.text(flag);
    value::name(&text).unwrap_or_else(|message| {
        checker.add_error(flag, &message);
        text.into()
    })
}

fn steps(
    checker: &mut SettingsParser<'_>,
    matches: &ArgMatches,
) -> Result<Vec<Step>, Vec<Finding>> {
    if let Some(("apply", apply)) = matches.subcommand() {
        let path = apply.get_one::<String>("file").map_or("", String::as_str);
        let text = std::fs::read_to_string(path).map_err(|err| vec![unreadable(path, &err)])?;
        return step::file(&text);
    }
    let Some(statements) = matches.get_many::<String>("statement") else {
        checker.add_error("statement", "a statement or `apply FILE` is needed");
        return Ok(Vec::new());
    };
    let lines: Vec<&str> = statements.map(String::as_str).collect();
    step::steps(&lines.join("\n"))
}

fn unreadable(path: &str, err: &std::io::Error) -> Finding {
    Finding {
        place: Place::Setting("FILE".into()),
        message: format!("{path:?}: {err}"),
    }
}
