#!/usr/bin/env bash
# Builds the stand-ins of the second review, without a network and without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in unframed_crash; do
    rustc --edition 2024 -O -o "target/review-2/$case" "review/support-2/$case.rs"
done
