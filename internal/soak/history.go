package soak

import (
	"slices"
	"time"

	"tamarackquay/standin/usertarget"
)

// History holds all observations of one run.
type History struct {
	Records []Record           `json:"records"`
	Entries []usertarget.Entry `json:"entries"`
	Events  []Event            `json:"events"`
	// Services is indexed by VM and holds the service of its target. Targets maps
	// each target instance to its VM.
	Services []string       `json:"services"`
	Targets  map[string]int `json:"targets"`
}

// index is a history with records and runs indexed by request ID.
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

// affects reports whether an event disturbs a VM. Publishing and reloading disturb
// none, store faults and an overloaded service disturb all. Other events, also the
// planned replacement of a process, disturb the VM that they name, or all VMs if they
// name allVMs.
func (e *Event) affects(vm int) bool {
	switch e.Kind {
	case Publish, PublishBurst, ReloadNode:
		return false
	case BusyStore, CompactStore, OverloadedService:
		return true
	}
	return e.VM == vm || e.VM == allVMs
}

// unplanned reports whether an event is a fault rather than a planned operation.
func (e *Event) unplanned() bool {
	fault := Fault{Kind: e.Kind}
	return !fault.planned()
}

// affectsNode reports whether an event disturbs the node of a VM. Faults of its
// target don't: the node must still receive updates and act in time.
func (e *Event) affectsNode(vm int) bool {
	switch e.Kind {
	case KillTarget, DrainTarget, FailingTarget, SlowTarget, LimitTarget, OverloadedService, CrashRequest, TargetCrashed,
		DepartInRestart, LateWrite, ClockBehind:
		return false
	}
	return e.affects(vm)
}

// nodeUndisturbed reports whether no event affected a VM's node between two moments
// and in the stability window before them.
func (h *History) nodeUndisturbed(vm int, from, to time.Duration) bool {
	return !slices.ContainsFunc(h.Events, func(e Event) bool {
		return e.affectsNode(vm) && e.Begin <= to && e.End+stabilityWindow >= from
	})
}

// undisturbed reports whether no unplanned event affected a VM or its target
// between two moments and in the stability window before them.
func (h *History) undisturbed(vm int, from, to time.Duration) bool {
	return !slices.ContainsFunc(h.Events, func(e Event) bool {
		return e.unplanned() && e.affects(vm) && e.Begin <= to && e.End+stabilityWindow >= from
	})
}

// published returns the versions whose publication began no later than publishedBy,
// and the newest version that had to be applied before appliedBy, or 0 for none.
func (h *History) published(publishedBy, appliedBy time.Duration) (versions []uint64, newest uint64) {
	for _, e := range h.Events {
		if e.Kind != Publish || e.Version == 0 {
			continue
		}
		if e.Begin <= publishedBy {
			versions = append(versions, e.Version)
		}
		if e.End+applyBound < appliedBy {
			newest = max(newest, e.Version)
		}
	}
	return versions, newest
}
