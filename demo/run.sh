#!/usr/bin/env bash
# Runs the real programs on the built-in stand-ins and ends by itself.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
deploy=$top/deploy/${1:-gunescati}
bin=$top/bin
logs=$(mktemp -d)
pids=()

stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$logs"
}
trap stop EXIT

start() { # NAME, then the program and its arguments
  local name=$1
  shift
  "$@" 2>"$logs/$name.log" &
  pids+=($!)
}

indigo() { "$bin/indigo" --site "$deploy/site.json" "$@"; }

start stand "$bin/stand" "$deploy/stand.json"
until indigo show contracts >/dev/null 2>&1; do sleep 0.1; done
for file in "$deploy"/e*.json; do start "$(basename "$file" .json)" "$bin/entry" "$file"; done
for file in "$deploy"/k*.json; do start "$(basename "$file" .json)" "$bin/keeper" "$file"; done

indigo apply --wait "$deploy"/contracts/*.json
for _ in $(seq 100); do
  serving=$(indigo show hosts | grep -c serving || true)
  [ "$serving" -lt 50 ] || break
  sleep 0.2
done
indigo show pools
indigo apply --wait "$deploy"/wave/*.json
"$bin/bench" load --site "$deploy/site.json" --time 15s >"$logs/totals"
indigo show pools
indigo burn
cat "$logs/totals"
