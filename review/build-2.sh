#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library only, so no network is
# needed. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2021 -O -o "target/review-2/$name" "$source"
done
