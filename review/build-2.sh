#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, without packages or a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-in review/stand-in-2/main.rs
