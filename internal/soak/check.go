package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tamarackquay/standin/usertarget"
)

// Promise is one of the product's guarantees.
type Promise string

// The checked promises.
const (
	// OwnResponse requires that each caller gets the complete response to its own
	// request.
	OwnResponse Promise = "own-answer"
	// AtMostOnce requires that a non-idempotent request runs at most once.
	AtMostOnce Promise = "at-most-once"
	// RefusedNeverRuns requires that a refused request has not run and never will.
	RefusedNeverRuns Promise = "true-refusal"
	// CorrectRoute requires that a request runs only at a service to which some
	// version routes it, that it carries the service of the VM it was sent from as
	// its caller, and that a route that every version has is never reported missing.
	CorrectRoute Promise = "route"
	// AppliedInTime requires that nodes apply a published version in time.
	AppliedInTime Promise = "in-force"
	// NoWorkAfterDrain requires that a target that has left gets no new requests.
	NoWorkAfterDrain Promise = "departed"
	// NoPlannedCut requires that planned operations interrupt no request.
	NoPlannedCut Promise = "nothing-cut"
	// RetryBudget requires that retries of the whole fleet stay within the budget.
	RetryBudget Promise = "budget"
	// NoUnexpectedExit requires that no node process exits by itself.
	NoUnexpectedExit Promise = "stays-up"
	// CrashContained requires that a request that crashes targets is soon blocked
	// from reaching other targets.
	CrashContained Promise = "contained"
	// OthersServed requires that no other request is refused because of these
	// crashes.
	OthersServed Promise = "others-served"
	// LimitKept requires that a target gets no more requests than the limit that it names.
	LimitKept Promise = "limit"
	// Recovered requires that the fleet serves requests again after the last fault.
	Recovered Promise = "recovered"
)

// HasTimeBound reports whether the promise has a time bound. An overloaded test
// machine can break such a promise without a fault in the system.
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

// Check compares the records of callers with the ledgers of targets, and returns
// every broken promise.
func Check(h *History) []Finding {
	x := h.index()
	var found []Finding
	for i := range h.Records {
		r := &h.Records[i]
		for _, check := range []func(*Record) []Finding{x.checkResponse, x.checkRoute, x.checkVersion, x.checkCut} {
			found = append(found, check(r)...)
		}
	}
	found = append(found, x.checkExits()...)
	found = append(found, x.checkDepartures()...)
	found = append(found, x.checkRetries()...)
	found = append(found, x.checkContainment()...)
	found = append(found, x.checkLimits()...)
	return append(found, x.checkRecovery()...)
}

func finding(p Promise, r *Record, format string, args ...any) []Finding {
	return []Finding{{Promise: p, Request: r.ID, At: r.Begin, Detail: fmt.Sprintf(format, args...)}}
}

// checkResponse compares the outcome at the caller with the runs of the request at
// targets.
func (x *index) checkResponse(r *Record) []Finding {
	runs := len(x.runs[r.ID])
	var found []Finding
	if r.Outcome == Wrong {
		found = append(found, finding(OwnResponse, r, "%s", r.Detail)...)
	}
	if r.Outcome == Answered && runs == 0 {
		found = append(found, finding(OwnResponse, r, "answered, but no target ran it")...)
	}
	if !r.Idempotent && runs > 1 {
		found = append(found, finding(AtMostOnce, r, "ran %d times", runs)...)
	}
	if (r.Outcome == Refused || r.Outcome == Unreachable || r.Outcome == Unrouted) && runs > 0 {
		found = append(found, finding(RefusedNeverRuns, r, "%s with status %d, but ran", r.Outcome, r.Status)...)
	}
	return found
}

// checkRoute checks that a request ran only at services to which it may be routed.
func (x *index) checkRoute(r *Record) []Finding {
	var found []Finding
	for _, run := range x.runs[r.ID] {
		if run.Caller != x.Services[r.VM] {
			found = append(found, finding(CorrectRoute, r, "ran with the caller service %q, sent from a VM of service %q", run.Caller, x.Services[r.VM])...)
		}
		versions, _ := x.published(run.At, 0)
		if !slices.Contains(allowedServices(r.Path, versions), run.Service) {
			found = append(found, finding(CorrectRoute, r, "%s ran at %s", r.Path, run.Service)...)
		}
	}
	if r.Outcome == Unrouted && (r.Path == prefixRead || r.Path == prefixFile || r.Path == prefixMoving) {
		found = append(found, finding(CorrectRoute, r, "no route for %s, although every version has it", r.Path)...)
	}
	return found
}

