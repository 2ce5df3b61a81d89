#!/usr/bin/env bash
# Plays every day of deploy/days on the given sites and prints one row each.
# Usage: FLEETBENCH=path bench/days.sh SITE...
set -euo pipefail
: "${FLEETBENCH:?must name the bench}"
jobs=${JOBS:-4}
here=$(cd "$(dirname "$0")/.." && pwd)
cd "$here"
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
export FLEETBENCH output

play() {
  local site=$1 day=$2 name
  name=$(basename "$site" .toml)-$(basename "$day" .toml)
  "$FLEETBENCH" run "$site" "$day" --jobs 1 --why "own day $(basename "$day" .toml)" >"$output/$name" 2>&1 || true
  printf '%-16s ' "$(basename "$site" .toml)"
  grep -A1 '^day ' "$output/$name" | tail -1 || echo "$(basename "$day" .toml): not played"
  # Lines that name a rule in capitals are broken rules.
  grep -E '^ *(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|CONFIG|ROUTE|DRAIN|LOST|RECOVER|Fault|FAULT)' "$output/$name" || true
}
export -f play

for site in "$@"; do
  printf '%s\n' deploy/days/*.toml | xargs -P "$jobs" -I{} bash -c 'play "$0" "$1"' "$site" {}
done
