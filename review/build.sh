#!/usr/bin/env bash
# The stand-ins of the scripts are Python files of this folder: nothing to
# build. Checks that the interpreter has what they use.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
