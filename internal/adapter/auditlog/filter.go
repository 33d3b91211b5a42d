package auditlog

import (
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/port"
)

// Filter selects events of a trail. Nodes apply it before they respond, since the complete trails
// of 1,600 nodes would be a gigabyte. The zero value selects all events.
type Filter struct {
	// Since selects events at or after this time; zero selects all.
	Since time.Time
	// Kinds selects events of these kinds; empty selects all.
	Kinds []string
	// Version selects events of this version (EPOCH.REVISION); empty selects all.
	Version string
}

// Query parameters of a filter.
const (
	querySince   = "since"
	queryKind    = "kind"
	queryVersion = "version"
)

// Matches reports whether an event is selected by the filter.
func (f Filter) Matches(event port.AuditEvent) bool {
	if event.Time.Before(f.Since) {
		return false
	}
	if len(f.Kinds) > 0 && !slices.Contains(f.Kinds, string(event.Kind)) {
		return false
	}
	return f.Version == "" || event.Version == f.Version
}

// Apply returns the selected events in their order. It modifies the slice of events.
func (f Filter) Apply(events []port.AuditEvent) []port.AuditEvent {
	return slices.DeleteFunc(events, func(event port.AuditEvent) bool { return !f.Matches(event) })
}

// Query encodes the filter for a request to a node.
func (f Filter) Query() url.Values {
	query := url.Values{}
	if !f.Since.IsZero() {
		query.Set(querySince, f.Since.UTC().Format(time.RFC3339Nano))
	}
	if len(f.Kinds) > 0 {
		query.Set(queryKind, strings.Join(f.Kinds, ","))
	}
	if f.Version != "" {
		query.Set(queryVersion, f.Version)
	}
	return query
}

// ParseFilter decodes a filter that was encoded by Query.
func ParseFilter(query url.Values) (Filter, error) {
	filter := Filter{Version: query.Get(queryVersion)}
	if kinds := query.Get(queryKind); kinds != "" {
		filter.Kinds = strings.Split(kinds, ",")
	}
	if since := query.Get(querySince); since != "" {
		parsed, err := time.Parse(time.RFC3339Nano, since)
		if err != nil {
			return Filter{}, errors.Errorf("since %q: write a time as in 2026-12-03T00:00:00Z", since)
		}
		filter.Since = parsed
	}
	return filter, nil
}
