#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/platform
