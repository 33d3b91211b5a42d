// Package auditlog keeps the audit trail: a bounded number of events in memory
// for operators' pages, and every event in the log stream, which is where the
// trail outlives the process, since VMs keep nothing.
package auditlog

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"tamarackquay/internal/port"
)

// Capacity is how many events stay in memory: at 750 changes a day and a few
// events each, several hours.
const Capacity = 2048

// Stream marks the log lines of the audit trail, so that a collector can keep
// them apart and for longer.
const Stream = "audit"

// Trail implements port.Audit. It is safe for concurrent use.
type Trail struct {
	log *log.Logger

	mu     sync.Mutex
	events []port.AuditEvent
	next   int
}

var _ port.Audit = (*Trail)(nil)

// New returns an empty trail that writes to the logger.
func New(logger *log.Logger) *Trail { return &Trail{log: logger} }

// Record implements port.Audit.
func (t *Trail) Record(event port.AuditEvent) {
	t.log.Info().Str("stream", Stream).Object("event", logged(event)).Msg(string(event.Kind))
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.events) < Capacity {
		t.events = append(t.events, event)
		return
	}
	t.events[t.next] = event
	t.next = (t.next + 1) % Capacity
}

// Events returns the kept events, oldest first.
func (t *Trail) Events() []port.AuditEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := make([]port.AuditEvent, 0, len(t.events))
	events = append(events, t.events[t.next:]...)
	return append(events, t.events[:t.next]...)
}

// logged renders an event as an object of the log line.
type logged port.AuditEvent

// MarshalObject implements log.ObjectMarshaler.
func (l logged) MarshalObject(e *log.Entry) {
	e.TimeFormat("time", time.RFC3339Nano, l.Time.UTC()).Str("vm", l.VM).Str("version", l.Version).Str("root", l.Root)
	e.Str("from", l.From).Str("published_by", l.PublishedBy).Str("subject", l.Subject).Str("detail", l.Detail)
	if l.PublishedAt != nil {
		e.TimeFormat("published_at", time.RFC3339Nano, l.PublishedAt.UTC())
	}
	findings := make([]string, len(l.Findings))
	for i, f := range l.Findings {
		findings[i] = f.String()
	}
	e.Strs("findings", findings)
}
