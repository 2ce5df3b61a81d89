#!/usr/bin/env bash
# Runs stand-ins and three nodes as separate processes on loopback under load,
# with faults: nodes killed, frozen and stopped as planned, a server drained and
# replaced, operators at odds, and the stand-ins' switches. Then it ends all
# faults, checks that the system is whole again, and judges the run's record.
# Exit code 0 means that no invariant was violated.
#
# Usage: scripts/fault-run.sh [full|short] [SEED]
#   full   all faults and all invariants, about 40 s
#   short  fewer faults; judges only what holds at any speed of the machine,
#          about 10 s
# The seed sets the order and the victims of the faults. KEEP names a directory
# that the journals are copied to.
set -euo pipefail
cd "$(dirname "$0")/.."
run_name=fault-run
# shellcheck source=scripts/lib.sh
source scripts/lib.sh
# shellcheck source=scripts/faults.sh
source scripts/faults.sh

readonly MODE=${1:-full}
readonly SEED=${2:-1}
readonly NODES=3
readonly RATE=40             # queries a second and node
readonly DEADLINE_MS=500     # of each query; no class allows more than its own
readonly LONGEST_LOAD=120s   # the load is stopped before
readonly FREEZE=1.5          # seconds
readonly RECOVERY=10         # seconds that recovery may take, in the full run
readonly PROBES=4            # seconds of load after that
readonly ANSWER_ALLOWANCE=1s # shares of a busy machine are late at times
readonly DRAINED=catalog-g07-r01
readonly LEDGER='member-ledger-*'

case $MODE in
full) rounds=11 pause=0.5 drains=yes ;;
short) rounds=3 pause=0.3 drains=no ;;
*) fail "the mode is full or short, not $MODE" ;;
esac

need_programs
events=$work/events.jsonl
: >"$events"
base=$(pick_base) || fail "no run of $PORTS free ports found"
RANDOM=$SEED
store=$LOOPBACK:$((base + BACKENDS))
machines=$LOOPBACK:$((base + BACKENDS + 1))
profile=(--profile small --base-port "$base")

# address NODE ROLE prints an address of a node; the roles are 0 for callers,
# 1 for operators, 2 for peers.
address() { echo "$LOOPBACK:$((base + BACKENDS + 2 + ($1 - 1) * 3 + $2))"; }
caller_of() { address "$1" 0; }
operator_of() { address "$1" 1; }
peer_of() { address "$1" 2; }

# event KIND [SUBJECT [ADDRESS]] writes an event to the journal.
event() {
  printf '{"event":{"kind":"%s","subject":"%s","address":"%s","at_ns":%s}}\n' \
    "$1" "${2:-}" "${3:-}" "$(date +%s%N)" >>"$events"
}

tell() { printf '%5.1f s  %s\n' "$(elapsed)" "$*"; }
elapsed() { awk "BEGIN {print ($(date +%s%N) - $began) / 1e9}"; }

# draw LIMIT sets drawn to a number from 1 to the limit.
draw() { drawn=$((RANDOM % $1 + 1)); }

