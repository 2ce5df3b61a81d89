#!/usr/bin/env bash
# Fails if a tracked Go file is not formatted with gofmt, and lists such files.
set -euo pipefail
unformatted=$(git ls-files '*.go' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
  printf 'not formatted:\n%s\n' "$unformatted"
  exit 1
fi
