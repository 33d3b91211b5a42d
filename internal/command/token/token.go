// Package token implements 'tamarackctl token', which generates caller tokens.
package token

import (
	"crypto/rand"
	"fmt"

	"github.com/spf13/cobra"

	"tamarackquay/internal/contract"
)

// New returns the subcommand.
func New() *cobra.Command {
	return &cobra.Command{
		Use:     "token [TOKEN]",
		Short:   "Generate a caller token, or hash a given one, for token_hashes",
		Example: "  tamarackctl token",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			token := rand.Text()
			if len(args) == 1 {
				token = args[0]
			}
			fmt.Fprintf(c.OutOrStdout(), "token %s\nhash  %s\n", token, contract.HashToken(token))
			return nil
		},
	}
}
