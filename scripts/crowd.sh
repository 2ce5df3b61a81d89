#!/usr/bin/env bash
# Runs the tests of crowds of callers that do not behave, one at a time and without the race
# detector, which multiplies the memory of the processes that they measure. Known failures
# listed in KNOWN-RED.txt are printed and passed over.
set -euo pipefail
source "$(dirname "$0")/known-failures.sh"
go test -tags crowd -count=1 -p 1 -timeout 20m -run Crowd "${skip_flags[@]}" ./cmd/...
