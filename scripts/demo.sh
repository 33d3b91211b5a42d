#!/usr/bin/env bash
# Runs the main use case end to end, as separate processes on loopback: contracts are
# published, requests go through an entry node to a target behind another node, a
# contract is changed and every node applies it, a second operator is prevented from
# dropping that change, a node is stopped under load, and everything stops cleanly.
# Exits with a non-zero code if any step fails. Needs bash, curl and the built programs.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

COOP="Authorization: Bearer coop-token"
LIGHTS="Authorization: Bearer lights-token"

fail() { echo "demo: FAILED: $*" >&2; exit 1; }
step() { printf '\n== %s\n' "$*"; }
# show prints a command as a user would type it, and then runs it.
show() { printf '$ %s\n' "${*#bin/}"; "$@"; }

step "1. Start the stand-in platform, $COUNT targets and $COUNT nodes in 4 failure domains"
prepare_contracts
start_platform_and_targets

step "2. Check, build and publish the contracts; start the nodes"
show bin/tamarackctl check "$WORK/contracts"
show bin/tamarackctl build "$WORK/contracts" --out "$WORK/published" --published "http://$PLATFORM" --by demo
show scripts/publish.sh "$WORK/published" "http://$PLATFORM"
start_nodes
show bin/tamarackctl status --nodes "$WORK/nodes.txt" --wait 1.1

path_of() { awk 'BEGIN{IGNORECASE=1} /^Tamarack-(Entry|Owner|Version|Request-Id):/{sub("\r","");printf "%s ",$0} END{print ""}' "$1"; }

step "3. A tally, a return and an archive, entered at a node of another service"
ENTRY=$(callers 6)
curl -sSf -D "$WORK/headers" -H "$COOP" "http://$ENTRY/tallies/hwy1?hour=7"; path_of "$WORK/headers"
curl -sSf -D "$WORK/headers" -H "$COOP" -X POST --data 'signed survey return 4711' "http://$ENTRY/returns/4711"; path_of "$WORK/headers"
curl -sSf -D "$WORK/headers" -H "$COOP" -o "$WORK/archive" "http://$ENTRY/archive/video-7?bytes=33554432"; path_of "$WORK/headers"
curl -sSf -o "$WORK/archive.direct" "http://$(target 4)/archive/video-7?bytes=33554432"
[ "$(sha256sum <"$WORK/archive")" = "$(sha256sum <"$WORK/archive.direct")" ] || fail "the archive differs from the target's"
echo "archive: $(stat -c %s "$WORK/archive") bytes, digest as at the target"
RUNS=$(for i in 2 3; do curl -sSf "http://$(target $i)/admin/ledger"; done | grep -o '"request_id"' | wc -l)
[ "$RUNS" = 1 ] || fail "the return ran $RUNS times"
echo "return: ran once, by the targets' ledgers"
curl -sSf -D "$WORK/headers" -H "$LIGHTS" "http://$(callers 0)/logs/stairwell-3"; path_of "$WORK/headers"

step "4. Refusals are typed, and say that nothing ran"
refused() { # refused REASON CURL-ARGUMENTS...
  local reason=$1; shift
  local body; body=$(curl -sS "$@")
  [[ $body == *'"outcome":"did-not-run"'* && $body == *"\"reason\":\"$reason\""* ]] || fail "expected $reason, got $body"
  echo "$body"
}
refused unknown-token -H 'Authorization: Bearer nobody' "http://$ENTRY/tallies/hwy1"
refused unknown-route -H "$COOP" "http://$ENTRY/nothing-here"
refused no-target -H "$LIGHTS" "http://$ENTRY/archive/log-1"

# explain must exit with code 1 if the request would be refused.
show bin/tamarackctl explain "$WORK/contracts" --customer zhaksybekov --path /archive/log-1 --node "$(operators 0)" || [ $? = 1 ]

step "5. Change a limit and a deadline; every node acts on it"
cp -r "$WORK/contracts" "$WORK/contracts-2"
sed -i 's/^limit = 0.8/limit = 0.9/; s/^deadline = "2s"/deadline = "3s"/' "$WORK/contracts-2/co-operative-contracts.toml"
show bin/tamarackctl diff "http://$PLATFORM" "$WORK/contracts-2"
show bin/tamarackctl build "$WORK/contracts-2" --out "$WORK/published-2" --parent "$WORK/published" --published "http://$PLATFORM" --by demo
show scripts/publish.sh "$WORK/published-2" "http://$PLATFORM"
show bin/tamarackctl status --nodes "$WORK/nodes.txt" --wait 1.2 | tail -2
show bin/tamarackctl audit --nodes "$WORK/nodes.txt" --versions

step "6. A second operator, who started from version 1.1, is kept from dropping that change"
if show bin/tamarackctl build "$WORK/contracts" --out "$WORK/published-3" --parent "$WORK/published" --published "http://$PLATFORM" --by second; then
  fail "the lost update was not found"
fi

step "7. A node is stopped under load; every answer is checked"
STOPPED=$(node_pid 1)
show bin/tamarackload run "$(callers 6)" "$(callers 7)" --token coop-token --rate 200 --warm-up 500ms --duration 2s \
  --signal "$STOPPED:TERM@1s" --svg "$WORK/waits.svg" | tee "$WORK/load.txt"
! grep -E 'broken|unknown|wrong-answer|not-sent' "$WORK/load.txt" || fail "the stop cut or lost calls"
wait "$STOPPED" || fail "the node did not stop cleanly"
show bin/tamarackctl audit "$(operators 0)" --kind member-changed

step "8. A planned stop of a node cuts no download"
curl -sSf -H "$COOP" -o "$WORK/archive.stop" --limit-rate 40M "http://$(callers 4)/archive/video-7?bytes=33554432" & DOWNLOAD=$!
sleep 0.2
STOPPED=$(node_pid 4)
kill -TERM "$STOPPED"
wait "$DOWNLOAD" || fail "the archive was cut by the stop"
wait "$STOPPED" || fail "the node did not stop cleanly"
[ "$(sha256sum <"$WORK/archive.stop")" = "$(sha256sum <"$WORK/archive.direct")" ] || fail "the archive differs after the stop"
echo "the archive arrived whole while its node was stopping"

step "9. Stop everything"
stop_all
grep -L '"message":"stopped"' "$WORK"/log/node-* | grep . && fail "a node did not stop cleanly"
echo "demo: all steps passed"
