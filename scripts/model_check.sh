#!/usr/bin/env bash
# Checks a Promela model with spin, and that each of its mutants fails.
# Usage: scripts/model_check.sh spec/NAME.pml [work-directory]
set -euo pipefail

model=$(realpath "$1")
work=${2:-$(mktemp -d)}
mkdir -p "$work"
cd "$work"

# Prints the number of errors that the model checker found.
errors_of() {
  spin -a "$@" "$model" >spin.log
  gcc -O2 -w -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -o pan pan.c
  timeout 60 ./pan -m1000000 -w24 >pan.log || true
  # A search that was cut short proves nothing.
  if grep -q 'max search depth too small' pan.log; then
    echo incomplete
    return
  fi
  if ! grep -q 'errors: ' pan.log; then
    echo incomplete
    return
  fi
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
}

failed=0
errors=$(errors_of)
states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
echo "$(basename "$model"): $errors errors, $states states"
[ "$errors" = 0 ] || failed=1

for mutant in $(grep -o 'ifn\?def MUTANT_[A-Z_]*' "$model" | awk '{print $2}' | sort -u); do
  errors=$(errors_of "-D$mutant")
  echo "$(basename "$model") with $mutant: $errors errors (at least 1 expected)"
  case "$errors" in 0 | incomplete) failed=1 ;; esac
done
exit "$failed"
