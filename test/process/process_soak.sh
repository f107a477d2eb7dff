#!/usr/bin/env bash
# A deployment of fifteen gullstall-sidecar processes under planned work that overlaps: stops and restarts,
# replaced instances, reloads and changes of the configuration. No accepted request may end without an answer.
# usage: process_soak.sh BUILD_FOLDER [FIRST_SEED [LAST_SEED [SECONDS [OPTIONS...]]]]
# Checked are counts, never times.
set -eu
cd "$(dirname "$0")/../.."
bin=$1
first=${2:-1}
last=${3:-$((first + 1))}
length=${4:-12}
[ $# -gt 4 ] && shift 4 || shift $#
out=demo-out/soak
faults=0
for ((seed = first; seed <= last; seed++)); do
  rm -rf "$out" && mkdir -p "$out"
  "$bin/gullstall-soak" --program "$bin/gullstall-sidecar" --folder "$out" --seed "$seed" --seconds "$length" \
    --gap-ms 150 "$@" || { faults=$((faults + 1)); rm -rf "$out-$seed" && mv "$out" "$out-$seed"; }
done
[ "$faults" = 0 ] || { echo "$faults of $((last - first + 1)) runs with faults; logs in $out-SEED"; exit 1; }
