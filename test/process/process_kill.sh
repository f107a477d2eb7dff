#!/usr/bin/env bash
# Story: crews are dispatched while nodes and workers are killed and frozen. A
# caller that gets no answer sends its dispatch again through another node. If a
# claim is lost with its node, or a frozen node wakes up and runs what another
# has taken over, two crews are sent for one box.
# Checked: no key runs twice; no key whose caller was told `not run` has run.
# usage: process_kill.sh BUILD_FOLDER [ROUNDS]
set -eu
cd "$(dirname "$0")/../.."
bin=$1
rounds=${2:-1000}
out=demo-out/kill
base=25000
rm -rf "$out" && mkdir -p "$out"
# The kernel sends SIGHUP to an orphaned process group that has a stopped process.
trap '' HUP
declare -A node_pid worker_pid
names=()
trap 'for p in "${node_pid[@]}" "${worker_pid[@]}" ${platform_pid:-}; do kill -CONT "$p" 2>/dev/null || true; kill -KILL "$p" 2>/dev/null || true; done' EXIT

"$bin/gullstall-platform" --port $base 2>"$out/platform.log" & platform_pid=$!
key=$("$bin/gullstall" keygen --name board --out "$out/board.key")

start_node() { # NAME
  "$bin/gullstalld" --config "$out/$1.ini" 2>>"$out/$1.log" & node_pid[$1]=$!
}
start_worker() { # NAME
  local n=${1#*-}
  "$bin/gullstall-worker" --port $((base + 400 + n)) --node-port $((base + 100 + n)) --slots 20 \
    --service-ms 30 --run-log "$out/runs.log" 2>>"$out/$1-worker.log" & worker_pid[$1]=$!
}
# Names what has ended by itself: the script ends at the next kill of it.
report_ended() {
  local log pid status
  for log in "${names[@]}" "${names[@]/%/-worker}"; do
    pid=${node_pid[$log]:-${worker_pid[${log%-worker}]}}
    kill -0 "$pid" 2>/dev/null && continue
    status=0
    wait "$pid" || status=$?
    echo "$log has ended with $status; its log ends with:"
    tail -n 5 "$out/$log.log"
  done
}
trap report_ended ERR
zones=(midrand germiston centurion)
for n in 1 2 3 4 5 6; do
  name=dispatcher-$n
  names+=("$name")
  cat >"$out/$name.ini" <<INI
[node]
instance = $name
zone = ${zones[$((n % 3))]}
service = dispatcher
[listen]
address = 127.0.0.1
callers_port = $((base + 100 + n))
peers_port = $((base + 200 + n))
admin_port = $((base + 300 + n))
[worker]
address = 127.0.0.1
port = $((base + 400 + n))
slots = 20
connections = 100
[platform]
address = 127.0.0.1
port = $base
[membership]
seeds = 127.0.0.1:$((base + 201)), 127.0.0.1:$((base + 202)), 127.0.0.1:$((base + 203))
[trust]
keys = $key
INI
  start_node "$name"
  start_worker "$name"
done
"$bin/gullstall" bundle sign demo/mokoena.bundle --key "$out/board.key" --signer board --out "$out/bundle.signed"
until "$bin/gullstall" bundle publish "$out/bundle.signed" --platform 127.0.0.1:$base; do sleep 0.2; done
for n in 1 2 3 4 5 6; do
  for _ in $(seq 150); do
    "$bin/gullstall" status --admin 127.0.0.1:$((base + 300 + n)) 2>/dev/null | grep -q '"bundle_version":1' && break
    sleep 0.2
  done
done

ports=()
for n in 1 2 3 4 5 6; do ports+=(--port $((base + 100 + n))); done
"$bin/gullstall-dispatches" "${ports[@]}" --rounds "$rounds" --gap-ms 50 >"$out/answers.txt" & load_pid=$!

faults=0
RANDOM=2026
while kill -0 "$load_pid" 2>/dev/null; do
  name=${names[$((RANDOM % 6))]}
  case $((RANDOM % 4)) in
    0) kill -KILL "${node_pid[$name]}" 2>/dev/null; wait "${node_pid[$name]}" 2>/dev/null || true
       sleep 0.3; start_node "$name"
       # Its worker lives on and announces itself again, as a new one would.
       kill -KILL "${worker_pid[$name]}" 2>/dev/null; wait "${worker_pid[$name]}" 2>/dev/null || true
       start_worker "$name" ;;
    1) kill -KILL "${worker_pid[$name]}" 2>/dev/null; wait "${worker_pid[$name]}" 2>/dev/null || true
       sleep 0.3; start_worker "$name" ;;
    2) kill -STOP "${node_pid[$name]}" 2>/dev/null || true; sleep 0.4; kill -CONT "${node_pid[$name]}" 2>/dev/null || true ;;
    3) kill -STOP "${worker_pid[$name]}" 2>/dev/null || true; sleep 0.4; kill -CONT "${worker_pid[$name]}" 2>/dev/null || true ;;
  esac
  faults=$((faults + 1))
done
wait "$load_pid" || true
sleep 2

touch "$out/runs.log"
answered=$(wc -l <"$out/answers.txt")
twice=$(awk '{print $2}' "$out/runs.log" | sort | uniq -d | wc -l)
told_not_run=$(awk '$2 == "not_run" {print $1}' "$out/answers.txt" | sort)
lied=$(comm -12 <(echo "$told_not_run") <(awk '{print $2}' "$out/runs.log" | sort -u) | grep -c . || true)
echo "faults $faults, dispatches $answered, by last outcome:" \
  "$(awk '{print $2}' "$out/answers.txt" | sort | uniq -c | tr '\n' ' ')"
echo "run twice $twice, told not run though run $lied"
[ "$answered" = "$rounds" ] && [ "$twice" = 0 ] && [ "$lied" = 0 ] && [ "$faults" -gt 0 ]
