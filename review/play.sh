#!/usr/bin/env bash
# play.sh SCENARIO FOLDER plays a case with the processes of the deploy file. TROUBLE=0 leaves the
# disruption out. Exits with 1 if a rule was broken, 0 if all held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/banksail-front ]; then
  go build -ldflags=-linkmode=external -o target/ ./cmd/banksail-front || exit 2
fi
if [ ! -x target/review/platform ]; then
  review/build.sh || exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout --signal=TERM 115 target/review/platform -scenario "$1" -trouble="$trouble" -record "$2/record.txt"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
