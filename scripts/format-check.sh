#!/usr/bin/env bash
# Fails when a Go file is not formatted.
set -euo pipefail
unformatted=$(git ls-files '*.go' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
  printf 'not formatted:\n%s\n' "$unformatted"
  exit 1
fi
