#!/usr/bin/env bash
# Plays days of the given sites with each mechanism switched off in turn, and prints
# what each is worth: the mean worth with all mechanisms, without the one, and the
# paired difference with its 95% interval over sites, days and seeds.
# Usage: FLEETBENCH=path bench/ablation.sh SITE...
# DAYS, SEEDS and MECHANISMS choose what is played; JOBS how much at a time. The days
# are played in copies of the repository, whose journal entries are kept in its own.
set -euo pipefail
: "${FLEETBENCH:?must name the bench}"
days=${DAYS:-trouble-1 scale-2}
seeds=${SEEDS:-21 22 23 24 25}
jobs=${JOBS:-4}
here=$(cd "$(dirname "$0")/.." && pwd)
cd "$here"
mechanisms=${MECHANISMS:-$(sed -nE '/^var names/,/^}/s/^\t(".*)$/\1/p' mechanism/mechanism.go | tr -d '",')}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
export FLEETBENCH folder

# copy NAME: a copy of the repository in which nodes run without that mechanism.
copy() {
  local to=$folder/$1
  mkdir -p "$to"
  git ls-files -z --cached --others --exclude-standard -- ':!journal' | xargs -0 cp --parents -t "$to"
  git -C "$to" init -q
  if [ "$1" != all ]; then
    sed -i "s/^run = \"target\/banksail-front serve/& -without $1/" "$to/deploy/system.toml"
  fi
}

play() {
  local name=$1 site=$2 day=$3 seed=$4
  cd "$folder/$name"
  "$FLEETBENCH" run "$site" "$day" --seed "$seed" --jobs 1 --why "ablation: without $name" >"$folder/$name.$day.$seed.$(basename "$site" .toml)" 2>&1 || true
}
export -f play

for name in all $mechanisms; do
  copy "$name"
  (cd "$folder/$name" && "$FLEETBENCH" build >/dev/null 2>&1)
  for site in "$@"; do
    site=$(realpath "$site")
    for day in $days; do
      for seed in $seeds; do echo "$name $site $day $seed"; done
    done
  done | xargs -P "$jobs" -L1 bash -c 'play "$@"' play
  cp -rn "$folder/$name/journal/." "$here/journal/"
  # One line a play: site.day.seed, worth, and whether a rule was broken.
  for output in "$folder/$name".*; do
    [ -f "$output" ] || continue
    worth=$(sed -nE 's/^worth (-?[0-9.]+) = .*/\1/p' "$output")
    broken=$(grep -cE '^ *(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|CONFIG|ROUTE|DRAIN|LOST|RECOVER|Fault)' "$output" || true)
    [ -n "$worth" ] && echo "${output#"$folder/$name".} $worth $broken"
  done | sort >"$folder/$name/worths"
  if [ "$name" = all ]; then
    printf '%-18s %6s %8s %8s %s\n' mechanism pairs with without 'difference by site (95% interval)'
    continue
  fi
  join "$folder/all/worths" "$folder/$name/worths" | awk -v name="$name" '
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
