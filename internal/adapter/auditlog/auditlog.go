// Package auditlog records the audit trail. A limited number of events is kept in memory for the
// operators' pages, and every event is written to the log stream. VMs have no persistent
// storage, so only the log stream preserves the trail after the process ends.
package auditlog

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"tamarackquay/internal/port"
)

// Capacity is the number of events kept in memory. With 750 changes a day and a few events for
// each, this covers several hours.
const Capacity = 2048

// Stream is the value of the stream field in log lines of the audit trail. A log collector can
// store these lines separately and for longer.
const Stream = "audit"

// Trail is an audit trail. It implements port.Audit and is safe for concurrent use.
type Trail struct {
	log *log.Logger

	mu     sync.Mutex
	events []port.AuditEvent
	next   int
}

var _ port.Audit = (*Trail)(nil)

// New returns an empty trail that also writes its events to the logger.
func New(logger *log.Logger) *Trail { return &Trail{log: logger} }

// Record implements port.Audit.
func (t *Trail) Record(event port.AuditEvent) {
	t.log.Info().Str("stream", Stream).Object("event", eventObject(event)).Msg(string(event.Kind))
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.events) < Capacity {
		t.events = append(t.events, event)
		return
	}
	t.events[t.next] = event
	t.next = (t.next + 1) % Capacity
}

// Events returns the events in memory, oldest first.
func (t *Trail) Events() []port.AuditEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := make([]port.AuditEvent, 0, len(t.events))
	events = append(events, t.events[t.next:]...)
	return append(events, t.events[:t.next]...)
}

// eventObject encodes an event as an object in a log line.
type eventObject port.AuditEvent

// MarshalObject implements log.ObjectMarshaler.
func (l eventObject) MarshalObject(e *log.Entry) {
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
