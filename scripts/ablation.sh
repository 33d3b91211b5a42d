#!/usr/bin/env bash
# Disables one mechanism in a scratch copy of the repository, to measure its effect:
# scripts/ablation.sh NAME FOLDER. Without arguments it lists the names; --check reports
# those whose expression changes nothing.
set -euo pipefail

# off NAME FILE EXPRESSION registers the sed expression that disables the mechanism.
declare -A file expression
off() { file[$1]=$2 expression[$1]=$3; }

off callers-who-came-back internal/routing/clientretry/clientretry.go 's/<= deadlineTolerance {/< 0 {/'
off shortage internal/proxy/shortage.go 's/if !p.serviceLoads\[service\].ReportsSlowdown() {/if true {/'
off rank-of-the-overdue internal/proxy/rank.go 's/^\trankLate         = 1/\trankLate = 0/'
off overdue-refused-at-once internal/proxy/forwarder.go 's/if f.fullTargets > 0 \&\& f.overdue(now) {/if false {/'
off bytes-outside internal/placement/placement.go 's/^const DefaultHalfBytes = 20e3/const DefaultHalfBytes = 0/'
off second-target-beside-a-slow-one internal/proxy/hedge.go 's/^\treturn f.route.Kind.IsIdempotent() \&\&/\treturn false \&\& f.route.Kind.IsIdempotent() \&\&/'
off urgency-of-calls internal/proxy/rank.go 's/^\treturn admission.MaxDepth - steps/\treturn 0 * steps/'
off room-at-each-target internal/placement/placement.go 's/^\tutilizationWeight = 0.05/\tutilizationWeight = 0/'
off random-part-of-a-choice internal/proxy/choose.go 's/^const tieBreak = 0.02/const tieBreak = 0/'
off ill-targets-avoided internal/placement/placement.go 's/^\tcost += failureRate \* failureRate/\tcost += 0 * failureRate/'
off cold-targets-avoided internal/placement/placement.go 's/^\tcoldHoldFactor = 2/\tcoldHoldFactor = 1/'
off signs-of-life internal/proxy/reachability.go 's/^\tif !needsPing {/\tif true || !needsPing {/'
off away-until-probed internal/proxy/reachability.go 's/return len(p.reachability.unreachable) > 0 \&\& .*/return false/'
off own-speed-in-waits internal/proxy/rank.go 's/if stats := p.stats\[member.ID\]; stats != nil {/if stats := p.stats[member.ID]; false {/'
off time-behind-a-wait internal/placement/refusal.go 's/^const WorkMargin = 1.5/const WorkMargin = 1.0/'
off cost-of-expected-refusal internal/placement/refusal.go 's/^\treturn ratio \* ratio.*/\treturn 0/'
off repeats internal/proxy/retry_budget.go 's/if arrivals >= f.route.MaxAttempts {/if true {/'
off slow-start internal/slowstart/slowstart.go 's/return t.Doubted() || now.Before(t.warmAt)/return false/'
off named-limits internal/proxy/start_rate.go 's/reported.Limited {/false \&\& reported.Limited {/'
off departures-in-responses internal/proxy/choose.go 's/!since.IsZero() {/false \&\& !since.IsZero() {/'
off allowed-regions internal/proxy/choose.go 's/if !route.AllowsRegion(/if false \&\& !route.AllowsRegion(/'
off pace-of-large-answers internal/link/link.go 's/return \&Pacer{rate: responseShare \* bytesPerSecond}/return \&Pacer{rate: 0 * bytesPerSecond}/'
off deadline-order-of-large-answers internal/link/transfer_queue.go 's/return timeA.Compare(timeB)/return 0 * timeA.Compare(timeB)/'

if [ "${1:-}" = --check ]; then
  cd "$(dirname "$0")/.."
  status=0
  for name in "${!file[@]}"; do
    if sed "${expression[$name]}" "${file[$name]}" | cmp -s - "${file[$name]}"; then
      echo "$name: nothing changes in ${file[$name]}"
      status=1
    fi
  done
  exit $status
fi
if [ $# -ne 2 ]; then
  printf '%s\n' "${!file[@]}" | sort
  exit 0
fi
cd "$2"
[ -n "${file[$1]:-}" ] || { echo "no mechanism $1"; exit 1; }
sed -i "${expression[$1]}" "${file[$1]}"
git diff --quiet -- "${file[$1]}" && { echo "$1: nothing changed in ${file[$1]}"; exit 1; }
go vet ./internal/... >/dev/null || { echo "$1: doesn't build"; exit 1; }
