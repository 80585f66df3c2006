#!/usr/bin/env bash
# Builds the tests with AddressSanitizer and runs each suite whole, in one process, so that a test that leaves fibers,
# threads or listeners behind meets the tests after it. Tests listed in KNOWN-RED.txt are not run.
#
#   scripts/sanitize.sh [SUITE...]   runs all suites, or the given ones
set -u
cd "$(dirname "$0")/.."
dir=build-asan
cmake -S . -B "$dir" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCMAKE_BUILD_TYPE=Asan >/dev/null || exit 1
cmake --build "$dir" --target coltsfootbend_tests coltsfootbend || exit 1

export program=$dir/bin/coltsfootbend_tests
export logs=$dir/suites
# Objects that fibers refer to until the process ends are never freed; they are not leaks.
export ASAN_OPTIONS=detect_leaks=0:exitcode=99
export RC_PARAMS=seed=20261202
export known_red
known_red=$(cut -d '|' -f 1 KNOWN-RED.txt | tr -d ' ' | paste -sd ':')
rm -rf "$logs"
mkdir -p "$logs"

# These tests run hundreds of simulated processes on one thread within a time limit, which holds for programs without
# instrumentation (`make check`). Here only a report of the sanitizer or the end by a signal counts.
export timed=LargeGroup.UsesAFittingMapSoonAfterAShiftOfDemand

run_timed() {
  timeout 600 "$program" --gtest_filter="$timed" >"$logs/timed" 2>&1
  code=$?
  [ "$code" -le 1 ] && return 0
  echo "sanitize: $timed ended with $code:"
  cat "$logs/timed"
  return 1
}

run_suite() {
  log=$logs/${1//\//_}
  timeout 600 "$program" --gtest_filter="$1.*-$known_red:$timed" >"$log" 2>&1
  code=$?
  [ "$code" = 0 ] && return 0
  echo "sanitize: suite $1 failed with $code:"
  cat "$log"
  return 1
}
export -f run_suite
suites=${*:-$("$program" --gtest_list_tests | grep -oE '^[A-Za-z_0-9/]+\.' | tr -d .)}
if printf '%s\n' $suites | xargs -P 4 -I SUITE bash -c 'run_suite SUITE' && run_timed; then
  echo "sanitize: $(printf '%s\n' $suites | wc -l) suites passed whole"
else
  echo 'sanitize: a suite failed'
  exit 1
fi
