#!/usr/bin/env bash
# Plays case 7 with the programs that the deploy file and review/build-2.sh have built. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# large bodies.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/banksail-front ] && [ -x target/review/large-bodies ] || { echo "build first: the deploy file, review/build-2.sh"; exit 2; }
exec target/review/large-bodies
