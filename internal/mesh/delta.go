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

// routesPerPart bounds the routes in one part: some 2 KB, behind which other updates wait
// for a few milliseconds on a small link.
const routesPerPart = 128

// Split returns the delta in parts that are sent one by one, in order.
func (d *ConfigDelta) Split() []*ConfigDelta {
	count := (len(d.Changed) + routesPerPart - 1) / routesPerPart
	if count <= 1 {
		return []*ConfigDelta{d}
	}
	parts := make([]*ConfigDelta, 0, count)
	for changed := range slices.Chunk(d.Changed, routesPerPart) {
		parts = append(parts, &ConfigDelta{Base: d.Base, Version: d.Version, Changed: changed, Part: len(parts), Parts: count})
	}
	last := parts[count-1]
	last.Dropped, last.Services, last.Limits = d.Dropped, d.Services, d.Limits
	return parts
}

// assembly collects the parts of a delta, which may come from several neighbours.
type assembly struct {
	base, version uint64
	parts         []*ConfigDelta
	missing       int
}

func newAssembly(part *ConfigDelta) *assembly {
	return &assembly{base: part.Base, version: part.Version, parts: make([]*ConfigDelta, part.Parts), missing: part.Parts}
}

// is reports whether a part belongs to the assembly.
func (a *assembly) is(part *ConfigDelta) bool {
	return a.base == part.Base && a.version == part.Version && len(a.parts) == part.Parts
}

// add returns the whole delta once all parts are there, or nil.
func (a *assembly) add(part *ConfigDelta) *ConfigDelta {
	if part.Part < 0 || part.Part >= len(a.parts) || a.parts[part.Part] != nil {
		return nil
	}
	a.parts[part.Part] = part
	a.missing--
	if a.missing > 0 {
		return nil
	}
	last := a.parts[len(a.parts)-1]
	whole := &ConfigDelta{Base: a.base, Version: a.version, Dropped: last.Dropped, Services: last.Services, Limits: last.Limits}
	for _, part := range a.parts {
		whole.Changed = append(whole.Changed, part.Changed...)
	}
	return whole
}

// maxParts bounds what a broken neighbour can make this node hold.
const maxParts = 1 << 10

// keptAssemblies is how many deltas are collected at a time: neighbours send different
// steps.
const keptAssemblies = 4

// ErrParts says that a delta has too many parts.
var ErrParts = errors.New("the delta has too many parts")

// assemble keeps a part of a delta and returns the whole one, or nil while parts are
// missing.
func (v *View) assemble(part *ConfigDelta) (*ConfigDelta, error) {
	if part.Parts <= 1 {
		return part, nil
	}
	if part.Parts > maxParts {
		return nil, ErrParts
	}
	if part.Base != 0 && v.held(part.Base) == nil {
		return nil, ErrBase
	}
	at := slices.IndexFunc(v.assemblies, func(a *assembly) bool { return a.is(part) })
	if at < 0 {
		if len(v.assemblies) == keptAssemblies {
			v.assemblies = slices.Delete(v.assemblies, 0, 1)
		}
		at = len(v.assemblies)
		v.assemblies = append(v.assemblies, newAssembly(part))
	}
	whole := v.assemblies[at].add(part)
	if whole != nil {
		v.assemblies = slices.Delete(v.assemblies, at, at+1)
	}
	return whole, nil
}

// ErrBase says that a delta builds on a version that this node doesn't hold.
var ErrBase = errors.New("the delta builds on another version")

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
		return nil, ErrBase
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
