#!/usr/bin/env bash
# Checks format and lint rules; expects a configured build/dev. Generated code
# (*.capnp.h, *.capnp.c++) is left out.
set -euo pipefail
cd "$(dirname "$0")/.."

jobs=${JOBS:-$(nproc)}
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' |
  grep -v '\.capnp\.')
clang-format --dry-run --Werror "${files[@]}"
echo "format: ${#files[@]} files clean"
python3 scripts/check_type_names.py

# Headers are linted with the sources that include them.
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$' |
  grep -v 'easylogging\.cc$')
printf '%s\n' "${sources[@]}" |
  python3 scripts/run_clang_tidy.py build/dev "$jobs"
echo "lint: ${#sources[@]} files clean"
