package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/standin/usertarget"
)

// validHistory returns a history of two VMs in which every promise is kept. Version 1
// is published at the start, version 2 at 20 s, and a target leaves at 40 s.
func validHistory() *History {
	h := &History{
		Services: []string{"alpha", "beta"},
		Targets:  map[string]int{"i-1": 0, "i-2": 1},
		Events: []Event{
			{Kind: Publish, VM: allVMs, Begin: 0, End: time.Second, Version: 1},
			{Kind: Publish, VM: allVMs, Begin: 20 * time.Second, End: 20 * time.Second, Version: 2},
			{Kind: DrainTarget, VM: 1, Begin: 40 * time.Second, End: 40 * time.Second, Instance: "i-2"},
		},
	}
	for second := 5; second < 60; second++ {
		at := time.Duration(second) * time.Second
		h.add("read", prefixRead, "i-1", "alpha", at)
		if second < 40 {
			h.add("file", prefixFile, "i-2", "beta", at)
		}
		if second < 20 {
			h.add("moving", prefixMoving, "i-2", movingService(1), at)
		}
	}
	return h
}

// add adds a request of VM 0 that was answered after one run.
func (h *History) add(name, path, instance, service string, at time.Duration) {
	id := fmt.Sprint(name, int(at.Seconds()))
	h.Records = append(h.Records, Record{
		ID: id, Path: path, Idempotent: path != prefixFile, Begin: at, End: at + 30*time.Millisecond, Outcome: Answered, Status: 200,
	})
	h.Entries = append(h.Entries, usertarget.Entry{Request: id, Instance: instance, Service: service, Caller: "alpha", Path: path, Ran: true, At: at + time.Millisecond})
}

// addCrash adds a run of the crashing request crash-1, and the crash of its target.
func (h *History) addCrash(at time.Duration) {
	id, instance := fmt.Sprint("crash", at), fmt.Sprint("i-", at)
	h.Records = append(h.Records, Record{ID: id, Path: prefixRead, Idempotent: true, CrashID: "crash-1", Begin: at, End: at, Outcome: Failed})
	h.Entries = append(h.Entries, usertarget.Entry{Request: id, Instance: instance, Service: "alpha", Caller: "alpha", Path: prefixRead, Ran: true, At: at})
	h.Events = append(h.Events, Event{Kind: TargetCrashed, VM: 1, Begin: at, End: at, Instance: instance})
}

func (h *History) record(id string) *Record {
	for i := range h.Records {
		if h.Records[i].ID == id {
			return &h.Records[i]
		}
	}
	panic(id)
}

func (h *History) entry(id string) *usertarget.Entry {
	for i := range h.Entries {
		if h.Entries[i].Request == id {
			return &h.Entries[i]
		}
	}
	panic(id)
}

