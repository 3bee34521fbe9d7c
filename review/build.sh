#!/bin/bash
# Builds the stand-ins that the scripts of this review start. Only the standard library is used.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in paused_reader slow_reader uploads event_ids; do
    rustc --edition 2024 -O -o "target/review/$name" "review/support/$name.rs"
done
