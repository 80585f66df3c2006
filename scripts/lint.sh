#!/usr/bin/env bash
# Checks the format of every source file, then runs the linter on it. Stops after the first of these checks that fails.
set -eu
cd "$(dirname "$0")/.."
clang-format --dry-run --Werror $(git ls-files '*.h' '*.cpp')
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>&1 |
  { grep -vE '^[0-9]+ warnings? generated|^Suppressed|^Use -header-filter' || true; } | tee build/lint.log
! grep -qE '(warning|error):' build/lint.log
