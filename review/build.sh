#!/usr/bin/env bash
# Builds the stand-ins and clients of all cases, with the standard library only. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -A warnings -o "target/review/case-$number" "$source"
done
