// Package finding holds the one shape in which every check of settings and
// contracts reports what it found, so that a reader gets all faults at once
// with their place.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Code names a kind of finding. Codes are stable: documents and alerts refer
// to them.
type Code string

// The codes that the checks of TOML files report. Packages that check meaning
// declare further codes beside the check.
const (
	CodeSyntax     Code = "toml-syntax"
	CodeType       Code = "toml-type"
	CodeRepeated   Code = "toml-repeated-key"
	CodeUnknownKey Code = "unknown-key"
	CodeUnreadable Code = "unreadable-file"
)

// Finding is one fault in an operator's input.
type Finding struct {
	Code Code   `json:"code"`
	File string `json:"file"`
	// Line is 1-based; 0 means that the fault has no single line, for
	// example a missing key.
	Line int `json:"line"`
	// Key is the dotted path of the key, with array positions counted from
	// zero: "grant[1].share".
	Key     string `json:"key"`
	Problem string `json:"problem"`
	// Hint says what would mend the fault.
	Hint string `json:"hint"`
}

// String renders a finding on one line, in the file:line form that editors
// understand.
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key != "" {
		place += ": " + f.Key
	}
	text := fmt.Sprintf("%s: %s [%s]", place, f.Problem, f.Code)
	if f.Hint != "" {
		text += "; " + f.Hint
	}
	return text
}

// List is a collection of findings; as an error it means that the input was
// refused whole.
type List []Finding

// Error renders all findings, one to a line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// AsError returns the list as an error, or nil when it is empty. Returning a
// nil List directly as an error would give a non-nil interface.
func (l List) AsError() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort orders findings by file, line and key, so that output is the same on
// every run.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Key < b.Key
	})
}
