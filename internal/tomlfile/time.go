package tomlfile

import (
	"reflect"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"tamarackquay/internal/finding"
)

// position matches an array position in a key.
var position = regexp.MustCompile(`\[\d+\]`)

// takeOutBadTimes reports times that are not written as text, and blanks their
// lines. The library would take the integer 30 for 30 nanoseconds without a
// word, and ends at a boolean without naming its line.
func takeOutBadTimes(file string, index index, text []byte, target any) finding.List {
	times := map[string]bool{}
	collectTimes("", reflect.TypeOf(target).Elem(), times)
	var found finding.List
	for key, kind := range index.kinds {
		if kind == unstable.String || !times[position.ReplaceAllString(key, "[]")] {
			continue
		}
		found = append(found, finding.Finding{Code: finding.CodeType, File: file, Line: index.lines[key], Key: key,
			Problem: "a time is wanted, this is of type " + strings.ToLower(kind.String()), Hint: "write text with a unit, such as \"15s\" or \"250ms\""})
		blankLine(text, index.lines[key])
	}
	return found
}

// collectTimes lists the keys of a struct that hold times: "item[].wait".
func collectTimes(prefix string, of reflect.Type, times map[string]bool) {
	switch {
	case of == reflect.TypeFor[Duration]():
		times[prefix] = true
	case of.Kind() == reflect.Slice:
		collectTimes(prefix+"[]", of.Elem(), times)
	case of.Kind() == reflect.Struct:
		for i := range of.NumField() {
			key, _, _ := strings.Cut(of.Field(i).Tag.Get("toml"), ",")
			if key != "" && key != "-" {
				collectTimes(join(prefix, key), of.Field(i).Type, times)
			}
		}
	}
}
