#!/usr/bin/env bash
# Starts the stand-ins and two nodes as separate processes on loopback, sends
# queries, changes the configuration, and stops all. Exit code 0 means that
# every step showed what it should. Needs the programs in bin/ (make build) and curl.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly LOOPBACK=127.0.0.1
readonly BACKENDS=18        # servers of the profile "small"
readonly PORTS=30           # ports taken: back ends, platform, nodes
readonly FIRST_PORT=20000
readonly LAST_PORT=31000    # below the system's ephemeral ports
readonly WAIT_TRIES=150     # of WAIT_PAUSE seconds each
readonly WAIT_PAUSE=0.1

work=$(mktemp -d)
processes=()

finish() {
  local status=$?
  local process
  for process in "${processes[@]}"; do
    kill "$process" 2>/dev/null || true
  done
  for process in "${processes[@]}"; do
    wait "$process" 2>/dev/null || true
  done
  if [ "$status" -ne 0 ]; then
    echo "demo: FAILED; the ends of the logs follow" >&2
    tail -n 5 "$work"/*.log >&2 || true
  fi
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
  echo "demo: $*" >&2
  exit 1
}

# port_open succeeds when something listens on the port.
port_open() {
  (exec 3<>"/dev/tcp/$LOOPBACK/$1") 2>/dev/null
}

# pick_base prints a port that starts a run of PORTS free ones.
pick_base() {
  local try base port free
  for try in $(seq 50); do
    base=$((FIRST_PORT + (RANDOM * 32768 + RANDOM) % (LAST_PORT - FIRST_PORT - PORTS)))
    free=yes
    for port in $(seq "$base" $((base + PORTS - 1))); do
      if port_open "$port"; then
        free=no
        break
      fi
    done
    if [ "$free" = yes ]; then
      echo "$base"
      return
    fi
  done
  return 1
}

# start NAME COMMAND... runs a process in the background; started is its process ID.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  started=$!
  processes+=("$started")
}

# wait_for DESCRIPTION COMMAND... polls until the command succeeds, within bounds.
wait_for() {
  local what=$1 try
  shift
  for try in $(seq "$WAIT_TRIES"); do
    if "$@"; then
      return
    fi
    sleep "$WAIT_PAUSE"
  done
  fail "waited in vain for $what"
}

answers() { curl -fsS -m 2 -o "$work/probe" "$1" 2>/dev/null; }

# in_force succeeds when the node at the operator address has the revision in force.
in_force() {
  answers "http://$1/readyz" && grep -q "revision $2\$" "$work/probe"
}

# query_at NODE FILE SERVICE BODY posts a query to a node's caller address and
# prints the HTTP status.
query_at() {
  curl -sS -m 10 -o "$2" -D "$2.header" -w '%{http_code}' \
    -H 'Content-Type: application/json' -d "$4" \
    "http://$1/v1/services/$3/queries"
}

# query FILE SERVICE BODY asks node 1.
query() { query_at "$caller_1" "$@"; }

# expect FILE PATTERN WHAT demands that a file holds a pattern.
expect() {
  grep -Eq "$2" "$1" || fail "$3 is not as it should be: $(head -c 600 "$1")"
}

step() { printf '\n== %s\n' "$*"; }

for program in banksaild banksailctl banksail-lab; do
  [ -x "bin/$program" ] || fail "bin/$program is missing; run make build"
done

base=$(pick_base) || fail "no run of $PORTS free ports found"
store=$LOOPBACK:$((base + BACKENDS))
machines=$LOOPBACK:$((base + BACKENDS + 1))
caller_1=$LOOPBACK:$((base + BACKENDS + 2))
operator_1=$LOOPBACK:$((base + BACKENDS + 3))
peer_1=$LOOPBACK:$((base + BACKENDS + 4))
caller_2=$LOOPBACK:$((base + BACKENDS + 5))
operator_2=$LOOPBACK:$((base + BACKENDS + 6))
peer_2=$LOOPBACK:$((base + BACKENDS + 7))

step "starting store, machine list, back ends and two nodes"
profile=(--profile small --base-port "$base")
start store bin/banksail-lab store --address "$store"
start machines bin/banksail-lab machines --address "$machines" "${profile[@]}" \
  --node "node-1=$peer_1@zone-a" --node "node-2=$peer_2@zone-b"
start backends bin/banksail-lab backends "${profile[@]}"

cat >"$work/node.yaml" <<END
store: {address: "$store"}
machine_list: {address: "$machines"}
stop: {grace: 200ms}
END
node_1=(--settings "$work/node.yaml" --node.id node-1 --node.zone zone-a
  --listen.caller "$caller_1" --listen.operator "$operator_1" --listen.peer "$peer_1")
node_2=(--settings "$work/node.yaml" --node.id node-2 --node.zone zone-b
  --listen.caller "$caller_2" --listen.operator "$operator_2" --listen.peer "$peer_2")
bin/banksaild check "${node_1[@]}"
start node-1 bin/banksaild serve "${node_1[@]}"
process_1=$started
start node-2 bin/banksaild serve "${node_2[@]}"
process_2=$started
wait_for "node 1" answers "http://$operator_1/healthz"
wait_for "node 2" answers "http://$operator_2/healthz"
wait_for "the back ends" answers "http://$LOOPBACK:$base/v1/health"
wait_for "the last back end" answers "http://$LOOPBACK:$((base + BACKENDS - 1))/v1/health"
echo "both nodes are up"

step "a refusal: no configuration is in force yet"
asked='{"request_id":"demo-1","class":"normal","repeatable":true,"body":{"find":"open orders"}}'
status=$(query "$work/refusal" catalog "$asked")
cat "$work/refusal"
printf '\nHTTP %s, %s\n' "$status" "$(grep -i '^retry-after' "$work/refusal.header" | tr -d '\r')"
[ "$status" = 503 ] || fail "the refusal's status is $status"
expect "$work/refusal" '"execution":"not_run"' "the refusal"
expect "$work/refusal" '"reason":"no_configuration"' "the refusal"

step "a plan and its confirmation"
{
  echo '{"author":"demo","note":"first configuration","changes":[{"replace":'
  bin/banksail-lab profile "${profile[@]}"
  echo '}]}'
} >"$work/intent.json"
bin/banksailctl plan --node "$operator_1" --out "$work/plan.json" "$work/intent.json" >"$work/plan.txt"
grep -E '^(plan|warning|  [+~-])' "$work/plan.txt"
expect "$work/plan.txt" '\+ services\[catalog\]' "the plan"
bin/banksailctl confirm --node "$operator_2" "$work/plan.json" | tee "$work/receipt"
revision=$(sed -n 's/.*revision \([0-9]*\)$/\1/p' "$work/receipt")
[ -n "$revision" ] || fail "the confirmation names no revision"

step "the revision in force on both nodes"
wait_for "revision $revision on node 1" in_force "$operator_1" "$revision"
echo "node-1: $(cat "$work/probe")"
wait_for "revision $revision on node 2" in_force "$operator_2" "$revision"
echo "node-2: $(cat "$work/probe")"

# complete asks until the node knows the servers' snapshots, within bounds.
complete() {
  attempt=$((attempt + 1))
  asked="{\"request_id\":\"demo-2-$attempt\",\"class\":\"normal\",\"repeatable\":true,\"body\":{\"find\":\"open orders\"}}"
  status=$(query "$work/answer" catalog "$asked")
  [ "$status" = 200 ] && grep -q '"complete":true' "$work/answer"
}

step "an answer with its snapshot and coverage"
attempt=0
wait_for "a complete answer" complete
head -c 400 "$work/answer"
printf ' ...\nHTTP %s, %s\n' "$status" \
  "$(sed -E 's/^.*("snapshot":[0-9]+,"coverage":[0-9.]+).*$/\1/' "$work/answer")"
expect "$work/answer" '"snapshot":[1-9]' "the answer"
expect "$work/answer" '"coverage":1,' "the answer"

step "why it got this answer"
bin/banksailctl explain --node "$operator_1" "demo-2-$attempt" >"$work/explanation"
head -n 20 "$work/explanation"
expect "$work/explanation" 'complete' "the explanation"

# ran_once asks until the nodes know each other, within bounds. A refusal ran
# nowhere, so the same request ID may be asked again.
ran_once() {
  status=$(query_at "$caller_1" "$work/once" member-ledger "$once")
  [ "$status" = 200 ]
}

step "a request that must not be repeated runs once, also when another node is asked"
once='{"request_id":"demo-once","class":"normal","repeatable":false,"body":{"enter":"order 7"}}'
wait_for "the first answer" ran_once
echo "node 1: HTTP $status"
status=$(query_at "$caller_2" "$work/again" member-ledger "$once")
cat "$work/again"
printf '\nnode 2: HTTP %s\n' "$status"
[ "$status" = 409 ] || fail "the status is $status"
expect "$work/again" '"reason":"held_elsewhere"' "the refusal"

step "a refusal that names the faulty field"
status=$(query "$work/fault" catalog '{"request_id":"demo-3","class":"normal","repeatable":true,"deadline_ms":-5,"body":{}}')
cat "$work/fault"
printf '\nHTTP %s\n' "$status"
[ "$status" = 400 ] || fail "the status is $status"
expect "$work/fault" '"field":"deadline_ms"' "the refusal"
expect "$work/fault" '"execution":"not_run"' "the refusal"

# stop_all PROCESS-ID... stops processes and demands exit code 0 of each.
stop_all() {
  local process code
  for process in "$@"; do
    kill -TERM "$process"
  done
  for process in "$@"; do
    code=0
    wait "$process" || code=$?
    [ "$code" -eq 0 ] || fail "process $process ended with exit code $code"
  done
}

step "stopping"
stop_all "$process_1" "$process_2"
echo "both nodes stopped with exit code 0"
stop_all "${processes[@]:0:3}"
echo "the stand-ins stopped with exit code 0"
processes=()
echo "demo: every step showed what it should"
