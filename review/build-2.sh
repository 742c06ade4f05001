#!/bin/sh
# Builds the stand-ins of the second review, into target/review-2. Needs the tool chain of the deploy file's build and
# nothing else. The store that the cases start is a part of the program that the deploy file's build leaves.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins-2 review/standins-2.rs
