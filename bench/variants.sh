#!/usr/bin/env bash
# Makes deployments of our own out of a site, and hunts on each: servers that take
# few connections, shards of one server, a route whose requests must not be repeated,
# machines in one zone, machines of which few are large, a rate that cold servers bear,
# and zones that are regions of their own.
# Usage: FLEETBENCH=path bench/variants.sh SITE [DAYS]
# The site stays as it is; JOBS sets how many days are played at a time, VARIANTS which
# deployments are made.
set -euo pipefail
: "${FLEETBENCH:?must name the bench}"
site=$1
days=${2:-10}
jobs=${JOBS:-4}
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cp "$(dirname "$site")/wire.json" "$folder/"

# variant NAME SED-EXPRESSION: writes one deployment.
variant() { sed -E "$2" "$site" >"$folder/$1.toml"; }

variant few-connections 's/conn_cap = [0-9]+/conn_cap = 6/g'
variant one-server '/copies = /s/servers = \[(\{[^}]*\})[^]]*\]/servers = [\1]/'
variant unsafe '/gather = /!s/(retries = 1, service)/kind = "unsafe", \1/'
first_zone=$(sed -nE 's/.*\{ name = "([^"]+)", region.*/\1/p' "$site" | head -1)
variant one-zone "s/(class = \"front\".*)zone = \"[^\"]+\"/\1zone = \"$first_zone\"/"
# The machines of the first line are large, all others small.
variant few-large 's/(class = "front", cpu_share = )[0-9.]+/\10.15/; 0,/class = "front"/s/(cpu_share = )0\.15/\10.8/'

# Cold servers bear 3 requests a second, from all nodes together.
variant cold-rate 's/cold_s = ([0-9.]+),/cold_s = \1, cold_per_s = 3.0,/'
# The last two zones stand in regions of their own; routes then have homes.
last_zones=$(sed -nE 's/.*\{ name = "([^"]+)", region.*/\1/p' "$site" | tail -2 | paste -sd' ')
variant regions "s/(name = \"${last_zones% *}\", region = )\"[^\"]+\"/\1\"region-2\"/; s/(name = \"${last_zones#* }\", region = )\"[^\"]+\"/\1\"region-3\"/"

for name in ${VARIANTS:-few-connections one-server unsafe one-zone few-large cold-rate regions}; do
  "$FLEETBENCH" hunt "$folder/$name.toml" --days "$days" --jobs "$jobs" --why "own deployment $name" >"$folder/$name.txt" 2>&1 || true
  printf '%-16s ' "$name"
  grep -E 'with a rule broken' "$folder/$name.txt" || tail -1 "$folder/$name.txt"
  grep -E 'BROKEN|the first that is wrong' "$folder/$name.txt" | cut -c1-240 || true
  # The three days that are worth least, of those that were played.
  grep -E '^(hunt|mix|trouble|scale|quiet)' "$folder/$name.txt" | grep -v 'is played' |
    sed -E 's/ --seed /:/' | sort -k4,4n | head -3 | sed 's/^/    /'
done
