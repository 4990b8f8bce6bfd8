//! Renders reports as tables for people, or as JSON for programs.

mod tables;

use std::fmt::Write;
use std::str::FromStr;

use sardineshore_wire::operator::{OrderOutcome, Progress};

use crate::client::InstanceError;
use crate::report::{ExitCode, Report};

/// Format of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables and sentences.
    #[default]
    Table,
    /// One JSON array with a report for each step.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err("expected table or json".into()),
        }
    }
}

/// Text that the program prints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RenderedOutput {
    /// Text for standard output.
    pub stdout: String,
    /// Text for standard error; empty with [`OutputFormat::Json`].
    pub stderr: String,
}

/// Renders all reports. As tables, a report of a step that was not done goes to standard error.
///
/// # Panics
///
/// Panics if a report can't be serialized.
#[must_use]
pub fn render(reports: &[Report], output: OutputFormat) -> RenderedOutput {
    let mut rendered = RenderedOutput::default();
    match output {
        OutputFormat::Json => {
            rendered.stdout = serde_json::to_string_pretty(reports).expect("reports serialize");
            rendered.stdout.push('\n');
        }
        OutputFormat::Table => {
            for report in reports {
                let stream = match report.exit_code() {
                    ExitCode::Done => &mut rendered.stdout,
                    _ => &mut rendered.stderr,
                };
                let separator = if stream.is_empty() { "" } else { "\n" };
                stream.push_str(separator);
                stream.push_str(&report_text(report));
            }
        }
    }
    rendered
}

fn report_text(report: &Report) -> String {
    match report {
        Report::Answer { answer, missing } => {
            let mut text = tables::answer_table(answer);
            for error in missing {
                let _ = writeln!(
                    text,
                    "without instance {}: {}",
                    error.instance, error.reason
                );
            }
            text
        }
        Report::Accepted {
            command,
            version,
            progress,
            ..
        } => accepted_text(command, *version, progress.as_ref()),
        Report::Refused {
            command,
            change,
            refusal,
            winner,
        } => {
            let mut text = format!("refused: {refusal}\n  {change}\n");
            if let Some(winner) = winner {
                let _ = writeln!(text, "  command {winner} was accepted before it");
            }
            let _ = writeln!(text, "nothing was changed (command {command})");
            text
        }
        Report::NotAccepted { command, reason } => {
            format!("not accepted: {reason}\nnothing was changed (command {command})\n")
        }
        Report::Unconfirmed {
            command,
            errors,
            last,
        } => {
            let mut text = error_lines(errors);
            if let Some(last) = last {
                let _ = writeln!(text, "last answer: {last}");
            }
            let advice = format!("to learn its outcome, send it again with --command {command}");
            text + "outcome not known; " + &advice + "\n"
        }
        Report::Order { command, outcome } => order_text(command, outcome),
        Report::Release {
            fingerprint,
            released,
        } => match released {
            true => format!("released {fingerprint}\n"),
            false => format!("refused: {fingerprint} is not under quarantine\n"),
        },
        Report::Unreachable { errors } => {
            format!("{}no instance gave an answer\n", error_lines(errors))
        }
        Report::Faulty { findings } => {
            let mut text = String::new();
            for finding in findings {
                let _ = writeln!(text, "{finding}");
            }
            text + "nothing was sent\n"
        }
    }
}

fn accepted_text(command: &str, version: u64, progress: Option<&Progress>) -> String {
    let mut text = format!("accepted: version {version} (command {command})\n");
    match progress {
        None => text += "in force: not known\n",
        Some(progress) => {
            let _ = writeln!(text, "in force: {}", names(&progress.applied));
            let _ = writeln!(text, "pending: {}", names(&progress.pending));
            if progress.in_force {
                text += "in force on every live instance\n";
            }
        }
    }
    text
}

fn order_text(command: &str, outcome: &OrderOutcome) -> String {
    match outcome {
        OrderOutcome::Done => format!("done (command {command})\n"),
        OrderOutcome::NotSent { reason } => {
            format!("refused: {reason}\nthe order was not sent to the engine (command {command})\n")
        }
        OrderOutcome::Unknown { reason } => {
            format!("outcome not known: {reason} (command {command})\n")
        }
    }
}

fn names(names: &[sardineshore_core::InstanceId]) -> String {
    if names.is_empty() {
        return "none".to_owned();
    }
    names.join(", ")
}

fn error_lines(errors: &[InstanceError]) -> String {
    let mut text = String::new();
    for error in errors {
        let _ = writeln!(text, "instance {}: {}", error.instance, error.reason);
    }
    text
}
