#!/usr/bin/env bash
# Story: someone on call follows a page at night. A command that is no longer
# true stops them; here every command of the pages runs as written.
set -eu
bin=$(realpath "$1")
docs=$(realpath "$(dirname "$0")/../../docs")
work=$(mktemp -d)
cd "$work"
export PATH=$bin:$PATH
stop_all() {
  for pid in $(jobs -p); do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

# Prints the commands of a page, those of its last section left out or alone.
commands_of() { # PAGE main|stop
  awk -v part="$2" '
    /^## /     { stop = ($0 == "## Stop") }
    /^```sh$/  { on = 1; next }
    /^```$/    { on = 0; next }
    on && (stop == (part == "stop"))' "$1"
}

run_page() { # PAGE main|stop
  commands_of "$1" "$2" >commands.sh
  [ -s commands.sh ] || { echo "no commands in $1"; exit 1; }
  set -x
  # shellcheck disable=SC1091
  . ./commands.sh
  { set +x; } 2>/dev/null
}

run_page "$docs/OPERATING.md" main >operating.txt
grep -q '"bundle_version":1' operating.txt
grep -q 'boxwatch-1 .*alive' operating.txt
grep -q 'gullstall_call_seconds_bucket{le="+Inf"}' operating.txt
grep -q 'night-17: not_run, reason no_upstream, refused by nothing' operating.txt
grep -Eq '^ +[0-9.]+  run_finished' operating.txt
run_page "$docs/CALLERS.md" main >callers.txt
grep -q 'HTTP/1.1 200 OK' callers.txt
grep -q 'Gullstall-Outcome: ran' callers.txt
grep -q 'Gullstall-Outcome: not-run' callers.txt
grep -q 'Gullstall-Reason: no-upstream' callers.txt
run_page "$docs/OPERATING.md" stop >stop.txt
for _ in $(seq 100); do
  grep -q 'stopped' boxwatch.log && { echo "the pages' commands ran"; exit 0; }
  sleep 0.1
done
echo "the node did not stop"
exit 1
