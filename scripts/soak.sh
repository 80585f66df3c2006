#!/usr/bin/env bash
# Runs fault soaks with real processes.
#
#   scripts/soak.sh FIRST LAST [SECONDS [AT_ONCE]]   runs the seeds FIRST to LAST, AT_ONCE at a time, each with faults for
#                                                    SECONDS, with two groups of three engines whose members change
#   scripts/soak.sh cases - SECONDS                  runs the seeds of scripts/soak-cases.txt with one group of four engines,
#                                                    the environment in which they exposed a fault
#
# Prints one line per seed. Keeps the logs of failed seeds, and exits with 1 if any seed failed.
set -u
cd "$(dirname "$0")/.."
seconds=${3:-20}
at_once=${4:-4}
if [ "${1:-}" = cases ]; then
  seeds=$(grep -oE '^[0-9]+' scripts/soak-cases.txt)
  world=''
else
  seeds=$(seq "${1:?first seed}" "${2:?last seed}")
  world='--groups 2 --ranks 3'
fi
dir=$(mktemp -d "${TMPDIR:-/tmp}/coltsfootbend-soak.XXXXXX")
export dir seconds world
# Runs copies, so that a build during the soak does not replace the binaries.
cp build/bin/coltsfootbend build/bin/coltsfootbend_soak "$dir/" || exit 1
play() {
  "$dir/coltsfootbend_soak" $world --seed "$1" --seconds "$seconds" --directory "$dir/$1" \
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
