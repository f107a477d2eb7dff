#!/usr/bin/env bash
# Starts the platform stand-in and a whole deployment on loopback, drives load,
# prints what came of it and stops everything.
# usage: demo/run.sh BUILD_FOLDER mokoena|swanbench
set -eu
bin=$1
site=$2
here=$(dirname "$0")
out=demo-out/$site
rm -rf "$out" && mkdir -p "$out"
base=${BASE_PORT:-21000}
. "$here/lib.sh"
trap stop_all EXIT

define_site
echo "demo: $site, platform stand-in and 15 workers with a node each"
start_deployment
echo "demo: publishes bundle version 1"
"$bin/gullstall" bundle lint "$here/$site.bundle"
sign_bundle "$here/$site.bundle" "$out/bundle.signed"
publish_bundle "$out/bundle.signed"
echo "demo: waits until every node has the bundle and all members"
wait_all_ready
"$bin/gullstall" bundle status --seed "127.0.0.1:${admins[0]}"

set_load_args
for it in "${slow[@]}"; do load_args+=(--slow-port "$it"); done
status=0
"$bin/gullstall-load" "${load_args[@]}" --phase "normal:${NORMAL_S:-15}:1" --phase "surge:${SURGE_S:-30}:3" \
  --phase "calm:${CALM_S:-20}:1" --repeats 3 --usual-ms 40 --slow-ms 200 || status=$?

admin_args=()
for it in "${admins[@]}"; do admin_args+=(--admin "127.0.0.1:$it"); done
"$bin/gullstall" timeline "${admin_args[@]}" >"$out/timeline.jsonl" || status=$?
echo "demo: time line of all nodes in $out/timeline.jsonl ($(wc -l <"$out/timeline.jsonl") events)"
exit $status
