#!/bin/sh
# Builds the stand-ins of the third review into target/review-3; needs only rustc.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in probation starved_gang clock_back; do
    rustc --edition 2024 -O -A dead_code "review/stand-ins-3/$name.rs" -o "target/review-3/$name"
done
