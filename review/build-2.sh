#!/bin/sh
# Builds the stand-ins of the second review, into target/review-2. Needs the tool chain of the deploy file's build and
# nothing else. The store that case 6 starts is a part of the program that the deploy file's build leaves.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in standins-2 platform-2; do
    rustc --edition 2021 -O -o "target/review-2/$name" "review/$name.rs"
done
