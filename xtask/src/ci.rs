//! `cargo xtask ci`: the checks that every change must pass.

use std::process::Command;

use anyhow::{Context, bail};

/// Steps in order: name, arguments of cargo, additional environment.
const STEPS: &[(&str, &[&str], &[(&str, &str)])] = &[
    ("format", &["fmt", "--all", "--check"], &[]),
    (
        "lint",
        &[
            "clippy",
            "--workspace",
            "--all-targets",
            "--quiet",
            "--",
            "-D",
            "warnings",
        ],
        &[],
    ),
    ("build", &["build", "--workspace", "--quiet"], &[]),
    ("test", &["test", "--workspace", "--quiet"], &[]),
    (
        "docs",
        &["doc", "--workspace", "--no-deps", "--quiet"],
        &[("RUSTDOCFLAGS", "-D warnings")],
    ),
];

/// Runs all steps; stops at the first that fails.
pub fn run() -> anyhow::Result<()> {
    for Step { name, args } in STEPS {
        println!("ci: {name}");
        let status = Command::new("cargo")
            .args(*args)
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
