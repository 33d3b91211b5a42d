package contract

import (
	"fmt"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/tomlfile"
)

// File is one TOML file of an operator's directory: any number of services,
// and contracts.
type File struct {
	Services  []Service  `toml:"service"`
	Contracts []Contract `toml:"contract"`
}

// Source is a file's name, for findings, and its text.
type Source struct {
	Name string
	Text []byte
}

// filePlaces finds lines in the files that a set was read from.
type filePlaces struct {
	services  []Locator
	contracts []Locator
}

func (p *filePlaces) Service(i int) Locator  { return p.services[i] }
func (p *filePlaces) Contract(i int) Locator { return p.contracts[i] }

// Parse reads and checks a whole set of files. The set is complete only when
// no findings are returned; findings of form and of meaning come together, so
// that one run tells all that must be mended.
func Parse(sources []Source) (*Set, finding.List) {
	set, _, found := ParseWithLocations(sources)
	return set, found
}

// ParseLocated is Parse for callers that also want to name the file and line of
// what stands in the set.
func ParseWithLocations(sources []Source) (*Set, Locations, finding.List) {
	set := &Set{}
	places := &filePlaces{}
	var found finding.List
	for _, source := range sources {
		var file File
		lines, faults := tomlfile.Decode(source.Name, source.Text, &file)
		found = append(found, faults...)
		for i := range file.Services {
			places.services = append(places.services, placeIn(source.Name, lines, "service", i))
		}
		for i := range file.Contracts {
			places.contracts = append(places.contracts, placeIn(source.Name, lines, "contract", i))
		}
		set.Services = append(set.Services, file.Services...)
		set.Contracts = append(set.Contracts, file.Contracts...)
	}
	found = append(found, withoutRepeats(Check(set, places), found)...)
	found.Sort()
	return set, places, found
}

// withoutRepeats drops checks of meaning on lines that are already reported:
// a value of the wrong type is decoded as zero, and reporting that zero as
// well would tell the reader of a second fault that is not there.
func withoutRepeats(meaning, form finding.List) finding.List {
	type spot struct {
		file string
		line int
	}
	reported := map[spot]bool{}
	for _, f := range form {
		reported[spot{f.File, f.Line}] = true
	}
	var kept finding.List
	for _, f := range meaning {
		if f.Line == 0 || !reported[spot{f.File, f.Line}] {
			kept = append(kept, f)
		}
	}
	return kept
}

func placeIn(file string, lines tomlfile.Lines, kind string, index int) Locator {
	prefix := fmt.Sprintf("%s[%d]", kind, index)
	return func(key string) (string, int) { return file, lines.Of(prefix + "." + key) }
}
