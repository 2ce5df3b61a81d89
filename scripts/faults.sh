#!/usr/bin/env bash
# The faults of scripts/fault-run.sh, which sources this file and provides the
# names of processes, addresses and journals. Only processes that the run itself
# started get signals, by their process ID.

# ---- Faults of processes

fault_kill() {
  local node
  draw $NODES
  node=$drawn
  tell "kill node-$node"
  kill -KILL "${process_of[$node]}"
  { wait "${process_of[$node]}" || true; } 2>/dev/null
  event node_killed "node-$node"
  forget "${process_of[$node]}"
  sleep "$pause"
  start_node "$node"
  tell "  node-$node runs again"
}

fault_kill_two() {
  local node survivor
  draw $NODES
  survivor=$drawn
  tell "kill all nodes but node-$survivor"
  for node in $(seq $NODES); do
    [ "$node" != "$survivor" ] || continue
    kill -KILL "${process_of[$node]}"
    { wait "${process_of[$node]}" || true; } 2>/dev/null
    event node_killed "node-$node"
    forget "${process_of[$node]}"
  done
  sleep "$pause"
  for node in $(seq $NODES); do
    [ "$node" = "$survivor" ] || start_node "$node"
  done
  tell "  $NODES nodes run again"
}

fault_freeze() {
  draw $NODES
  tell "freeze node-$drawn for $FREEZE s"
  event node_frozen "node-$drawn"
  kill -STOP "${process_of[$drawn]}"
  sleep "$FREEZE"
  kill -CONT "${process_of[$drawn]}"
  event node_thawed "node-$drawn"
}

fault_planned_stop() {
  local node code=0
  draw $NODES
  node=$drawn
  tell "planned stop of node-$node"
  # Slow servers see to it that requests are in flight.
  fault_at 'catalog-*' straggle_factor=20
  sleep 0.5
  event node_stop_asked "node-$node"
  kill -TERM "${process_of[$node]}"
  wait "${process_of[$node]}" || code=$?
  event node_ended "node-$node"
  forget "${process_of[$node]}"
  fault_at 'catalog-*' straggle_factor=0
  [ "$code" -eq 0 ] || fail "the planned stop of node-$node ended with exit code $code"
  start_node "$node"
  tell "  node-$node runs again"
}

fault_two_operators() {
  local first second one other
  draw $NODES
  one=$drawn
  other=$((one % NODES + 1))
  tell "two operators confirm at once, at node-$one and node-$other"
  if ! make_plan "$one" 510 "$work/plan-$round-a" || ! make_plan "$other" 520 "$work/plan-$round-b"; then
    tell "  no plan was made"
    return
  fi
  confirm_plan "$one" "$work/plan-$round-a" &
  first=$!
  confirm_plan "$other" "$work/plan-$round-b" &
  second=$!
  wait "$first" "$second"
}

fault_lost_reply() {
  draw $NODES
  tell "the store loses a reply to a confirmation at node-$drawn"
  if ! make_plan "$drawn" 530 "$work/plan-$round"; then
    tell "  no plan was made"
    return
  fi
  fault --address "$store" lose_replies=1
  confirm_plan "$drawn" "$work/plan-$round"
  fault --address "$store" lose_replies=0
}

# ---- Faults of stand-ins: set NAME, clear NAME

set_straggle() { draw 8; group=$((drawn - 1)) && fault_at "catalog-g0$group-*" straggle_factor=50; }
clear_straggle() { fault_at "catalog-g0$group-*" straggle_factor=0; }
set_shed() { fault_at 'catalog-*-r00' shed_share=0.5; }
clear_shed() { fault_at 'catalog-*-r00' shed_share=0; }
set_close() {
  fault_at "$LEDGER" close_before_share=0.2 close_after_share=0.2
  fault_at 'catalog-*' close_before_share=0.05 close_after_share=0.05
}
clear_close() {
  fault_at "$LEDGER" close_before_share=0 close_after_share=0
  fault_at 'catalog-*' close_before_share=0 close_after_share=0
}
set_wrong_replies() {
  fault_at 'catalog-*' cross_share=0.1 truncate_share=0.05 wrong_snapshot_share=0.05
  fault_at "$LEDGER" cross_share=0.2 truncate_share=0.1
}
clear_wrong_replies() {
  fault_at 'catalog-*' cross_share=0 truncate_share=0 wrong_snapshot_share=0
  fault_at "$LEDGER" cross_share=0 truncate_share=0
}
set_machine_lag() { fault --address "$machines" lag_ms=5000 keep_gone=true; }
clear_machine_lag() { fault --address "$machines" lag_ms=0 keep_gone=false; }
set_outage() { fault --address "$store" down=true; }
clear_outage() { fault --address "$store" down=false; }
set_stale_store() { fault --address "$store" stale_revisions=2 delay_ms=200; }
clear_stale_store() { fault --address "$store" stale_revisions=0 delay_ms=0; }
# A frozen server runs what arrived once it thaws, also when its caller has gone.
set_frozen_server() {
  draw 2
  replica=$((drawn - 1))
  draw 7
  group=$((drawn - 1))
  fault_at "catalog-g0$group-r0$replica" freeze=true
  fault_at "$LEDGER-r0$replica" freeze=true
}
clear_frozen_server() {
  fault_at "catalog-g0$group-r0$replica" freeze=false
  fault_at "$LEDGER-r0$replica" freeze=false
}
snapshot=1
set_snapshot() {
  fault_at 'catalog-*-r00' "snapshots=[$snapshot,$((snapshot + 1))]"
  sleep 0.2
  fault_at 'catalog-*-r01' "snapshots=[$snapshot,$((snapshot + 1))]"
}
clear_snapshot() {
  snapshot=$((snapshot + 1))
  fault_at 'catalog-*' "snapshots=[$snapshot]"
}

# ---- A server that drains and is replaced

begin_drain() {
  tell "drain $DRAINED"
  fault_at "$DRAINED" draining=true
  event server_leaving "$DRAINED"
}

replace_drained() {
  tell "replace $DRAINED"
  bin/banksail-lab collect "${profile[@]}" --only "$DRAINED" --out "$work/ran-drained.jsonl"
  kill -KILL "$drained_process"
  { wait "$drained_process" || true; } 2>/dev/null
  forget "$drained_process"
  event server_returned "$DRAINED"
  start_backends drained "$DRAINED"
  wait_for "$DRAINED" server_up
  fault_at "$DRAINED" "snapshots=[$snapshot]"
}
server_up() { fault_at "$DRAINED" 2>/dev/null; }
