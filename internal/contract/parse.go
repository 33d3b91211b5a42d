package contract

import (
	"fmt"

	"tamarackquay/internal/finding"
	"tamarackquay/internal/tomlfile"
)

// File is one TOML file of an operator's directory. It holds any number of
// services and contracts.
type File struct {
	Services  []Service  `toml:"service"`
	Contracts []Contract `toml:"contract"`
}

// Source is the text of a file with its name, which is used in findings.
type Source struct {
	Name string
	Text []byte
}

// fileLocations implements Locations for the files that a set was read from.
type fileLocations struct {
	services  []Locator
	contracts []Locator
}

func (p *fileLocations) Service(i int) Locator  { return p.services[i] }
func (p *fileLocations) Contract(i int) Locator { return p.contracts[i] }

// Parse reads and checks a set of files. The returned set is complete only if
// there are no findings. Syntax and semantic findings are returned together, so
// that one run reports everything that has to be corrected.
func Parse(sources []Source) (*Set, finding.List) {
	set, _, found := ParseWithLocations(sources)
	return set, found
}

// ParseWithLocations is Parse for callers that also need the file and line of the
// keys in the set.
func ParseWithLocations(sources []Source) (*Set, Locations, finding.List) {
	set := &Set{}
	locations := &fileLocations{}
	var found finding.List
	for _, source := range sources {
		var file File
		lines, syntaxFindings := tomlfile.Decode(source.Name, source.Text, &file)
		found = append(found, syntaxFindings...)
		for i := range file.Services {
			locations.services = append(locations.services, locatorIn(source.Name, lines, "service", i))
		}
		for i := range file.Contracts {
			locations.contracts = append(locations.contracts, locatorIn(source.Name, lines, "contract", i))
		}
		set.Services = append(set.Services, file.Services...)
		set.Contracts = append(set.Contracts, file.Contracts...)
	}
	found = append(found, withoutDuplicates(Check(set, locations), found)...)
	found.Sort()
	return set, locations, found
}

// withoutDuplicates drops semantic findings on lines that have a syntax finding.
// A value of the wrong type is decoded as zero, and a finding about that zero
// would report a second fault that doesn't exist.
func withoutDuplicates(semantic, syntax finding.List) finding.List {
	type position struct {
		file string
		line int
	}
	reported := map[position]bool{}
	for _, f := range syntax {
		reported[position{f.File, f.Line}] = true
	}
	var kept finding.List
	for _, f := range semantic {
		if f.Line == 0 || !reported[position{f.File, f.Line}] {
			kept = append(kept, f)
		}
	}
	return kept
}

func locatorIn(file string, lines tomlfile.Lines, kind string, index int) Locator {
	prefix := fmt.Sprintf("%s[%d]", kind, index)
	return func(key string) (string, int) { return file, lines.Of(prefix + "." + key) }
}
