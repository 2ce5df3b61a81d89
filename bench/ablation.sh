#!/usr/bin/env bash
# Ablation study: runs days of the given sites with each mechanism disabled in turn and
# prints for each mechanism the mean worth of a run with all mechanisms, the mean worth
# without this one, and per site the paired difference over days and seeds with the half
# width of its 95% interval.
# Usage: FLEETBENCH=path bench/ablation.sh SITE...
# Environment: FLEETBENCH is the path of the benchmark program; DAYS, SEEDS and MECHANISMS
# select the runs; JOBS limits the runs in parallel. Runs use copies of the repository;
# their journal entries are copied back to journal/.
set -euo pipefail
: "${FLEETBENCH:?must name the bench}"
days=${DAYS:-trouble-1 scale-2}
seeds=${SEEDS:-21 22 23 24 25}
jobs=${JOBS:-4}
repo_dir=$(cd "$(dirname "$0")/.." && pwd)
cd "$repo_dir"
mechanisms=${MECHANISMS:-$(sed -nE '/^var names/,/^}/s/^\t(".*)$/\1/p' mechanism/mechanism.go | tr -d '",')}
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT
export FLEETBENCH work_dir

# copy_repository NAME makes a copy of the repository in which nodes run without the
# mechanism NAME, or with all mechanisms if NAME is "all".
copy_repository() {
  local to=$work_dir/$1
  mkdir -p "$to"
  git ls-files -z --cached --others --exclude-standard -- ':!journal' | xargs -0 cp --parents -t "$to"
  git -C "$to" init -q
  if [ "$1" != all ]; then
    sed -i "s/^run = \"target\/banksail-front serve/& -without $1/" "$to/deploy/system.toml"
  fi
}

# run_day NAME SITE DAY SEED runs one day in the copy NAME and saves the output.
run_day() {
  local name=$1 site=$2 day=$3 seed=$4
  cd "$work_dir/$name"
  "$FLEETBENCH" run "$site" "$day" --seed "$seed" --jobs 1 --why "ablation: without $name" >"$work_dir/$name.$day.$seed.$(basename "$site" .toml)" 2>&1 || true
}
export -f run_day

for name in all $mechanisms; do
  copy_repository "$name"
  (cd "$work_dir/$name" && "$FLEETBENCH" build >/dev/null 2>&1)
  for site in "$@"; do
    site=$(realpath "$site")
    for day in $days; do
      for seed in $seeds; do echo "$name $site $day $seed"; done
    done
  done | xargs -P "$jobs" -L1 bash -c 'run_day "$@"' run_day
  cp -rn "$work_dir/$name/journal/." "$repo_dir/journal/"
  # One line per run: day.seed.site, worth, number of rule violations.
  for output in "$work_dir/$name".*; do
    [ -f "$output" ] || continue
    worth=$(sed -nE 's/^worth (-?[0-9.]+) = .*/\1/p' "$output")
    broken=$(grep -cE '^ *(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|CONFIG|ROUTE|DRAIN|LOST|RECOVER|Fault)' "$output" || true)
    [ -n "$worth" ] && echo "${output#"$work_dir/$name".} $worth $broken"
  done | sort >"$work_dir/$name/worths"
  if [ "$name" = all ]; then
    printf '%-18s %6s %8s %8s %s\n' mechanism pairs with without 'difference by site (95% interval)'
    continue
  fi
  join "$work_dir/all/worths" "$work_dir/$name/worths" | awk -v name="$name" '
    { split($1, key, "."); site = key[3]; d = $2 - $4; n++; with += $2; without += $4; broken += $5
      count[site]++; sum[site] += d; square[site] += d * d }
    END {
      if (!n) { printf "%-18s not played\n", name; exit }
      printf "%-18s %6d %8.3f %8.3f ", name, n, with / n, without / n
      for (site in count) {
        mean = sum[site] / count[site]
        spread = count[site] > 1 ? sqrt((square[site] - count[site] * mean * mean) / (count[site] - 1)) : 0
        if (spread != spread) spread = 0
        printf " %s %+.3f (%.3f)", site, mean, 1.96 * spread / sqrt(count[site])
      }
      printf "%s\n", broken ? "  rules broken: " broken : ""
    }'
done
