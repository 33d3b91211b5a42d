// Package check implements 'tamarackctl check', which validates contracts.
package check

import (
	"fmt"

	"github.com/spf13/cobra"

	"tamarackquay/internal/command"
)

// New returns the subcommand.
func New() *cobra.Command {
	var format command.Format
	c := &cobra.Command{
		Use:     "check DIR",
		Short:   "Report every finding in a directory of contracts",
		Example: "  tamarackctl check examples/co-operative",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			set, found := command.ReadContracts(args[0])
			if err := command.PrintFindings(c.OutOrStdout(), format, found); err != nil {
				return err
			}
			if format == command.FormatText {
				fmt.Fprintf(c.OutOrStdout(), "%d services and %d contracts are good\n", len(set.Services), len(set.Contracts))
			}
			return nil
		},
	}
	command.AddFormat(c, &format)
	return c
}
