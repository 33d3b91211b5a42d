#!/usr/bin/env bash
# Starts the fleet of the demo, publishes the example contracts and runs until it is
# interrupted, so that the steps of the documentation can be tried in another shell.
# Needs bash, curl and the built programs.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

prepare_contracts
start_platform_and_targets
bin/tamarackctl build "$WORK/contracts" --out "$WORK/published" --published "http://$PLATFORM" --by "${USER:-me}"
scripts/publish.sh "$WORK/published" "http://$PLATFORM"
start_nodes
bin/tamarackctl status --nodes "$WORK/nodes.txt" --wait 1.1
cat >"$WORK/env" <<ENV
export PATH="$PWD/bin:\$PATH"
export PLATFORM=http://$PLATFORM
export ENTRY=$(callers 6)
export OPERATORS=$(operators 6)
export STOPPABLE=$(node_pid 1)
ENV
echo "In another shell, in this directory: source $WORK/env"
echo "Contracts are in $WORK/contracts. Stop with Ctrl-C."
trap exit INT TERM
while sleep 1; do :; done
