// Package tomlfile decodes TOML into structs and reports all faults with their lines. The
// underlying library stops at the first value of a wrong type.
package tomlfile

import (
	"bytes"
	"errors"
	"regexp"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"tamarackquay/internal/finding"
)

// MaxFindings is the number of findings in a file after which decoding stops. Later faults are
// not reported.
const MaxFindings = 100

// Duration is a time.Duration that is written as a string in TOML ("250ms", "15s").
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler. It accepts the format of
// time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler. It returns the format of time.ParseDuration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Decode decodes source into target, a pointer to a struct. It returns findings for all syntax
// errors, wrong types and unknown keys, and the lines of all keys, which semantic checks use
// for their findings.
func Decode(file string, source []byte, target any) (Lines, finding.List) {
	index := buildIndex(source)
	text := bytes.Clone(source)
	found := rejectNonStringDurations(file, index, text, target)
	for len(found) < MaxFindings {
		err := decodeStrict(text, target)
		if err == nil {
			break
		}
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			found = append(found, unknownKeys(file, strict)...)
			break
		}
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			found = append(found, finding.Finding{Code: finding.CodeSyntax, File: file, Problem: err.Error()})
			break
		}
		row, _ := decodeErr.Position()
		found = append(found, decodeFault(file, row, decodeErr))
		// The decoder stops at the first fault. Blanking the line of the fault lets the next
		// pass reach the next one without changing the line numbers.
		if !blankLine(text, row) {
			break
		}
	}
	found.Sort()
	return index.lines, found
}

func decodeStrict(text []byte, target any) error {
	return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(target)
}

// typeErrorPattern matches the library's message for a value of the wrong type. It contains the
// Go type and field, which operators don't know.
var typeErrorPattern = regexp.MustCompile(`^cannot decode TOML (\S+) into struct field \S+ of type (\S+)$`)

// tomlTypeNames describes, in terms of TOML, the Go types that files are decoded into.
var tomlTypeNames = map[string]string{
	"string": "a string", "int": "an integer", "int64": "an integer", "float64": "a number", "bool": "true or false",
	"[]string": "an array of strings", "tomlfile.Duration": "a time such as \"15s\"",
}

// describeTypeError replaces the Go types in a message about a wrong type by terms of TOML.
func describeTypeError(problem string) string {
	match := typeErrorPattern.FindStringSubmatch(problem)
	if match == nil {
		return problem
	}
	expected, ok := tomlTypeNames[match[2]]
	if !ok {
		expected = "another type"
	}
	return "this is of type " + match[1] + ", " + expected + " is required"
}

// repeatedKeyText is part of the library's message for repeated keys and tables. The library has
// no separate error type for them.
const repeatedKeyText = "already"

func decodeFault(file string, row int, decodeErr *toml.DecodeError) finding.Finding {
	key := strings.Join(decodeErr.Key(), ".")
	problem := describeTypeError(strings.TrimPrefix(decodeErr.Error(), "toml: "))
	if strings.Contains(problem, repeatedKeyText) {
		return finding.Finding{Code: finding.CodeRepeated, File: file, Line: row, Key: key, Problem: problem,
			Hint: "keep one of them"}
	}
	if key == "" {
		return finding.Finding{Code: finding.CodeSyntax, File: file, Line: row, Problem: problem,
			Hint: "write a valid TOML value"}
	}
	return finding.Finding{Code: finding.CodeType, File: file, Line: row, Key: key, Problem: problem,
		Hint: "write a value of the type that this key takes"}
}

func unknownKeys(file string, strict *toml.StrictMissingError) finding.List {
	var found finding.List
	for i := range strict.Errors {
		missing := &strict.Errors[i]
		row, _ := missing.Position()
		found = append(found, finding.Finding{
			Code: finding.CodeUnknownKey, File: file, Line: row,
			Key:     strings.Join(missing.Key(), "."),
			Problem: "unknown key",
			Hint:    "remove the key or correct its spelling",
		})
	}
	return found
}

// blankLine overwrites the 1-based row with spaces. It reports whether the text changed, so that
// decoding can't loop forever on a fault without a line.
func blankLine(text []byte, row int) bool {
	start := 0
	for n := 1; n < row; n++ {
		next := bytes.IndexByte(text[start:], '\n')
		if next < 0 {
			return false
		}
		start += next + 1
	}
	changed := false
	for i := start; i < len(text) && text[i] != '\n'; i++ {
		changed = changed || text[i] != ' '
		text[i] = ' '
	}
	return changed
}
