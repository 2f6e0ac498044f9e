#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 and later start, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs
