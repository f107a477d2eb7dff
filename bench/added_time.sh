#!/usr/bin/env bash
# Starts the platform stand-in, an entry node, a serving node and its worker on
# loopback, and measures the added time of a call.
# usage: bench/added_time.sh BUILD_FOLDER [options of added_time]
set -eu
bin=$1
shift
out=$(mktemp -d)
base=${BASE_PORT:-24500}
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$out"
}
trap stop_all EXIT
start() { # LOG COMMAND...
  local log=$1
  shift
  "$@" >"$out/$log.log" 2>&1 &
  pids+=($!)
}

start platform "$bin/gullstall-platform" --port "$base"
key=$("$bin/gullstall" keygen --name board --out "$out/board.key")
n=1
nodes=()
for service in dispatcher boxwatch; do
  cat >"$out/$service.ini" <<INI
[node]
instance = $service-1
zone = midrand
service = $service
[listen]
address = 127.0.0.1
callers_port = $((base + n * 10 + 1))
peers_port = $((base + n * 10 + 2))
admin_port = $((base + n * 10 + 3))
[worker]
address = 127.0.0.1
port = $((base + n * 10 + 4))
slots = 2000
connections = 2000
[platform]
address = 127.0.0.1
port = $base
[membership]
seeds = 127.0.0.1:$((base + 12))
[trust]
keys = $key
INI
  start "$service" "$bin/gullstalld" --config "$out/$service.ini"
  nodes+=($!)
  start "$service-worker" "$bin/gullstall-worker" --port "$((base + n * 10 + 4))" \
    --node-port "$((base + n * 10 + 1))" --slots 2000 --service-ms 0
  n=$((n + 1))
done

cat >"$out/bundle" <<INI
[bundle]
version = 1
previous = none
author = bench
reference = bench
[limits]
default_time_ms = 30000
INI
"$bin/gullstall" bundle sign "$out/bundle" --key "$out/board.key" --signer board --out "$out/signed"
for _ in $(seq 50); do
  "$bin/gullstall" bundle publish "$out/signed" --platform "127.0.0.1:$base" && break
  sleep 0.2
done
for _ in $(seq 100); do
  [ "$(curl -s -o /dev/null -w '%{http_code}' -X POST "http://127.0.0.1:$((base + 11))/call/boxwatch/status")" = 200 ] && break
  sleep 0.2
done
echo "machine: $(nproc) cores, load average $(cut -d' ' -f1-3 /proc/loadavg)"
"$bin/added_time" --worker-port "$((base + 24))" --entry-port "$((base + 11))" \
  --admin-port "$((base + 13))" --admin-port "$((base + 23))" \
  --pid "${nodes[0]}" --pid "${nodes[1]}" "$@"
