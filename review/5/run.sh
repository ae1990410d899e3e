#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rig ] && [ -x target/release/dotterelhookd ] || exit 2
exec target/review/rig other-kind review/5/record.txt
