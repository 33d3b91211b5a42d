package mesh

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
)

// routesPerPart bounds the routes in one part: some 2 KB, behind which other updates wait
// for a few milliseconds on a small link.
const routesPerPart = 128

// Split returns the delta in parts that are sent one by one, in order. Routes are divided
// by name, so that all nodes divide a step alike, in whatever order they hold the routes,
// and parts from several of them fit together.
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

// add keeps a part that isn't there yet.
func (a *assembly) add(part *ConfigDelta) {
	if part.Part < 0 || part.Part >= len(a.parts) || a.parts[part.Part] != nil {
		return
	}
	a.parts[part.Part] = part
	a.missing--
}

// whole puts the parts together. It returns nil where they are not of one split: each
// route stands once, by name.
func (a *assembly) whole() *ConfigDelta {
	last := a.parts[len(a.parts)-1]
	whole := &ConfigDelta{Base: a.base, Version: a.version, Dropped: last.Dropped, Services: last.Services, Limits: last.Limits}
	for _, part := range a.parts {
		whole.Changed = append(whole.Changed, part.Changed...)
	}
	for i := range whole.Changed[1:] {
		if whole.Changed[i].Name >= whole.Changed[i+1].Name {
			return nil
		}
	}
	return whole
}

// maxParts bounds what a broken neighbour can make this node hold.
const maxParts = 1 << 10

// keptAssemblies is how many deltas are collected at a time: neighbours send different
// steps.
const keptAssemblies = 4

// ErrParts says that the parts of a delta are too many, or don't make a whole.
var ErrInvalidParts = errors.New("the delta's parts make no whole")

// assemble keeps a part of a delta and returns the whole one, or nil while parts are
// missing. No more parts come after the last one, so that none may be missing then.
func (v *View) assemble(part *ConfigDelta, last bool) (*ConfigDelta, error) {
	if part.Parts <= 1 {
		return part, nil
	}
	if part.Parts > maxParts {
		return nil, ErrInvalidParts
	}
	if part.Base != 0 && v.held(part.Base) == nil {
		return nil, ErrUnknownBase
	}
	at := v.assemblyOf(part)
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
	if whole := a.whole(); whole != nil {
		return whole, nil
	}
	return nil, ErrInvalidParts
}

// assemblyOf returns the place of a part's assembly, which it begins if there is none.
func (v *View) assemblyOf(part *ConfigDelta) int {
	at := slices.IndexFunc(v.assemblies, func(a *assembly) bool { return a.is(part) })
	if at >= 0 {
		return at
	}
	if len(v.assemblies) == keptAssemblies {
		v.assemblies = slices.Delete(v.assemblies, 0, 1)
	}
	v.assemblies = append(v.assemblies, newAssembly(part))
	return len(v.assemblies) - 1
}
