#!/usr/bin/env bash
# Builds the stand-ins of the review (operator, client, model server) with rustc alone: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
out="${CARGO_TARGET_DIR:-target}/review"
mkdir -p "$out"
rustc --edition 2024 -O -o "$out/stand-ins" review/stand-ins/main.rs
