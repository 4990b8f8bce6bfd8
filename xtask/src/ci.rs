//! `cargo xtask ci`: runs the checks that every change must pass.

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

/// Runs all steps in order; stops with an error at the first that fails.
pub fn run() -> anyhow::Result<()> {
    for Step { name, args } in STEPS {
        println!("ci: {name}");
        let status = cargo()
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
