// Package soak runs real nodes as separate processes on loopback, injects faults
// according to a plan derived from a seed, and checks the observations of callers
// and targets against the promises of the product. All faults are injected from
// outside the nodes: by relays between the processes, and by signals.
package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault or an event.
type Kind string

// The kinds of faults.
const (
	// KillNode kills a node's process and starts it again.
	KillNode Kind = "kill-node"
	// FreezeNode suspends a node's process with SIGSTOP and resumes it.
	FreezeNode Kind = "freeze-node"
	// RestartNode stops a node gracefully and starts it again.
	RestartNode Kind = "restart-node"
	// ReloadNode makes a node reload its settings (SIGHUP).
	ReloadNode Kind = "reload-node"
	// KillTarget kills a target and starts another instance at its address.
	KillTarget Kind = "kill-target"
	// DrainTarget drains a target and starts another instance at its address.
	DrainTarget Kind = "drain-target"
	// FailingTarget makes a target lose, cut, shed or fail some of its requests.
	FailingTarget Kind = "ill-target"
	// OverloadedService makes all targets of a VM's service shed nearly all
	// requests, for long enough to exhaust the fleet's retry budget.
	OverloadedService Kind = "ill-service"
	// SlowTarget multiplies a target's service time.
	SlowTarget Kind = "slow-target"
	// DelayLink, ResetLink, OneWayLink and BlackholeLink disturb the connections on
	// one side of a VM: they delay all data, reset connections, or hold back one
	// direction or both.
	DelayLink     Kind = "delay-link"
	ResetLink     Kind = "reset-link"
	OneWayLink    Kind = "one-way-link"
	BlackholeLink Kind = "silent-link"
	// BusyStore makes the store refuse all requests; CompactStore drops its history.
	BusyStore    Kind = "busy-store"
	CompactStore Kind = "forget-store"
	// Publish publishes a new version, PublishBurst several in quick succession.
	Publish      Kind = "publish"
	PublishBurst Kind = "storm"
	// KillAll kills the processes of all nodes at the same moment.
	KillAll Kind = "kill-all"
	// CrashRequest makes callers at all VMs repeatedly send a request that crashes
	// each target that begins to run it.
	CrashRequest Kind = "crash-request"
	// LimitTarget makes a target name a limit on its requests in its responses.
	LimitTarget Kind = "limit-target"
	// DepartInRestart removes a target's entry while the other nodes restart just after a
	// change. The target serves on.
	DepartInRestart Kind = "depart-in-restart"
	// LateWrite drains a target, and the store carries out an earlier write of it late.
	LateWrite Kind = "late-write"
	// ClockBehind restarts a target under its name with its clock behind, and drains it.
	ClockBehind Kind = "clock-behind"
	// Crowd connects many clients to a node that don't end their requests, or open feeds.
	Crowd Kind = "crowd"
	// TargetCrashed is an event only: a target crashed under such a request.
	TargetCrashed Kind = "target-crashed"
	// NodeExited is an event only: a node's process exited by itself.
	NodeExited Kind = "node-ended"
)

// Side selects the connections of a VM that a link fault disturbs.
type Side string

// The sides of a VM.
const (
	// CallerSide is the connections of callers to the node.
	CallerSide Side = "callers"
	// PeerSide is the connections of other nodes to the node.
	PeerSide Side = "peers"
	// TargetSide is the node's connections to its target.
	TargetSide Side = "target"
	// StoreSide is the node's connections to the store.
	StoreSide Side = "store"
)

var sides = []Side{CallerSide, PeerSide, TargetSide, StoreSide}

// Fault is one entry of a plan.
type Fault struct {
	At       time.Duration `json:"at"`
	Duration time.Duration `json:"for"`
	Kind     Kind          `json:"kind"`
	// VM is the number of the affected VM, or -1 for all VMs.
	VM   int  `json:"vm"`
	Side Side `json:"side,omitempty"`
}

// planned reports whether the fault is a planned operation, which must interrupt no
// request.
func (f *Fault) planned() bool {
	switch f.Kind {
	case RestartNode, ReloadNode, DrainTarget, Publish, PublishBurst:
		return true
	}
	return false
}

// allVMs is the VM number of faults that affect all VMs.
const allVMs = -1

// weightedKinds holds the relative frequency of each kind. Faults that are frequent
// in production have higher weights.
var weightedKinds = []struct {
	kind   Kind
	weight int
}{
	{KillNode, 3}, {FreezeNode, 3}, {RestartNode, 4}, {ReloadNode, 1},
	{KillTarget, 2}, {DrainTarget, 3}, {FailingTarget, 3}, {SlowTarget, 2}, {OverloadedService, 1},
	{DelayLink, 2}, {ResetLink, 3}, {OneWayLink, 2}, {BlackholeLink, 2},
	{BusyStore, 2}, {CompactStore, 1}, {Publish, 4}, {PublishBurst, 1},
}

