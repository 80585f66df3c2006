#!/usr/bin/env bash
# Passes the tests, but for those that KNOWN-RED.txt names: a line there begins with a test's name, and says after bars how to
# run it, what was seen, the cause, and the open issue. They are printed, so that nobody takes them for green.
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
