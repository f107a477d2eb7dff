#!/usr/bin/env bash
# Guards against a process that a signal ends while it starts: a reload must not end it, and an order to stop
# must end it with 0.
# usage: process_early_signals.sh BUILD_FOLDER
set -eu
cd "$(dirname "$0")/../.."
bin=$1
out=demo-out/early-signals
rm -rf "$out" && mkdir -p "$out"
trap 'for p in ${node_pid:-}; do kill -KILL "$p" 2>/dev/null || true; done' EXIT
cat >"$out/good.ini" <<INI
[node]
name = desk-1
zone = a
service = desk
[listen]
callers = 127.0.7.1:8304
peers = 127.0.7.1:7620
readiness = 127.0.7.1:8302
control = 127.0.7.1:8306
metrics = 127.0.7.1:7635
[upstream]
endpoint = 127.0.7.1:8301
[store]
endpoint = 127.0.7.1:8309
[limits]
stop_s = 2
INI

# Starts the node and sends it signals while it reads its settings, which it can't finish until then.
signal_start() { # SIGNAL...
  rm -f "$out/node.ini" && mkfifo "$out/node.ini"
  GULLSTALL_SETTINGS=$out/node.ini "$bin/gullstall-sidecar" >>"$out/node.log" 2>&1 & node_pid=$!
  exec 3>"$out/node.ini"  # returns once the node has opened it
  for it in "$@"; do kill "-$it" "$node_pid"; done
  cp "$out/good.ini" "$out/node.ini.next" && mv "$out/node.ini.next" "$out/node.ini"
  cat "$out/good.ini" >&3 || true
  exec 3>&-
}

expect_good_end() { # WHAT
  local status=0
  wait "$node_pid" || status=$?
  node_pid=
  [ "$status" = 0 ] || { echo "FAULT: ended with $status after $1"; exit 1; }
}

signal_start HUP
for _ in $(seq 100); do
  grep -q settings-read "$out/node.log" && break
  sleep 0.05
done
grep -q settings-read "$out/node.log" || echo "the settings were not read anew after SIGHUP"
kill -TERM "$node_pid" || true
expect_good_end "SIGHUP while it started, and SIGTERM"
grep -q settings-read "$out/node.log" || { echo "FAULT: settings not read anew"; exit 1; }

signal_start HUP TERM
expect_good_end "SIGHUP and SIGTERM while it started"
# gullstalld knows no reload.
cat >"$out/daemon.ini" <<INI
[node]
instance = desk-1
zone = a
service = desk
[listen]
address = 127.0.7.1
callers_port = 8404
peers_port = 8420
admin_port = 8402
[worker]
address = 127.0.7.1
port = 8401
slots = 2
connections = 10
[platform]
address = 127.0.7.1
port = 8409
[membership]
seeds = 127.0.7.1:8420
[trust]
keys = $("$bin/gullstall" keygen --name board --out "$out/board.key")
INI
rm -f "$out/daemon.fifo" && mkfifo "$out/daemon.fifo"
"$bin/gullstalld" --config "$out/daemon.fifo" >>"$out/daemon.log" 2>&1 & node_pid=$!
exec 3>"$out/daemon.fifo"
kill -TERM "$node_pid"
cat "$out/daemon.ini" >&3 || true
exec 3>&-
expect_good_end "SIGTERM while gullstalld started"
echo "signals while starting: read anew, and stopped with 0"
