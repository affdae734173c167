#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/query-aggregator target/review/held_connections; do
    [ -x "$program" ] || { echo "could not run: $program is not built"; exit 2; }
done
CASE_DIR="$PWD/review/2" target/review/held_connections
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
