package mesh

import (
	"cmp"
	"slices"
	"strings"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	Config *Config
	// hosts holds each host's routes, longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
}

// NewTable indexes a configuration.
func NewTable(config *Config) *Table {
	t := &Table{Config: config, hosts: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	return t
}

// Route returns the route of the host with the longest prefix of the path, or
// nil. A port in the host is ignored.
func (t *Table) Route(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, route := range t.hosts[strings.ToLower(name)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns what the configuration says of a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }
