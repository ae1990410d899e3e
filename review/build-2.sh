#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-ins review/stand-ins-2/main.rs
