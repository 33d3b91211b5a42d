package tomlfile

import (
	"reflect"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"tamarackquay/internal/finding"
)

// arrayIndex matches an array index in a key.
var arrayIndex = regexp.MustCompile(`\[\d+\]`)

// rejectNonStringDurations reports durations that are not written as strings, and blanks their
// lines. The library would silently decode the integer 30 as 30 nanoseconds, and would stop
// at a boolean with an error that has no line.
func rejectNonStringDurations(file string, index index, text []byte, target any) finding.List {
	durationKeys := map[string]bool{}
	collectDurationKeys("", reflect.TypeOf(target).Elem(), durationKeys)
	var found finding.List
	for key, kind := range index.kinds {
		if kind == unstable.String || !durationKeys[arrayIndex.ReplaceAllString(key, "[]")] {
			continue
		}
		found = append(found, finding.Finding{Code: finding.CodeType, File: file, Line: index.lines[key], Key: key,
			Problem: "a time is wanted, this is of type " + strings.ToLower(kind.String()), Hint: "write a string with a unit, such as \"15s\" or \"250ms\""})
		blankLine(text, index.lines[key])
	}
	return found
}

// collectDurationKeys adds the keys of a struct that hold durations to durationKeys, in the form
// "item[].wait".
func collectDurationKeys(prefix string, typ reflect.Type, durationKeys map[string]bool) {
	switch {
	case typ == reflect.TypeFor[Duration]():
		durationKeys[prefix] = true
	case typ.Kind() == reflect.Slice:
		collectDurationKeys(prefix+"[]", typ.Elem(), durationKeys)
	case typ.Kind() == reflect.Struct:
		for i := range typ.NumField() {
			key, _, _ := strings.Cut(typ.Field(i).Tag.Get("toml"), ",")
			if key != "" && key != "-" {
				collectDurationKeys(join(prefix, key), typ.Field(i).Type, durationKeys)
			}
		}
	}
}
