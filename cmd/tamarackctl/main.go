// Command tamarackctl is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/command"
	"tamarackquay/internal/command/build"
	"tamarackquay/internal/command/check"
	"tamarackquay/internal/command/peercert"
	"tamarackquay/internal/command/status"
	"tamarackquay/internal/command/token"
)

func main() {
	root := &cobra.Command{
		Use:           "tamarackctl",
		Short:         "Check, build and follow the contracts of a service mesh",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(check.New(), build.New(), token.New(), peercert.New(), status.New())
	err := root.Execute()
	switch {
	case err == nil:
		os.Exit(command.ExitFine)
	case errors.Is(err, command.ErrFindings):
		os.Exit(command.ExitFindings)
	}
	fmt.Fprintln(os.Stderr, "tamarackctl:", err)
	os.Exit(command.ExitUsage)
}
