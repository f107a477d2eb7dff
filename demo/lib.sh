# Parts that the demo and the tests on real processes share. To be sourced, with
# bin (build folder), site (mokoena or swanbench), out (folder for settings and
# logs), base (first port) and here (this folder) set.

declare -A pid_of=()     # of each process, by the name of its log
declare -A caller_of=() admin_of=() worker_port_of=() worker_line_of=()
instances=()
callers=()
admins=()
slow=()

stop_all() {
  for pid in "${pid_of[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

start() { # LOG COMMAND...
  local log=$1
  shift
  "$@" >>"$out/$log.log" 2>&1 &
  pid_of[$log]=$!
}

# Sets zones, workers (service count slots connections service-ms chain...), calls
# (service/operation:rate:bytes), and protected_call.
define_site() {
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
      protected_call=dispatcher/dispatch
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
      protected_call=till/deposit
      slow_service=tracker ;;
    *) echo "demo: found '$site', allowed are mokoena, swanbench" >&2; exit 2 ;;
  esac
}

write_settings() { # NAME ZONE SERVICE NUMBER SLOTS CONNECTIONS
  cat >"$out/$1.ini" <<INI
[node]
instance = $1
zone = $2
service = $3
[listen]
address = 127.0.0.1
callers_port = $((base + 100 + $4))
peers_port = $((base + 200 + $4))
admin_port = $((base + 300 + $4))
[worker]
address = 127.0.0.1
port = $((base + 400 + $4))
slots = $5
connections = $6
[platform]
address = 127.0.0.1
port = $base
[membership]
seeds = 127.0.0.1:$((base + 200)), 127.0.0.1:$((base + 205))
[trust]
keys = $key
INI
}

start_node() { # NAME
  start "$1" "$bin/gullstalld" --config "$out/$1.ini"
}

start_worker() { # NAME
  local slots ms chains chain
  read -r slots ms chains <<<"${worker_line_of[$1]}"
  local options=()
  for chain in $chains; do options+=(--chain "$chain"); done
  start "$1-worker" "$bin/gullstall-worker" --port "${worker_port_of[$1]}" \
    --node-port "${caller_of[$1]}" --slots "$slots" --service-ms "$ms" "${options[@]}"
}

start_deployment() {
  local line service count slots connections ms chains name n=0 i
  start platform "$bin/gullstall-platform" --port "$base"
  key=$("$bin/gullstall" keygen --name board --out "$out/board.key")
  for line in "${workers[@]}"; do
    read -r service count slots connections ms chains <<<"$line"
    for ((i = 1; i <= count; i++)); do
      name=$service-$i
      write_settings "$name" "${zones[$(((i - 1) % 3))]}" "$service" "$n" "$slots" "$connections"
      instances+=("$name")
      caller_of[$name]=$((base + 100 + n))
      admin_of[$name]=$((base + 300 + n))
      worker_port_of[$name]=$((base + 400 + n))
      worker_line_of[$name]="$slots $ms $chains"
      start_node "$name"
      start_worker "$name"
      callers+=("${caller_of[$name]}")
      admins+=("${admin_of[$name]}")
      [ "$service" = "$slow_service" ] && slow+=("${worker_port_of[$name]}")
      n=$((n + 1))
    done
  done
}

sign_bundle() { # TEXT_FILE SIGNED_FILE
  "$bin/gullstall" bundle sign "$1" --key "$out/board.key" --signer board --out "$2"
}

publish_bundle() { # SIGNED_FILE
  "$bin/gullstall" bundle publish "$1" --platform "127.0.0.1:$base" --keys "$key"
}

# Waits until the node has a bundle and a worker, and sees all members alive.
wait_ready() { # ADMIN_PORT
  local ready=0 alive=0
  for _ in $(seq 150); do
    ready=$("$bin/gullstall" status --admin "127.0.0.1:$1" 2>/dev/null | grep -c '"ready":true' || true)
    alive=$("$bin/gullstall" members --admin "127.0.0.1:$1" --json 2>/dev/null | grep -o '"state":"alive"' | wc -l || true)
    [ "$ready" = 1 ] && [ "$alive" = "${#instances[@]}" ] && return 0
    sleep 0.2
  done
  echo "demo: node at $1 is not ready ($ready, $alive members alive)" >&2
  return 1
}

wait_all_ready() {
  local admin
  for admin in "${admins[@]}"; do wait_ready "$admin" || return 1; done
}

# Sets load_args: the callers' ports and the calls.
set_load_args() {
  local it
  load_args=()
  for it in "${callers[@]}"; do load_args+=(--port "$it"); done
  for it in "${calls[@]}"; do load_args+=(--call "$it"); done
}
