#!/bin/sh
# Builds the stand-ins of the second review, into target/review-2, and the project's own store stand-in, which is a part
# of the program: the line is the deploy file's, so after that build it changes nothing. Needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p whinhill-cli -p whinhill-simhost
mkdir -p target/review-2
for name in standins-2 platform-2; do
    rustc --edition 2021 -O -o "target/review-2/$name" "review/$name.rs"
done
