#!/usr/bin/env bash
# Runs separate processes on loopback: the platform stand-in, three engine stand-ins, two entry daemons in two data centres and
# three worker daemons.
#
#   scripts/processes.sh DIR start         writes settings and process ids to DIR and starts all processes
#   scripts/processes.sh DIR start NAME    starts one process again
#   scripts/processes.sh DIR kill NAME     terminates a process with SIGKILL
#   scripts/processes.sh DIR term NAME     asks a process to drain and terminate, with SIGTERM
#   scripts/processes.sh DIR pause NAME    suspends a process with SIGSTOP
#   scripts/processes.sh DIR resume NAME   resumes a suspended process
#   scripts/processes.sh DIR stop          terminates all processes with SIGKILL
set -u
cd "$(dirname "$0")/.."
dir=$1
verb=$2
name=${3:-}
bin=build/bin
names='platform engine-1 engine-2 engine-3 entry-1 entry-2 worker-1 worker-2 worker-3'

write_settings() {
  mkdir -p "$dir"
  local entries='
[[entries]]
id = "entry-1"
data_centre = "dc-1"
address = "127.0.0.1:20101"
[[entries]]
id = "entry-2"
data_centre = "dc-2"
address = "127.0.0.1:20102"'
  printf 'vm = "platform"\ndata_centre = "dc-1"\n[standin]\nplatform = "127.0.0.1:20001"\n' >"$dir/platform.toml"
  for i in 1 2 3; do
    printf 'vm = "engine-%s"\ndata_centre = "dc-1"\n[standin.engine]\naddress = "127.0.0.1:2030%s"\nstep_ms = 6\n' \
      $i $i >"$dir/engine-$i.toml"
    cat >"$dir/worker-$i.toml" <<T
vm = "worker-$i"
data_centre = "dc-$((i % 2 + 1))"
peers = "127.0.0.1:2020$i"
platform = "127.0.0.1:20001"
$entries
[worker]
backend = "127.0.0.1:2030$i"
deployments = ["drafts", "panels"]
slots = 32
T
  done
  for i in 1 2; do
    cat >"$dir/entry-$i.toml" <<T
vm = "entry-$i"
data_centre = "dc-$i"
peers = "127.0.0.1:2010$i"
platform = "127.0.0.1:20001"
first_configuration = "$dir/configuration.json"
$entries
[entry]
callers = "127.0.0.1:2040$i"
operators = "127.0.0.1:2050$i"
T
  done
  local hash
  hash=$(printf 'designer-key' | sha256sum | cut -d' ' -f1)
  cat >"$dir/configuration.json" <<T
{ "customers": { "designers": { "key_sha256": "$hash" } },
  "deployments": {
    "drafts": { "kind": "engine", "model": "draft-1", "workers": ["worker-1", "worker-2", "worker-3"] },
    "panels": { "kind": "plain", "path_prefix": "/panels/", "workers": ["worker-1", "worker-2", "worker-3"] } },
  "workers": {
    "worker-1": { "address": "127.0.0.1:20201", "data_centre": "dc-2" },
    "worker-2": { "address": "127.0.0.1:20202", "data_centre": "dc-1" },
    "worker-3": { "address": "127.0.0.1:20203", "data_centre": "dc-2" } },
  "holders": ["worker-1", "worker-2", "worker-3"] }
T
}

start_one() {
  # A draining process keeps its port until it terminates.
  if [ -f "$dir/$1.pid" ]; then
    for _ in $(seq 100); do
      kill -0 "$(cat "$dir/$1.pid")" 2>/dev/null || break
      sleep 0.1
    done
  fi
  "$bin/coltsfootbend" --settings "$dir/$1.toml" >>"$dir/$1.log" 2>&1 &
  echo $! >"$dir/$1.pid"
}

ready() {
  for _ in $(seq 100); do
    [ "$(curl -s "http://127.0.0.1:20501/operator/v1/status" | grep -c '"state": "serving"')" -ge 4 ] &&
      [ "$(curl -s "http://127.0.0.1:20502/operator/v1/status" | grep -c '"state": "serving"')" -ge 4 ] && return 0
    sleep 0.1
  done
  echo 'processes.sh: not ready within 10 s' >&2
  return 1
}

case $verb in
start)
  if [ -n "$name" ]; then
    start_one "$name"
  else
    write_settings
    for each in $names; do start_one "$each"; done
    ready
  fi
  ;;
kill) kill -KILL "$(cat "$dir/$name.pid")" ;;
term) kill -TERM "$(cat "$dir/$name.pid")" ;;
pause) kill -STOP "$(cat "$dir/$name.pid")" ;;
resume) kill -CONT "$(cat "$dir/$name.pid")" ;;
stop) for each in $names; do kill -KILL "$(cat "$dir/$each.pid")" 2>/dev/null; done ;;
*) echo "processes.sh: no such verb '$verb'" >&2; exit 2 ;;
esac
