#!/usr/bin/env bash
# Builds the cases' programs into target/review/, with the tool chain alone. The project is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/src/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = rig ] || [ "$name" = cluster ] || rustc --edition 2021 -O -o "target/review/$name" "$source"
done
