#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, the project's own among them, into target/. Run it after the
# build of the deploy file; it adds no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review2 -o target/standins-2 ./review/standins-2/platform
go build -buildvcs=false -tags review3 -o target/standins-3 ./review/standins-3/platform
