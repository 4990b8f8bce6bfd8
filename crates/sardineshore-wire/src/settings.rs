//! Parsing of settings, shared by all programs: errors are collected and reported together.
//!
//! `clap` reads settings as text from flags and environment variables. [`SettingsParser`] parses
//! them and collects a [`Diagnostic`] for each error.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use clap::{Arg, ArgMatches};
use sardineshore_core::{Diagnostic, Location};

/// Exit code of a program whose settings are invalid.
pub const EXIT_INVALID_SETTINGS: i32 = 2;

/// Declares a setting with its flag, environment variable, default and help text.
///
/// An empty `default` means that there is none.
#[must_use]
pub fn setting(
    flag: &'static str,
    env: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    let arg = Arg::new(flag).long(flag).env(env).help(help).num_args(1);
    if default.is_empty() {
        arg
    } else {
        arg.default_value(default)
    }
}

/// Parses settings and collects their errors.
///
/// Each method returns a placeholder for an invalid value, so that parsing goes on and finds the
/// other errors; [`SettingsParser::finish`] then rejects the settings.
#[derive(Debug)]
pub struct SettingsParser<'a> {
    matches: &'a ArgMatches,
    findings: Vec<Diagnostic>,
}

impl<'a> SettingsParser<'a> {
    /// Creates a parser of the settings that `clap` has read.
    #[must_use]
    pub fn new(matches: &'a ArgMatches) -> Self {
        Self {
            matches,
            findings: Vec::new(),
        }
    }

    /// Reads a text; a missing or empty one is an error.
    pub fn text(&mut self, flag: &str) -> String {
        let text = self.optional(flag).unwrap_or_default();
        if text.is_empty() {
            self.add_error(flag, "a value is needed");
        }
        text
    }

    /// Reads a text that may be missing.
    #[must_use]
    pub fn optional(&self, flag: &str) -> Option<String> {
        self.matches.get_one::<String>(flag).cloned()
    }

    /// Reads a value with its [`FromStr`]; the placeholder is the type's default.
    pub fn parse<T>(&mut self, flag: &str) -> T
    where
        T: FromStr + Default,
        T::Err: Display,
    {
        let text = self.text(flag);
        if text.is_empty() {
            return T::default();
        }
        text.parse().unwrap_or_else(|err| {
            self.add_error(flag, &format!("{text:?}: {err}"));
            T::default()
        })
    }

    /// Reads a duration such as `250ms` or `4s`; the placeholder is zero.
    pub fn duration(&mut self, flag: &str) -> Duration {
        let text = self.text(flag);
        if text.is_empty() {
            return Duration::ZERO;
        }
        humantime::parse_duration(&text).unwrap_or_else(|err| {
            self.add_error(flag, &format!("{text:?}: {err}"));
            Duration::ZERO
        })
    }

    /// Reads an address `IP:PORT` and returns it as text.
    pub fn addr(&mut self, flag: &str) -> String {
        let text = self.text(flag);
        if !text.is_empty() && text.parse::<std::net::SocketAddr>().is_err() {
            self.add_error(flag, &format!("{text:?} is not IP:PORT"));
        }
        text
    }

    /// Records an error of a setting; `flag` is without its dashes.
    pub fn add_error(&mut self, flag: &str, message: &str) {
        let place = Location::Setting(format!("--{flag}").into());
        self.findings.push(Diagnostic {
            place,
            message: message.into(),
        });
    }

    /// Returns `settings`, or all errors in the order in which they were found.
    pub fn finish<T>(self, settings: T) -> Result<T, Vec<Diagnostic>> {
        if self.findings.is_empty() {
            Ok(settings)
        } else {
            Err(self.findings)
        }
    }
}

/// Prints the errors on standard error and ends the program with [`EXIT_INVALID_SETTINGS`].
pub fn exit_with_errors(findings: &[Diagnostic]) -> ! {
    for finding in findings {
        eprintln!("{finding}");
    }
    std::process::exit(EXIT_INVALID_SETTINGS);
}
