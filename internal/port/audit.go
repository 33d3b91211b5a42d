package port

import (
	"time"

	"tamarackquay/internal/finding"
)

// AuditKind is the kind of an audit event.
type AuditKind string

// The kinds of audit events.
const (
	AuditStarted AuditKind = "started"
	AuditApplied AuditKind = "version-applied"
	// AuditRefused: a version failed validation.
	AuditRefused AuditKind = "version-refused"
	// AuditConflict: two operators published over each other.
	AuditConflict AuditKind = "version-conflict"
	// AuditIncomplete: the platform does not serve all parts of a version.
	AuditIncomplete AuditKind = "version-incomplete"
	// AuditMemberChanged: VMs changed their membership state. Subject lists their ids,
	// Detail is the transition.
	AuditMemberChanged AuditKind = "member-changed"
	// AuditStopping and AuditStopped are the begin and the end of a planned stop.
	AuditStopping AuditKind = "stopping"
	AuditStopped  AuditKind = "stopped"
	// AuditPlatformDown and AuditPlatformUp: the platform stopped responding to this
	// node's reads, or responds again.
	AuditPlatformDown AuditKind = "platform-down"
	AuditPlatformUp   AuditKind = "platform-up"
	// AuditPaused: the process was paused. Detail is the length of the pause.
	AuditPaused AuditKind = "paused"
	// AuditRequestsRefused summarizes the refused requests of one reason over a
	// minute: Subject is the reason, Detail the count.
	AuditRequestsRefused AuditKind = "requests-refused"
)

// AuditEvent is one entry of the audit trail.
type AuditEvent struct {
	Time time.Time `json:"time"`
	Kind AuditKind `json:"kind"`
	// VM is the id of the VM whose node recorded the event.
	VM string `json:"vm"`
	// Version and Root are set on events that concern a configuration
	// version.
	Version string `json:"version,omitempty"`
	Root    string `json:"root,omitempty"`
	// PublishedBy and PublishedAt are copied from the version's manifest.
	PublishedBy string     `json:"published_by,omitempty"`
	PublishedAt *time.Time `json:"published_at,omitempty"`
	// From is the id of the peer that sent the update, "platform", or empty.
	From string `json:"from,omitempty"`
	// Subject is what the event concerns, and Detail adds to it; see the kinds.
	Subject  string       `json:"subject,omitempty"`
	Detail   string       `json:"detail,omitempty"`
	Findings finding.List `json:"findings,omitempty"`
}
