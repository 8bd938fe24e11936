#!/usr/bin/env bash
# Measures one entry host with fake engines on loopback addresses, as described
# in docs/measurements.md.
#
# usage: tools/load/measure.sh BUILD_DIR latency|cpu|memory|stumpfwerk|jernpleje
set -euo pipefail
cd "$(dirname "$0")/../.."

build=${1:?build directory, for example build/release}
what=${2:?latency, cpu, memory, stumpfwerk or jernpleje}
seed=${SEED:-1}
dir=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait
  rm -rf "$dir"
}
trap stop_all EXIT

# start NAME PROGRAM ARGS...: starts a fake upstream and waits until it has
# written its address to the first line of $dir/NAME.out.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
  pids+=($!)
  for _ in $(seq 100); do
    if [ -s "$dir/$name.out" ]; then
      return
    fi
    sleep 0.05
  done
  echo "measure: $name did not start" >&2
  exit 1
}

engine_flags=(--max_concurrency=100000 --threads=2)
case $what in
# With slower engines, the scheduler detects overload and sheds requests.
memory) engine_flags+=(--decode_tokens_per_second=25) ;;
stumpfwerk | jernpleje)
  engine_flags=(--max_concurrency=64 --threads=2
    --prefill_tokens_per_second=8000 --decode_tokens_per_second=60)
  ;;
esac
engines=()
case $what in
stumpfwerk) count=4 ;;
jernpleje) count=6 ;;
# Several engines, because the scheduler limits the batch size of each one.
memory) count=12 ;;
*) count=1 ;;
esac
for i in $(seq "$count"); do
  start "engine$i" "$build/tests/fakes/fake_engine/flamingogauge-fake-engine" \
    "${engine_flags[@]}"
  engines+=("$(head -1 "$dir/engine$i.out")")
done
start service "$build/tests/fakes/fake_service/flamingogauge-fake-service"
service=$(head -1 "$dir/service.out")

case $what in
stumpfwerk | jernpleje) concurrency=64 ;;
*) concurrency=4000 ;;
esac
upstreams=""
for i in $(seq "$count"); do
  upstreams+="{\"id\":\"engine-$i\",\"kind\":\"engine\",\"targets\":[\"m\"],\"data_centre\":\"local\",\"address\":\"${engines[$((i - 1))]}\",\"generation\":\"a\",\"token_capacity\":100000000,\"max_concurrency\":$concurrency},"
done
hash=$(printf %s key | sha256sum | cut -d' ' -f1)
cat >"$dir/document.json" <<EOF
{"tiers":[{"name":"urgent","first_token_target_ms":1000,"deadline_ms":20000},
          {"name":"normal","first_token_target_ms":10000,"deadline_ms":60000},
          {"name":"bulk","first_token_target_ms":20000,"deadline_ms":60000}],
 "workspaces":[{"id":"w","key_hashes":["$hash"],"default_tier":0,"highest_tier":0}],
 "models":[{"id":"m","max_context_tokens":200000}],
 "services":[{"id":"booking"}],
 "upstreams":[$upstreams
   {"id":"booking-1","kind":"service","targets":["booking"],"data_centre":"local","address":"$service","max_concurrency":64}],
 "regions":{"data_centres":[{"id":"local","region":"local","host_slots":1}]}}
EOF

callers=127.0.0.1:${CALLERS_PORT:-18080}
"$build/src/app/flamingogauge" serve --initial_document="$dir/document.json" \
  --callers_address="$callers" --operators_address=127.0.0.1:0 \
  --operators_token=measure-token --platform_calls_per_second=10000 \
  2>"$dir/host.err" &
host=$!
pids+=("$host")
for _ in $(seq 100); do
  grep -qs " started" "$dir/host.err" && break
  sleep 0.05
done

list=$(IFS=,; echo "${engines[*]}")
load=("$build/tools/load/flamingogauge-load" --targets="$callers"
  --count_engines="$list" --count_services="$service" --seed="$seed"
  --tier_names=urgent,normal,bulk --max_open=10000)
ticks() { awk '{print $14 + $15}' "/proc/$host/stat"; }
# Total time in ms that runnable threads of the host waited for a core.
waited() { cat /proc/"$host"/task/*/schedstat | awk '{n += $2} END {printf "%.1f", n / 1e6}'; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$host/status"; }

status=0
case $what in
latency)
  "${load[@]}" --rate=100 --duration_s=1 >/dev/null || true
  before=$(waited)
  "${load[@]}" --direct="$list" --rate=1000 --duration_s=10 >"$dir/load.out" ||
    status=$?
  after=$(waited)
  cat "$dir/load.out"
  sent=$(awk '/ hosts /{print $4}' "$dir/load.out")
  awk -v a="$before" -v b="$after" -v n="$sent" 'BEGIN {
    printf "host: its threads waited %.3f ms per request for a core\n", (b - a) / n }'
  echo "load average: $(cut -d' ' -f1 /proc/loadavg) on $(nproc) cores"
  ;;
cpu)
  "${load[@]}" --rate=100 --duration_s=1 >/dev/null || true
  before=$(ticks)
  "${load[@]}" --rate=500 --duration_s=10 >"$dir/load.out" || status=$?
  after=$(ticks)
  cat "$dir/load.out"
  sent=$(awk '/ hosts /{print $4}' "$dir/load.out")
  hz=$(getconf CLK_TCK)
  awk -v t=$((after - before)) -v n="$sent" -v hz="$hz" 'BEGIN {
    printf "host: %.2f s of processor time for %d requests, %.0f requests/s per core\n", t / hz, n, n * hz / t }'
  ;;
memory)
  "${load[@]}" --rate=100 --duration_s=1 --output_tokens=1 >/dev/null || true
  before=$(rss)
  "${load[@]}" --rate=250 --duration_s=4 --output_tokens=200 \
    --prompt_tokens="${PROMPT_TOKENS:-64}" >"$dir/load.out" &
  loader=$!
  sleep 5
  after=$(rss)
  open=$(ss -Htn state established "( sport = :${callers##*:} )" | wc -l)
  streams=0
  for address in "${engines[@]}"; do
    running=$(curl -s "$address/load" | sed 's/.*"running":\([0-9]*\).*/\1/')
    streams=$((streams + running))
  done
  wait "$loader" || status=$?
  cat "$dir/load.out"
  echo "host: $before KB before, $after KB with $open open requests, $streams of them running"
  awk -v m=$((after - before)) -v n="$open" 'BEGIN {
    printf "host: %.1f KB per open request\n", m / n }'
  ;;
stumpfwerk | jernpleje)
  "${load[@]}" --workload="$what" --rate="${RATE:-20}" --duration_s=30 ||
    status=$?
  ;;
esac
exit "$status"
