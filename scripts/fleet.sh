# Starts and stops the fleet of scripts/demo.sh and scripts/play.sh: the stand-in
# platform, stand-in targets and the nodes, as separate processes on loopback. Source it
# from the root of the repository. It ends only processes that it started.

command -v curl >/dev/null || { echo "needs curl, which is not installed" >&2; exit 1; }

WORK=.demo
# A loopback address used only by this run: on 127.0.0.1, outgoing connections and
# other runs on the same machine take ports too.
HOST=127.128.$(($$ / 256 % 256)).$(($$ % 254 + 1))
BASE=20000
PLATFORM=$HOST:$BASE
PIDS=()

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

# The VMs of the fleet: VM, failure domain, region, service, slots.
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

# prepare_contracts creates an empty work directory and copies the example contracts
# into it.
prepare_contracts() {
  rm -rf "$WORK"
  mkdir -p "$WORK/contracts" "$WORK/keys" "$WORK/log"
  local example file
  for example in co-operative lighting-records; do
    for file in services contracts; do
      cp "examples/$example/$file.toml" "$WORK/contracts/$example-$file.toml"
    done
  done
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

# start_platform_and_targets also issues the peer certificates, writes the settings of
# the nodes, and sets the VM list of the platform.
start_platform_and_targets() {
  bin/standin-platform --listen "$PLATFORM" >"$WORK/log/platform" 2>&1 & PIDS+=($!)
  bin/tamarackctl peer-cert authority --out "$WORK/keys/authority" >/dev/null
  VMS=""
  OPERATORS=()
  for ((i = 0; i < COUNT; i++)); do
    read -r vm domain region service slots <<<"${FLEET[$i]}"
    OPERATORS+=("$(operators $i)")
    bin/tamarackctl peer-cert "$vm" --out "$WORK/keys/$vm" --authority "$WORK/keys/authority" >/dev/null
    settings "$i" "$vm" "$domain" "$region" "$service" >"$WORK/$vm.toml"
    bin/standin-target --listen "$(target $i)" --slots "$slots" >"$WORK/log/target-$vm" 2>&1 & PIDS+=($!)
    VMS+=$(printf '%s{"id":"%s","failure_domain":"%s","region":"%s","service":"%s","peer_address":"%s","caller_address":"%s"}' \
      "${VMS:+,}" "$vm" "$domain" "$region" "$service" "$(peers $i)" "$(callers $i)")
  done
  printf '%s\n' "${OPERATORS[@]}" >"$WORK/nodes.txt"
  until curl -sf "http://$PLATFORM/admin/stats" >/dev/null; do sleep 0.05; done
  curl -sSf -X PUT -H 'Content-Type: application/json' -d "[$VMS]" "http://$PLATFORM/admin/vms"
}

start_nodes() {
  local i vm
  for ((i = 0; i < COUNT; i++)); do
    read -r vm _ <<<"${FLEET[$i]}"
    bin/tamarackd --config "$WORK/$vm.toml" >"$WORK/log/node-$vm" 2>&1 & PIDS+=($!)
  done
}

# node_pid INDEX prints the process id of a node.
node_pid() { echo "${PIDS[$((1 + COUNT + $1))]}"; }
