package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"tamarackquay/internal/port"
)

// versionSummary sums up the events of one version. Two contents published under
// one number, as by two operators at the same time, are two summaries.
type versionSummary struct {
	Version     string    `json:"version"`
	Root        string    `json:"root"`
	PublishedBy string    `json:"published_by"`
	PublishedAt time.Time `json:"published_at"`
	// Applied and Refused count nodes. A node that applied the version again after
	// a restart, or that refused it twice, counts once.
	Applied int `json:"applied"`
	Refused int `json:"refused"`
	// First and Last are the times at which the first and the last node applied it.
	First time.Time `json:"first"`
	Last  time.Time `json:"last"`
	// SlowestVM is the node that applied it last.
	SlowestVM string `json:"slowest_vm,omitempty"`

	applied, refused map[string]bool
}

// summarize returns a summary per version. The events must be in order of time.
func summarize(events []port.AuditEvent) []versionSummary {
	type key struct{ version, root string }
	lines := map[key]*versionSummary{}
	for _, event := range events {
		if event.Kind != port.AuditApplied && event.Kind != port.AuditRefused {
			continue
		}
		k := key{event.Version, event.Root}
		if lines[k] == nil {
			lines[k] = &versionSummary{Version: event.Version, Root: event.Root,
				applied: map[string]bool{}, refused: map[string]bool{}}
		}
		lines[k].add(event)
	}
	var summaries []versionSummary
	for _, line := range lines {
		summaries = append(summaries, *line)
	}
	slices.SortFunc(summaries, func(a, b versionSummary) int {
		return cmp.Or(a.First.Compare(b.First), cmp.Compare(a.Root, b.Root))
	})
	return summaries
}

func (l *versionSummary) add(event port.AuditEvent) {
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

// rootDigits is the number of hex digits of a root that are shown.
const rootDigits = 12

// String formats the summary as a line of text.
func (l versionSummary) String() string {
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
