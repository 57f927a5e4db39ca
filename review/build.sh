#!/bin/sh
# Builds the stand-ins of all scripts of the review. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stands/Cargo.toml
