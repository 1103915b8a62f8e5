#!/bin/sh
# Builds the stand-ins of all cases. Needs nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
cargo build --offline --locked --release --manifest-path review/standin/Cargo.toml \
    --target-dir target/review
