#!/usr/bin/env bash
# Tests real processes under faults: sends requests with idempotency keys while entry and worker daemons are killed, suspended,
# drained and restarted, and while the platform is suspended. Fails if a request ran twice, received the answer to another
# request, or was falsely reported as not run, or if no request was answered.
set -u
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
processes() { scripts/processes.sh "$dir" "$@"; }
trap 'processes stop; wait 2>/dev/null' EXIT
processes start || exit 1
report=$dir/report.json
build/bin/coltsfootbend_load --entries 127.0.0.1:20401,127.0.0.1:20402 --requests "${1:-6000}" --concurrency 24 \
  --engines 127.0.0.1:20301,127.0.0.1:20302,127.0.0.1:20303 --label faults >"$report" &
load=$!
step() { sleep "$1"; shift; echo "fault: $*"; processes "$@"; }
step 0.7 kill entry-1
step 0.3 start entry-1
step 0.5 kill worker-2
step 0.4 start worker-2
step 0.5 pause worker-3
step 0.8 resume worker-3
step 0.3 pause platform
step 0.3 term worker-1
step 1.0 start worker-1
step 0.3 resume platform
step 0.5 term entry-2
step 1.0 start entry-2
step 0.3 pause entry-1
step 0.5 resume entry-1
step 0.3 kill worker-3
step 0.3 start worker-3
wait "$load"
code=$?
cat "$report"
grep -q '"requests.answered","value":0.0' "$report" && code=1
[ "$code" = 0 ] && echo 'faults: every promise was kept' || { echo 'faults: a promise was broken'; tail -n 20 "$dir"/*.log; }
exit "$code"
