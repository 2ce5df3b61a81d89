#!/usr/bin/env bash
# Runs three nodes and a simulated store, machine list and back ends as separate
# processes on loopback under load and injects faults: nodes are killed, frozen and
# stopped gracefully, a server is drained and replaced, operators confirm conflicting
# plans, and the simulated services get faults of their own. Then it ends all faults,
# checks that the system has recovered, and checks the run's journals against the
# invariants. Exits with 0 if no invariant was violated.
#
# Usage: scripts/fault-run.sh [full|short] [SEED]
#   full   all faults and all invariants, about 40 s
#   short  fewer faults, and only the invariants that do not depend on the speed
#          of the machine, about 10 s
# SEED determines the order of the faults and which nodes and servers they hit. The
# environment variable KEEP names a directory to copy the journals and logs to.
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
readonly RATE=40             # queries per second at each node
readonly DEADLINE_MS=500     # of each query; its class may lower it
readonly LONGEST_LOAD=120s   # upper limit; the script stops the load earlier
readonly FREEZE=1.5          # seconds
readonly RECOVERY=10         # allowed recovery time in seconds (full mode)
readonly PROBES=4            # seconds of load after the recovery time
readonly ANSWER_ALLOWANCE=1s # shares of a busy machine are late at times
readonly DRAINED=catalog-g07-r01
readonly LEDGER='member-ledger-*'

case $MODE in
full) round_count=11 pause=0.5 with_drain=yes ;;
short) round_count=3 pause=0.3 with_drain=no ;;
*) fail "the mode is full or short, not $MODE" ;;
esac

require_programs
events_file=$work_dir/events.jsonl
: >"$events_file"
base=$(find_free_ports) || fail "no run of $PORT_COUNT free ports found"
RANDOM=$SEED
store_addr=$LOOPBACK:$((base + BACKENDS))
machines_addr=$LOOPBACK:$((base + BACKENDS + 1))
profile_flags=(--profile small --base-port "$base")

# node_addr NODE ROLE prints a listen address of a node. Roles: 0 for callers, 1 for
# operators, 2 for peers.
node_addr() { echo "$LOOPBACK:$((base + BACKENDS + 2 + ($1 - 1) * 3 + $2))"; }
caller_addr() { node_addr "$1" 0; }
operator_addr() { node_addr "$1" 1; }
peer_addr() { node_addr "$1" 2; }

# record_event KIND [SUBJECT [ADDRESS]] appends an event to the run's event journal.
record_event() {
  printf '{"event":{"kind":"%s","subject":"%s","address":"%s","at_ns":%s}}\n' \
    "$1" "${2:-}" "${3:-}" "$(date +%s%N)" >>"$events_file"
}

# log_progress TEXT... prints the text after the seconds since the start of the run.
log_progress() { printf '%5.1f s  %s\n' "$(elapsed)" "$*"; }
elapsed() { awk "BEGIN {print ($(date +%s%N) - $started_at_ns) / 1e9}"; }

# pick_random LIMIT sets picked to a random number from 1 to LIMIT.
pick_random() { picked=$((RANDOM % $1 + 1)); }

# shuffle WORD... sets shuffled to the words in random order.
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

node_pids=()

# start_node NODE starts a node and waits until its health check succeeds.
start_node() {
  start_process "node-$1" bin/banksaild serve --settings "$work_dir/node.yaml" --node.id "node-$1" \
    --node.zone "zone-$([ $(($1 % 2)) = 1 ] && echo a || echo b)" \
    --listen.caller "$(caller_addr "$1")" --listen.operator "$(operator_addr "$1")" --listen.peer "$(peer_addr "$1")"
  node_pids[$1]=$started_pid
  wait_for "node $1" responds "http://$(operator_addr "$1")/healthz"
  record_event node_started "node-$1" "$(caller_addr "$1")"
}

# start_backends NAME PATTERN starts the back ends whose IDs match PATTERN in one process.
start_backends() { start_process "backends-$1" bin/banksail-lab backends "${profile_flags[@]}" --only "$2"; }

