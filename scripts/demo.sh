#!/usr/bin/env bash
# Starts the stand-ins and two nodes as separate processes on loopback, sends
# queries, changes the configuration, and stops all. Exit code 0 means that
# every step showed what it should. Needs the programs in bin/ (make build) and curl.
set -euo pipefail
cd "$(dirname "$0")/.."

run_name=demo
# shellcheck source=scripts/lib.sh
source scripts/lib.sh

# query FILE SERVICE BODY asks node 1.
query() { query_at "$caller_1" "$@"; }

need_programs

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

step "stopping"
stop_all "$process_1" "$process_2"
echo "both nodes stopped with exit code 0"
stop_all "${processes[@]:0:3}"
echo "the stand-ins stopped with exit code 0"
processes=()
echo "demo: every step showed what it should"
