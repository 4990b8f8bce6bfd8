//! Builds the programs and finds them.

use std::path::{Path, PathBuf};
use std::process::Command;

use anyhow::{Context, bail};

/// How programs are built.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// For development.
    Debug,
    /// For measurements.
    Release,
    /// For measurements with jemalloc as the entry instance's allocator.
    Jemalloc,
}

/// Builds all programs; returns their directory.
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

/// A call of cargo as from a shell: without the variables that `cargo run` sets for this program,
/// which make some build scripts run again.
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

/// The directory of build output.
pub fn target_dir() -> anyhow::Result<PathBuf> {
    let dir = std::env::var_os("CARGO_TARGET_DIR");
    let dir = dir.map_or_else(|| root().join("target"), PathBuf::from);
    std::path::absolute(&dir).with_context(|| format!("{}", dir.display()))
}

fn root() -> &'static Path {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest.parent().unwrap_or(manifest)
}
