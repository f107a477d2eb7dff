#!/usr/bin/env bash
# A node whose log is no longer read must finish what it has accepted when it is stopped.
# usage: process_log_reader_gone.sh BUILD_FOLDER
set -eu
cd "$(dirname "$0")/../.."
bin=$1
out=demo-out/log-reader-gone
base=23000
rm -rf "$out" && mkdir -p "$out"
trap 'for p in ${node_pid:-} ${platform_pid:-}; do kill -KILL "$p" 2>/dev/null || true; done' EXIT

"$bin/gullstall-platform" --port $base 2>"$out/platform.log" & platform_pid=$!
key=$("$bin/gullstall" keygen --name board --out "$out/board.key")
cat >"$out/node.ini" <<INI
[node]
instance = dispatcher-1
zone = midrand
service = dispatcher
[listen]
address = 127.0.0.1
callers_port = $((base + 1))
peers_port = $((base + 2))
admin_port = $((base + 3))
[worker]
address = 127.0.0.1
port = $((base + 4))
slots = 20
connections = 100
[platform]
address = 127.0.0.1
port = $base
[membership]
seeds = 127.0.0.1:$((base + 2))
[trust]
keys = $key
INI
mkfifo "$out/log"
head -n 1 "$out/log" >"$out/first_line" & reader_pid=$!
"$bin/gullstalld" --config "$out/node.ini" 2>"$out/log" & node_pid=$!
wait "$reader_pid"
for _ in $(seq 100); do
  "$bin/gullstall" status --admin 127.0.0.1:$((base + 3)) >/dev/null 2>&1 && break
  sleep 0.1
done
kill -TERM "$node_pid"
status=0
wait "$node_pid" || status=$?
echo "the node has ended with $status"
[ "$status" = 0 ]
