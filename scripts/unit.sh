#!/usr/bin/env bash
# Runs all tests with the race detector, except the known failures listed in
# KNOWN-RED.txt, which it prints.
#
# The runtime of the race detector itself occasionally crashes a test process: with
# "ThreadSanitizer: CHECK failed" in packages that run many goroutines for long
# virtual times, or with a segmentation violation whose program counter lies in that
# runtime's code. Such a crash says nothing about the tests, so these packages, and no
# others, are run again, at most RERUNS times, and each rerun is printed.
set -euo pipefail
readonly RERUNS=3
readonly DETECTOR_CRASH='ThreadSanitizer: CHECK failed'

source "$(dirname "$0")/known-failures.sh"

output=$(mktemp)
trap 'rm -f "$output"' EXIT

run_tests() { go test -race -timeout 20m "${skip_flags[@]}" "$@" 2>&1 | tee "$output"; }

# is_detector_code PACKAGE COUNTER succeeds if the program counter (hexadecimal) lies in
# the race detector's runtime, judged by the last symbol at or before it in the package's
# test program.
is_detector_code() {
  local package=$1 counter=$2 program symbol
  program=$(mktemp)
  go test -race -c -o "$program" "$package"
  symbol=$(go tool nm -n "$program" | awk -v at="$counter" '
    function padded(hex) { while (length(hex) < 16) hex = "0" hex; return hex }
    $1 ~ /^[0-9a-f]+$/ && padded($1) <= padded(at) { found = $3 }
    END { print found }')
  rm -f "$program"
  [[ $symbol == *__tsan* || $symbol == *__sanitizer* ]]
}

# possible_detector_crashes prints the packages of the last run whose output looks like a
# crash of the race detector, each with the program counter in case of a segmentation
# violation. It fails if any package failed for another reason.
possible_detector_crashes() {
  awk -v crash="$DETECTOR_CRASH" '
    /^(ok|\?|---)?[ \t]*FAIL[ \t]+[^ \t]+[ \t]/ {
      if (detector && !failed) { print $2, counter } else { other = 1 }
      detector = failed = 0; counter = ""; next
    }
    /^(ok|\?)[ \t]/ { detector = failed = 0; counter = ""; next }
    index($0, crash) { detector = 1 }
    violation && /^PC=0x/ { detector = 1; counter = substr($1, 6) }
    { violation = /^SIGSEGV: segmentation violation$/ }
    /^[ \t]*--- FAIL/ || /^panic:/ || /WARNING: DATA RACE/ { failed = 1 }
    END { exit other }
  ' "$output"
}

# confirmed_detector_crashes prints the packages that a crash of the race detector ended.
# It fails if any package failed for another reason.
confirmed_detector_crashes() {
  local found package counter
  found=$(possible_detector_crashes) || return 1
  while read -r package counter; do
    [ -z "$package" ] && continue
    [ -z "$counter" ] || is_detector_code "$package" "$counter" || return 1
    echo "$package"
  done <<<"$found"
}

packages=(./...)
for attempt in $(seq 0 "$RERUNS"); do
  if run_tests "${packages[@]}"; then
    exit 0
  fi
  rerun_packages=$(confirmed_detector_crashes) || exit 1
  [ -n "$rerun_packages" ] || exit 1
  mapfile -t packages <<<"$rerun_packages"
  printf "the race detector's runtime crashed (attempt %s); running again: %s\n" "$((attempt + 1))" "${packages[*]}"
done
echo "the race detector's runtime crashed $((RERUNS + 1)) times"
exit 1
