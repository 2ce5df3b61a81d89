#!/usr/bin/env bash
# Scores the deployments that guard against regressions, one after the other, and prints
# each score with its gate. By default these are the largest deployment and the one whose
# workload has shifted.
# Usage: FLEETBENCH=path bench/regression.sh FOLDER [SITE...]
# FOLDER holds the users' deployments; SITE is a path relative to it, without .toml.
# Environment: FLEETBENCH is the path of the benchmark program; JOBS limits the runs in
# parallel; WHY is the reason recorded with the score.
set -euo pipefail
: "${FLEETBENCH:?must name the bench}"
folder=$1
shift
sites=("$@")
if [ ${#sites[@]} -eq 0 ]; then
  sites=(shifted/bmlc-search-now-grown large/bmlc-search-large)
fi
cd "$(dirname "$0")/.."
output=$(mktemp)
trap 'rm -f "$output"' EXIT
for site in "${sites[@]}"; do
  "$FLEETBENCH" score "$folder/$site.toml" --jobs "${JOBS:-4}" --why "regression: ${WHY:-no reason given}" >"$output" 2>&1 || true
  printf '%s: ' "$site"
  grep -E '^score on' "$output" || echo 'no score'
  grep -E 'BROKEN|GATE' "$output" || true
done
