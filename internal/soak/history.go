package soak

import (
	"slices"
	"time"

	"tamarackquay/standin/usertarget"
)

// History is all that was seen in one run.
type History struct {
	Records []Record           `json:"records"`
	Entries []usertarget.Entry `json:"entries"`
	Events  []Event            `json:"events"`
	// Services and Targets tell the service beside each VM and the VM of each
	// instance.
	Services []string       `json:"services"`
	Targets  map[string]int `json:"targets"`
}

// index holds a history by request.
type index struct {
	*History
	records map[string]*Record
	runs    map[string][]usertarget.Entry
}

func (h *History) index() *index {
	x := &index{History: h, records: map[string]*Record{}, runs: map[string][]usertarget.Entry{}}
	for i := range h.Records {
		x.records[h.Records[i].ID] = &h.Records[i]
	}
	for _, entry := range h.Entries {
		if entry.Ran {
			x.runs[entry.Request] = append(x.runs[entry.Request], entry)
		}
	}
	return x
}

// harms reports whether an event disturbs a VM. Planned work doesn't, but for the
// VM on which a process is exchanged.
func (e *Event) harms(vm int) bool {
	switch e.Kind {
	case Publish, PublishBurst, ReloadNode:
		return false
	case BusyStore, CompactStore, OverloadedService:
		return true
	}
	return e.VM == vm || e.VM == all
}

// unplanned reports whether an event is a fault, and no work that operators plan.
func (e *Event) unplanned() bool {
	fault := Fault{Kind: e.Kind}
	return !fault.planned()
}

// disturbsNode reports whether an event keeps a node itself from learning and doing
// what it should. What becomes of its target is no excuse for that.
func (e *Event) disturbsNode(vm int) bool {
	switch e.Kind {
	case KillTarget, DrainTarget, FailingTarget, SlowTarget, OverloadedService, CrashRequest, TargetCrashed:
		return false
	}
	return e.harms(vm)
}

// calm reports whether a VM's node was left alone from a stability window before a
// moment to another one.
func (h *History) calm(vm int, from, to time.Duration) bool {
	return !slices.ContainsFunc(h.Events, func(e Event) bool {
		return e.disturbsNode(vm) && e.Begin <= to && e.End+stability >= from
	})
}

// undisturbed reports whether nothing unplanned harmed a VM, its target included.
func (h *History) undisturbed(vm int, from, to time.Duration) bool {
	return !slices.ContainsFunc(h.Events, func(e Event) bool {
		return e.unplanned() && e.harms(vm) && e.Begin <= to && e.End+stability >= from
	})
}

// published returns the versions whose publication had begun at a moment, and the
// newest whose bound for being in force was over at another; 0 for none.
func (h *History) published(begun, inForce time.Duration) (versions []uint64, newest uint64) {
	for _, e := range h.Events {
		if e.Kind != Publish || e.Version == 0 {
			continue
		}
		if e.Begin <= begun {
			versions = append(versions, e.Version)
		}
		if e.End+applyBound < inForce {
			newest = max(newest, e.Version)
		}
	}
	return versions, newest
}
