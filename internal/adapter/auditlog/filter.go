package auditlog

import (
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/port"
)

// Filter narrows a trail. The node applies it before it answers: whole trails
// of 1,600 nodes would be a gigabyte. The zero value takes every event.
type Filter struct {
	// Since drops events before it; zero takes all.
	Since time.Time
	// Kinds keeps events of these kinds; empty keeps all.
	Kinds []string
	// Version keeps events of this version (EPOCH.REVISION); empty keeps all.
	Version string
}

// The query parameters that carry a filter.
const (
	querySince   = "since"
	queryKind    = "kind"
	queryVersion = "version"
)

// Takes reports whether the event passes the filter.
func (f Filter) Matches(event port.AuditEvent) bool {
	if event.Time.Before(f.Since) {
		return false
	}
	if len(f.Kinds) > 0 && !slices.Contains(f.Kinds, string(event.Kind)) {
		return false
	}
	return f.Version == "" || event.Version == f.Version
}

// Apply returns the events that pass, in their order.
func (f Filter) Apply(events []port.AuditEvent) []port.AuditEvent {
	return slices.DeleteFunc(events, func(event port.AuditEvent) bool { return !f.Matches(event) })
}

// Query renders the filter for a request to a node.
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

// ParseFilter reads what Query renders.
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
