#!/bin/sh
# Builds the stand-ins of the review; needs the Rust compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-in review/stand-in/main.rs
