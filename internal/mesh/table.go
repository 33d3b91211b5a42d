package mesh

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Table maps requests to routes. It is immutable.
type Table struct {
	Config *Config
	// hosts holds the routes of each host, longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
	// restricted holds the routes with allowed regions, by name.
	restricted map[string]*Route
	// names holds the names of all routes.
	names map[string]struct{}
	// longestTimeout is the longest timeout that a route sets, and unsetTimeout is true if a route
	// sets none.
	longestTimeout time.Duration
	unsetTimeout   bool
}

// NewTable indexes a configuration.
func NewTable(config *Config) *Table {
	t := &Table{
		Config: config, hosts: map[string][]*Route{}, services: map[string]*Service{},
		restricted: map[string]*Route{}, names: make(map[string]struct{}, len(config.Routes)),
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
		t.names[route.Name] = struct{}{}
		t.longestTimeout = max(t.longestTimeout, route.Timeout)
		t.unsetTimeout = t.unsetTimeout || route.Timeout == 0
		if len(route.Regions) > 0 {
			t.restricted[route.Name] = route
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	return t
}

// Route returns the host's route with the longest prefix that matches the path, or nil. A
// port in the host is ignored.
func (t *Table) Route(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, route := range t.hosts[strings.ToLower(name)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns the settings of a service, or nil if it isn't configured.
func (t *Table) Service(name string) *Service { return t.services[name] }

// namesSameServices reports whether two tables name the same services.
func (t *Table) namesSameServices(other *Table) bool {
	if len(t.services) != len(other.services) {
		return false
	}
	for name := range t.services {
		if other.services[name] == nil {
			return false
		}
	}
	return true
}

// HasRoute reports whether a route has the name. A nil table has none.
func (t *Table) HasRoute(name string) bool {
	if t == nil {
		return false
	}
	_, ok := t.names[name]
	return ok
}

// LongestTimeout returns the longest timeout of all routes. The argument is the timeout of routes that set
// none, which is also returned without routes, and for a nil table.
func (t *Table) LongestTimeout(unset time.Duration) time.Duration {
	if t == nil || len(t.names) == 0 {
		return unset
	}
	if t.unsetTimeout {
		return max(t.longestTimeout, unset)
	}
	return t.longestTimeout
}

// Restricted returns the named route if it has allowed regions, or nil. A nil table has none.
func (t *Table) Restricted(name string) *Route {
	if t == nil {
		return nil
	}
	return t.restricted[name]
}
