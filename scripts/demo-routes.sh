#!/usr/bin/env bash
# Starts a simulated platform (store and servers) and one node as separate
# processes on loopback, queries the node's directory and routes, and changes the
# configuration. Exits with 0 if every step gave the expected result. Requires the
# programs in bin/ (make build) and curl.
set -euo pipefail
cd "$(dirname "$0")/.."

run_name=demo-routes
# shellcheck source=scripts/lib.sh
source scripts/lib.sh

require_programs
[ -x bin/banksail-front ] || fail "bin/banksail-front is missing; run make build"

base=$(find_free_ports) || fail "no run of $PORT_COUNT free ports found"
store_addr=$LOOPBACK:$base
caller_addr=$LOOPBACK:$((base + 20))
ready_addr=$LOOPBACK:$((base + 21))
directory_addr=$LOOPBACK:$((base + 22))
peer_addr=$LOOPBACK:$((base + 23))

step "starting the platform's store, two servers of each of four services, and a node"
start_process platform bin/banksail-lab platform --address "$store_addr" --base-port $((base + 1)) \
  --services shard-1=2,shard-2=2,shard-3=2,orders=2
platform_pid=$started_pid
cat >"$work_dir/node.toml" <<END
node_name = "front-1"
zone = "zone-a"
region = "here"
ip = "$LOOPBACK"
internal_ports = [$((base + 24)), $((base + 24))]
bootstrap = true
seeds = []
[zones]
zone-a = "here"
zone-b = "here"
[bind_addrs]
front = "$caller_addr"
ready = "$ready_addr"
directory = "$directory_addr"
control = "$peer_addr"
[bounds]
drain_ms = 3000
config_apply_ms = 3000
grace_s = 6
retry_budget_ratio = 0.2
budget_extra = 20
budget_window_s = 10
ttl_max_s = 5
[platform]
address = "$store_addr"
reads_per_s = 2000
min_ttl_ms = 1000
END
export BANKSAIL_BOOT="$work_dir/node.toml"
bin/banksail-front check
start_process node bin/banksail-front serve
node_pid=$started_pid

# write_config VERSION SHARDS ROUTES writes the operator's configuration to the store:
# SHARDS is the JSON list of the search route's shards, ROUTES the JSON text of any
# further routes, each preceded by a comma.
write_config() {
  local value
  cat >"$work_dir/config.json" <<END
{"version": $1,
 "services": [
  {"name": "shard-1", "health_path": "/health", "max_connections": 20},
  {"name": "shard-2", "health_path": "/health", "max_connections": 20},
  {"name": "shard-3", "health_path": "/health", "max_connections": 20},
  {"name": "orders", "health_path": "/health", "max_connections": 20}],
 "routes": [
  {"name": "search", "host": "search.example", "path_prefix": "/search/", "type": "idempotent", "timeout_ms": 1000,
   "target_latency_ms": 100, "max_attempts": 2, "priority": 1, "gather": $2, "top_k": 5, "min_coverage": 0.6}$3],
 "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
END
  value=$(base64 -w0 "$work_dir/config.json")
  curl -fsS -m 5 "http://$store_addr/banksail/kv-txn" -H 'Content-Type: application/json' \
    -d "{\"expected_revision\":[],\"put\":[{\"private_key\":\"op/config\",\"value\":\"$value\"}],\"remove\":[]}"
  echo
}

# send_request PATH [CURL-FLAG...] sends a request to the node's caller address, prints
# the HTTP status, and saves body and header as "answer" and "header" in $work_dir.
send_request() {
  local path=$1
  shift
  local attempt=demo-$RANDOM$RANDOM
  curl -sS -m 5 -o "$work_dir/answer" -D "$work_dir/header" -w '%{http_code}' "http://$caller_addr$path" \
    -H 'Host: search.example' -H "X-Banksail-Attempt-Id: $attempt" -H 'X-Banksail-Timeout-Ms: 1000' "$@"
}

# response_header NAME prints the value of a header of the last response.
response_header() { sed -n "s/^$1: //Ip" "$work_dir/header" | tr -d '\r'; }

# has_status STATUS PATH succeeds if a request for PATH gets this HTTP status.
has_status() { [ "$(send_request "$2")" = "$1" ]; }

# has_part_count COUNT succeeds if a search response is merged from COUNT parts and none
# is missing.
has_part_count() {
  [ "$(send_request /search/open%20orders)" = 200 ] && [ "$(response_header X-Banksail-Missing-Parts)" = 0 ] &&
    [ "$(response_header X-Banksail-Part-Stamps | tr ',' '\n' | wc -l)" = "$1" ]
}

step "a refusal: no configuration is known yet"
wait_for "the node" port_open $((base + 20))
status=$(send_request /search/open%20orders)
printf 'HTTP %s, Retry-After: %s\n' "$status" "$(response_header Retry-After)"
[ "$status" = 503 ] || fail "the refusal's status is $status"

step "the operator writes a configuration with one route over two shards"
write_config 1 '["shard-1", "shard-2"]' ''
wait_for "an answer of two parts" has_part_count 2
echo "HTTP 200, parts: $(response_header X-Banksail-Part-Stamps)"
echo "$(wc -c <"$work_dir/answer") bytes, the five greatest records; missing: $(response_header X-Banksail-Missing-Parts)"
[ "$(wc -c <"$work_dir/answer")" = 80 ] || fail "the answer is not five records of 16 bytes"

step "where callers connect, and whether the node is ready"
curl -fsS -m 5 "http://$directory_addr/banksail/resolve?name=search.example&region=here&zone=zone-a" | tee "$work_dir/resolved"
echo
expect_match "$work_dir/resolved" "$caller_addr" "the directory's answer"
wait_for "readiness" responds "http://$ready_addr/banksail/readiness"

step "the next version: the index is cut into three shards, and orders are entered"
write_config 4 '["shard-1", "shard-2", "shard-3"]' ',
  {"name": "enter", "host": "search.example", "path_prefix": "/orders/", "type": "non_idempotent", "timeout_ms": 1000,
   "target_latency_ms": 200, "max_attempts": 2, "priority": 2, "backends": [{"service": "orders", "weight": 1}]}'
wait_for "an answer of three parts" has_part_count 3
echo "HTTP 200, parts: $(response_header X-Banksail-Part-Stamps)"
status=$(send_request /orders/7 -d 'order 7')
echo "an order, not to be repeated: HTTP $status, run by $(response_header X-Banksail-Response-Stamp)"
[ "$status" = 200 ] || fail "the order's status is $status"

step "an older version changes nothing, and a route that is not there is refused"
write_config 2 '["shard-1"]' '' >/dev/null
sleep 2 # longer than a new version takes to reach the node
has_part_count 3 || fail "an older version is in force"
wait_for "the refusal" has_status 404 /nothing/
echo "HTTP 404"

step "requests at fault are refused, and nothing is sent"
status=$(send_request /orders/8 -d x -H 'Transfer-Encoding: chunked' -H 'Content-Length: 1')
echo "a length and chunks: HTTP $status"
[ "$status" = 400 ] || fail "the status is $status"

step "a planned stop"
stop_processes "$node_pid"
echo "the node stopped with exit code 0"
stop_processes "$platform_pid"
pids=()
echo "demo-routes: every step showed what it should"
