// Package finding defines the common form in which all checks of settings and contracts
// report faults, so that a user gets all faults at once with their locations.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Code identifies a kind of finding. Codes are stable: documents and alerts refer to
// them.
type Code string

// Codes reported by the checks of TOML files. Packages that check the meaning of values
// declare further codes next to the check.
const (
	CodeSyntax     Code = "toml-syntax"
	CodeType       Code = "toml-type"
	CodeRepeated   Code = "toml-repeated-key"
	CodeUnknownKey Code = "unknown-key"
	CodeUnreadable Code = "unreadable-file"
)

// Finding is a fault in an operator's input.
type Finding struct {
	Code Code   `json:"code"`
	File string `json:"file"`
	// Line is 1-based; 0 means that the fault has no single line, for example a missing
	// key.
	Line int `json:"line"`
	// Key is the dotted path of the key, with array indices counted from zero:
	// "grant[1].share".
	Key     string `json:"key"`
	Problem string `json:"problem"`
	// Hint describes how to correct the fault.
	Hint string `json:"hint"`
}

// String formats a finding on one line, in the file:line form that editors recognize.
func (f Finding) String() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key != "" {
		location += ": " + f.Key
	}
	text := fmt.Sprintf("%s: %s [%s]", location, f.Problem, f.Code)
	if f.Hint != "" {
		text += "; " + f.Hint
	}
	return text
}

// List is a list of findings. As an error it means that the whole input was rejected.
type List []Finding

// Error formats all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// AsError returns the list as an error, or nil if it is empty. Returning a nil List
// directly as an error would give a non-nil interface.
func (l List) AsError() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort sorts findings by file, line and key, so that the output is the same on every
// run.
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
