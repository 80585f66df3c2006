#!/usr/bin/env bash
# Checks the format of every source file, then runs the linter on each. Stops after the first of these checks that fails.
# A file that passed the linter before is not checked again while everything that the linter reads is unchanged: the
# preprocessed source with comments, macros and include lines, the compile command, the linter's settings and version.
set -eu
cd "$(dirname "$0")/.."
clang-format --dry-run --Werror $(git ls-files '*.h' '*.cpp')

export root=$PWD
export passed=${XDG_CACHE_HOME:-$HOME/.cache}/coltsfootbend-lint
export common
common=$(cat .clang-tidy && clang-tidy --version)
mkdir -p "$passed"

# Prints the hash of all that the linter reads for source file $1.
input_hash() {
  command=$(jq -r --arg file "$root/$1" '.[] | select(.file == $file) | .command' build/compile_commands.json)
  [ -n "$command" ] || return 1
  # The launcher and the outputs do not matter to the linter.
  command=$(sed -E 's/^[^ ]*ccache //; s/ -o [^ ]+ -c / -c /' <<<"$command")
  preprocessed=$(cd build && eval "${command/ -c / -E -dD -dI -C }" 2>/dev/null) || return 1
  [ -n "$preprocessed" ] || return 1
  printf '%s\n' "$common" "$command" "$preprocessed" | sed "s#$root/\?##g" | sha256sum | cut -d ' ' -f 1
}

lint_file() {
  if hash=$(input_hash "$1") && [ -e "$passed/$hash" ]; then
    echo "$1" >>build/lint-unchanged.log
    return 0
  fi
  found=$(clang-tidy -p build --quiet "$1" 2>&1 | grep -vE '^[0-9]+ warnings? generated|^Suppressed|^Use -header-filter' || true)
  printf '%s\n' "$found"
  if [ -n "$hash" ] && ! grep -qE '(warning|error):' <<<"$found"; then
    touch "$passed/$hash"
  fi
}
export -f input_hash lint_file
rm -f build/lint-unchanged.log
git ls-files '*.cpp' | xargs -P "$(nproc)" -I FILE bash -c 'lint_file FILE' | sed '/^$/d' | tee build/lint.log
[ ! -e build/lint-unchanged.log ] || echo "lint: $(wc -l <build/lint-unchanged.log) files passed before and are unchanged"
! grep -qE '(warning|error):' build/lint.log
