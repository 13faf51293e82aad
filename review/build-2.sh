#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It needs no network: they have no dependencies.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
