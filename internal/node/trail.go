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

// VersionTrouble is a version that this node refused, can't get whole, or found
// to have been published over another.
type VersionProblem struct {
	// Kind is port.AuditRefused, port.AuditIncomplete or port.AuditConflict.
	Kind     port.AuditKind `json:"kind"`
	Version  string         `json:"version"`
	Root     string         `json:"root"`
	Time     time.Time      `json:"time"`
	From     string         `json:"from"`
	Findings finding.List   `json:"findings"`
}

// Stands reports whether the node is still without something that an operator
// meant it to have: the trouble's version is newer than the one in force, or it
// was a manifest that can't be read, and no version came into force since.
func (t VersionProblem) Unresolved(applied snapshot.Version, appliedAt time.Time) bool {
	version, err := snapshot.ParseVersion(t.Version)
	if err != nil || version.IsZero() {
		return t.Time.After(appliedAt)
	}
	return version.NewerThan(applied)
}

// Subject names what the trouble is with.
func (t VersionProblem) Subject() string {
	if version, err := snapshot.ParseVersion(t.Version); err != nil || version.IsZero() {
		return "a manifest that can't be read"
	}
	return "version " + t.Version
}

const (
	// keptTroubles bounds how many troubles with versions the status shows.
	keptTroubles = 8
	// maxNamedMembers bounds the VM ids of one event. A region that is lost
	// changes hundreds of members at once; one event that names a few and
	// counts the rest keeps the rest of the trail in memory.
	maxNamedMembers = 8
	// refusalPeriod is how often refusals of requests are summed up.
	refusalPeriod = time.Minute
)

// troubleLog is a port.Audit that passes events on and remembers the last
// troubles with versions. It is safe for concurrent use.
type troubleLog struct {
	inner port.Audit

	mu       sync.Mutex
	troubles []VersionProblem
}

// Record implements port.Audit.
func (l *troubleLog) Record(event port.AuditEvent) {
	l.inner.Record(event)
	switch event.Kind {
	case port.AuditRefused, port.AuditIncomplete, port.AuditConflict:
		l.remember(VersionProblem{
			Kind: event.Kind, Version: event.Version, Root: event.Root,
			Time: event.Time, From: event.From, Findings: event.Findings,
		})
	}
}

// remember keeps one entry per kind and content: a missing part is told again
// each time it is tried.
func (l *troubleLog) remember(trouble VersionProblem) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := slices.DeleteFunc(slices.Clone(l.troubles), func(t VersionProblem) bool {
		return t.Kind == trouble.Kind && t.Version == trouble.Version && t.Root == trouble.Root
	})
	kept = append(kept, trouble)
	l.troubles = kept[max(0, len(kept)-keptTroubles):]
}

// all returns the troubles, oldest first; callers must not change them.
func (l *troubleLog) all() []VersionProblem {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.troubles
}

// refusalTally sums up refusals of requests, so that the audit trail gets one
// event per reason and minute instead of one per request. It is safe for
// concurrent use.
type refusalTally struct {
	mu     sync.Mutex
	since  time.Time
	counts map[port.Reason]int
	total  map[port.Reason]int
}

func newRefusalTally(now time.Time) *refusalTally {
	return &refusalTally{since: now, counts: map[port.Reason]int{}, total: map[port.Reason]int{}}
}

func (t *refusalTally) add(reason port.Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[reason]++
	t.total[reason]++
}

// totals returns the refusals since the start, by reason.
func (t *refusalTally) totals() map[port.Reason]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.total)
}

// due returns the events of a period that is over.
func (t *refusalTally) due(now time.Time) []port.AuditEvent {
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

// raisedDetail tells that this node found a higher incarnation of its own VM id.
const raisedDetail = "raised its incarnation over another process or an earlier start with its VM id"

// memberEvents turns changes of the membership into one event for each way in
// which members changed, in the order in which the ways first came.
func memberEvents(changes []membership.Change) []port.AuditEvent {
	moved := map[string][]string{}
	var ways []string
	for _, change := range changes {
		way := change.From.String() + " to " + change.To.String()
		if change.From == change.To {
			// The VM was known from the platform's list alone until now.
			way = "listed as " + change.To.String() + ", heard now"
		}
		if change.IncarnationRaised {
			way = raisedDetail
		}
		if moved[way] == nil {
			ways = append(ways, way)
		}
		moved[way] = append(moved[way], change.VM.ID)
	}
	var events []port.AuditEvent
	for _, way := range ways {
		events = append(events, port.AuditEvent{Kind: port.AuditMemberChanged, Subject: nameSome(moved[way]), Detail: way})
	}
	return events
}

func nameSome(ids []string) string {
	slices.Sort(ids)
	text := strings.Join(ids[:min(len(ids), maxNamedMembers)], " ")
	if more := len(ids) - maxNamedMembers; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text
}
