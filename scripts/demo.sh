#!/usr/bin/env bash
# Builds the project and shows it at work on loopback addresses: three entry
# hosts of one data centre, a fake platform, two fake engines and a fake booking
# service. Sends a streamed chat request, a booking, the same booking again to
# another host, and an operator's edit; then stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."

jobs=${JOBS:-$(nproc)}
bash scripts/setup.sh
cmake --preset dev >/dev/null
cmake --build build/dev -j "$jobs" --target flamingogauge fake_platform \
  flamingogauge-fake-engine flamingogauge-fake-service

fakes=build/dev/tests/fakes
program=build/dev/src/app/flamingogauge
work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

# await <seconds> <command...>: repeats the command until it succeeds.
await() {
  local tries=$(($1 * 20))
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if [ "$tries" -le 0 ]; then
      echo "demo: gave up waiting for: $*" >&2
      tail -n 5 "$work"/*.log >&2
      exit 1
    fi
    sleep 0.05
  done
}

# start <name> <program> [arguments]: output goes to <name>.out and <name>.log.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
}

# Prints the address that a fake wrote to its first line.
address_of() {
  await 20 test -s "$work/$1.out"
  head -n 1 "$work/$1.out"
}

# Prints the address from a host's log line that contains a text.
logged() {
  await 20 grep -q "$2" "$work/$1.log"
  sed -n "s/.*$2 \([0-9.:]*\).*/\1/p" "$work/$1.log" | head -n 1
}

say() { printf '\n== %s\n' "$*"; }

start platform "$fakes/fake_platform/fake_platform"
start engine1 "$fakes/fake_engine/flamingogauge-fake-engine" \
  --decode_tokens_per_second=50
start engine2 "$fakes/fake_engine/flamingogauge-fake-engine" \
  --decode_tokens_per_second=50
start service "$fakes/fake_service/flamingogauge-fake-service"
platform=$(address_of platform)

# The key's hash is the SHA-256 of "demo-key".
cat >"$work/document.json" <<EOF
{
  "tiers": [
    {"name": "urgent", "deadline_ms": 30000},
    {"name": "normal", "deadline_ms": 60000}
  ],
  "workspaces": [{
    "id": "demo",
    "key_hashes": ["c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"],
    "default_tier": 1,
    "highest_tier": 0
  }],
  "models": [{"id": "reports"}],
  "services": [{"id": "bookings"}],
  "regions": {
    "data_centres": [{"id": "aarhus", "region": "jylland", "host_slots": 3}]
  },
  "upstreams": [
    {"id": "engine-1", "kind": "engine", "targets": ["reports"],
     "data_centre": "aarhus", "address": "$(address_of engine1)"},
    {"id": "engine-2", "kind": "engine", "targets": ["reports"],
     "data_centre": "aarhus", "address": "$(address_of engine2)"},
    {"id": "booking-1", "kind": "service", "targets": ["bookings"],
     "data_centre": "aarhus", "address": "$(address_of service)"}
  ]
}
EOF
"$program" document check "$work/document.json"

export FLAGS_operators_token=demo-operators
export FLAGS_operator_token=$FLAGS_operators_token
seeds=
for number in 1 2 3; do
  start "host$number" "$program" serve --host_id="host-$number" \
    --data_centre=aarhus --region=jylland --peer_listen=127.0.0.1:0 \
    --peer_seeds="$seeds" --platform_address="$platform" \
    --callers_address=127.0.0.1:0 --operators_address=127.0.0.1:0 \
    --initial_document="$work/document.json"
  [ -n "$seeds" ] || seeds=$(logged host1 "listens for peers on")
done
host1=$(logged host1 "callers: listening on")
host2=$(logged host2 "callers: listening on")
operators1=$(logged host1 "operators: listening on")
export FLAGS_operator_address=$operators1
for number in 1 2 3; do
  await 20 curl -sf -m 5 \
    "http://$(logged "host$number" "operators: listening on")/readyz"
done

ask() { curl -sS -N -m 30 -H 'Authorization: Bearer demo-key' "$@"; }
book() {
  ask -i -H 'Idempotency-Key: van-7' -d '{"van":7,"day":"monday"}' \
    "http://$1/v1/services/bookings/new" | tr -d '\r'
}
booked() {
  book "$1" >"$work/answer"
  grep -q '^HTTP/1.1 200' "$work/answer"
}

say "a streamed chat request to host-1"
ask -d '{"model":"reports","stream":true,"max_tokens":8,
         "messages":[{"role":"user","content":"which pans are ready?"}]}' \
  "http://$host1/v1/chat/completions"

say "a booking to host-1"
# A host that has not read the store yet refuses bookings; they are sent again
# with the same key, which is safe.
await 20 booked "$host1"
cat "$work/answer" && echo

say "the same booking to host-2: the recorded answer, nothing runs again"
await 20 booked "$host2"
cat "$work/answer" && echo
say "executions counted by the booking service"
curl -sS -m 5 "http://$(address_of service)/executions"
echo

say "an operator's edit: engine-1 is leaving"
revision=$("$program" document history --output=json |
  sed -n 's/.*"revision":\([0-9]*\).*/\1/p' | head -n 1)
"$program" upstream list
sed -n '/"upstreams"/,/^  \]/p' "$work/document.json" |
  sed -e 's/"upstreams": //' \
    -e '/"engine-1"/s/"kind"/"leaving": true, "kind"/' >"$work/upstreams.json"
"$program" document apply --section upstreams --author demo --wait \
  --expected-revision "${revision:-1}" "$work/upstreams.json"
"$program" upstream list
"$program" status

say "state dump of host-1"
"$program" dump

say "metrics of host-1"
curl -sS -m 5 -H "Authorization: Bearer $FLAGS_operators_token" \
  "http://$operators1/metrics" | grep -v '^#'

say "stopping"
stop_all
trap - EXIT
echo "demo: done"
