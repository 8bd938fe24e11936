#!/usr/bin/env bash
# Generates the C++ code of all schemas into generated/protocol, which is
# committed. Run after each change of a schema.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -I/usr/include -oc++:generated/protocol --src-prefix=. ./*.capnp
