#!/usr/bin/env bash
# Starts a stand-in upstream, the list service and one proxy on loopback, asks through the proxy once,
# and stops all three. Ports 18080, 18081, 18090 and 18500 must be free.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet
bin=target/release/hollowpaddle
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait 2>/dev/null' EXIT
"$bin" stand-in --listen 127.0.0.1:18081 --name s-1 & pids+=($!)
"$bin" discovery --config examples/discovery.toml & pids+=($!)
LB_CONFIG=examples/proxy.json "$bin" & pids+=($!)
for _ in $(seq 100); do
  curl -fs http://127.0.0.1:18080/-/ready >/dev/null 2>&1 && break
  sleep 0.1
done
curl -s http://127.0.0.1:18090/admin/health; echo
curl -s -H 'X-Class: read' -H 'X-Deadline-Ms: 2000' -H 'X-Request-Id: try-1' http://127.0.0.1:18080/api/stock
