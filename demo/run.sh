#!/usr/bin/env bash
# Runs the real programs against the simulated platform (bin/stand). Under load it
# starts a maintenance wave, changes a contract, cuts off a zone and replaces an
# entry host, and then stops all programs. The exit code is not 0 if a promise was
# broken.
#
# Usage: demo/run.sh [DEPLOYMENT [FAULTS]]
set -eu
repo=$(cd "$(dirname "$0")/.." && pwd)
deploy=$repo/deploy/${1:-gunescati}
faults=${2:-faults}
bin=$repo/bin
logs=$(mktemp -d)
pids=()
declare -A started
load_time=20s

stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop; rm -rf "$logs"' EXIT

start() { # NAME PROGRAM ARGS...: runs a program in the background, logging to NAME.log
  local name=$1
  shift
  "$@" 2>>"$logs/$name.log" &
  pids+=($!)
  started[$name]=$!
}

replace() { # NAME: stops an entry host gracefully and starts a new process
  kill -TERM "${started[$1]}"
  wait "${started[$1]}" || true
  start_node entry "$deploy/$1.json"
}

start_node() { # PROGRAM FILE: starts a program with the settings in FILE plus keys for mutual TLS
  local name
  name=$(basename "$2" .json)
  sed "s#^{#{ \"keys\": { \"cert\": \"$logs/keys/$name.crt\", \"key\": \"$logs/keys/$name.key\", \"trust\": \"$logs/keys/trust.crt\" },#" \
    "$2" >"$logs/$name.json"
  start "$name" "$bin/$1" "$logs/$name.json"
}

indigo() { "$bin/indigo" --site "$deploy/site.json" "$@"; }

wait_for_hosts() {
  for _ in $(seq 100); do
    [ "$(indigo show hosts | grep -c serving || true)" -lt 50 ] || return 0
    sleep 0.2
  done
}

start stand "$bin/stand" "$deploy/stand.json"
until indigo show contracts >/dev/null 2>&1; do sleep 0.1; done
indigo keys "$logs/keys"
for file in "$deploy"/e[0-9]*.json; do start_node entry "$file"; done
for file in "$deploy"/k[0-9]*.json; do start_node keeper "$file"; done

indigo apply --wait "$deploy"/contracts/*.json
wait_for_hosts
indigo show pools

echo "load for $load_time, a wave, a contract change, the faults of $faults.json, and an entry host replaced"
"$bin/bench" load --site "$deploy/site.json" --time "$load_time" --faults "$deploy/$faults.json" >"$logs/totals" &
load=$!
pids+=("$load")
sleep 1
indigo apply --wait "$deploy"/wave/*.json
sleep 3
indigo apply --wait "$deploy"/change/*.json >"$logs/change"
sleep 11
replace e2
load_status=0
wait "$load" || load_status=$?

indigo show pools
indigo burn
echo
sed '$d' "$logs/totals"
sed 's/^in force/contract change in force/' "$logs/change"
tail -n 1 "$logs/totals"
exit "$load_status"
