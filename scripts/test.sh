#!/usr/bin/env bash
# Runs all tests with the race detector, except those listed in KNOWN-RED.txt, which
# are printed at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
GO=${GO:-go}

known=$(grep -vE '^\s*(#|$)' KNOWN-RED.txt || true)
skip=$(sed -nE 's/.*-run '"'"'?\^?(Test[A-Za-z0-9_]+).*/\1/p' <<<"$known" | paste -sd'|')

# -count=1: the process tests run programs that the go command does not track as
# inputs, so a cached result could miss a change in them.
"$GO" test -race -count=1 -timeout 5m -skip "^(TestCrowd.*${skip:+|$skip})\$" ./...

# Crowds of clients load the machine, so they come one at a time, apart from all other tests.
"$GO" test -count=1 -timeout 5m -run '^TestCrowd' ${skip:+-skip "^($skip)\$"} ./test/process

# The race detector aborts with fleets of some hundred nodes in one process (its internal
# check of epochs fails), so the tests of such fleets run without it.
"$GO" test -count=1 -timeout 5m ${skip:+-skip "^($skip)\$"} ./internal/follow

if [ -n "$known" ]; then
  echo "known red (KNOWN-RED.txt):"
  echo "$known"
fi
