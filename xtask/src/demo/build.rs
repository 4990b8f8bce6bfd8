//! Builds the programs of the workspace with cargo and locates them.

use std::path::{Path, PathBuf};
use std::process::Command;

use anyhow::{Context, bail};

/// Build profile of the programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// Debug build, for demonstrations and fault runs.
    Debug,
    /// Release build, for benchmarks.
    Release,
    /// Release build with jemalloc as the allocator of entry instances.
    Jemalloc,
}

/// Builds all programs; returns the directory of the executables.
pub fn build(profile: Profile) -> anyhow::Result<PathBuf> {
    let mut cargo = cargo();
    cargo.args(["build", "--workspace", "--bins"]);
    if profile != Profile::Debug {
        cargo.arg("--release");
    }
    if profile == Profile::Jemalloc {
        cargo.args(["--features", "sardineshore-entry/jemalloc"]);
    }
    let status = cargo.current_dir(root()).status().context("cargo build")?;
    if !status.success() {
        bail!("cargo build failed");
    }
    let dir = match profile {
        Profile::Debug => "debug",
        Profile::Release | Profile::Jemalloc => "release",
    };
    Ok(target_dir()?.join(dir))
}

/// Returns a cargo command without the environment variables that `cargo run` set for xtask: they
/// would make some build scripts run again.
#[must_use]
pub fn cargo() -> Command {
    let mut cargo = Command::new("cargo");
    for (name, _) in std::env::vars_os() {
        let text = name.to_string_lossy();
        if text.starts_with("CARGO_PKG_") || text.starts_with("CARGO_MANIFEST_") {
            cargo.env_remove(&name);
        }
    }
    cargo
}

/// Absolute path of the build directory.
pub fn target_dir() -> anyhow::Result<PathBuf> {
    let dir = std::env::var_os("CARGO_TARGET_DIR");
    let dir = dir.map_or_else(|| root().join("target"), PathBuf::from);
    std::path::absolute(&dir).with_context(|| format!("{}", dir.display()))
}

fn root() -> &'static Path {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest.parent().unwrap_or(manifest)
}
