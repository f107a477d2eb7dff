#!/usr/bin/env bash
# Story: the platform team replaces every worker and its node, one after another,
# while callers go on at about 70 % of what the deployment can do. A caller sees
# its connection cut, a dispatch lost, or a photograph answered short when a
# process ends before what it has taken is answered.
# usage: process_rolling_stop.sh BUILD_FOLDER [ROUNDS]
# Checked are counts and exit codes, never times.
set -eu
cd "$(dirname "$0")/../.."
bin=$1
rounds=${2:-1}
site=${SITE:-mokoena}
here=demo
base=${BASE_PORT:-24000}
out=demo-out/rolling-stop-$site
rm -rf "$out" && mkdir -p "$out"
. demo/lib.sh
trap stop_all EXIT
faults=0

fault() {
  echo "FAULT: $*"
  faults=$((faults + 1))
}

# Ends a process with SIGTERM and checks that it ends by itself with 0.
end_process() { # LOG
  local status=0
  wait "${pid_of[$1]}" || status=$?
  unset "pid_of[$1]"
  [ "$status" = 0 ] || fault "$1 ended with $status"
}

replace() { # NAME
  kill -TERM "${pid_of[$1-worker]}"
  for _ in $(seq 250); do
    grep -q '"state":"leaving"\|"leaving":true' <("$bin/gullstall" members --admin "127.0.0.1:${admin_of[$1]}" --json |
      tr '{' '\n' | grep "\"instance\":\"$1\"") && break
    sleep 0.02
  done
  kill -TERM "${pid_of[$1]}"
  end_process "$1-worker"
  end_process "$1"
  start_node "$1"
  start_worker "$1"
  wait_ready "${admin_of[$1]}" || fault "$1 is not ready after its replacement"
}

define_site
start_deployment
sign_bundle "demo/$site.bundle" "$out/bundle.signed"
publish_bundle "$out/bundle.signed"
wait_all_ready
set_load_args

# The load runs until it is told to stop; what is open then is still answered.
start load "$bin/gullstall-load" "${load_args[@]}" --phase "rolling:${LOAD_S:-600}:${FACTOR:-1.3}" \
  --repeats 5
sleep 2
for ((round = 1; round <= rounds; round++)); do
  for name in "${instances[@]}"; do replace "$name"; done
  echo "round $round: ${#instances[@]} workers and nodes replaced"
done
kill -TERM "${pid_of[load]}"
status=0
wait "${pid_of[load]}" || status=$?
unset "pid_of[load]"
[ "$status" = 0 ] || fault "the load ended with $status (an answer with a wrong body)"
cat "$out/load.log"

table=$(grep '^rolling' "$out/load.log") || fault "the load printed no table"
grep -q 'cut-off=' <<<"$table" && fault "a request was cut off"
grep -q 'unknown/' <<<"$table" && fault "a request ended without anyone knowing whether it ran"
read -r requests whole < <(awk -v call="$protected_call" '$2 == call {print $3, $4}' <<<"$table")
[ "${requests:-0}" -gt 0 ] || fault "no protected call was made"
[ "${requests:-0}" = "${whole:-1}" ] || fault "of ${requests:-0} protected calls ${whole:-0} were answered"
[ "$faults" = 0 ] || { echo "$faults faults"; exit 1; }
echo "no request cut off, none answered short, ${whole} protected calls all answered"
