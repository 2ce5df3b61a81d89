# Sourced by the scripts that run tests: prints the known failures in KNOWN-RED.txt and
# sets skip_flags to the flags of go test that pass over exactly these tests.
skip_flags=()
if [ -f KNOWN-RED.txt ]; then
  known_failures=$(grep -v -e '^\s*#' -e '^\s*$' KNOWN-RED.txt || true)
  if [ -n "$known_failures" ]; then
    printf 'known red, passed over:\n%s\n' "$known_failures"
    pattern=$(printf '%s\n' "$known_failures" | awk '{print $1}' | paste -sd'|' -)
    skip_flags=(-skip "^($pattern)\$")
  fi
fi
