#!/bin/sh
# Builds the stand-ins of the review's scripts, from the root of the repository or anywhere else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/standin.rs