// allowedServices returns the services to which any of the versions routes a path.
func allowedServices(path string, versions []uint64) []string {
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

// checkVersion checks that an undisturbed node handled the request with a version
// that was recent enough: not older than the newest one that had to be applied.
func (x *index) checkVersion(r *Record) []Finding {
	if !x.nodeUndisturbed(r.VM, r.Begin-applyBound, r.End) {
		return nil
	}
	versions, required := x.published(r.End, r.Begin)
	permitted := slices.DeleteFunc(versions, func(v uint64) bool { return v < required })
	if r.Outcome == Unrouted && strings.HasPrefix(r.Path, "/v") {
		for v := uint64(1); v <= required; v++ {
			if r.Path == prefixOfVersion(v) {
				return finding(AppliedInTime, r, "no route for %s, although version %d had to be applied", r.Path, v)
			}
		}
	}
	for _, run := range x.runs[r.ID] {
		if r.Path == prefixMoving && !slices.Contains(allowedServices(r.Path, permitted), run.Service) {
			return finding(AppliedInTime, r, "ran at %s, routed by a version older than %d", run.Service, required)
		}
	}
	return nil
}

// checkCut checks that no request was interrupted by planned operations alone.
func (x *index) checkCut(r *Record) []Finding {
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
	if !arrived && r.End-r.Begin <= closeRaceWindow {
		return nil
	}
	return finding(NoPlannedCut, r, "after %s: %s", r.End-r.Begin, r.Detail)
}

// signalSetupTime bounds the time after its start in which a process may not yet
// handle signals: until the runtime and the first package are initialized, on a
// machine with several times as many busy processes as processors.
const signalSetupTime = 100 * time.Millisecond

// checkExits checks that no node exited by itself. A node that got SIGHUP within
// signalSetupTime of its start is excused: the signal ends a process that has not
// installed a handler yet. The platform starts it again.
func (x *index) checkExits() []Finding {
	var found []Finding
	for _, ended := range x.Events {
		if ended.Kind != NodeExited {
			continue
		}
		excused := slices.ContainsFunc(x.Events, func(e Event) bool {
			return e.Kind == ReloadNode && e.VM == ended.VM && e.Begin >= ended.ProcessStarted && e.Begin < ended.ProcessStarted+signalSetupTime
		})
		if !excused {
			found = append(found, Finding{Promise: NoUnexpectedExit, At: ended.Begin, Detail: fmt.Sprintf("the node of VM %d: %s", ended.VM, ended.Detail)})
		}
	}
	return found
}

// checkDepartures checks that no target that left got requests after the bound. It
// skips requests whose entry node, or the target's own node, was disturbed.
func (x *index) checkDepartures() []Finding {
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
			if x.nodeUndisturbed(r.VM, left.End, entry.At) && x.nodeUndisturbed(left.VM, left.End, entry.At) {
				found = append(found, finding(NoWorkAfterDrain, r, "%s got the request %s after the drain bound", entry.Instance, late)...)
			}
		}
	}
	return found
}

// Parameters of a named limit: a target may get limitExcess times what the limit allows in any
// limitWindow, plus limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
)

// checkLimits checks that no target got more requests than the limit that it named. It skips
// requests whose entry node was disturbed; a restart of the target's own node is no excuse.
func (x *index) checkLimits() []Finding {
	var found []Finding
	for _, limited := range x.Events {
		if limited.Kind != LimitTarget || limited.Instance == "" {
			continue
		}
		var arrivals []time.Duration
		for _, entry := range x.Entries {
			r := x.records[entry.Request]
			counts := entry.Instance == limited.Instance && entry.At > limited.Begin+stabilityWindow && entry.At < limited.End
			if counts && r != nil && x.nodeUndisturbed(r.VM, limited.Begin, entry.At) {
				arrivals = append(arrivals, entry.At)
			}
		}
		for _, end := range arrivals {
			if count := countBetween(arrivals, end-limitWindow, end); float64(count) > limitExcess*namedLimit*limitWindow.Seconds()+limitSlack {
				found = append(found, Finding{Promise: LimitKept, At: end, Detail: fmt.Sprintf("%s got %d requests in %s", limited.Instance, count, limitWindow)})
				break
			}
		}
	}
	return found
}

// budgetStep is the distance between the windows in which retries are counted.
const budgetStep = 500 * time.Millisecond

// checkRetries checks the fleet's retry budget in every window. Every arrival of a
// request at a target after its first one counts as a retry.
func (x *index) checkRetries() []Finding {
	var found []Finding
	for _, service := range services {
		arrivals, retryTimes := x.arrivalTimes(service)
		if len(arrivals) == 0 {
			continue
		}
		for end := arrivals[0]; end <= arrivals[len(arrivals)-1]+budgetStep; end += budgetStep {
			requests := max(countBetween(arrivals, end-budgetWindow, end), countBetween(arrivals, end-budgetWindow*3/2, end-budgetWindow/2), countBetween(arrivals, end-2*budgetWindow, end-budgetWindow))
			retries := countBetween(retryTimes, end-budgetWindow, end)
			if float64(retries) > retryRatio*float64(requests)+retrySlack {
				found = append(found, Finding{Promise: RetryBudget, At: end, Detail: fmt.Sprintf("%s: %d retries of %d requests", service, retries, requests)})
			}
		}
	}
	return found
}

// arrivalTimes returns the times of the first and of the further arrivals of all
// requests at a service.
func (x *index) arrivalTimes(service string) (first, further []time.Duration) {
	seen := map[string]bool{}
	entries := slices.SortedFunc(slices.Values(x.Entries), func(a, b usertarget.Entry) int { return int(a.At - b.At) })
	for _, entry := range entries {
		if entry.Service != service {
			continue
		}
		if seen[entry.Request] {
			further = append(further, entry.At)
			continue
		}
		seen[entry.Request] = true
		first = append(first, entry.At)
	}
	return first, further
}

func countBetween(times []time.Duration, from, to time.Duration) int {
	count := 0
	for _, at := range times {
		if at > from && at <= to {
			count++
		}
	}
	return count
}

// minRecoveredFraction is the fraction of requests that the fleet must answer once
// all faults have ended. The rest allows for requests refused by a target that is
// just leaving.
const minRecoveredFraction = 0.95

// checkRecovery checks that the fleet serves requests again from recoveryTime after
// the last fault.
func (x *index) checkRecovery() []Finding {
	var last time.Duration
	for _, e := range x.Events {
		last = max(last, e.End)
	}
	sent, answered := 0, 0
	for _, r := range x.Records {
		if r.Begin < last+recoveryTime {
			continue
		}
		sent++
		if r.Outcome == Answered {
			answered++
		}
	}
	if float64(answered) >= minRecoveredFraction*float64(sent) {
		return nil
	}
	return []Finding{{Promise: Recovered, At: last, Detail: fmt.Sprintf("%d of %d requests answered after the last fault", answered, sent)}}
}
