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
platform_port=$base
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT

start() { # LOG COMMAND...
  local log=$1
  shift
  "$@" >"$out/$log.log" 2>&1 &
  pids+=($!)
}

# service zone:count... slots connections chain...
case $site in
  mokoena)
    zones=(midrand germiston centurion)
    workers=(
      "faultbook 5 110 800 40 attach=dispatcher/lookup log=dispatcher/lookup"
      "dispatcher 4 140 950 40 lookup=boxwatch/status dispatch=boxwatch/check"
      "photodesk 3 190 1200 40 photo=faultbook/attach"
      "boxwatch 3 20 200 40")
    calls=(boxwatch/status:300:64 dispatcher/dispatch:100:256 photodesk/photo:200:20000
           faultbook/log:200:512)
    slow_service=boxwatch ;;
  swanbench)
    zones=(perth-a perth-b perth-c)
    workers=(
      "catalogue 5 80 570 40 price=tracker/status"
      "till 4 100 680 40 deposit=catalogue/price collect=tracker/status"
      "intake 3 130 880 40 photo=till/quote"
      "tracker 3 30 280 40")
    calls=(tracker/status:300:64 catalogue/price:300:64 till/deposit:100:256
           intake/photo:150:20000)
    slow_service=tracker ;;
  *) echo "demo: found '$site', allowed are mokoena, swanbench" >&2; exit 2 ;;
esac

echo "demo: $site, platform stand-in and 15 workers with a node each"
start platform "$bin/gullstall-platform" --port "$platform_port"
key=$("$bin/gullstall" keygen --name board --out "$out/board.key")
n=0
callers=()
admins=()
slow=()
for line in "${workers[@]}"; do
  read -r service count slots connections ms chains <<<"$line"
  for ((i = 1; i <= count; i++)); do
    zone=${zones[$(((i - 1) % 3))]}
    name=$service-$i
    caller=$((base + 100 + n)) peer=$((base + 200 + n)) admin=$((base + 300 + n)) port=$((base + 400 + n))
    cat >"$out/$name.ini" <<INI
[node]
instance = $name
zone = $zone
service = $service
[listen]
address = 127.0.0.1
callers_port = $caller
peers_port = $peer
admin_port = $admin
[worker]
address = 127.0.0.1
port = $port
slots = $slots
connections = $connections
[platform]
address = 127.0.0.1
port = $platform_port
[membership]
seeds = 127.0.0.1:$((base + 200)), 127.0.0.1:$((base + 205))
[trust]
keys = $key
INI
    start "$name" "$bin/gullstalld" --config "$out/$name.ini"
    chain_options=()
    for chain in $chains; do chain_options+=(--chain "$chain"); done
    start "$name-worker" "$bin/gullstall-worker" --port "$port" --node-port "$caller" \
      --slots "$slots" --service-ms "$ms" "${chain_options[@]}"
    callers+=("$caller")
    admins+=("$admin")
    [ "$service" = "$slow_service" ] && slow+=("$port")
    n=$((n + 1))
  done
done

echo "demo: publishes bundle version 1"
"$bin/gullstall" bundle lint "$here/$site.bundle"
"$bin/gullstall" bundle sign "$here/$site.bundle" --key "$out/board.key" --signer board --out "$out/bundle.signed"
for _ in $(seq 50); do
  "$bin/gullstall" bundle publish "$out/bundle.signed" --platform "127.0.0.1:$platform_port" && break
  sleep 0.2
done

echo "demo: waits until every node has the bundle and all members"
for admin in "${admins[@]}"; do
  for _ in $(seq 100); do
    ready=$("$bin/gullstall" status --admin "127.0.0.1:$admin" 2>/dev/null | grep -c '"bundle_version":1.*"ready":true' || true)
    alive=$("$bin/gullstall" members --admin "127.0.0.1:$admin" --json 2>/dev/null | grep -o '"state":"alive"' | wc -l || true)
    [ "$ready" = 1 ] && [ "$alive" = 15 ] && break
    sleep 0.2
  done
  [ "$ready" = 1 ] && [ "$alive" = 15 ] || { echo "demo: node at $admin is not ready ($ready, $alive members)" >&2; exit 1; }
done

args=()
for it in "${callers[@]}"; do args+=(--port "$it"); done
for it in "${calls[@]}"; do args+=(--call "$it"); done
for it in "${slow[@]}"; do args+=(--slow-port "$it"); done
status=0
"$bin/gullstall-load" "${args[@]}" --phase "normal:${NORMAL_S:-15}:1" --phase "surge:${SURGE_S:-30}:3" \
  --phase "calm:${CALM_S:-20}:1" --repeats 3 --usual-ms 40 --slow-ms 200 || status=$?

admin_args=()
for it in "${admins[@]}"; do admin_args+=(--admin "127.0.0.1:$it"); done
"$bin/gullstall" timeline "${admin_args[@]}" >"$out/timeline.jsonl" || status=$?
echo "demo: time line of all nodes in $out/timeline.jsonl ($(wc -l <"$out/timeline.jsonl") events)"
exit $status
