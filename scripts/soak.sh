#!/usr/bin/env bash
# Runs fault soaks with real processes.
#
#   scripts/soak.sh FIRST LAST [SECONDS [AT_ONCE]]   runs the seeds FIRST to LAST, AT_ONCE at a time, each with faults for
#                                                    SECONDS, with two groups of three engines whose members change
#   scripts/soak.sh cases - SECONDS                  runs the seeds of scripts/soak-cases.txt with one group of four engines,
#                                                    the environment in which they exposed a fault
#   scripts/soak.sh planned FIRST LAST SECONDS       runs planned work without faults, with eight gateways, one group of
#                                                    twelve engines and streams of up to 7 s, one seed at a time
#
# Prints one line per seed. Keeps the logs of failed seeds, and exits with 1 if any seed failed.
set -u
cd "$(dirname "$0")/.."
mode=${1:?first seed}
[ "$mode" != planned ] || shift
seconds=${3:-20}
at_once=${4:-4}
if [ "$mode" = cases ]; then
  seeds=$(grep -oE '^[0-9]+' scripts/soak-cases.txt)
  world="--seconds $seconds"
elif [ "$mode" = planned ]; then
  seeds=$(seq "${1:?first seed}" "${2:?last seed}")
  at_once=1
  world="--gateways 8 --ranks 12 --callers 40 --pass-ms 250 --seconds 0 --planned $seconds"
else
  seeds=$(seq "${1:?first seed}" "${2:?last seed}")
  world="--groups 2 --ranks 3 --seconds $seconds"
fi
dir=$(mktemp -d "${TMPDIR:-/tmp}/coltsfootbend-soak.XXXXXX")
export dir world
# Runs copies, so that a build during the soak does not replace the binaries.
cp build/bin/coltsfootbend build/bin/coltsfootbend_soak "$dir/" || exit 1
play() {
  "$dir/coltsfootbend_soak" $world --seed "$1" --directory "$dir/$1" \
    --program "$dir/coltsfootbend" >"$dir/$1.out" 2>&1
  code=$?
  grep -E '^(soak|violation):' "$dir/$1.out"
  [ $code = 0 ] && rm -rf "${dir:?}/$1" && return 0
  echo "soak: seed $1 failed with $code; logs in $dir/$1"
  return 1
}
export -f play
if echo "$seeds" | xargs -P "$at_once" -I SEED bash -c 'play SEED'; then
  echo 'soak: every promise was kept'
else
  echo 'soak: a promise was broken'
  exit 1
fi
