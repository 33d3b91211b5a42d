// Package root puts tamarackctl's subcommands together.
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

// New returns the whole command line.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "tamarackctl",
		Short: "Check, build and follow the contracts of a service mesh",
		Long: "Check, build and follow the contracts of a service mesh.\n\n" +
			"The command reads files, nodes and the platform; it writes nothing shared. Publishing is the operator's step.\n" +
			"Exit codes: 0 fine, 1 findings, 2 wrong usage or an input that can't be read.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(check.New(), build.New(), diff.New(), explain.New(), status.New(), audit.New(), token.New(), peercert.New(), trace.New())
	return root
}
