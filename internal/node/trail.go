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
)

// RefusedVersion is a version that failed its checks on this node.
type RefusedVersion struct {
	Version  string       `json:"version"`
	Root     string       `json:"root"`
	Time     time.Time    `json:"time"`
	From     string       `json:"from"`
	Findings finding.List `json:"findings"`
}

const (
	// keptRefusedVersions bounds how many refused versions the status shows.
	keptRefusedVersions = 8
	// maxNamedMembers bounds the VM ids of one event. A region that is lost
	// changes hundreds of members at once; one event that names a few and
	// counts the rest keeps the rest of the trail in memory.
	maxNamedMembers = 8
	// refusalPeriod is how often refusals of requests are summed up.
	refusalPeriod = time.Minute
)

// recentRefusals is a port.Audit that passes events on and remembers the last
// versions that were refused.
type recentRefusals struct {
	inner port.Audit

	mu      sync.Mutex
	refused []RefusedVersion
}

// Record implements port.Audit.
func (r *recentRefusals) Record(event port.AuditEvent) {
	r.inner.Record(event)
	if event.Kind != port.AuditRefused {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = append(r.refused, RefusedVersion{
		Version: event.Version, Root: event.Root, Time: event.Time, From: event.From, Findings: event.Findings,
	})
	if len(r.refused) > keptRefusedVersions {
		r.refused = slices.Clone(r.refused[1:])
	}
}

func (r *recentRefusals) versions() []RefusedVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.refused)
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

// memberEvents turns changes of members into audit events, one for each state
// that members changed to.
func memberEvents(changes []membership.Change) []port.AuditEvent {
	changed := map[string][]string{}
	for _, change := range changes {
		state := change.To.String()
		changed[state] = append(changed[state], change.VM.ID)
	}
	var events []port.AuditEvent
	for _, state := range slices.Sorted(maps.Keys(changed)) {
		events = append(events, memberEvent(state, changed[state]))
	}
	return events
}

func memberEvent(state string, ids []string) port.AuditEvent {
	slices.Sort(ids)
	subject := strings.Join(ids[:min(len(ids), maxNamedMembers)], " ")
	if more := len(ids) - maxNamedMembers; more > 0 {
		subject += fmt.Sprintf(" and %d more", more)
	}
	return port.AuditEvent{Kind: port.AuditMemberChanged, Subject: subject, Detail: state}
}
