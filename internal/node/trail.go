package node

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/membership"
	"tamarackquay/internal/port"
	"tamarackquay/internal/snapshot"
)

// VersionProblem is a version that this node refused, found incomplete, or found
// in conflict with another version of the same number.
type VersionProblem struct {
	// Kind is port.AuditRefused, port.AuditIncomplete or port.AuditConflict.
	Kind     port.AuditKind `json:"kind"`
	Version  string         `json:"version"`
	Root     string         `json:"root"`
	Time     time.Time      `json:"time"`
	From     string         `json:"from"`
	Findings finding.List   `json:"findings"`
}

// Unresolved reports whether the node still lacks a version that an operator
// published: the problem's version is newer than the applied one, or the problem
// is an unreadable manifest and no version was applied since.
func (p VersionProblem) Unresolved(applied snapshot.Version, appliedAt time.Time) bool {
	version, err := snapshot.ParseVersion(p.Version)
	if err != nil || version.IsZero() {
		return p.Time.After(appliedAt)
	}
	return version.NewerThan(applied)
}

// Subject returns the name of the version with the problem.
func (p VersionProblem) Subject() string {
	if version, err := snapshot.ParseVersion(p.Version); err != nil || version.IsZero() {
		return "a manifest that can't be read"
	}
	return "version " + p.Version
}

const (
	// maxVersionProblems bounds the version problems in the status.
	maxVersionProblems = 8
	// maxNamedMembers bounds the VM ids in one event. The loss of a region
	// changes hundreds of members at once; one event that names a few and
	// counts the others doesn't push older events out of the audit trail.
	maxNamedMembers = 8
	// refusalPeriod is the time between two summaries of refused requests.
	refusalPeriod = time.Minute
)

// problemLog is a port.Audit that passes events on and keeps the latest version
// problems. It is safe for concurrent use.
type problemLog struct {
	inner port.Audit

	mu       sync.Mutex
	problems []VersionProblem
}

// Record implements port.Audit.
func (l *problemLog) Record(event port.AuditEvent) {
	l.inner.Record(event)
	switch event.Kind {
	case port.AuditRefused, port.AuditIncomplete, port.AuditConflict:
		l.add(VersionProblem{
			Kind: event.Kind, Version: event.Version, Root: event.Root,
			Time: event.Time, From: event.From, Findings: event.Findings,
		})
	}
}

// add keeps one entry per kind and content: a missing part is reported again
// with each attempt.
func (l *problemLog) add(problem VersionProblem) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := slices.DeleteFunc(slices.Clone(l.problems), func(t VersionProblem) bool {
		return t.Kind == problem.Kind && t.Version == problem.Version && t.Root == problem.Root
	})
	kept = append(kept, problem)
	l.problems = kept[max(0, len(kept)-maxVersionProblems):]
}

// all returns the version problems, oldest first; callers must not change them.
func (l *problemLog) all() []VersionProblem {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.problems
}

// refusalCounter counts refused requests, so that the audit trail gets one event
// per reason and minute instead of one per request. It is safe for concurrent
// use.
type refusalCounter struct {
	mu     sync.Mutex
	since  time.Time
	counts map[port.Reason]int
	total  map[port.Reason]int
}

func newRefusalCounter(now time.Time) *refusalCounter {
	return &refusalCounter{since: now, counts: map[port.Reason]int{}, total: map[port.Reason]int{}}
}

func (t *refusalCounter) add(reason port.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[reason]++
	t.total[reason]++
}

// totals returns the refusals since the start, by reason.
func (t *refusalCounter) totals() map[port.Reason]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.total)
}

// due returns the summary events if a period is over.
func (t *refusalCounter) due(now time.Time) []port.AuditEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	period := now.Sub(t.since)
	if period < refusalPeriod {
		return nil
	}
	var events []port.AuditEvent
	for _, reason := range slices.Sorted(maps.Keys(t.counts)) {
		events = append(events, port.AuditEvent{Kind: port.AuditRequestsRefused, Subject: string(reason),
			Detail: fmt.Sprintf("%d in %s", t.counts[reason], period.Round(time.Second))})
	}
	clear(t.counts)
	t.since = now
	return events
}

// incarnationRaised is the detail of an event after this node found a higher
// incarnation of its own VM id.
const incarnationRaised = "raised its incarnation over another process or an earlier start with its VM id"

// memberEvents combines membership changes into one event for each kind of
// transition, in the order of first occurrence.
func memberEvents(changes []membership.Change) []port.AuditEvent {
	ids := map[string][]string{}
	var transitions []string
	for _, change := range changes {
		transition := change.From.String() + " to " + change.To.String()
		if change.From == change.To {
			// The VM was known from the platform's list only until now.
			transition = "listed as " + change.To.String() + ", heard now"
		}
		if change.IncarnationRaised {
			transition = incarnationRaised
		}
		if ids[transition] == nil {
			transitions = append(transitions, transition)
		}
		ids[transition] = append(ids[transition], change.VM.ID)
	}
	var events []port.AuditEvent
	for _, transition := range transitions {
		events = append(events, port.AuditEvent{Kind: port.AuditMemberChanged, Subject: joinIDs(ids[transition]), Detail: transition})
	}
	return events
}

func joinIDs(ids []string) string {
	slices.Sort(ids)
	text := strings.Join(ids[:min(len(ids), maxNamedMembers)], " ")
	if more := len(ids) - maxNamedMembers; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}
