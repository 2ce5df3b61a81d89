#!/usr/bin/env bash
# Runs every day in deploy/days on each of the given sites and prints one row per run,
# followed by the rule violations in it.
# Usage: FLEETBENCH=path bench/days.sh SITE...
# Environment: FLEETBENCH is the path of the benchmark program; JOBS limits the runs in
# parallel.
set -euo pipefail
: "${FLEETBENCH:?must name the bench}"
jobs=${JOBS:-4}
repo_dir=$(cd "$(dirname "$0")/.." && pwd)
cd "$repo_dir"
output_dir=$(mktemp -d)
trap 'rm -rf "$output_dir"' EXIT
export FLEETBENCH output_dir

# run_day SITE DAY runs one day and prints its row.
run_day() {
  local site=$1 day=$2 name
  name=$(basename "$site" .toml)-$(basename "$day" .toml)
  "$FLEETBENCH" run "$site" "$day" --jobs 1 --why "own day $(basename "$day" .toml)" >"$output_dir/$name" 2>&1 || true
  printf '%-16s ' "$(basename "$site" .toml)"
  grep -A1 '^day ' "$output_dir/$name" | tail -1 || echo "$(basename "$day" .toml): not played"
  # A line that starts with one of these words reports a rule violation.
  grep -E '^ *(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|CONFIG|ROUTE|DRAIN|LOST|RECOVER|Fault|FAULT)' "$output_dir/$name" || true
}
export -f run_day

for site in "$@"; do
  printf '%s\n' deploy/days/*.toml | xargs -P "$jobs" -I{} bash -c 'run_day "$0" "$1"' "$site" {}
done