# set_faults FLAG... KEY=VALUE... sets the faults of a simulated service.
set_faults() { bin/banksail-lab fault "$@" >/dev/null; }
# set_server_faults PATTERN KEY=VALUE... sets the faults of the back ends that match PATTERN.
set_server_faults() { set_faults "${profile_flags[@]}" --server "$@"; }

# ---- Operators

# make_plan NODE DEADLINE FILE plans a change of the class "urgent" at a node, with
# DEADLINE in ms, and writes the plan to FILE.
make_plan() {
  cat >"$3.intent" <<END
{"author":"operator-$1","note":"fault run","changes":[{"set_class":{"name":"urgent","order":0,
"longest_wait_ms":50,"deadline_ms":$2,"minimum_coverage":0.85,"hedge_share":0.1,"headroom":0.2}}]}
END
  bin/banksailctl plan --node "$(operator_addr "$1")" --out "$3" "$3.intent" >"$3.text" 2>&1
}

# confirm_plan NODE FILE confirms a plan at a node and records the result that the
# operator received in the event journal.
confirm_plan() {
  local code=0 result revision=0 plan
  plan=$(sed -n 's/^plan \([^ ]*\) on revision.*/\1/p' "$2.text")
  bin/banksailctl confirm --node "$(operator_addr "$1")" "$2" >"$2.result" 2>&1 || code=$?
  case $code in
  0)
    result=applied
    revision=$(sed -n 's/.*revision \([0-9]*\)$/\1/p' "$2.result")
    ;;
  3) result=unknown ;;
  *)
    result=not_applied
    ! grep -q 'planned for revision' "$2.result" || result=conflict
    ;;
  esac
  printf '{"confirmation":{"operator":"operator-%s","plan_id":"%s","result":"%s","revision":%s,"at_ns":%s}}\n' \
    "$1" "$plan" "$result" "$revision" "$(date +%s%N)" >>"$events_file"
  log_progress "  operator at node-$1 was told: $result"
}

# ---- Load

# start_loads NAME MINIMUM-COVERAGE starts a load generator for each node. Each writes its
# journal to NAME-NODE.jsonl and may retry at any of the nodes.
start_loads() {
  local node
  load_pids=()
  for node in $(seq $NODES); do
    start_process "$1-$node" bin/banksail-lab load --node "$(caller_addr "$node")" --profile small --rate $RATE \
      --duration $LONGEST_LOAD --deadline-ms $DEADLINE_MS --minimum-coverage "$2" \
      --seed $((SEED * NODES + node)) "${retry_flags[@]}" --journal "$work_dir/$1-$node.jsonl"
    load_pids+=("$started_pid")
  done
}

# stop_loads NAME stops the load generators and prints their summaries.
stop_loads() {
  local node pid
  stop_processes "${load_pids[@]}"
  for pid in "${load_pids[@]}"; do
    untrack_process "$pid"
  done
  log_progress "the load ended; what the callers saw:"
  for node in $(seq $NODES); do
    sed "s/^/  /" "$work_dir/$1-$node.log"
  done
}

# ---- Recovery

# serves_complete_answers NODE succeeds if the node gives a complete answer from the
# current snapshot and runs a request that must not be repeated.
serves_complete_answers() {
  attempt=$((attempt + 1))
  local request="{\"request_id\":\"whole-$attempt\",\"class\":\"normal\",\"repeatable\":true,\"body\":{}}"
  local write_request="{\"request_id\":\"whole-once-$attempt\",\"class\":\"normal\",\"repeatable\":false,\"body\":{}}"
  [ "$(query_at "$(caller_addr "$1")" "$work_dir/answer" catalog "$request")" = 200 ] &&
    grep -q '"complete":true' "$work_dir/answer" && grep -q "\"snapshot\":$snapshot," "$work_dir/answer" &&
    [ "$(query_at "$(caller_addr "$1")" "$work_dir/answer" member-ledger "$write_request")" = 200 ]
}

