#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the program itself: one small test program a case, and some that are
# no cases (see REPORT-2.md), with their stand-ins for clients, upstreams and discovery. The project's own roles are in the
# program that the deploy file builds. Needs rustc and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in next_request overlap_memory slow_upload late_agent crowd \
    scraped rollback_balancers sweep_stale hung_upload slow_discovery stream coding; do
    rustc --edition 2024 -O -o "target/review-2/$case" "review/src-2/$case.rs"
done
[ -x target/release/hollowpaddle ] || echo "the program is not built yet: deploy/balancer.toml has the command" >&2