// Parameters of plans.
const (
	firstFault = time.Second
	// faultFreeTail is the end of a run in which no new fault or series is drawn,
	// except KillAll, so that recovery can be checked.
	faultFreeTail = 6 * time.Second
	minPause      = 150 * time.Millisecond
	maxPause      = 1600 * time.Millisecond
	minDuration   = 300 * time.Millisecond
	maxDuration   = 3 * time.Second
	// overloadDuration is long enough that a service that sheds nine in ten requests
	// would get twice the retries that the budget allows, if nothing limited them.
	overloadDuration = 5 * time.Second
	seriesLength     = 3
	// crashRequestProbability is the probability that a plan has a crashing request,
	// which callers send for crashRequestDuration.
	crashRequestProbability = 0.5
	crashRequestDuration    = 8 * time.Second
	// departureDuration is how long a target serves on after it has left.
	departureDuration = 6 * time.Second
	// limitDuration leaves several windows in which a limit must hold.
	limitDuration      = 9 * time.Second
	seriesProbability  = 0.2
	killAllProbability = 0.3
	killAllLead        = 5 * time.Second
)

// NewPlan draws the faults of a run with the given duration and number of VMs.
// Faults may overlap. One in five is repeated as a series on the same VM.
func NewPlan(seed uint64, duration time.Duration, vms int) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	randomDuration := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	var plan []Fault
	for at := firstFault; at < duration-faultFreeTail; at += randomDuration(minPause, maxPause) {
		fault := Fault{At: at, Duration: randomDuration(minDuration, maxDuration), Kind: drawKind(random), VM: random.IntN(vms)}
		fault.Side = sides[random.IntN(len(sides))]
		if fault.Kind == OverloadedService {
			fault.Duration = overloadDuration
		}
		plan = append(plan, fault)
		if random.Float64() >= seriesProbability {
			continue
		}
		for range seriesLength - 1 {
			fault.At += randomDuration(minPause, maxPause)
			plan = append(plan, fault)
		}
	}
	plan = slices.DeleteFunc(plan, func(f Fault) bool { return f.At+f.Duration > duration-killAllLead })
	if random.Float64() < killAllProbability {
		plan = append(plan, Fault{At: duration - killAllLead, Duration: time.Second, Kind: KillAll, VM: allVMs})
	}
	plan = append(plan, drawCrashRequest(seed, duration)...)
	plan = append(plan, drawLimit(seed, duration, vms)...)
	plan = append(plan, drawDeparture(seed, duration, vms)...)
	plan = append(plan, drawCrowd(seed, duration, vms)...)
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// drawCrashRequest draws the crashing request of a plan, if it has one. It uses a
// random source of its own, so that the other faults of a seed don't depend on it.
func drawCrashRequest(seed uint64, duration time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 2))
	last := duration - killAllLead - crashRequestDuration
	if last <= firstFault || random.Float64() >= crashRequestProbability {
		return nil
	}
	at := firstFault + time.Duration(random.Int64N(int64(last-firstFault)))
	return []Fault{{At: at, Duration: crashRequestDuration, Kind: CrashRequest, VM: allVMs}}
}

// drawLimit draws the target that names a limit, with a random source of its own like
// drawCrashRequest.
func drawLimit(seed uint64, duration time.Duration, vms int) []Fault {
	random := rand.New(rand.NewPCG(seed, 4))
	last := duration - killAllLead - limitDuration
	if last <= firstFault {
		return nil
	}
	at := firstFault + time.Duration(random.Int64N(int64(last-firstFault)))
	return []Fault{{At: at, Duration: limitDuration, Kind: LimitTarget, VM: random.IntN(vms)}}
}

// drawDeparture draws a departure of a target beside another fault, with a random source of its own
// like drawCrashRequest.
func drawDeparture(seed uint64, duration time.Duration, vms int) []Fault {
	random := rand.New(rand.NewPCG(seed, 5))
	kinds := []Kind{DepartInRestart, LateWrite, ClockBehind}
	last := duration - killAllLead - departureDuration
	if last <= firstFault {
		return nil
	}
	at := firstFault + time.Duration(random.Int64N(int64(last-firstFault)))
	return []Fault{{At: at, Duration: departureDuration, Kind: kinds[random.IntN(len(kinds))], VM: random.IntN(vms)}}
}

// FilterKinds returns the faults of the given kinds.
func FilterKinds(plan []Fault, kinds []Kind) []Fault {
	return slices.DeleteFunc(plan, func(f Fault) bool { return !slices.Contains(kinds, f.Kind) })
}

func drawKind(random *rand.Rand) Kind {
	total := 0
	for _, k := range weightedKinds {
		total += k.weight
	}
	draw := random.IntN(total)
	for _, k := range weightedKinds {
		if draw < k.weight {
			return k.kind
		}
		draw -= k.weight
	}
	return Publish
}
