package port

import (
	"time"

	"tamarackquay/internal/finding"
)

// AuditKind is the kind of an audit event.
type AuditKind string

// The kinds of audit events.
const (
	AuditStarted       AuditKind = "started"
	AuditApplied       AuditKind = "version-applied"
	AuditRefused       AuditKind = "version-refused"
	AuditConflict      AuditKind = "version-conflict"
	AuditIncomplete    AuditKind = "version-incomplete"
	AuditMemberChanged AuditKind = "member-changed"
	AuditStopping      AuditKind = "stopping"
	AuditStopped       AuditKind = "stopped"
	AuditPlatformDown  AuditKind = "platform-down"
	AuditPlatformUp    AuditKind = "platform-up"
	AuditPaused        AuditKind = "paused"
	// AuditRequestsRefused summarizes the refused requests of one reason over a
	// minute: Subject is the reason, Detail the count.
	AuditRequestsRefused AuditKind = "requests-refused"
)

// AuditEvent is one entry of the audit trail.
type AuditEvent struct {
	Time time.Time `json:"time"`
	Kind AuditKind `json:"kind"`
	VM   string    `json:"vm"`
	// Version and Root are set on events that concern a configuration
	// version.
	Version string `json:"version,omitempty"`
	Root    string `json:"root,omitempty"`
	// PublishedBy and PublishedAt are copied from the version's manifest.
	PublishedBy string     `json:"published_by,omitempty"`
	PublishedAt *time.Time `json:"published_at,omitempty"`
	// From is the id of the peer that sent the update, "platform", or empty.
	From     string       `json:"from,omitempty"`
	Subject  string       `json:"subject,omitempty"`
	Detail   string       `json:"detail,omitempty"`
	Findings finding.List `json:"findings,omitempty"`
}