# shuffle WORD... sets shuffled to the words in a drawn order.
shuffle() {
  local pick
  local left=("$@")
  shuffled=()
  while [ "${#left[@]}" -gt 0 ]; do
    pick=$((RANDOM % ${#left[@]}))
    shuffled+=("${left[$pick]}")
    unset "left[$pick]"
    left=("${left[@]}")
  done
}

# ---- Processes

process_of=()

# start_node NODE starts a node and waits until it serves.
start_node() {
  start "node-$1" bin/banksaild serve --settings "$work/node.yaml" --node.id "node-$1" \
    --node.zone "zone-$([ $(($1 % 2)) = 1 ] && echo a || echo b)" \
    --listen.caller "$(caller_of "$1")" --listen.operator "$(operator_of "$1")" --listen.peer "$(peer_of "$1")"
  process_of[$1]=$started
  wait_for "node $1" answers "http://$(operator_of "$1")/healthz"
  event node_started "node-$1" "$(caller_of "$1")"
}

# start_backends NAME PATTERN starts the back ends of a pattern in one process.
start_backends() { start "backends-$1" bin/banksail-lab backends "${profile[@]}" --only "$2"; }

# fault ARGUMENT... sets fault switches.
fault() { bin/banksail-lab fault "$@" >/dev/null; }
fault_at() { fault "${profile[@]}" --server "$@"; }

# ---- Operators

# make_plan NODE DEADLINE FILE plans a change of one class at a node.
make_plan() {
  cat >"$3.intent" <<END
{"author":"operator-$1","note":"fault run","changes":[{"set_class":{"name":"urgent","order":0,
"longest_wait_ms":50,"deadline_ms":$2,"minimum_coverage":0.85,"hedge_share":0.1,"headroom":0.2}}]}
END
  bin/banksailctl plan --node "$(operator_of "$1")" --out "$3" "$3.intent" >"$3.text" 2>&1
}

# confirm_plan NODE FILE confirms a plan at a node and writes what the operator was told.
confirm_plan() {
  local code=0 result revision=0 plan
  plan=$(sed -n 's/^plan \([^ ]*\) on revision.*/\1/p' "$2.text")
  bin/banksailctl confirm --node "$(operator_of "$1")" "$2" >"$2.told" 2>&1 || code=$?
  case $code in
  0)
    result=applied
    revision=$(sed -n 's/.*revision \([0-9]*\)$/\1/p' "$2.told")
    ;;
  3) result=unknown ;;
  *)
    result=not_applied
    ! grep -q 'planned for revision' "$2.told" || result=conflict
    ;;
  esac
  printf '{"confirmation":{"operator":"operator-%s","plan_id":"%s","result":"%s","revision":%s,"at_ns":%s}}\n' \
    "$1" "$plan" "$result" "$revision" "$(date +%s%N)" >>"$events"
  tell "  operator at node-$1 was told: $result"
}

# ---- Load

# start_loads NAME MINIMUM-COVERAGE starts a caller beside each node.
start_loads() {
  local node
  loads=()
  for node in $(seq $NODES); do
    start "$1-$node" bin/banksail-lab load --node "$(caller_of "$node")" --profile small --rate $RATE \
      --duration $LONGEST_LOAD --deadline-ms $DEADLINE_MS --minimum-coverage "$2" \
      --seed $((SEED * NODES + node)) "${retries[@]}" --journal "$work/$1-$node.jsonl"
    loads+=("$started")
  done
}

# stop_loads NAME ends the load and prints what the callers saw.
stop_loads() {
  local node process
  stop_all "${loads[@]}"
  for process in "${loads[@]}"; do
    forget "$process"
  done
  tell "the load ended; what the callers saw:"
  for node in $(seq $NODES); do
    sed "s/^/  /" "$work/$1-$node.log"
  done
}

# ---- Wholeness

# whole NODE asks until the node gives a complete answer and runs a request
# that must not be repeated.
whole() {
  attempt=$((attempt + 1))
  local asked="{\"request_id\":\"whole-$attempt\",\"class\":\"normal\",\"repeatable\":true,\"body\":{}}"
  local once="{\"request_id\":\"whole-once-$attempt\",\"class\":\"normal\",\"repeatable\":false,\"body\":{}}"
  [ "$(query_at "$(caller_of "$1")" "$work/answer" catalog "$asked")" = 200 ] &&
    grep -q '"complete":true' "$work/answer" && grep -q "\"snapshot\":$snapshot," "$work/answer" &&
    [ "$(query_at "$(caller_of "$1")" "$work/answer" member-ledger "$once")" = 200 ]
}

check_whole() {
  local node newest
  attempt=0
  make_plan 1 600 "$work/plan-last" || fail "no plan can be made after the faults"
  confirm_plan 1 "$work/plan-last"
  newest=$(sed -n 's/.*revision \([0-9]*\)$/\1/p' "$work/plan-last.told")
  [ -n "$newest" ] || fail "no plan can be confirmed after the faults: $(cat "$work/plan-last.told")"
  for node in $(seq $NODES); do
    wait_for "revision $newest on node-$node" in_force "$(operator_of "$node")" "$newest"
    wait_for "whole answers from node-$node" whole "$node"
  done
  tell "revision $newest in force and whole answers from snapshot $snapshot on $NODES nodes"
}

