#!/usr/bin/env bash
# Derives variants of a site and searches random days of each for rule violations. The
# variants are: servers with few connections, shards with a single server, a route whose
# requests must not be repeated, all nodes' machines in one zone, machines of which only
# the first few are large, a limited request rate for cold servers, and zones in regions
# of their own.
# Usage: FLEETBENCH=path bench/variants.sh SITE [DAYS]
# The site's file is not modified. Environment: FLEETBENCH is the path of the benchmark
# program; JOBS limits the days run in parallel; VARIANTS selects the variants.
set -euo pipefail
: "${FLEETBENCH:?must name the bench}"
site=$1
days=${2:-10}
jobs=${JOBS:-4}
cd "$(dirname "$0")/.."
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT
cp "$(dirname "$site")/wire.json" "$work_dir/"

# write_variant NAME SED-EXPRESSION writes the site's file, edited by the sed expression,
# as deployment NAME.
write_variant() { sed -E "$2" "$site" >"$work_dir/$1.toml"; }

write_variant few-connections 's/conn_cap = [0-9]+/conn_cap = 6/g'
write_variant one-server '/copies = /s/servers = \[(\{[^}]*\})[^]]*\]/servers = [\1]/'
write_variant unsafe '/gather = /!s/(retries = 1, service)/kind = "unsafe", \1/'
first_zone=$(sed -nE 's/.*\{ name = "([^"]+)", region.*/\1/p' "$site" | head -1)
write_variant one-zone "s/(class = \"front\".*)zone = \"[^\"]+\"/\1zone = \"$first_zone\"/"
# The machines in the first line are large, all others small.
write_variant few-large 's/(class = "front", cpu_share = )[0-9.]+/\10.15/; 0,/class = "front"/s/(cpu_share = )0\.15/\10.8/'

# Cold servers handle at most 3 requests per second from all nodes together.
write_variant cold-rate 's/cold_s = ([0-9.]+),/cold_s = \1, cold_per_s = 3.0,/'
# The last two zones are moved to regions of their own, so routes have home regions.
last_zones=$(sed -nE 's/.*\{ name = "([^"]+)", region.*/\1/p' "$site" | tail -2 | paste -sd' ')
write_variant regions "s/(name = \"${last_zones% *}\", region = )\"[^\"]+\"/\1\"region-2\"/; s/(name = \"${last_zones#* }\", region = )\"[^\"]+\"/\1\"region-3\"/"

for name in ${VARIANTS:-few-connections one-server unsafe one-zone few-large cold-rate regions}; do
  "$FLEETBENCH" hunt "$work_dir/$name.toml" --days "$days" --jobs "$jobs" --why "own deployment $name" >"$work_dir/$name.txt" 2>&1 || true
  printf '%-16s ' "$name"
  grep -E 'with a rule broken' "$work_dir/$name.txt" || tail -1 "$work_dir/$name.txt"
  grep -E 'BROKEN|the first that is wrong' "$work_dir/$name.txt" | cut -c1-240 || true
  # The three days with the lowest worth, of those that were run.
  grep -E '^(hunt|mix|trouble|scale|quiet)' "$work_dir/$name.txt" | grep -v 'is played' |
    sed -E 's/ --seed /:/' | sort -k4,4n | head -3 | sed 's/^/    /'
done
