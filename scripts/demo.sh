#!/usr/bin/env bash
# The main job, end to end, as separate processes on loopback: contracts are
# published, requests go through an entry node to a target behind another node,
# a contract is changed and every node acts on it, and all stops cleanly.
# Exits non-zero if any step fails.
set -euo pipefail
cd "$(dirname "$0")/.."

WORK=.demo
# A loopback address of this run's own: ports of 127.0.0.1 are also taken by
# outgoing connections and by other runs on the same machine.
HOST=127.128.$(($$ / 256 % 256)).$(($$ % 254 + 1))
BASE=20000
PLATFORM=$HOST:$BASE
COOP="Authorization: Bearer coop-token"
LIGHTS="Authorization: Bearer lights-token"
PIDS=()

fail() { echo "demo: FAILED: $*" >&2; exit 1; }
step() { printf '\n== %s\n' "$*"; }

# stop_all ends only processes that this script started.
stop_all() {
  for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  PIDS=()
}
trap stop_all EXIT

callers()   { echo "$HOST:$((BASE + 10 + $1 * 4))"; }
peers()     { echo "$HOST:$((BASE + 11 + $1 * 4))"; }
operators() { echo "$HOST:$((BASE + 12 + $1 * 4))"; }
target()    { echo "$HOST:$((BASE + 13 + $1 * 4))"; }

