#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out. What
# was sent, answered and run stands in record.txt. review/build-2.sh builds the test, from review/src-2/overlap_memory.rs.
cd "$(dirname "$0")" || exit 2
test=../../target/review-2/overlap_memory
[ -x "$test" ] || { echo "not built: review/build-2.sh" >&2; exit 2; }
exec "$test" "$(pwd)"