// Guards against a check that misses the violation it is for, or that reports another
// one. A history without violations must give no findings.
func TestEachViolationIsDetected(t *testing.T) {
	for _, test := range []struct {
		desc    string
		corrupt func(h *History)
		want    Promise
	}{
		{"nothing", func(*History) {}, ""},
		{"response with other bytes", func(h *History) { h.record("read7").Outcome = Wrong }, OwnResponse},
		{"answered although no target ran it", func(h *History) { h.entry("read7").Ran = false }, OwnResponse},
		{"non-idempotent request that ran twice", func(h *History) { h.Entries = append(h.Entries, *h.entry("file7")) }, AtMostOnce},
		{"refused request that ran", func(h *History) { h.record("file7").Outcome = Refused }, RefusedNeverRuns},
		{"run at a service to which no version routes it", func(h *History) { h.entry("file7").Service = "alpha" }, CorrectRoute},
		{"run with the wrong caller service", func(h *History) { h.entry("file7").Caller = "beta" }, CorrectRoute},
		{"missing route that every version has", func(h *History) {
			h.record("read7").Outcome = Unrouted
			h.entry("read7").Ran = false
		}, CorrectRoute},
		{"run routed by an outdated version", func(h *History) { h.add("moving", prefixMoving, "i-2", movingService(1), 30*time.Second) }, AppliedInTime},
		{"missing route of a new version", func(h *History) {
			h.Records = append(h.Records, Record{ID: "new", Path: prefixOfVersion(2), Begin: 30 * time.Second, End: 30 * time.Second, Outcome: Unrouted})
		}, AppliedInTime},
		{"request to a target that left", func(h *History) { h.add("late", prefixFile, "i-2", "beta", 44*time.Second) }, NoWorkAfterDrain},
		{"request interrupted by a planned stop", func(h *History) {
			h.Events = append(h.Events, Event{Kind: RestartNode, VM: 0, Begin: 10 * time.Second, End: 12 * time.Second})
			h.record("file11").Outcome = Broken
		}, NoPlannedCut},
		{"process that exits by itself", func(h *History) {
			h.Events = append(h.Events, Event{Kind: NodeExited, VM: 0, Begin: 10 * time.Second, End: 11 * time.Second, ProcessStarted: time.Second},
				Event{Kind: ReloadNode, VM: 0, Begin: 2 * time.Second, End: 2 * time.Second})
		}, NoUnexpectedExit},
		{"more retries than the budget allows", func(h *History) {
			for range retrySlack + 20 {
				h.Entries = append(h.Entries, *h.entry("read7"))
			}
		}, RetryBudget},
		{"crashing request that keeps reaching targets", func(h *History) {
			for second := 10; second < 20; second++ {
				h.addCrash(time.Duration(second) * time.Second)
			}
		}, CrashContained},
		{"refused request that only ran at the time of a crash", func(h *History) {
			h.record("read7").Outcome, h.entry("read7").Ran = Refused, false
			h.record("read7").Detail = `{"reason":"quarantined"}`
		}, OthersServed},
		{"more requests than the limit that a target named", func(h *History) {
			h.Events = append(h.Events, Event{Kind: LimitTarget, VM: 0, Begin: 10 * time.Second, End: 19 * time.Second, Instance: "i-1"})
			for at := 14 * time.Second; at < 16*time.Second; at += 40 * time.Millisecond {
				h.add(fmt.Sprint("limited", at), prefixRead, "i-1", "alpha", at)
			}
		}, LimitKept},
		{"no recovery after the last fault", func(h *History) {
			for i := range h.Records {
				if r := &h.Records[i]; r.Begin > 50*time.Second {
					r.Outcome = Failed
				}
			}
		}, Recovered},
	} {
		t.Run(test.desc, func(t *testing.T) {
			h := validHistory()
			test.corrupt(h)
			found := map[Promise]bool{}
			for _, f := range Check(h) {
				found[f.Promise] = true
			}
			if test.want == "" {
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			assert.DeepEqual(t, found, map[Promise]bool{test.want: true})
		})
	}
}

// Guards against findings on disturbed VMs, for which the bounds don't hold: a frozen
// node can't apply a published version, and a killed one interrupts its requests.
func TestDisturbedNodesCauseNoFindings(t *testing.T) {
	h := validHistory()
	h.Events = append(h.Events, Event{Kind: FreezeNode, VM: 0, Begin: 28 * time.Second, End: 30 * time.Second}, Event{Kind: KillNode, VM: 0, Begin: 11 * time.Second, End: 11 * time.Second})
	h.add("moving", prefixMoving, "i-2", movingService(1), 30*time.Second)
	h.record("file11").Outcome = Broken
	assert.Equal(t, len(Check(h)), 0)
}

// Guards against a finding for a process that a signal ended before it could install
// a handler.
func TestSignalBeforeHandlerCausesNoFinding(t *testing.T) {
	h := validHistory()
	h.Events = append(h.Events, Event{Kind: NodeExited, VM: 0, Begin: 10 * time.Second, End: 11 * time.Second, ProcessStarted: 10*time.Second - 15*time.Millisecond},
		Event{Kind: ReloadNode, VM: 0, Begin: 10*time.Second - 5*time.Millisecond, End: 10 * time.Second})
	assert.Equal(t, len(Check(h)), 0)
}

func TestPlansAreRepeatableAndEndWithoutFaults(t *testing.T) {
	for seed := range uint64(50) {
		plan := NewPlan(seed, 20*time.Second, 6)
		assert.DeepEqual(t, plan, NewPlan(seed, 20*time.Second, 6))
		for _, f := range plan {
			assert.Assert(t, f.Kind == KillAll || f.At+f.Duration <= 20*time.Second-killAllLead, "%d: %v", seed, f)
		}
	}
}

// Guards against a finding for tolerated crashes: a crashing request may reach targets
// until a stability window after the third crash, and three more times after that.
func TestFirstCrashesAreTolerated(t *testing.T) {
	h := validHistory()
	for _, at := range []time.Duration{10, 11, 12, 13, 14, 16, 17, 18} {
		h.addCrash(at * time.Second)
	}
	assert.Equal(t, len(Check(h)), 0)
}
