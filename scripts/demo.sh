#!/usr/bin/env bash
# Demonstrates the main function with embedded stand-ins: starts one daemon with all roles, sends requests over HTTP, and checks
# the answers. Exits with 0 only if all checks pass.
set -u
cd "$(dirname "$0")/.."
bin=build/bin
callers=127.0.0.1:18080
log=$(mktemp)
failures=0

"$bin/coltsfootbend" --settings examples/trial/settings.toml 2>"$log" &
daemon=$!
trap 'kill -TERM "$daemon" 2>/dev/null; wait "$daemon" 2>/dev/null' EXIT

for _ in $(seq 50); do
  [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$callers/health")" = 200 ] && break
  sleep 0.1
done
for _ in $(seq 50); do
  curl -s "http://127.0.0.1:18081/metrics" | grep -q '^coltsfootbend_workers_known 1' && break
  sleep 0.1
done

check() { # NAME EXPECTED-PATTERN TEXT
  if printf '%s' "$3" | grep -qE -- "$2"; then
    echo "ok    $1"
  else
    echo "FAIL  $1: expected '$2', got:"
    printf '%s\n' "$3"
    failures=$((failures + 1))
  fi
}

ask() { curl -sS -i -m 20 "http://$callers$1" "${@:2}"; }
designer=(-H 'Authorization: Bearer designer-key')
viewer=(-H 'Authorization: Bearer viewer-key')
body='{"model":"draft-1","messages":[{"role":"user","content":"a widget for sales"}],"max_tokens":5}'
stream='{"model":"draft-1","messages":[{"role":"user","content":"explain the query"}],"max_tokens":5,"stream":true}'

first=$(ask /v1/chat/completions "${designer[@]}" -H 'Idempotency-Key: demo-1' -d "$body")
printf '%s\n' "$first"
check 'a completion is answered whole' 'answer-to-[0-9]+ t1 t2 t3 t4"' "$first"
again=$(ask /v1/chat/completions "${designer[@]}" -H 'Idempotency-Key: demo-1' -d "$body")
check 'a retry with the same key gets the same answer' 'answer-to-[0-9]+ t1 t2 t3 t4"' "$again"
check 'and the engine ran it once' 'a widget for sales.*:1[,}]' "$(curl -s 127.0.0.1:19003/standin/runs | tr -d '\\')"
reused=$(ask /v1/chat/completions "${designer[@]}" -H 'Idempotency-Key: demo-1' -d "$stream")
check 'the key with another body is refused' '422' "$reused"
streamed=$(ask /v1/chat/completions "${designer[@]}" -d "$stream")
printf '%s\n' "$streamed"
check 'a stream comes whole' 'DONE' "$streamed"
check 'a plain request is passed through' '"target":"/panels/7"' "$(ask /panels/7 "${viewer[@]}")"
check 'a wrong key is refused with a remedy' 'remedy' "$(ask /panels/7 -H 'Authorization: Bearer nobody')"
check 'an unknown model is refused as not run' 'Coltsfootbend-Outcome: not-run' \
  "$(ask /v1/chat/completions "${designer[@]}" -d '{"model":"none","messages":[]}')"
status=$(COLTSFOOTBEND_KEY=operator-key "$bin/coltsfootbendctl" -e 127.0.0.1:18081 status)
printf '%s\n' "$status"
check 'the operators see the worker' 'worker-1 +serving' "$status"

kill -TERM "$daemon"
wait "$daemon"
code=$?
check 'a planned stop ends well' '^0$' "$code"
[ "$code" = 0 ] || cat "$log"
[ "$failures" = 0 ] && echo 'demo: all good' || { echo "demo: $failures checks failed"; cat "$log"; }
exit "$((failures > 0))"
