package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tamarackquay/standin/usertarget"
)

// Promise names one of the product's promises.
type Promise string

// The promises that are checked.
const (
	// OwnAnswer: each caller gets the whole answer to its own request.
	OwnResponse Promise = "own-answer"
	// Once: a request that may not be repeated runs at most once.
	AtMostOnce Promise = "at-most-once"
	// TrueRefusal: what was refused has not run and never does.
	RefusedNeverRuns Promise = "true-refusal"
	// Route: a request runs only where some version sends it, marked with the
	// service beside which it began, and an existing route is never denied.
	CorrectRoute Promise = "route"
	// InForce: a version is in force in time.
	AppliedInTime Promise = "in-force"
	// Departed: a target that left gets no new work.
	NoWorkAfterDrain Promise = "departed"
	// NothingCut: planned work cuts no request.
	NoPlannedCut Promise = "nothing-cut"
	// Budget: the fleet sends few requests more than once.
	RetryBudget Promise = "budget"
	// StaysUp: no process of the system ends by itself.
	NoUnexpectedExit Promise = "stays-up"
	// Contained: a request under which targets crash is soon kept from further ones.
	CrashContained Promise = "contained"
	// OthersServed: no other request is refused for such crashes.
	OthersServed Promise = "others-served"
	// Recovered: the fleet serves again after the last fault.
	Recovered Promise = "recovered"
)

// Timed reports whether a promise has a bound in time, which a machine that is
// short of processors can break by itself.
func (p Promise) HasTimeBound() bool {
	switch p {
	case OwnResponse, AtMostOnce, RefusedNeverRuns, CorrectRoute, CrashContained, OthersServed:
		return false
	}
	return true
}

// Finding is one broken promise.
type Finding struct {
	Promise Promise       `json:"promise"`
	Request string        `json:"request,omitempty"`
	At      time.Duration `json:"at"`
	Detail  string        `json:"detail"`
}

// Check compares what callers were told with what targets saw, and returns every
// broken promise.
func Check(h *History) []Finding {
	x := h.index()
	var found []Finding
	for i := range h.Records {
		r := &h.Records[i]
		for _, check := range []func(*Record) []Finding{x.answers, x.routes, x.versions, x.cuts} {
			found = append(found, check(r)...)
		}
	}
	found = append(found, x.ends()...)
	found = append(found, x.departures()...)
	found = append(found, x.repeats()...)
	found = append(found, x.contained()...)
	return append(found, x.recovers()...)
}

func finding(p Promise, r *Record, format string, args ...any) []Finding {
	return []Finding{{Promise: p, Request: r.ID, At: r.Begin, Detail: fmt.Sprintf(format, args...)}}
}

// answers checks what a caller was told against the runs of its request.
func (x *index) answers(r *Record) []Finding {
	runs := len(x.runs[r.ID])
	var found []Finding
	if r.Outcome == Wrong {
		found = append(found, finding(OwnResponse, r, "%s", r.Detail)...)
	}
	if r.Outcome == Answered && runs == 0 {
		found = append(found, finding(OwnResponse, r, "answered, and no target ran it")...)
	}
	if !r.Idempotent && runs > 1 {
		found = append(found, finding(AtMostOnce, r, "ran %d times", runs)...)
	}
	if (r.Outcome == Refused || r.Outcome == Unsent || r.Outcome == Unrouted) && runs > 0 {
		found = append(found, finding(RefusedNeverRuns, r, "%s with status %d, and ran", r.Outcome, r.Status)...)
	}
	return found
}

// routes checks that a request ran only where it may.
func (x *index) routes(r *Record) []Finding {
	var found []Finding
	for _, run := range x.runs[r.ID] {
		if run.Caller != x.Services[r.VM] {
			found = append(found, finding(CorrectRoute, r, "ran with the caller %q, which is beside %q", run.Caller, x.Services[r.VM])...)
		}
		versions, _ := x.published(run.At, 0)
		if !slices.Contains(allowed(r.Path, versions), run.Service) {
			found = append(found, finding(CorrectRoute, r, "%s ran at %s", r.Path, run.Service)...)
		}
	}
	if r.Outcome == Unrouted && (r.Path == prefixRead || r.Path == prefixFile || r.Path == prefixMoving) {
		found = append(found, finding(CorrectRoute, r, "no route for %s, which every version has", r.Path)...)
	}
	return found
}

// allowed lists the services to which any of the versions sends a path.
func allowed(path string, versions []uint64) []string {
	switch path {
	case prefixRead:
		return services[:1]
	case prefixFile:
		return services[1:2]
	case prefixMoving:
		var to []string
		for _, version := range versions {
			to = append(to, movingService(version))
		}
		return to
	}
	for _, version := range versions {
		if path == prefixOfVersion(version) {
			return services[:1]
		}
	}
	return nil
}

// versions checks that a request at a calm node was handled by a version that was
// not overdue.
func (x *index) versions(r *Record) []Finding {
	if !x.calm(r.VM, r.Begin-applyBound, r.End) {
		return nil
	}
	versions, overdue := x.published(r.End, r.Begin)
	inForce := slices.DeleteFunc(versions, func(v uint64) bool { return v < overdue })
	if r.Outcome == Unrouted && strings.HasPrefix(r.Path, "/v") {
		for v := uint64(1); v <= overdue; v++ {
			if r.Path == prefixOfVersion(v) {
				return finding(AppliedInTime, r, "no route for %s, which version %d has had in force", r.Path, v)
			}
		}
	}
	for _, run := range x.runs[r.ID] {
		if r.Path == prefixMoving && !slices.Contains(allowed(r.Path, inForce), run.Service) {
			return finding(AppliedInTime, r, "ran at %s by a version before %d", run.Service, overdue)
		}
	}
	return nil
}

