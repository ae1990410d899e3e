#!/usr/bin/env bash
# Builds the stand-ins of the scripts, without a library, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/standins/main.rs
