#!/usr/bin/env bash
# What the scripts share that start the stand-ins and nodes on loopback. They
# source it with run_name set, from the root of the repository. On the way out
# it stops every process that start started, by its process ID.

readonly LOOPBACK=127.0.0.1
readonly BACKENDS=18        # servers of the profile "small"
readonly PORT_COUNT=30      # ports taken: back ends, platform, nodes
readonly FIRST_PORT=20000
readonly LAST_PORT=31000    # below the system's ephemeral ports
readonly WAIT_TRIES=150     # of WAIT_PAUSE seconds each
readonly WAIT_PAUSE=0.1

work_dir=$(mktemp -d)
pids=()

cleanup() {
  local status=$?
  local pid
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
    kill -CONT "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  if [ "$status" -ne 0 ]; then
    echo "$run_name: FAILED; the ends of the logs follow" >&2
    tail -n 5 "$work_dir"/*.log >&2 || true
  fi
  rm -rf "$work_dir"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
  echo "$run_name: $*" >&2
  exit 1
}

# port_open succeeds when something listens on the port.
port_open() {
  (exec 3<>"/dev/tcp/$LOOPBACK/$1") 2>/dev/null
}

# find_free_ports prints a port that starts a run of PORT_COUNT free ones.
find_free_ports() {
  local try base port free
  for try in $(seq 50); do
    base=$((FIRST_PORT + (RANDOM * 32768 + RANDOM) % (LAST_PORT - FIRST_PORT - PORT_COUNT)))
    free=yes
    for port in $(seq "$base" $((base + PORT_COUNT - 1))); do
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

# start_process NAME COMMAND... runs a process in the background; started_pid is its process ID.
start_process() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.log" 2>&1 &
  started_pid=$!
  pids+=("$started_pid")
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

responds() { curl -fsS -m 2 -o "$work_dir/probe" "$1" 2>/dev/null; }

# serves_revision succeeds when the node at the operator address has the revision in force.
serves_revision() {
  responds "http://$1/readyz" && grep -q "revision $2\$" "$work_dir/probe"
}

# query_at NODE FILE SERVICE BODY posts a query to a node's caller address and
# prints the HTTP status.
query_at() {
  curl -sS -m 10 -o "$2" -D "$2.header" -w '%{http_code}' \
    -H 'Content-Type: application/json' -d "$4" \
    "http://$1/v1/services/$3/queries"
}

# expect_match FILE PATTERN WHAT demands that a file holds a pattern.
expect_match() {
  grep -Eq "$2" "$1" || fail "$3 is not as it should be: $(head -c 600 "$1")"
}

step() { printf '\n== %s\n' "$*"; }

# stop_processes PROCESS-ID... stops processes and demands exit code 0 of each.
stop_processes() {
  local pid code
  for pid in "$@"; do
    kill -TERM "$pid"
  done
  for pid in "$@"; do
    code=0
    wait "$pid" || code=$?
    [ "$code" -eq 0 ] || fail "process $pid ended with exit code $code"
  done
}

# untrack_process PROCESS-ID drops a process that has ended.
untrack_process() {
  local kept=() pid
  for pid in "${pids[@]}"; do
    [ "$pid" = "$1" ] || kept+=("$pid")
  done
  pids=("${kept[@]}")
}

# require_programs demands what make build builds.
require_programs() {
  local program
  for program in banksaild banksailctl banksail-lab; do
    [ -x "bin/$program" ] || fail "bin/$program is missing; run make build"
  done
}
