//! `cargo xtask ci`: runs the checks that every change must pass.
//!
//! The tests that `KNOWN-RED.txt` at the root lists are passed over and their names printed.

use std::fs;
use std::io::ErrorKind;

use anyhow::{Context, bail};

use crate::demo::build::cargo;

/// One cargo command.
struct Step {
    name: &'static str,
    args: &'static [&'static str],
}

const STEPS: &[Step] = &[
    Step {
        name: "format",
        args: &["fmt", "--all", "--check"],
    },
    Step {
        name: "lint",
        args: &[
            "clippy",
            "--workspace",
            "--all-targets",
            "--quiet",
            "--",
            "-D",
            "warnings",
        ],
    },
    Step {
        name: "build",
        args: &["build", "--workspace", "--quiet"],
    },
    Step {
        name: "test",
        args: &["test", "--workspace", "--quiet"],
    },
    Step {
        name: "docs",
        args: &["doc", "--workspace", "--no-deps", "--quiet"],
    },
];

/// Start of the line of an entry in `KNOWN-RED.txt` that names the test.
const KNOWN_RED_TEST: &str = "test: ";

/// Names of the tests with a known fault; none if there is no `KNOWN-RED.txt`.
fn known_red() -> anyhow::Result<Vec<String>> {
    let text = match fs::read_to_string("KNOWN-RED.txt") {
        Ok(text) => text,
        Err(err) if err.kind() == ErrorKind::NotFound => String::new(),
        Err(err) => return Err(err).context("can't read KNOWN-RED.txt"),
    };
    let tests = text
        .lines()
        .filter_map(|line| line.strip_prefix(KNOWN_RED_TEST));
    Ok(tests.map(|test| test.trim().to_owned()).collect())
}

/// Runs all steps in order; stops with an error at the first that fails.
pub fn run() -> anyhow::Result<()> {
    let passed_over = known_red()?;
    for Step { name, args } in STEPS {
        println!("ci: {name}");
        let mut command = cargo();
        command.args(*args);
        if *name == "test" && !passed_over.is_empty() {
            println!(
                "ci: known failures, passed over: {}",
                passed_over.join(", ")
            );
            command.args(["--", "--exact"]);
            command.args(passed_over.iter().flat_map(|test| ["--skip", test]));
        }
        let status = command
            .env("RUSTDOCFLAGS", "-D warnings")
            .status()
            .with_context(|| format!("step {name} did not start"))?;
        if !status.success() {
            bail!("step {name} failed");
        }
    }
    println!("ci: all steps passed");
    Ok(())
}