# check_recovery confirms one more plan and waits until every node has its revision in
# force and gives complete answers.
check_recovery() {
  local node newest
  attempt=0
  make_plan 1 600 "$work_dir/plan-last" || fail "no plan can be made after the faults"
  confirm_plan 1 "$work_dir/plan-last"
  newest=$(sed -n 's/.*revision \([0-9]*\)$/\1/p' "$work_dir/plan-last.result")
  [ -n "$newest" ] || fail "no plan can be confirmed after the faults: $(cat "$work_dir/plan-last.result")"
  for node in $(seq $NODES); do
    wait_for "revision $newest on node-$node" serves_revision "$(operator_addr "$node")" "$newest"
    wait_for "whole answers from node-$node" serves_complete_answers "$node"
  done
  log_progress "revision $newest in force and whole answers from snapshot $snapshot on $NODES nodes"
}

# ---- The run

echo "fault-run: mode $MODE, seed $SEED"
started_at_ns=$(date +%s%N)
node_flags=() observe_flags=() retry_flags=()
for node in $(seq $NODES); do
  node_flags+=(--node "node-$node=$(peer_addr "$node")@zone-$([ $((node % 2)) = 1 ] && echo a || echo b)")
  observe_flags+=(--node "node-$node=$(operator_addr "$node")")
  retry_flags+=(--retry "$(caller_addr "$node")")
done
cat >"$work_dir/node.yaml" <<END
store: {address: "$store_addr"}
machine_list: {address: "$machines_addr"}
stop: {grace: 200ms}
END
start_process store bin/banksail-lab store --address "$store_addr"
start_process machines bin/banksail-lab machines --address "$machines_addr" "${profile_flags[@]}" "${node_flags[@]}"
start_backends catalog 'catalog-g0[0-6]-*'
start_backends replica 'catalog-g07-r00'
start_backends ledger "$LEDGER"
start_backends drained "$DRAINED"
drained_pid=$started_pid
for node in $(seq $NODES); do
  start_node "$node"
done
wait_for "$DRAINED" drained_server_up
start_process observe bin/banksail-lab observe "${observe_flags[@]}" --out "$work_dir/revisions.jsonl"
observer_pid=$started_pid

{
  echo '{"author":"operator-1","note":"first configuration","changes":[{"replace":'
  bin/banksail-lab profile "${profile_flags[@]}"
  echo '}]}'
} >"$work_dir/plan-first.intent"
bin/banksailctl plan --node "$(operator_addr 1)" --out "$work_dir/plan-first" "$work_dir/plan-first.intent" >"$work_dir/plan-first.text"
confirm_plan 1 "$work_dir/plan-first"
for node in $(seq $NODES); do
  wait_for "the configuration on node-$node" serves_revision "$(operator_addr "$node")" 1
done

start_loads calls 0
log_progress "load of $RATE queries a second at each of $NODES nodes"
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
for round in $(seq "$round_count"); do
  switch=${switches[$(((round - 1) % ${#switches[@]}))]}
  action=${actions[$(((round - 1) % ${#actions[@]}))]}
  [ "$with_drain $round" != "yes 2" ] || begin_drain
  [ "$with_drain $round" != "yes 7" ] || replace_drained
  log_progress "round $round of $round_count: $switch"
  "set_$switch"
  sleep "$pause"
  "fault_$action"
  sleep "$pause"
  "clear_$switch"
done
record_event faults_ended
log_progress "all faults ended"

check_recovery
stop_loads calls
if [ "$MODE" = full ]; then
  log_progress "load that takes no partial answer, to see that the system is whole"
  start_loads probes 1
  sleep $((RECOVERY + PROBES))
  stop_loads probes
fi
stop_processes "$observer_pid"
untrack_process "$observer_pid"
bin/banksail-lab collect "${profile_flags[@]}" --operator "$(operator_addr 1)" --out "$work_dir/ran.jsonl"
[ -z "${KEEP:-}" ] || { mkdir -p "$KEEP" && cp "$work_dir"/*.jsonl "$work_dir"/*.log "$KEEP"; }

judge_flags=(--recovery-bound "${RECOVERY}s" --answer-allowance "$ANSWER_ALLOWANCE" --require-all)
[ "$MODE" = full ] || judge_flags=(--safety-only --in-flight-margin 100ms)
bin/banksail-lab judge "${judge_flags[@]}" "$work_dir"/*.jsonl
stop_processes "${node_pids[@]}"
for pid in "${node_pids[@]}"; do
  untrack_process "$pid"
done
stop_processes "${pids[@]}"
pids=()
log_progress "no invariant was violated"
