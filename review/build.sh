#!/bin/sh
# Builds the stand-ins that the scripts of the review start. It needs no network.
cd "$(dirname "$0")/.." && exec cargo build --release --offline \
    --manifest-path review/standins/Cargo.toml --target-dir target/review
