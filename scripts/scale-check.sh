#!/usr/bin/env bash
# Compares real processes with the slopes of banksail-lab scale: starts the
# stand-ins of a profile and three nodes on loopback, reads processor time and
# memory from their metrics while they are idle and under load at several rates,
# and stops all. Takes about a minute. Needs the programs in bin/ (make build)
# and curl.
#
# With a CONNECTIONS below the number of nodes, the configuration says that each
# server takes only so many, so that nodes pass sub-requests on to each other.
#
# Usage: scripts/scale-check.sh [PROFILE] [BASE-PORT] [CONNECTIONS]
set -euo pipefail
cd "$(dirname "$0")/.."

readonly PROFILE=${1:-bluemahoe}
readonly BASE_PORT=${2:-23000}
readonly CONNECTIONS=${3:-}
readonly LOOPBACK=127.0.0.1
readonly RATES=(25 50 100 200)  # queries a second
readonly IDLE_SECONDS=10
readonly LOAD_SECONDS=8
readonly SETTLE_SECONDS=2       # of load before the reading begins
readonly WAIT_TRIES=100
readonly WAIT_PAUSE=0.1
readonly ZONES=(zone-a zone-b zone-c)
# The last node reads the servers' health this seldom, so that the difference
# between idle nodes is the cost of the readings.
readonly HEALTH_INTERVALS=(1500ms 1500ms 1h)

work=$(mktemp -d)
processes=()

finish() {
  local process
  for process in "${processes[@]}"; do
    kill "$process" 2>/dev/null || true
  done
  for process in "${processes[@]}"; do
    wait "$process" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
  echo "scale-check: $*" >&2
  tail -n 3 "$work"/*.log >&2 || true
  exit 1
}

# start NAME COMMAND... runs a process in the background.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  processes+=("$!")
}

# wait_for DESCRIPTION URL PATTERN polls until the URL's answer holds the pattern.
wait_for() {
  local try
  for try in $(seq "$WAIT_TRIES"); do
    if curl -fsS -m 2 "$2" 2>/dev/null | grep -q "$3"; then
      return
    fi
    sleep "$WAIT_PAUSE"
  done
  fail "waited in vain for $1"
}

profile=(--profile "$PROFILE" --base-port "$BASE_PORT")
servers=$(bin/banksail-lab profile "${profile[@]}" | grep -c '"address"')
platform=$((BASE_PORT + servers))
store=$LOOPBACK:$platform
machines=$LOOPBACK:$((platform + 1))
start store bin/banksail-lab store --address "$store"
start backends bin/banksail-lab backends "${profile[@]}"

listed=()
operators=()
for index in "${!ZONES[@]}"; do
  listed+=(--node "node-$index=$LOOPBACK:$((platform + 4 + 3 * index))@${ZONES[index]}")
done
start machines bin/banksail-lab machines --address "$machines" "${profile[@]}" "${listed[@]}"
cat >"$work/node.yaml" <<END
store: {address: "$store"}
machine_list: {address: "$machines"}
log: {level: warn}
END
for index in "${!ZONES[@]}"; do
  port=$((platform + 2 + 3 * index))
  operators+=("$LOOPBACK:$((port + 1))")
  start "node-$index" bin/banksaild serve --settings "$work/node.yaml" \
    --backend.health_interval "${HEALTH_INTERVALS[index]}" --node.id "node-$index" --node.zone "${ZONES[index]}" --listen.caller "$LOOPBACK:$port" \
    --listen.operator "$LOOPBACK:$((port + 1))" --listen.peer "$LOOPBACK:$((port + 2))"
done
for operator in "${operators[@]}"; do
  wait_for "node $operator" "http://$operator/healthz" .
done

bin/banksail-lab profile "${profile[@]}" --intent >"$work/intent.json"
if [ -n "$CONNECTIONS" ]; then
  sed -i -E "s/(\"connections\": *)[0-9]+/\1$CONNECTIONS/" "$work/intent.json"
fi
bin/banksailctl plan --node "${operators[0]}" --out "$work/plan.json" "$work/intent.json" >/dev/null
bin/banksailctl confirm --node "${operators[0]}" "$work/plan.json"
for operator in "${operators[@]}"; do
  wait_for "the configuration on $operator" "http://$operator/readyz" revision
done
all=$(IFS=,; echo "${operators[*]}")

echo "== idle: ${#ZONES[@]} nodes, $servers servers, health read every ${HEALTH_INTERVALS[*]}"
sleep "$SETTLE_SECONDS"
bin/banksail-lab scale -nodes "$all" -time "${IDLE_SECONDS}s"

for rate in "${RATES[@]}"; do
  echo "== load: $rate queries a second at the first node"
  bin/banksail-lab load --node "$LOOPBACK:$((platform + 2))" --profile "$PROFILE" --rate "$rate" \
    --duration "$((LOAD_SECONDS + 2 * SETTLE_SECONDS))s" >"$work/load.txt" 2>&1 &
  load=$!
  processes+=("$load")
  sleep "$SETTLE_SECONDS"
  bin/banksail-lab scale -nodes "$all" -time "${LOAD_SECONDS}s" | tee "$work/reading-$rate"
  wait "$load" || fail "the load found a wrong answer: $(tail -n 5 "$work/load.txt")"
done

# Least squares over the loads: processor seconds of all nodes against
# sub-requests, both for each second.
echo "== slope over the loads, all nodes together"
for rate in "${RATES[@]}"; do
  awk '$1 ~ /:/ { x += $6 / $2; y += $3 } END { print x, y }' "$work/reading-$rate"
done | awk '
  { x = $1; y = $2; n++; sx += x; sy += y; sxx += x*x; sxy += x*y; syy += y*y }
  END {
    dx = sxx - sx*sx/n; dy = syy - sy*sy/n; dxy = sxy - sx*sy/n
    slope = dxy / dx; rest = dy - slope*dxy
    printf "%.4g us of processor time a sub-request (standard error %.2g), %.4g ms/s without load, R2 %.4f, %d points\n",
      slope*1e6, sqrt((rest > 0 ? rest : 0)/(n-2)/dx)*1e6, (sy - slope*sx)/n*1e3, dxy*dxy/dx/dy, n
  }'
