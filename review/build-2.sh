#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file. Needs no network.
cd "$(dirname "$0")/.." || exit 1
exec cargo build --release --offline --locked \
    --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
