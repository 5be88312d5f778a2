#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 from one source file, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2.rs
