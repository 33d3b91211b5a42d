// Package root assembles tamarackctl from its subcommands.
package root

import (
	"github.com/spf13/cobra"

	"tamarackquay/internal/command/audit"
	"tamarackquay/internal/command/build"
	"tamarackquay/internal/command/check"
	"tamarackquay/internal/command/diff"
	"tamarackquay/internal/command/explain"
	"tamarackquay/internal/command/peercert"
	"tamarackquay/internal/command/status"
	"tamarackquay/internal/command/token"
	"tamarackquay/internal/command/trace"
)

// New returns the tamarackctl command with all subcommands.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "tamarackctl",
		Short: "Check, build and follow the contracts of a service mesh",
		Long: "Check, build and follow the contracts of a service mesh.\n\n" +
			"The command reads files, nodes and the platform, and writes local files only. Publishing is left to the operator.\n" +
			"Exit codes: 0 success, 1 findings, 2 wrong usage or unreadable input.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(check.New(), build.New(), diff.New(), explain.New(), status.New(), audit.New(), token.New(), peercert.New(), trace.New())
	return root
}