# The fleet: VM, failure domain, region, service, slots.
FLEET=(
  "lm1-tally lower-mainland-1 lower-mainland tally 12"
  "in1-tally interior-1 interior tally 12"
  "lm1-returns lower-mainland-1 lower-mainland returns 12"
  "in1-returns interior-1 interior returns 12"
  "lm1-archive lower-mainland-1 lower-mainland archive 12"
  "in1-archive interior-1 interior archive 12"
  "al1-logbook almaty-1 almaty logbook 18"
  "ka1-certdesk karaganda-1 karaganda certdesk 18"
)
COUNT=${#FLEET[@]}

rm -rf "$WORK"
mkdir -p "$WORK/contracts" "$WORK/keys" "$WORK/log"
cp examples/co-operative/services.toml "$WORK/contracts/co-operative-services.toml"
cp examples/co-operative/contracts.toml "$WORK/contracts/co-operative-contracts.toml"
cp examples/lighting-records/services.toml "$WORK/contracts/lighting-records-services.toml"
cp examples/lighting-records/contracts.toml "$WORK/contracts/lighting-records-contracts.toml"

publish() { # publish DIRECTORY: the parts first, the manifest last
  local part
  for part in "$1"/part/*; do
    curl -sSf -X PUT --data-binary @"$part" "http://$PLATFORM/admin/config/part/$(basename "$part")"
  done
  curl -sSf -X PUT --data-binary @"$1/manifest" "http://$PLATFORM/admin/config/manifest"
}

settings() { # settings INDEX VM DOMAIN REGION SERVICE
  cat <<TOML
[vm]
id = "$2"
failure_domain = "$3"
region = "$4"
service = "$5"

[listen]
callers = "$(callers "$1")"
peers = "$(peers "$1")"
operators = "$(operators "$1")"

[target]
address = "$(target "$1")"

[platform]
url = "http://$PLATFORM"
list_interval = "1s"
start_spread = "500ms"

[peers]
certificate_file = "$WORK/keys/$2/cert.pem"
key_file = "$WORK/keys/$2/key.pem"
authority_files = ["$WORK/keys/authority/cert.pem"]
seeds = ["$(peers 0)", "$(peers 1)"]
heartbeat = "500ms"
suspect_after = "3s"
TOML
}

wait_version() { # wait_version VERSION: until every node has it in force
  local i deadline=$((SECONDS + 30))
  for ((i = 0; i < COUNT; i++)); do
    until curl -sf "http://$(operators $i)/status" | jq -e --arg v "$1" \
        '"\(.applied.epoch).\(.applied.revision)" == $v and .ready' >/dev/null; do
      [ $SECONDS -lt $deadline ] || fail "node $i has no version $1"
      sleep 0.05
    done
  done
}

step "1. Start the stand-in platform, $COUNT targets and $COUNT nodes in 4 failure domains"
bin/standin-platform --listen "$PLATFORM" >"$WORK/log/platform" 2>&1 & PIDS+=($!)
bin/tamarackctl peer-cert authority --out "$WORK/keys/authority" >/dev/null
VMS="[]"
for ((i = 0; i < COUNT; i++)); do
  read -r vm domain region service slots <<<"${FLEET[$i]}"
  bin/tamarackctl peer-cert "$vm" --out "$WORK/keys/$vm" --authority "$WORK/keys/authority" >/dev/null
  settings "$i" "$vm" "$domain" "$region" "$service" >"$WORK/$vm.toml"
  bin/standin-target --listen "$(target $i)" --slots "$slots" >"$WORK/log/target-$vm" 2>&1 & PIDS+=($!)
  VMS=$(jq -c --arg id "$vm" --arg d "$domain" --arg r "$region" --arg s "$service" \
    --arg p "$(peers $i)" --arg c "$(callers $i)" \
    '. + [{id:$id,failure_domain:$d,region:$r,service:$s,peer_address:$p,caller_address:$c}]' <<<"$VMS")
done
until curl -sf "http://$PLATFORM/admin/stats" >/dev/null; do sleep 0.05; done
curl -sSf -X PUT -H 'Content-Type: application/json' -d "$VMS" "http://$PLATFORM/admin/vms"

step "2. Check, build and publish the contracts"
bin/tamarackctl check "$WORK/contracts"
bin/tamarackctl build "$WORK/contracts" --out "$WORK/published" --by demo
publish "$WORK/published"
for ((i = 0; i < COUNT; i++)); do
  read -r vm _ <<<"${FLEET[$i]}"
  bin/tamarackd --config "$WORK/$vm.toml" >"$WORK/log/node-$vm" 2>&1 & PIDS+=($!)
done
wait_version 1.1
bin/tamarackctl status $(for ((i = 0; i < COUNT; i++)); do operators $i; done)

path_of() { awk 'BEGIN{IGNORECASE=1} /^Tamarack-(Entry|Owner|Version|Request-Id):/{sub("\r","");printf "%s ",$0} END{print ""}' "$1"; }

step "3. A tally, a return and an archive, entered at a node of another service"
ENTRY=$(callers 6)
curl -sSf -D "$WORK/headers" -H "$COOP" "http://$ENTRY/tallies/hwy1?hour=7"; path_of "$WORK/headers"
curl -sSf -D "$WORK/headers" -H "$COOP" -X POST --data 'signed survey return 4711' "http://$ENTRY/returns/4711"; path_of "$WORK/headers"
curl -sSf -D "$WORK/headers" -H "$COOP" -o "$WORK/archive" "http://$ENTRY/archive/video-7?bytes=33554432"; path_of "$WORK/headers"
curl -sSf -o "$WORK/archive.direct" "http://$(target 4)/archive/video-7?bytes=33554432"
[ "$(sha256sum <"$WORK/archive")" = "$(sha256sum <"$WORK/archive.direct")" ] || fail "the archive differs from the target's"
echo "archive: $(stat -c %s "$WORK/archive") bytes, digest as at the target"
RUNS=$(for i in 2 3; do curl -sSf "http://$(target $i)/admin/ledger"; done | jq -s 'add | length')
[ "$RUNS" = 1 ] || fail "the return ran $RUNS times"
echo "return: ran once, by the targets' ledgers"
curl -sSf -D "$WORK/headers" -H "$LIGHTS" "http://$(callers 0)/logs/stairwell-3"; path_of "$WORK/headers"

step "4. Refusals are typed, and say that nothing ran"
refused() { # refused REASON CURL-ARGUMENTS...
  local reason=$1; shift
  local body; body=$(curl -sS "$@")
  jq -e --arg r "$reason" '.outcome == "did-not-run" and .reason == $r' <<<"$body" >/dev/null || fail "expected $reason, got $body"
  echo "$body"
}
refused unknown-token -H 'Authorization: Bearer nobody' "http://$ENTRY/tallies/hwy1"
refused unknown-route -H "$COOP" "http://$ENTRY/nothing-here"
refused no-target -H "$LIGHTS" "http://$ENTRY/archive/log-1"

step "5. Change a contract; every node acts on it"
sed -i 's/^deadline = "2s"/deadline = "3s"/' "$WORK/contracts/co-operative-contracts.toml"
bin/tamarackctl build "$WORK/contracts" --out "$WORK/published-2" --parent "$WORK/published/manifest" --by demo
FROM=$(date +%s%N)
publish "$WORK/published-2"
wait_version 1.2
echo "in force on all $COUNT nodes after $(( ($(date +%s%N) - FROM) / 1000000 )) ms"
curl -sSf "http://$(operators 3)/audit" | jq -c '.[] | select(.kind == "version-applied") | {time, vm, version, published_by}'

step "6. A planned stop of a node under load cuts nothing"
curl -sSf -H "$COOP" -o "$WORK/archive.stop" --limit-rate 40M "http://$(callers 4)/archive/video-7?bytes=33554432" & DOWNLOAD=$!
sleep 0.2
STOPPED=${PIDS[$((1 + COUNT + 4))]}
kill -TERM "$STOPPED"
wait "$DOWNLOAD" || fail "the archive was cut by the stop"
wait "$STOPPED" || fail "the node did not stop cleanly"
[ "$(sha256sum <"$WORK/archive.stop")" = "$(sha256sum <"$WORK/archive.direct")" ] || fail "the archive differs after the stop"
echo "the archive arrived whole while its node was stopping"

step "7. Stop everything"
stop_all
grep -L '"message":"stopped"' "$WORK"/log/node-* | grep . && fail "a node did not stop cleanly"
echo "demo: all steps passed"
