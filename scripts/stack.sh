#!/usr/bin/env bash
# Starts a small deployment as separate processes on the loopback interface, and stops only
# the processes that it started.
#   scripts/stack.sh demo   both deployments and a gateway in turn, each with a verified load
#   scripts/stack.sh up     one deployment, until interrupted
set -euo pipefail
cd "$(dirname "$0")/.."

mode=${1:-demo}
out=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]:-}"; do
    [ -n "$pid" ] && kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]:-}"; do
    [ -n "$pid" ] && wait "$pid" 2>/dev/null || true
  done
  pids=()
}
trap 'stop_all; rm -rf "$out"' EXIT
trap 'exit 0' INT TERM

start() { # name, command…
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids+=($!)
}

wait_ready() { # url
  for _ in $(seq 1 150); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "not ready: $1" >&2
  tail -n 5 "$out"/*.log >&2
  return 1
}

stack() { # deployment, model pool, service pool
  local deployment=$1 model_pool=$2 service_pool=$3
  cat >"$out/hosts.yaml" <<EOF
- zone: a
  hosts:
    - {id: entry-1, role: ROLE_ENTRY, address: "127.0.0.1:18201"}
    - {id: agent-1, role: ROLE_AGENT, address: "127.0.0.1:18211", pool: $model_pool}
    - {id: agent-3, role: ROLE_AGENT, address: "127.0.0.1:18213", pool: $service_pool}
- zone: b
  hosts:
    - {id: entry-2, role: ROLE_ENTRY, address: "127.0.0.1:18202"}
    - {id: agent-2, role: ROLE_AGENT, address: "127.0.0.1:18212", pool: $model_pool}
EOF
  start platform bin/gladegauge-standin platform -listen 127.0.0.1:18100
  start engine-1 bin/gladegauge-standin engine -listen 127.0.0.1:18301
  start engine-2 bin/gladegauge-standin engine -listen 127.0.0.1:18302
  start service bin/gladegauge-standin service -listen 127.0.0.1:18303
  wait_ready http://127.0.0.1:18301/healthz
  wait_ready http://127.0.0.1:18302/healthz
  wait_ready http://127.0.0.1:18303/healthz
  bin/gladegauge-ctl build -out "$out/values" "examples/$deployment"
  for _ in $(seq 1 50); do
    bin/gladegauge-standin publish -platform-url http://127.0.0.1:18100 -values "$out/values" -hosts "$out/hosts.yaml" 2>/dev/null && break
    sleep 0.1
  done
  local common="-platform-url http://127.0.0.1:18100 -insecure-plaintext"
  start agent-1 bin/gladegauge-agent run -id agent-1 -zone a -pool "$model_pool" -upstream-url http://127.0.0.1:18301 -rpc-listen 127.0.0.1:18211 -ops-listen 127.0.0.1:18411 $common
  start agent-2 bin/gladegauge-agent run -id agent-2 -zone b -pool "$model_pool" -upstream-url http://127.0.0.1:18302 -rpc-listen 127.0.0.1:18212 -ops-listen 127.0.0.1:18412 $common
  start agent-3 bin/gladegauge-agent run -id agent-3 -zone a -pool "$service_pool" -upstream-url http://127.0.0.1:18303 -rpc-listen 127.0.0.1:18213 -ops-listen 127.0.0.1:18413 $common
  start entry-1 bin/gladegauge-entry run -id entry-1 -zone a -listen 127.0.0.1:8080 -rpc-listen 127.0.0.1:18201 -ops-listen 127.0.0.1:18401 $common
  start entry-2 bin/gladegauge-entry run -id entry-2 -zone b -listen 127.0.0.1:8081 -rpc-listen 127.0.0.1:18202 -ops-listen 127.0.0.1:18402 $common
  for port in 18401 18402 18411 18412 18413; do
    wait_ready "http://127.0.0.1:$port/readyz"
  done
}

load() { # deployment
  bin/gladegauge-standin load -deployment "$1" -duration 5s \
    -entries http://127.0.0.1:8080,http://127.0.0.1:8081 -services http://127.0.0.1:18303
}

gateway_stack() {
  start users bin/gladegauge-standin users-platform -node-file "$out/node.conf" -callers 127.0.0.1:8080 -readiness 127.0.0.1:18501
  for _ in $(seq 1 50); do
    [ -s "$out/node.conf" ] && break
    sleep 0.1
  done
  start gateway bin/gladegauge-gateway run -node-file "$out/node.conf" -metrics-port 18502
  wait_ready http://127.0.0.1:18501/api/ready
}

case $mode in
demo)
  for deployment in tallowbark salish; do
    case $deployment in
    tallowbark) stack tallowbark activation-model activation-service ;;
    salish) stack salish judge-model player-app ;;
    esac
    echo "== $deployment"
    load "$deployment"
    stop_all
  done
  echo "== gateway on the users' platform"
  gateway_stack
  bin/gladegauge-standin users-load -entry 127.0.0.1:8080
  stop_all
  ;;
up)
  stack tallowbark activation-model activation-service
  echo "entries: http://127.0.0.1:8080 http://127.0.0.1:8081, metrics: http://127.0.0.1:18401/metrics"
  echo "key: demo-tallowbark-coast-mobile"
  echo "model: carrier-assist, plain service: activation-service"
  echo "operators: bin/gladegauge-ctl status -insecure-plaintext -processes 127.0.0.1:18201,127.0.0.1:18211"
  wait
  ;;
*)
  echo "usage: $0 demo|up" >&2
  exit 2
  ;;
esac
