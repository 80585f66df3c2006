#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt. Each line of that file holds, separated by bars, the name of a test, the
# command to run it, what was seen, the cause, and the open issue. The list is printed, so that these tests are not mistaken for
# passing ones.
set -eu
cd "$(dirname "$0")/.."
known_red=KNOWN-RED.txt
skipped=()
if [ -s "$known_red" ]; then
  echo 'Known red, passed over:'
  cat "$known_red"
  names=$(cut -d '|' -f 1 "$known_red" | tr -d ' ' | sed 's/\./\\./g' | paste -sd '|')
  skipped=(-E "^($names)\$")
fi
ctest --test-dir build --output-on-failure -j 4 "${skipped[@]}"
