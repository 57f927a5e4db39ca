#!/bin/sh
# Builds the stand-ins of the scripts review/6 to review/10. They have no dependencies, so no network is needed.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stands-2/Cargo.toml
