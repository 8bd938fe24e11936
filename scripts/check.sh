#!/usr/bin/env bash
# Installs what is needed, builds with warnings as errors, checks format and
# lint, and runs all tests, then again under sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."

# Lets checkouts in other folders share compiled objects.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
export JOBS=${JOBS:-$(nproc)}
bash scripts/setup.sh

cmake --preset dev >/dev/null
cmake --build build/dev -j "$JOBS"
bash scripts/lint.sh
ctest --test-dir build/dev --output-on-failure -j 4

for sanitizer in asan tsan; do
  cmake --preset "$sanitizer" >/dev/null
  cmake --build "build/$sanitizer" -j "$JOBS"
done
ctest --test-dir build/tsan --output-on-failure -j 4 -L shell
ctest --test-dir build/asan --output-on-failure -j 4 -LE model
