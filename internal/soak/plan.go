// Package soak runs real nodes as separate processes on loopback, does them harm
// by a plan that a seed gives, and checks what callers and targets see against the
// promises of the product. It injects every fault from outside: by relays between
// the processes, and by signals.
package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a fault does.
type Kind string

// The kinds of faults.
const (
	// KillNode ends a node's process at once; it is started again.
	KillNode Kind = "kill-node"
	// FreezeNode stops a node's process and lets it go on.
	FreezeNode Kind = "freeze-node"
	// RestartNode stops a node in the planned way and starts it again.
	RestartNode Kind = "restart-node"
	// ReloadNode tells a node that its settings changed.
	ReloadNode Kind = "reload-node"
	// KillTarget ends a target at once; another instance starts at its address.
	KillTarget Kind = "kill-target"
	// DrainTarget lets a target leave in the planned way, and another instance
	// start at its address.
	DrainTarget Kind = "drain-target"
	// IllTarget makes a target lose, cut, shed or fail a part of its requests.
	FailingTarget Kind = "ill-target"
	// IllService makes all targets of a VM's service shed nearly everything, for
	// long enough to use up the fleet's budget of repeats.
	OverloadedService Kind = "ill-service"
	// SlowTarget makes a target work several times as long.
	SlowTarget Kind = "slow-target"
	// DelayLink, ResetLink, OneWayLink and SilentLink harm the connections on one
	// side of a VM: each piece comes later, connections are reset, one direction
	// or both are held back.
	DelayLink     Kind = "delay-link"
	ResetLink     Kind = "reset-link"
	OneWayLink    Kind = "one-way-link"
	BlackholeLink Kind = "silent-link"
	// BusyStore makes the store turn everybody away, ForgetStore drops its history.
	BusyStore    Kind = "busy-store"
	CompactStore Kind = "forget-store"
	// Publish puts a new version in force, Storm several in quick succession.
	Publish      Kind = "publish"
	PublishBurst Kind = "storm"
	// KillAll ends every node's process at the same moment.
	KillAll Kind = "kill-all"
	// CrashRequest lets callers at all VMs send a request, again and again, that crashes
	// each target that begins to run it.
	CrashRequest Kind = "crash-request"
	// TargetCrashed is in no plan: a target ended under such a request.
	TargetCrashed Kind = "target-crashed"
	// NodeEnded is in no plan: a node's process ended by itself.
	NodeExited Kind = "node-ended"
)

// Side is which of a VM's connections a link fault harms.
type Side string

// The sides of a VM.
const (
	CallerSide Side = "callers"
	PeerSide   Side = "peers"
	TargetSide Side = "target"
	StoreSide  Side = "store"
)

var sides = []Side{CallerSide, PeerSide, TargetSide, StoreSide}

// Fault is one entry of a plan.
type Fault struct {
	At       time.Duration `json:"at"`
	Duration time.Duration `json:"for"`
	Kind     Kind          `json:"kind"`
	// VM is the number of the VM that is harmed; -1 for all.
	VM   int  `json:"vm"`
	Side Side `json:"side,omitempty"`
}

// planned reports whether the fault is work that operators plan, around which no
// request may be lost.
func (f *Fault) planned() bool {
	switch f.Kind {
	case RestartNode, ReloadNode, DrainTarget, Publish, PublishBurst:
		return true
	}
	return false
}

// all is the VM of faults that harm every one.
const all = -1

// weighted kinds: what happens often in the field comes often.
var kinds = []struct {
	kind   Kind
	weight int
}{
	{KillNode, 3}, {FreezeNode, 3}, {RestartNode, 4}, {ReloadNode, 1},
	{KillTarget, 2}, {DrainTarget, 3}, {FailingTarget, 3}, {SlowTarget, 2}, {OverloadedService, 1},
	{DelayLink, 2}, {ResetLink, 3}, {OneWayLink, 2}, {BlackholeLink, 2},
	{BusyStore, 2}, {CompactStore, 1}, {Publish, 4}, {PublishBurst, 1},
}

// Bounds of a plan's figures.
const (
	firstFault = time.Second
	// calmEnd is kept free of faults but for the final one, so that the recovery
	// is seen.
	calmEnd    = 6 * time.Second
	leastPause = 150 * time.Millisecond
	mostPause  = 1600 * time.Millisecond
	leastFor   = 300 * time.Millisecond
	mostFor    = 3 * time.Second
	// illServiceFor gives a service that sheds nine in ten twice the repeats that
	// its budget allows, if nothing held them back.
	illServiceFor = 5 * time.Second
	seriesOf      = 3
	// crashRequestPart is the part of plans in which callers send a request that crashes
	// targets, for crashRequestFor.
	crashRequestPart = 0.5
	crashRequestFor  = 8 * time.Second
	seriesPart       = 0.2
	finalPart        = 0.3
	finalBefore      = 5 * time.Second
)

// MakePlan draws the faults of a run of a length over so many VMs. Faults overlap,
// and one in five comes as a series on the same VM.
func NewPlan(seed uint64, length time.Duration, vms int) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	var plan []Fault
	for at := firstFault; at < length-calmEnd; at += between(leastPause, mostPause) {
		fault := Fault{At: at, Duration: between(leastFor, mostFor), Kind: drawKind(random), VM: random.IntN(vms)}
		fault.Side = sides[random.IntN(len(sides))]
		if fault.Kind == OverloadedService {
			fault.Duration = illServiceFor
		}
		plan = append(plan, fault)
		if random.Float64() >= seriesPart {
			continue
		}
		for range seriesOf - 1 {
			fault.At += between(leastPause, mostPause)
			plan = append(plan, fault)
		}
	}
	plan = slices.DeleteFunc(plan, func(f Fault) bool { return f.At+f.Duration > length-finalBefore })
	if random.Float64() < finalPart {
		plan = append(plan, Fault{At: length - finalBefore, Duration: time.Second, Kind: KillAll, VM: all})
	}
	plan = append(plan, drawCrashRequest(seed, length)...)
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// drawCrashRequest has a random source of its own, so that the other faults of a seed stay
// what they are.
func drawCrashRequest(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 2))
	last := length - finalBefore - crashRequestFor
	if last <= firstFault || random.Float64() >= crashRequestPart {
		return nil
	}
	at := firstFault + time.Duration(random.Int64N(int64(last-firstFault)))
	return []Fault{{At: at, Duration: crashRequestFor, Kind: CrashRequest, VM: all}}
}

// Only returns the faults of some kinds.
func FilterKinds(plan []Fault, kinds []Kind) []Fault {
	return slices.DeleteFunc(plan, func(f Fault) bool { return !slices.Contains(kinds, f.Kind) })
}

func drawKind(random *rand.Rand) Kind {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	draw := random.IntN(total)
	for _, k := range kinds {
		if draw < k.weight {
			return k.kind
		}
		draw -= k.weight
	}
	return Publish
}
