// Package command holds what tamarackctl's subcommands share; each subcommand
// has a folder of its own.
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

// ErrFindings ends a command whose findings have been printed.
var ErrFindings = errors.New("findings")

// ExitCode is the exit code that a command's error stands for.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrFindings):
		return ExitFindings
	}
	return ExitUsage
}

// Format is how a command prints its result.
type Format string

// The formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

var _ pflag.Value = (*Format)(nil)

// String implements pflag.Value.
func (f *Format) String() string { return string(*f) }

// Type implements pflag.Value.
func (f *Format) Type() string { return "string" }

// Set implements pflag.Value. It refuses formats that don't exist while the
// command line is read, so that no command has to.
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
	// The flag exists: it was declared above.
	_ = command.RegisterFlagCompletionFunc("output", complete)
}

// PrintJSON writes value indented.
func PrintJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// PrintFindings writes findings in the format and returns ErrFindings if there
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

// ReadContracts reads and checks every .toml file of a directory, in the order
// of their names.
func ReadContracts(dir string) (*contract.Set, finding.List) {
	set, _, found := ReadWithLocations(dir)
	return set, found
}

// ReadLocated is ReadContracts with the place of each service and contract.
func ReadWithLocations(dir string) (*contract.Set, contract.Locations, finding.List) {
	names, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err == nil && len(names) == 0 {
		err = errors.New("no .toml file in it")
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
	set, places, faults := contract.ParseWithLocations(sources)
	return set, places, append(found, faults...)
}

func unreadable(file string, err error) finding.List {
	return finding.List{{Code: finding.CodeUnreadable, File: file, Problem: err.Error(), Hint: "name a directory of contracts"}}
}
