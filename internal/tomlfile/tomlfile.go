// Package tomlfile decodes TOML into structs and reports every fault with its
// line, where the library alone stops at the first wrong type.
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

// MaxFaults bounds how many faults one file reports; past it the file is
// reported as it stands.
const MaxFindings = 100

// Duration is a time.Duration written as text in TOML ("250ms", "15s").
type Duration time.Duration

// UnmarshalText parses the form that time.ParseDuration takes.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText renders the form that time.ParseDuration takes.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Decode reads source into target, a pointer to a struct. It returns every
// fault of syntax, type and unknown key, and an index of the lines on which
// keys stand, for the checks of meaning that follow.
func Decode(file string, source []byte, target any) (Lines, finding.List) {
	index := indexOf(source)
	text := bytes.Clone(source)
	found := takeOutBadTimes(file, index, text, target)
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
		var fault *toml.DecodeError
		if !errors.As(err, &fault) {
			found = append(found, finding.Finding{Code: finding.CodeSyntax, File: file, Problem: err.Error()})
			break
		}
		row, _ := fault.Position()
		found = append(found, decodeFault(file, row, fault))
		// The decoder stops at the first fault. Blanking its line lets the
		// next pass reach the next fault while line numbers stay true.
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

// wrongType matches the library's message for a value of the wrong type, which
// names the Go type and field that an operator has never seen.
var wrongType = regexp.MustCompile(`^cannot decode TOML (\S+) into struct field \S+ of type (\S+)$`)

// tomlNames are the TOML words for the Go types that files decode into.
var tomlNames = map[string]string{
	"string": "a string", "int": "an integer", "int64": "an integer", "float64": "a number", "bool": "true or false",
	"[]string": "an array of strings", "tomlfile.Duration": "a time such as \"15s\"",
}

// inTOMLWords rewrites a message about a wrong type in the words of the file.
func inTOMLWords(problem string) string {
	match := wrongType.FindStringSubmatch(problem)
	if match == nil {
		return problem
	}
	wanted, ok := tomlNames[match[2]]
	if !ok {
		wanted = "another type"
	}
	return "this is of type " + match[1] + ", " + wanted + " is wanted"
}

// repeatedKey is in the library's message for keys and tables that stand twice;
// it has no error of its own for them.
const repeatedKey = "already"

func decodeFault(file string, row int, fault *toml.DecodeError) finding.Finding {
	key := strings.Join(fault.Key(), ".")
	problem := inTOMLWords(strings.TrimPrefix(fault.Error(), "toml: "))
	if strings.Contains(problem, repeatedKey) {
		return finding.Finding{Code: finding.CodeRepeated, File: file, Line: row, Key: key, Problem: problem,
			Hint: "keep one of them"}
	}
	if key == "" {
		return finding.Finding{Code: finding.CodeSyntax, File: file, Line: row, Problem: problem,
			Hint: "write a value that TOML accepts"}
	}
	return finding.Finding{Code: finding.CodeType, File: file, Line: row, Key: key, Problem: problem,
		Hint: "write a value of the type that this key takes"}
}

func unknownKeys(file string, strict *toml.StrictMissingError) finding.List {
	var found finding.List
	for i := range strict.Errors {
		fault := &strict.Errors[i]
		row, _ := fault.Position()
		found = append(found, finding.Finding{
			Code: finding.CodeUnknownKey, File: file, Line: row,
			Key:     strings.Join(fault.Key(), "."),
			Problem: "no such key",
			Hint:    "remove the key or correct its spelling",
		})
	}
	return found
}

// blankLine overwrites the 1-based row with spaces. It reports whether it
// changed anything, so that decoding cannot loop on a fault without a line.
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
