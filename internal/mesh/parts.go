package mesh

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
)

// routesPerPart bounds the routes in one part: some 2 KB, which delay other updates by a
// few milliseconds on a slow link.
const routesPerPart = 128

// Split divides the delta into parts that are sent one by one, in order. Routes are sorted
// by name, so that all nodes divide the same change in the same way, whatever order they
// hold the routes in, and parts from several nodes fit together.
func (d *ConfigDelta) Split() []*ConfigDelta {
	count := (len(d.Changed) + routesPerPart - 1) / routesPerPart
	if count <= 1 {
		return []*ConfigDelta{d}
	}
	byName := slices.SortedFunc(slices.Values(d.Changed), func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	parts := make([]*ConfigDelta, 0, count)
	for changed := range slices.Chunk(byName, routesPerPart) {
		parts = append(parts, &ConfigDelta{Base: d.Base, Version: d.Version, Changed: changed, Part: len(parts), Parts: count})
	}
	last := parts[count-1]
	last.Removed, last.Services, last.Limits = d.Removed, d.Services, d.Limits
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

// matches reports whether a part belongs to the assembly.
func (a *assembly) matches(part *ConfigDelta) bool {
	return a.base == part.Base && a.version == part.Version && len(a.parts) == part.Parts
}

// add stores a part unless it is a duplicate or its index is out of range.
func (a *assembly) add(part *ConfigDelta) {
	if part.Part < 0 || part.Part >= len(a.parts) || a.parts[part.Part] != nil {
		return
	}
	a.parts[part.Part] = part
	a.missing--
}

// join returns the complete delta. It returns nil if the parts come from different splits,
// which it detects by route names that are duplicate or not in ascending order.
func (a *assembly) join() *ConfigDelta {
	last := a.parts[len(a.parts)-1]
	delta := &ConfigDelta{Base: a.base, Version: a.version, Removed: last.Removed, Services: last.Services, Limits: last.Limits}
	for _, part := range a.parts {
		delta.Changed = append(delta.Changed, part.Changed...)
	}
	for i := range delta.Changed[1:] {
		if delta.Changed[i].Name >= delta.Changed[i+1].Name {
			return nil
		}
	}
	return delta
}

// maxParts bounds the memory that a faulty neighbour can make this node allocate.
const maxParts = 1 << 10

// maxAssemblies is how many deltas are assembled at a time: neighbours may send deltas
// between different versions.
const maxAssemblies = 4

// ErrInvalidParts is returned if a delta has too many parts, or if its parts are incomplete
// or don't fit together.
var ErrInvalidParts = errors.New("configuration delta has missing or invalid parts")

// assemble stores a part of a delta and returns the complete delta, or nil while parts are
// missing. Last means that no further part follows, so that a part still missing then is an
// error.
func (v *View) assemble(part *ConfigDelta, last bool) (*ConfigDelta, error) {
	if part.Parts <= 1 {
		return part, nil
	}
	if part.Parts > maxParts {
		return nil, ErrInvalidParts
	}
	if part.Base != 0 && v.recentConfig(part.Base) == nil {
		return nil, ErrUnknownBase
	}
	at := v.assemblyIndex(part)
	a := v.assemblies[at]
	a.add(part)
	if a.missing > 0 {
		if last {
			v.assemblies = slices.Delete(v.assemblies, at, at+1)
			return nil, ErrInvalidParts
		}
		return nil, nil
	}
	v.assemblies = slices.Delete(v.assemblies, at, at+1)
	if delta := a.join(); delta != nil {
		return delta, nil
	}
	return nil, ErrInvalidParts
}

// assemblyIndex returns the index of the assembly for a part, which it creates if there is
// none.
func (v *View) assemblyIndex(part *ConfigDelta) int {
	at := slices.IndexFunc(v.assemblies, func(a *assembly) bool { return a.matches(part) })
	if at >= 0 {
		return at
	}
	if len(v.assemblies) == maxAssemblies {
		v.assemblies = slices.Delete(v.assemblies, 0, 1)
	}
	v.assemblies = append(v.assemblies, newAssembly(part))
	return len(v.assemblies) - 1
}
