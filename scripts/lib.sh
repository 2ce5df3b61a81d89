#!/usr/bin/env bash
# Functions shared by the scripts that start simulated services and nodes on loopback.
# Such a script sets run_name and sources this file from the root of the repository. On
# exit every process started by start_process is stopped, by its process ID.

readonly LOOPBACK=127.0.0.1
readonly BACKENDS=18        # servers in the profile "small"
readonly PORT_COUNT=30      # ports used by back ends, platform and nodes
readonly FIRST_PORT=20000
readonly LAST_PORT=31000    # below the ephemeral port range
readonly WAIT_TRIES=150     # polls, WAIT_PAUSE seconds apart
readonly WAIT_PAUSE=0.1

work_dir=$(mktemp -d)
pids=()

# cleanup stops all tracked processes, prints the ends of their logs if the script failed,
# and removes the work directory.
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

# port_open PORT succeeds if a process listens on the port.
port_open() {
  (exec 3<>"/dev/tcp/$LOOPBACK/$1") 2>/dev/null
}

# find_free_ports prints the first of PORT_COUNT consecutive free ports; it fails if it
# finds none in 50 random tries.
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

# start_process NAME COMMAND... runs a command in the background, logs to NAME.log and sets
# started_pid to its process ID.
start_process() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.log" 2>&1 &
  started_pid=$!
  pids+=("$started_pid")
}

# wait_for DESCRIPTION COMMAND... polls until the command succeeds and fails the script
# after WAIT_TRIES tries.
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

# responds URL succeeds if the URL answers without an HTTP error; the body goes to
# $work_dir/probe.
responds() { curl -fsS -m 2 -o "$work_dir/probe" "$1" 2>/dev/null; }

# serves_revision ADDRESS REVISION succeeds if the node with this operator address is ready
# and has the revision in force.
serves_revision() {
  responds "http://$1/readyz" && grep -q "revision $2\$" "$work_dir/probe"
}

# query_at ADDRESS FILE SERVICE BODY posts a query to a node's caller address, prints the
# HTTP status and saves the answer to FILE and its header to FILE.header.
query_at() {
  curl -sS -m 10 -o "$2" -D "$2.header" -w '%{http_code}' \
    -H 'Content-Type: application/json' -d "$4" \
    "http://$1/v1/services/$3/queries"
}

# expect_match FILE PATTERN DESCRIPTION fails the script unless FILE matches the extended
# regular expression PATTERN.
expect_match() {
  grep -Eq "$2" "$1" || fail "$3 is not as it should be: $(head -c 600 "$1")"
}

step() { printf '\n== %s\n' "$*"; }

# stop_processes PROCESS-ID... sends SIGTERM to the processes and fails the script unless
# each exits with 0.
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

# untrack_process PROCESS-ID removes a process that has ended from those that cleanup stops.
untrack_process() {
  local kept=() pid
  for pid in "${pids[@]}"; do
    [ "$pid" = "$1" ] || kept+=("$pid")
  done
  pids=("${kept[@]}")
}

# require_programs fails the script if a program that make build produces is missing.
require_programs() {
  local program
  for program in banksaild banksailctl banksail-lab; do
    [ -x "bin/$program" ] || fail "bin/$program is missing; run make build"
  done
}
