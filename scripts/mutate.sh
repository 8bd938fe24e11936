#!/usr/bin/env bash
# Switches off one guard of the product after another and expects a test to
# fail each time. A guard whose loss no test notices is printed, and the script
# exits with status 1. Usage: scripts/mutate.sh [name-prefix]
set -euo pipefail
cd "$(dirname "$0")/.."

prefix=${1:-}
jobs=${JOBS:-$(nproc)}
copy=build/mutation/tree
mkdir -p "$copy"
git ls-files --cached --others --exclude-standard -z |
  xargs -0 -I{} sh -c 'if [ -f "$1" ]; then mkdir -p "$2/$(dirname "$1")" && cp -p "$1" "$2/$1"; fi' _ {} "$copy"
(cd "$copy" && cmake --preset dev >/dev/null)

noticed=0
missed=()
while IFS='~' read -r name file substitution test; do
  case "$name" in '' | \#*) continue ;; "$prefix"*) ;; *) continue ;; esac
  cp "$file" "$copy/$file"
  perl -0pi -e "$substitution" "$copy/$file"
  if cmp -s "$file" "$copy/$file"; then
    echo "$name: the substitution does not match $file"
    missed+=("$name")
    continue
  fi
  if ! (cd "$copy" && cmake --build build/dev -j "$jobs" --target "tst_$test" >build/mutation.log 2>&1); then
    echo "$name: the mutated program does not build"
    missed+=("$name")
  elif (cd "$copy" && ctest --test-dir build/dev -R "^$test\$" >build/mutation.log 2>&1); then
    echo "$name: NOT noticed by $test"
    missed+=("$name")
  else
    echo "$name: noticed by $test"
    noticed=$((noticed + 1))
  fi
  cp "$file" "$copy/$file"
done <tests/mutation/guards.txt

echo "guards: $noticed noticed, ${#missed[@]} not"
[ "${#missed[@]}" -eq 0 ]
