#!/bin/sh
# Builds the stand-ins of the cases. Needs the tool chain of the deploy file's build and nothing else.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/bin"
rustc --edition 2021 -O -o "$here/bin/platform" "$here/platform.rs"
