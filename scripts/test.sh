#!/usr/bin/env bash
# Runs all tests with the race detector but those that KNOWN-RED.txt names, which are
# printed after it.
set -euo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}

known=$(grep -vE '^\s*(#|$)' KNOWN-RED.txt || true)
skip=$(sed -nE 's/.*-run '"'"'?\^?(Test[A-Za-z0-9_]+).*/\1/p' <<<"$known" | paste -sd'|')

# The process tests run programs that the go command does not count among their
# inputs; a cached result would not see a change in them.
"$GO" test -race -count=1 -timeout 5m ${skip:+-skip "^($skip)\$"} ./...

# The race detector gives up in fleets of some hundred nodes in one process (its own check
# of epochs fails), so the tests of these are built without it.
"$GO" test -count=1 -timeout 5m ${skip:+-skip "^($skip)\$"} ./internal/follow

if [ -n "$known" ]; then
  echo "known red (KNOWN-RED.txt):"
  echo "$known"
fi
