// Package command has the code that tamarackctl's subcommands share. Each
// subcommand has its own package below this one.
package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"tamarackquay/internal/contract"
	"tamarackquay/internal/finding"
)

// Exit codes of tamarackctl.
const (
	ExitOK       = 0
	ExitFindings = 1
	ExitUsage    = 2
)

// ErrFindings is returned by a command that has printed findings.
var ErrFindings = errors.New("findings")

// ExitCode returns the exit code for a command's error.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrFindings):
		return ExitFindings
	}
	return ExitUsage
}

// Format is the output format of a command.
type Format string

// Output formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

var _ pflag.Value = (*Format)(nil)

// String implements pflag.Value.
func (f *Format) String() string { return string(*f) }

// Type implements pflag.Value.
func (f *Format) Type() string { return "string" }

// Set implements pflag.Value. It rejects unknown formats while the command line is
// parsed, so that the commands need no check of their own.
func (f *Format) Set(text string) error {
	switch format := Format(text); format {
	case FormatText, FormatJSON:
		*f = format
		return nil
	}
	return errors.New("write text or json")
}

// AddFormat declares the --output flag.
func AddFormat(command *cobra.Command, format *Format) {
	*format = FormatText
	command.Flags().Var(format, "output", "text or json")
	complete := cobra.FixedCompletions([]cobra.Completion{string(FormatText), string(FormatJSON)}, cobra.ShellCompDirectiveNoFileComp)
	// The error is impossible: the flag is declared above.
	_ = command.RegisterFlagCompletionFunc("output", complete)
}

// PrintJSON writes value as indented JSON.
func PrintJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// PrintFindings prints the findings in the format. It returns ErrFindings if there
// are any.
func PrintFindings(w io.Writer, format Format, found finding.List) error {
	if format == FormatJSON {
		if err := PrintJSON(w, append(finding.List{}, found...)); err != nil {
			return err
		}
	} else {
		for _, f := range found {
			fmt.Fprintln(w, f)
		}
	}
	if len(found) > 0 {
		return ErrFindings
	}
	return nil
}

// ReadContracts reads and validates all .toml files of a directory, sorted by name.
func ReadContracts(dir string) (*contract.Set, finding.List) {
	set, _, found := ReadWithLocations(dir)
	return set, found
}

// ReadWithLocations is like ReadContracts and also returns the file and line of
// each service and contract.
func ReadWithLocations(dir string) (*contract.Set, contract.Locations, finding.List) {
	names, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err == nil && len(names) == 0 {
		err = errors.New("the directory has no .toml file")
	}
	if err != nil {
		return nil, nil, unreadable(dir, err)
	}
	slices.Sort(names)
	var sources []contract.Source
	var found finding.List
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			found = append(found, unreadable(name, err)...)
			continue
		}
		sources = append(sources, contract.Source{Name: name, Text: text})
	}
	set, locations, more := contract.ParseWithLocations(sources)
	return set, locations, append(found, more...)
}

func unreadable(file string, err error) finding.List {
	return finding.List{{Code: finding.CodeUnreadable, File: file, Problem: err.Error(), Hint: "name a directory of contracts"}}
}
