package soak

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/standin/usertarget"
)

// sound is a history of two VMs in which every promise was kept: version 1 is in
// force from the start, version 2 from 20 s on, and a target leaves at 40 s.
func sound() *History {
	h := &History{
		Services: []string{"alpha", "beta"},
		Targets:  map[string]int{"i-1": 0, "i-2": 1},
		Events: []Event{
			{Kind: Publish, VM: all, Begin: 0, End: time.Second, Version: 1},
			{Kind: Publish, VM: all, Begin: 20 * time.Second, End: 20 * time.Second, Version: 2},
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

// add records a request of VM 0 that was answered after one run.
func (h *History) add(name, path, instance, service string, at time.Duration) {
	id := fmt.Sprint(name, int(at.Seconds()))
	h.Records = append(h.Records, Record{
		ID: id, Path: path, Idempotent: path != prefixFile, Begin: at, End: at + 30*time.Millisecond, Outcome: Answered, Status: 200,
	})
	h.Entries = append(h.Entries, usertarget.Entry{Request: id, Instance: instance, Service: service, Caller: "alpha", Path: path, Ran: true, At: at + time.Millisecond})
}

// addCrash records a request under which a target crashes, always the same.
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

// Each check finds the breach that it is for, and nothing in a sound history.
func TestEachPromiseCanBeFoundBroken(t *testing.T) {
	for _, test := range []struct {
		desc  string
		spoil func(h *History)
		want  Promise
	}{
		{"nothing", func(*History) {}, ""},
		{"an answer with other bytes", func(h *History) { h.record("read7").Outcome = Wrong }, OwnResponse},
		{"an answer that no target made", func(h *History) { h.entry("read7").Ran = false }, OwnResponse},
		{"a filing that ran twice", func(h *History) { h.Entries = append(h.Entries, *h.entry("file7")) }, AtMostOnce},
		{"a refusal of what ran", func(h *History) { h.record("file7").Outcome = Refused }, RefusedNeverRuns},
		{"a run at a service to which no version sends it", func(h *History) { h.entry("file7").Service = "alpha" }, CorrectRoute},
		{"a run with another caller's service", func(h *History) { h.entry("file7").Caller = "beta" }, CorrectRoute},
		{"a route that every version has is denied", func(h *History) {
			h.record("read7").Outcome = Unrouted
			h.entry("read7").Ran = false
		}, CorrectRoute},
		{"a run by an old version", func(h *History) { h.add("moving", prefixMoving, "i-2", movingService(1), 30*time.Second) }, AppliedInTime},
		{"a new route is not there", func(h *History) {
			h.Records = append(h.Records, Record{ID: "new", Path: prefixOfVersion(2), Begin: 30 * time.Second, End: 30 * time.Second, Outcome: Unrouted})
		}, AppliedInTime},
		{"work for a target that left", func(h *History) { h.add("late", prefixFile, "i-2", "beta", 44*time.Second) }, NoWorkAfterDrain},
		{"a request that a planned stop cut", func(h *History) {
			h.Events = append(h.Events, Event{Kind: RestartNode, VM: 0, Begin: 10 * time.Second, End: 12 * time.Second})
			h.record("file11").Outcome = Broken
		}, NoPlannedCut},
		{"a process that ends by itself", func(h *History) {
			h.Events = append(h.Events, Event{Kind: NodeExited, VM: 0, Begin: 10 * time.Second, End: 11 * time.Second, ProcessStarted: time.Second},
				Event{Kind: ReloadNode, VM: 0, Begin: 2 * time.Second, End: 2 * time.Second})
		}, NoUnexpectedExit},
		{"more repeats than the budget has", func(h *History) {
			for range repeatFew + 20 {
				h.Entries = append(h.Entries, *h.entry("read7"))
			}
		}, RetryBudget},
		{"a request under which targets crash goes on to others", func(h *History) {
			for second := 10; second < 20; second++ {
				h.addCrash(time.Duration(second) * time.Second)
			}
		}, CrashContained},
		{"a request is refused that only ran beside one", func(h *History) {
			h.record("read7").Outcome, h.entry("read7").Ran = Refused, false
			h.record("read7").Detail = `{"reason":"quarantined"}`
		}, OthersServed},
		{"no service after the last fault", func(h *History) {
			for i := range h.Records {
				if r := &h.Records[i]; r.Begin > 50*time.Second {
					r.Outcome = Failed
				}
			}
		}, Recovered},
	} {
		t.Run(test.desc, func(t *testing.T) {
			h := sound()
			test.spoil(h)
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

// A bound is no promise while a VM is disturbed: a frozen node can't know what was
// published, and a killed one cuts what it held.
func TestDisturbedNodesAreExcused(t *testing.T) {
	h := sound()
	h.Events = append(h.Events, Event{Kind: FreezeNode, VM: 0, Begin: 28 * time.Second, End: 30 * time.Second}, Event{Kind: KillNode, VM: 0, Begin: 11 * time.Second, End: 11 * time.Second})
	h.add("moving", prefixMoving, "i-2", movingService(1), 30*time.Second)
	h.record("file11").Outcome = Broken
	assert.Equal(t, len(Check(h)), 0)
}

// A process that gets a signal before it can have a handler isn't to blame.
func TestSignalInTheFirstMomentIsExcused(t *testing.T) {
	h := sound()
	h.Events = append(h.Events, Event{Kind: NodeExited, VM: 0, Begin: 10 * time.Second, End: 11 * time.Second, ProcessStarted: 10*time.Second - 15*time.Millisecond},
		Event{Kind: ReloadNode, VM: 0, Begin: 10*time.Second - 5*time.Millisecond, End: 10 * time.Second})
	assert.Equal(t, len(Check(h)), 0)
}

func TestPlansAreRepeatableAndEndCalm(t *testing.T) {
	for seed := range uint64(50) {
		plan := NewPlan(seed, 20*time.Second, 6)
		assert.DeepEqual(t, plan, NewPlan(seed, 20*time.Second, 6))
		for _, f := range plan {
			assert.Assert(t, f.Kind == KillAll || f.At+f.Duration <= 20*time.Second-finalBefore, "%d: %v", seed, f)
		}
	}
}

// Until a stability window after the third crash, and three times after that, a request
// may reach targets under which they crash.
func TestFirstCrashesAreTolerated(t *testing.T) {
	h := sound()
	for _, at := range []time.Duration{10, 11, 12, 13, 14, 16, 17, 18} {
		h.addCrash(at * time.Second)
	}
	assert.Equal(t, len(Check(h)), 0)
}
