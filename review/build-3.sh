#!/bin/sh
# Builds the stand-ins of the third review, which need the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stands-3/Cargo.toml --target-dir target/review-3