// cuts checks that no request was cut by planned work alone.
func (x *index) cuts(r *Record) []Finding {
	if r.Outcome != Broken || !x.undisturbed(r.VM, r.Begin, r.End) {
		return nil
	}
	arrived := false
	for _, entry := range x.Entries {
		if entry.Request != r.ID {
			continue
		}
		arrived = true
		if !x.undisturbed(x.Targets[entry.Instance], r.Begin, r.End) {
			return nil
		}
	}
	if !arrived && r.End-r.Begin <= lossSlack {
		return nil
	}
	return finding(NoPlannedCut, r, "after %s: %s", r.End-r.Begin, r.Detail)
}

// bareStart is for how long after its start a process may have no handler for
// signals yet: the time until the runtime and the first package are set up, on a
// machine with several times as many busy processes as processors.
const bareStart = 100 * time.Millisecond

// ends checks that no process ended by itself. One that is told of new settings in
// the first moment of its life can't help ending: no program has a handler before
// it runs. The platform starts it again.
func (x *index) ends() []Finding {
	var found []Finding
	for _, ended := range x.Events {
		if ended.Kind != NodeExited {
			continue
		}
		bare := slices.ContainsFunc(x.Events, func(e Event) bool {
			return e.Kind == ReloadNode && e.VM == ended.VM && e.Begin >= ended.ProcessStarted && e.Begin < ended.ProcessStarted+bareStart
		})
		if !bare {
			found = append(found, Finding{Promise: NoUnexpectedExit, At: ended.Begin, Detail: fmt.Sprintf("the node of VM %d: %s", ended.VM, ended.Detail)})
		}
	}
	return found
}

// departures checks that no target that left got work later than it may, as far
// as the entry node and its own node were left alone.
func (x *index) departures() []Finding {
	var found []Finding
	for _, left := range x.Events {
		if left.Kind != DrainTarget || left.Instance == "" {
			continue
		}
		for _, entry := range x.Entries {
			r := x.records[entry.Request]
			late := entry.At - left.End - drainBound
			if !entry.Ran || entry.Instance != left.Instance || late <= 0 || r == nil {
				continue
			}
			if x.calm(r.VM, left.End, entry.At) && x.calm(left.VM, left.End, entry.At) {
				found = append(found, finding(NoWorkAfterDrain, r, "%s got it %s too late", entry.Instance, late)...)
			}
		}
	}
	return found
}

// budgetStep is how far apart the spans are in which repeats are counted.
const budgetStep = 500 * time.Millisecond

// repeats checks the fleet's budget of arrivals beyond the first in every span.
func (x *index) repeats() []Finding {
	var found []Finding
	for _, service := range services {
		arrivals, again := x.arrivals(service)
		if len(arrivals) == 0 {
			continue
		}
		for end := arrivals[0]; end <= arrivals[len(arrivals)-1]+budgetStep; end += budgetStep {
			requests := max(between(arrivals, end-budgetWindow, end), between(arrivals, end-budgetWindow*3/2, end-budgetWindow/2), between(arrivals, end-2*budgetWindow, end-budgetWindow))
			repeats := between(again, end-budgetWindow, end)
			if float64(repeats) > repeatRatio*float64(requests)+repeatFew {
				found = append(found, Finding{Promise: RetryBudget, At: end, Detail: fmt.Sprintf("%s: %d repeats of %d requests", service, repeats, requests)})
			}
		}
	}
	return found
}

// arrivals returns the moments of the first and of the further arrivals of all
// requests at a service.
func (x *index) arrivals(service string) (first, again []time.Duration) {
	seen := map[string]bool{}
	entries := slices.SortedFunc(slices.Values(x.Entries), func(a, b usertarget.Entry) int { return int(a.At - b.At) })
	for _, entry := range entries {
		if entry.Service != service {
			continue
		}
		if seen[entry.Request] {
			again = append(again, entry.At)
			continue
		}
		seen[entry.Request] = true
		first = append(first, entry.At)
	}
	return first, again
}

func between(moments []time.Duration, from, to time.Duration) int {
	count := 0
	for _, at := range moments {
		if at > from && at <= to {
			count++
		}
	}
	return count
}

// recoveredPart is what a fleet without faults must serve. The few that miss are
// requests that a target just leaving turned away.
const recoveredPart = 0.95

// recovers checks that the fleet serves once the last fault is over for a while.
func (x *index) recovers() []Finding {
	var last time.Duration
	for _, e := range x.Events {
		last = max(last, e.End)
	}
	asked, answered := 0, 0
	for _, r := range x.Records {
		if r.Begin < last+recovery {
			continue
		}
		asked++
		if r.Outcome == Answered {
			answered++
		}
	}
	if float64(answered) >= recoveredPart*float64(asked) {
		return nil
	}
	return []Finding{{Promise: Recovered, At: last, Detail: fmt.Sprintf("%d of %d requests answered after the last fault", answered, asked)}}
}
