#!/usr/bin/env bash
# Starts a simulated store, machine list and back ends and two nodes as separate
# processes on loopback, sends queries, changes the configuration, and stops all
# processes. Exits with 0 if every step gave the expected result. Requires the
# programs in bin/ (make build) and curl.
set -euo pipefail
cd "$(dirname "$0")/.."

run_name=demo
# shellcheck source=scripts/lib.sh
source scripts/lib.sh

# query FILE SERVICE BODY posts a query to node 1; see query_at.
query() { query_at "$caller_1_addr" "$@"; }

require_programs

base=$(find_free_ports) || fail "no run of $PORT_COUNT free ports found"
store_addr=$LOOPBACK:$((base + BACKENDS))
machines_addr=$LOOPBACK:$((base + BACKENDS + 1))
caller_1_addr=$LOOPBACK:$((base + BACKENDS + 2))
operator_1_addr=$LOOPBACK:$((base + BACKENDS + 3))
peer_1_addr=$LOOPBACK:$((base + BACKENDS + 4))
caller_2_addr=$LOOPBACK:$((base + BACKENDS + 5))
operator_2_addr=$LOOPBACK:$((base + BACKENDS + 6))
peer_2_addr=$LOOPBACK:$((base + BACKENDS + 7))

step "starting store, machine list, back ends and two nodes"
profile_flags=(--profile small --base-port "$base")
start_process store bin/banksail-lab store --address "$store_addr"
start_process machines bin/banksail-lab machines --address "$machines_addr" "${profile_flags[@]}" \
  --node "node-1=$peer_1_addr@zone-a" --node "node-2=$peer_2_addr@zone-b"
start_process backends bin/banksail-lab backends "${profile_flags[@]}"

cat >"$work_dir/node.yaml" <<END
store: {address: "$store_addr"}
machine_list: {address: "$machines_addr"}
stop: {grace: 200ms}
END
node_1_flags=(--settings "$work_dir/node.yaml" --node.id node-1 --node.zone zone-a
  --listen.caller "$caller_1_addr" --listen.operator "$operator_1_addr" --listen.peer "$peer_1_addr")
node_2_flags=(--settings "$work_dir/node.yaml" --node.id node-2 --node.zone zone-b
  --listen.caller "$caller_2_addr" --listen.operator "$operator_2_addr" --listen.peer "$peer_2_addr")
bin/banksaild check "${node_1_flags[@]}"
start_process node-1 bin/banksaild serve "${node_1_flags[@]}"
node_1_pid=$started_pid
start_process node-2 bin/banksaild serve "${node_2_flags[@]}"
node_2_pid=$started_pid
wait_for "node 1" responds "http://$operator_1_addr/healthz"
wait_for "node 2" responds "http://$operator_2_addr/healthz"
wait_for "the back ends" responds "http://$LOOPBACK:$base/v1/health"
wait_for "the last back end" responds "http://$LOOPBACK:$((base + BACKENDS - 1))/v1/health"
echo "both nodes are up"

step "a refusal: no configuration is in force yet"
request='{"request_id":"demo-1","class":"normal","repeatable":true,"body":{"find":"open orders"}}'
status=$(query "$work_dir/refusal" catalog "$request")
cat "$work_dir/refusal"
printf '\nHTTP %s, %s\n' "$status" "$(grep -i '^retry-after' "$work_dir/refusal.header" | tr -d '\r')"
[ "$status" = 503 ] || fail "the refusal's status is $status"
expect_match "$work_dir/refusal" '"execution":"not_run"' "the refusal"
expect_match "$work_dir/refusal" '"reason":"no_configuration"' "the refusal"

