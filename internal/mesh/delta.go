package mesh

import (
	"slices"

	"github.com/pkg/errors"
)

// ConfigDelta transforms the configuration of version Base into that of version Version.
// Base 0 marks a complete configuration that needs no base.
type ConfigDelta struct {
	Base    uint64 `cbor:"b"`
	Version uint64 `cbor:"v"`
	// Changed holds new and modified routes, Removed the names of removed ones.
	Changed  []Route   `cbor:"c,omitempty"`
	Removed  []string  `cbor:"d,omitempty"`
	Services []Service `cbor:"s,omitempty"`
	Limits   Limits    `cbor:"l"`
	// Part is the index, from 0, of this part of a delta that is sent in Parts parts; an
	// undivided delta has Parts 0. Each part has a share of the changed routes; the last
	// one also has all other fields.
	Part  int `cbor:"i,omitempty"`
	Parts int `cbor:"n,omitempty"`
}

// ErrUnknownBase is returned if this node doesn't hold the base version of a delta.
var ErrUnknownBase = errors.New("base version of the configuration delta is not held")

// Diff returns the delta from one configuration to another; from may be nil. A change
// typically alters a few of several hundred routes, so that the delta takes some hundred
// bytes instead of the hundred kilobytes of the configuration.
func Diff(from, to *Config) *ConfigDelta {
	delta := &ConfigDelta{Version: to.Version, Services: to.Services, Limits: to.Limits}
	if from == nil {
		delta.Changed = to.Routes
		return delta
	}
	delta.Base = from.Version
	old := make(map[string]*Route, len(from.Routes))
	for i := range from.Routes {
		old[from.Routes[i].Name] = &from.Routes[i]
	}
	for i := range to.Routes {
		route := &to.Routes[i]
		if before := old[route.Name]; before == nil || !before.Equal(route) {
			delta.Changed = append(delta.Changed, *route)
		}
		delete(old, route.Name)
	}
	for name := range old {
		delta.Removed = append(delta.Removed, name)
	}
	slices.Sort(delta.Removed)
	return delta
}

// Apply returns the result of applying the delta to base, which may be nil and is not
// modified. It returns ErrUnknownBase if the delta needs another base.
func (d *ConfigDelta) Apply(base *Config) (*Config, error) {
	config := &Config{Version: d.Version, Services: d.Services, Limits: d.Limits}
	if d.Base == 0 {
		config.Routes = d.Changed
		return config, nil
	}
	if base == nil || base.Version != d.Base {
		return nil, ErrUnknownBase
	}
	changed := make(map[string]*Route, len(d.Changed))
	for i := range d.Changed {
		changed[d.Changed[i].Name] = &d.Changed[i]
	}
	dropped := make(map[string]bool, len(d.Removed))
	for _, name := range d.Removed {
		dropped[name] = true
	}
	config.Routes = make([]Route, 0, len(base.Routes)+len(d.Changed))
	for _, route := range base.Routes {
		if dropped[route.Name] {
			continue
		}
		if next := changed[route.Name]; next != nil {
			route = *next
			delete(changed, route.Name)
		}
		config.Routes = append(config.Routes, route)
	}
	for i := range d.Changed {
		if changed[d.Changed[i].Name] != nil {
			config.Routes = append(config.Routes, d.Changed[i])
		}
	}
	return config, nil
}
