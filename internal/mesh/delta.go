package mesh

import (
	"slices"

	"github.com/pkg/errors"
)

// ConfigDelta turns the configuration of version Base into that of version
// Version. Base 0 means that nothing is presumed and everything is here.
type ConfigDelta struct {
	Base    uint64 `cbor:"b"`
	Version uint64 `cbor:"v"`
	// Changed holds routes that are new or differ, Dropped the names of those
	// that are gone.
	Changed  []Route   `cbor:"c,omitempty"`
	Dropped  []string  `cbor:"d,omitempty"`
	Services []Service `cbor:"s,omitempty"`
	Limits   Limits    `cbor:"l"`
	// Part counts the parts of a delta that is sent in several from 0, up to Parts; a
	// whole one has no Parts. Each has a share of the changed routes, and the last one
	// all else.
	Part  int `cbor:"i,omitempty"`
	Parts int `cbor:"n,omitempty"`
}

// ErrBase says that a delta builds on a version that this node doesn't hold.
var ErrUnknownBase = errors.New("the delta builds on another version")

// Diff returns what turns one configuration into another; from may be nil. Of
// several hundred routes a change alters a few, and the delta is some hundred
// bytes where the whole is a hundred kilobytes.
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
		delta.Dropped = append(delta.Dropped, name)
	}
	slices.Sort(delta.Dropped)
	return delta
}

// Apply returns the configuration that the delta makes of base, which may be
// nil. Base is not changed.
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
	dropped := make(map[string]bool, len(d.Dropped))
	for _, name := range d.Dropped {
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
