#!/usr/bin/env bash
# Plays case 7 with the programs that the build of the deploy file and review/build-2.sh have made. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the large bodies.
cd "$(dirname "$0")/../.." || exit 2
for program in target/banksail-front target/standins-3; do
  [ -x "$program" ] || { echo "$program is missing: build as the deploy file says, then run review/build-2.sh"; exit 2; }
done
exec target/standins-3 large-bodies
