#!/usr/bin/env bash
# The faults that scripts/fault-run.sh injects. It sources this file and defines the
# process IDs, addresses and journals used here. Signals are sent by process ID and only
# to processes that the run has started.

# ---- Node and operator faults: fault_NAME

fault_kill() {
  local node
  pick_random $NODES
  node=$picked
  log_progress "kill node-$node"
  kill -KILL "${node_pids[$node]}"
  { wait "${node_pids[$node]}" || true; } 2>/dev/null
  record_event node_killed "node-$node"
  untrack_process "${node_pids[$node]}"
  sleep "$pause"
  start_node "$node"
  log_progress "  node-$node runs again"
}

fault_kill_two() {
  local node survivor
  pick_random $NODES
  survivor=$picked
  log_progress "kill all nodes but node-$survivor"
  for node in $(seq $NODES); do
    [ "$node" != "$survivor" ] || continue
    kill -KILL "${node_pids[$node]}"
    { wait "${node_pids[$node]}" || true; } 2>/dev/null
    record_event node_killed "node-$node"
    untrack_process "${node_pids[$node]}"
  done
  sleep "$pause"
  for node in $(seq $NODES); do
    [ "$node" = "$survivor" ] || start_node "$node"
  done
  log_progress "  $NODES nodes run again"
}

fault_freeze() {
  pick_random $NODES
  log_progress "freeze node-$picked for $FREEZE s"
  record_event node_frozen "node-$picked"
  kill -STOP "${node_pids[$picked]}"
  sleep "$FREEZE"
  kill -CONT "${node_pids[$picked]}"
  record_event node_thawed "node-$picked"
}

fault_planned_stop() {
  local node code=0
  pick_random $NODES
  node=$picked
  log_progress "planned stop of node-$node"
  # Slow servers keep requests in flight until the node is stopped.
  set_server_faults 'catalog-*' straggle_factor=20
  sleep 0.5
  record_event node_stop_asked "node-$node"
  kill -TERM "${node_pids[$node]}"
  wait "${node_pids[$node]}" || code=$?
  record_event node_ended "node-$node"
  untrack_process "${node_pids[$node]}"
  set_server_faults 'catalog-*' straggle_factor=0
  [ "$code" -eq 0 ] || fail "the planned stop of node-$node ended with exit code $code"
  start_node "$node"
  log_progress "  node-$node runs again"
}

fault_two_operators() {
  local first_pid second_pid one other
  pick_random $NODES
  one=$picked
  other=$((one % NODES + 1))
  log_progress "two operators confirm at once, at node-$one and node-$other"
  if ! make_plan "$one" 510 "$work_dir/plan-$round-a" || ! make_plan "$other" 520 "$work_dir/plan-$round-b"; then
    log_progress "  no plan was made"
    return
  fi
  confirm_plan "$one" "$work_dir/plan-$round-a" &
  first_pid=$!
  confirm_plan "$other" "$work_dir/plan-$round-b" &
  second_pid=$!
  wait "$first_pid" "$second_pid"
}

fault_lost_reply() {
  pick_random $NODES
  log_progress "the store loses a reply to a confirmation at node-$picked"
  if ! make_plan "$picked" 530 "$work_dir/plan-$round"; then
    log_progress "  no plan was made"
    return
  fi
  set_faults --address "$store_addr" lose_replies=1
  confirm_plan "$picked" "$work_dir/plan-$round"
  set_faults --address "$store_addr" lose_replies=0
}

# ---- Faults of simulated services: set_NAME, clear_NAME

set_straggle() { pick_random 8; group=$((picked - 1)) && set_server_faults "catalog-g0$group-*" straggle_factor=50; }
clear_straggle() { set_server_faults "catalog-g0$group-*" straggle_factor=0; }
set_shed() { set_server_faults 'catalog-*-r00' shed_share=0.5; }
clear_shed() { set_server_faults 'catalog-*-r00' shed_share=0; }
set_close() {
  set_server_faults "$LEDGER" close_before_share=0.2 close_after_share=0.2
  set_server_faults 'catalog-*' close_before_share=0.05 close_after_share=0.05
}
clear_close() {
  set_server_faults "$LEDGER" close_before_share=0 close_after_share=0
  set_server_faults 'catalog-*' close_before_share=0 close_after_share=0
}
set_wrong_replies() {
  set_server_faults 'catalog-*' cross_share=0.1 truncate_share=0.05 wrong_snapshot_share=0.05
  set_server_faults "$LEDGER" cross_share=0.2 truncate_share=0.1
}
clear_wrong_replies() {
  set_server_faults 'catalog-*' cross_share=0 truncate_share=0 wrong_snapshot_share=0
  set_server_faults "$LEDGER" cross_share=0 truncate_share=0
}
set_machine_lag() { set_faults --address "$machines_addr" lag_ms=5000 keep_gone=true; }
clear_machine_lag() { set_faults --address "$machines_addr" lag_ms=0 keep_gone=false; }
set_outage() { set_faults --address "$store_addr" down=true; }
clear_outage() { set_faults --address "$store_addr" down=false; }
set_stale_store() { set_faults --address "$store_addr" stale_revisions=2 delay_ms=200; }
clear_stale_store() { set_faults --address "$store_addr" stale_revisions=0 delay_ms=0; }
# When it thaws, a frozen server runs the requests that arrived meanwhile, even if their
# callers have disconnected.
set_frozen_server() {
  pick_random 2
  replica=$((picked - 1))
  pick_random 7
  group=$((picked - 1))
  set_server_faults "catalog-g0$group-r0$replica" freeze=true
  set_server_faults "$LEDGER-r0$replica" freeze=true
}
clear_frozen_server() {
  set_server_faults "catalog-g0$group-r0$replica" freeze=false
  set_server_faults "$LEDGER-r0$replica" freeze=false
}
snapshot=1
set_snapshot() {
  set_server_faults 'catalog-*-r00' "snapshots=[$snapshot,$((snapshot + 1))]"
  sleep 0.2
  set_server_faults 'catalog-*-r01' "snapshots=[$snapshot,$((snapshot + 1))]"
}
clear_snapshot() {
  snapshot=$((snapshot + 1))
  set_server_faults 'catalog-*' "snapshots=[$snapshot]"
}

# ---- Drain and replacement of a server

begin_drain() {
  log_progress "drain $DRAINED"
  set_server_faults "$DRAINED" draining=true
  record_event server_leaving "$DRAINED"
}

replace_drained() {
  log_progress "replace $DRAINED"
  bin/banksail-lab collect "${profile_flags[@]}" --only "$DRAINED" --out "$work_dir/ran-drained.jsonl"
  kill -KILL "$drained_pid"
  { wait "$drained_pid" || true; } 2>/dev/null
  untrack_process "$drained_pid"
  record_event server_returned "$DRAINED"
  start_backends drained "$DRAINED"
  wait_for "$DRAINED" drained_server_up
  set_server_faults "$DRAINED" "snapshots=[$snapshot]"
}
drained_server_up() { set_server_faults "$DRAINED" 2>/dev/null; }
