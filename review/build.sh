#!/bin/sh
# Builds the stand-ins of the cases, with rustc and the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2021 -O -A warnings -o "target/review/$name" "$source"
done
