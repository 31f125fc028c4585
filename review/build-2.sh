#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 (standard library only) into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/stand-ins-2/main.rs
