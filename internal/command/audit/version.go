package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tamarackquay/internal/port"
)

// versionLine sums up what nodes did about one version. Two contents under one
// number are two lines: that is what two operators who raced look like.
type versionLine struct {
	Version     string    `json:"version"`
	Root        string    `json:"root"`
	PublishedBy string    `json:"published_by"`
	PublishedAt time.Time `json:"published_at"`
	// Applied and Refused count nodes; a node that restarted, or that refused
	// the version twice, counts once.
	Applied int `json:"applied"`
	Refused int `json:"refused"`
	// First and Last are when the first and the last node put it in force.
	First time.Time `json:"first"`
	Last  time.Time `json:"last"`
	// SlowestVM is the node that was last.
	SlowestVM string `json:"slowest_vm,omitempty"`

	applied, refused map[string]bool
}

// summarize makes a line per version from events in order of time.
func summarize(events []port.AuditEvent) []versionLine {
	type key struct{ version, root string }
	lines := map[key]*versionLine{}
	for _, event := range events {
		if event.Kind != port.AuditApplied && event.Kind != port.AuditRefused {
			continue
		}
		of := key{event.Version, event.Root}
		if lines[of] == nil {
			lines[of] = &versionLine{Version: event.Version, Root: event.Root,
				applied: map[string]bool{}, refused: map[string]bool{}}
		}
		lines[of].add(event)
	}
	var sorted []versionLine
	for _, line := range lines {
		sorted = append(sorted, *line)
	}
	slices.SortFunc(sorted, func(a, b versionLine) int {
		return cmp.Or(a.First.Compare(b.First), cmp.Compare(a.Root, b.Root))
	})
	return sorted
}

func (l *versionLine) add(event port.AuditEvent) {
	if event.Kind == port.AuditRefused {
		l.refused[event.VM] = true
		l.Refused = len(l.refused)
		return
	}
	if l.applied[event.VM] {
		return
	}
	l.applied[event.VM] = true
	l.Applied = len(l.applied)
	l.PublishedBy = event.PublishedBy
	if event.PublishedAt != nil {
		l.PublishedAt = *event.PublishedAt
	}
	if l.First.IsZero() {
		l.First = event.Time
	}
	l.Last = event.Time
	l.SlowestVM = event.VM
}

// rootDigits is how much of a root is shown.
const rootDigits = 12

// String renders the line for people.
func (l versionLine) String() string {
	text := fmt.Sprintf("version %s  root %s", l.Version, l.Root[:min(rootDigits, len(l.Root))])
	if l.PublishedBy != "" {
		text += fmt.Sprintf("  published by %s at %s", l.PublishedBy, l.PublishedAt.UTC().Format(timeLayout))
	}
	if l.Applied > 0 {
		text += fmt.Sprintf("  in force on %d nodes, the last (%s) %s after the first",
			l.Applied, l.SlowestVM, l.Last.Sub(l.First).Round(time.Millisecond))
	}
	if l.Refused > 0 {
		text += fmt.Sprintf("  refused by %d nodes", l.Refused)
	}
	return text
}