# ---- The run

echo "fault-run: mode $MODE, seed $SEED"
began=$(date +%s%N)
nodes=() observed=() retries=()
for node in $(seq $NODES); do
  nodes+=(--node "node-$node=$(peer_of "$node")@zone-$([ $((node % 2)) = 1 ] && echo a || echo b)")
  observed+=(--node "node-$node=$(operator_of "$node")")
  retries+=(--retry "$(caller_of "$node")")
done
cat >"$work/node.yaml" <<END
store: {address: "$store"}
machine_list: {address: "$machines"}
stop: {grace: 200ms}
END
start store bin/banksail-lab store --address "$store"
start machines bin/banksail-lab machines --address "$machines" "${profile[@]}" "${nodes[@]}"
start_backends catalog 'catalog-g0[0-6]-*'
start_backends replica 'catalog-g07-r00'
start_backends ledger "$LEDGER"
start_backends drained "$DRAINED"
drained_process=$started
for node in $(seq $NODES); do
  start_node "$node"
done
wait_for "$DRAINED" server_up
start observe bin/banksail-lab observe "${observed[@]}" --out "$work/revisions.jsonl"
observer=$started

{
  echo '{"author":"operator-1","note":"first configuration","changes":[{"replace":'
  bin/banksail-lab profile "${profile[@]}"
  echo '}]}'
} >"$work/plan-first.intent"
bin/banksailctl plan --node "$(operator_of 1)" --out "$work/plan-first" "$work/plan-first.intent" >"$work/plan-first.text"
confirm_plan 1 "$work/plan-first"
for node in $(seq $NODES); do
  wait_for "the configuration on node-$node" in_force "$(operator_of "$node")" 1
done

start_loads calls 0
tell "load of $RATE queries a second at each of $NODES nodes"
sleep "$pause"

shuffle kill kill_two freeze planned_stop two_operators lost_reply
actions=("${shuffled[@]}")
shuffle straggle shed close wrong_replies machine_lag outage stale_store frozen_server snapshot
switches=("${shuffled[@]}")
if [ "$MODE" = short ]; then
  shuffle kill freeze planned_stop
  actions=("${shuffled[@]}")
  shuffle close wrong_replies frozen_server snapshot
  switches=("${shuffled[@]}")
fi
for round in $(seq "$rounds"); do
  switch=${switches[$(((round - 1) % ${#switches[@]}))]}
  action=${actions[$(((round - 1) % ${#actions[@]}))]}
  [ "$drains $round" != "yes 2" ] || begin_drain
  [ "$drains $round" != "yes 7" ] || replace_drained
  tell "round $round of $rounds: $switch"
  "set_$switch"
  sleep "$pause"
  "fault_$action"
  sleep "$pause"
  "clear_$switch"
done
event faults_ended
tell "all faults ended"

check_whole
stop_loads calls
if [ "$MODE" = full ]; then
  tell "load that takes no partial answer, to see that the system is whole"
  start_loads probes 1
  sleep $((RECOVERY + PROBES))
  stop_loads probes
fi
stop_all "$observer"
forget "$observer"
bin/banksail-lab collect "${profile[@]}" --operator "$(operator_of 1)" --out "$work/ran.jsonl"
[ -z "${KEEP:-}" ] || { mkdir -p "$KEEP" && cp "$work"/*.jsonl "$work"/*.log "$KEEP"; }

judge=(--recovery-bound "${RECOVERY}s" --answer-allowance "$ANSWER_ALLOWANCE" --require-all)
[ "$MODE" = full ] || judge=(--safety-only --in-flight-margin 100ms)
bin/banksail-lab judge "${judge[@]}" "$work"/*.jsonl
stop_all "${process_of[@]}"
for process in "${process_of[@]}"; do
  forget "$process"
done
stop_all "${processes[@]}"
processes=()
tell "no invariant was violated"