step "a plan and its confirmation"
{
  echo '{"author":"demo","note":"first configuration","changes":[{"replace":'
  bin/banksail-lab profile "${profile_flags[@]}"
  echo '}]}'
} >"$work_dir/intent.json"
bin/banksailctl plan --node "$operator_1_addr" --out "$work_dir/plan.json" "$work_dir/intent.json" >"$work_dir/plan.txt"
grep -E '^(plan|warning|  [+~-])' "$work_dir/plan.txt"
expect_match "$work_dir/plan.txt" '\+ services\[catalog\]' "the plan"
bin/banksailctl confirm --node "$operator_2_addr" "$work_dir/plan.json" | tee "$work_dir/receipt"
revision=$(sed -n 's/.*revision \([0-9]*\)$/\1/p' "$work_dir/receipt")
[ -n "$revision" ] || fail "the confirmation names no revision"

step "the revision in force on both nodes"
wait_for "revision $revision on node 1" serves_revision "$operator_1_addr" "$revision"
echo "node-1: $(cat "$work_dir/probe")"
wait_for "revision $revision on node 2" serves_revision "$operator_2_addr" "$revision"
echo "node-2: $(cat "$work_dir/probe")"

# gets_complete_answer sends a query under a new request ID and succeeds if the answer
# is complete, which requires that the node knows the servers' snapshots.
gets_complete_answer() {
  attempt=$((attempt + 1))
  request="{\"request_id\":\"demo-2-$attempt\",\"class\":\"normal\",\"repeatable\":true,\"body\":{\"find\":\"open orders\"}}"
  status=$(query "$work_dir/answer" catalog "$request")
  [ "$status" = 200 ] && grep -q '"complete":true' "$work_dir/answer"
}

step "an answer with its snapshot and coverage"
attempt=0
wait_for "a complete answer" gets_complete_answer
head -c 400 "$work_dir/answer"
printf ' ...\nHTTP %s, %s\n' "$status" \
  "$(sed -E 's/^.*("snapshot":[0-9]+,"coverage":[0-9.]+).*$/\1/' "$work_dir/answer")"
expect_match "$work_dir/answer" '"snapshot":[1-9]' "the answer"
expect_match "$work_dir/answer" '"coverage":1,' "the answer"

step "why it got this answer"
bin/banksailctl explain --node "$operator_1_addr" "demo-2-$attempt" >"$work_dir/explanation"
head -n 20 "$work_dir/explanation"
expect_match "$work_dir/explanation" 'complete' "the explanation"

# runs_write_request sends the write request to node 1 and succeeds if it was run, which
# requires that the nodes have discovered each other. A refused request was run nowhere,
# so the same request ID may be sent again.
runs_write_request() {
  status=$(query_at "$caller_1_addr" "$work_dir/once" member-ledger "$write_request")
  [ "$status" = 200 ]
}

step "a request that must not be repeated runs once, also when another node is asked"
write_request='{"request_id":"demo-once","class":"normal","repeatable":false,"body":{"enter":"order 7"}}'
wait_for "the first answer" runs_write_request
echo "node 1: HTTP $status"
status=$(query_at "$caller_2_addr" "$work_dir/again" member-ledger "$write_request")
cat "$work_dir/again"
printf '\nnode 2: HTTP %s\n' "$status"
[ "$status" = 409 ] || fail "the status is $status"
expect_match "$work_dir/again" '"reason":"held_elsewhere"' "the refusal"

step "a refusal that names the faulty field"
status=$(query "$work_dir/fault" catalog '{"request_id":"demo-3","class":"normal","repeatable":true,"deadline_ms":-5,"body":{}}')
cat "$work_dir/fault"
printf '\nHTTP %s\n' "$status"
[ "$status" = 400 ] || fail "the status is $status"
expect_match "$work_dir/fault" '"field":"deadline_ms"' "the refusal"
expect_match "$work_dir/fault" '"execution":"not_run"' "the refusal"

step "stopping"
stop_processes "$node_1_pid" "$node_2_pid"
echo "both nodes stopped with exit code 0"
stop_processes "${pids[@]:0:3}"
echo "the stand-ins stopped with exit code 0"
pids=()
echo "demo: every step showed what it should"
