// Package diff implements 'tamarackctl diff', which lists the changes for each
// customer between two sets of contracts or published versions.
package diff

import (
	"cmp"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"tamarackquay/internal/changes"
	"tamarackquay/internal/command"
	"tamarackquay/internal/command/published"
)

// New returns the subcommand.
func New() *cobra.Command {
	var format command.Format
	c := &cobra.Command{
		Use:   "diff BEFORE AFTER",
		Short: "Show what changes for each customer between two versions",
		Long: "Show what changes for each customer between two versions: limits and shares in slots, routes, " +
			"classes, tokens, and the capacity of services.\n\nBEFORE and AFTER are each a directory of contracts, " +
			"a directory that 'build' wrote, or the URL of the platform.",
		Example: "  tamarackctl diff published contracts\n" +
			"  tamarackctl diff http://10.0.0.5:7000 contracts",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error { return run(c, format, args[0], args[1]) },
	}
	command.AddFormat(c, &format)
	return c
}

// report is the JSON output.
type report struct {
	Before  string           `json:"before"`
	After   string           `json:"after"`
	Changes []changes.Change `json:"changes"`
}

func run(c *cobra.Command, format command.Format, from, to string) error {
	before, found, err := published.Load(c.Context(), from)
	if err != nil {
		return err
	}
	after, more, err := published.Load(c.Context(), to)
	if err != nil {
		return err
	}
	if found = append(found, more...); len(found) > 0 {
		return command.PrintFindings(c.OutOrStdout(), format, found)
	}
	r := report{Before: before.Describe(), After: after.Describe(),
		Changes: append([]changes.Change{}, changes.Diff(before.Set, after.Set)...)}
	if format == command.FormatJSON {
		return command.PrintJSON(c.OutOrStdout(), r)
	}
	printText(c.OutOrStdout(), r)
	return nil
}

// allCustomers is the heading of changes that concern a service rather than one
// customer.
const allCustomers = "all customers"

func printText(w io.Writer, r report) {
	fmt.Fprintf(w, "from %s\nto   %s\n", r.Before, r.After)
	if len(r.Changes) == 0 {
		fmt.Fprintln(w, "nothing changes for any customer")
		return
	}
	heading := ""
	for _, change := range r.Changes {
		if customer := cmp.Or(change.Customer, allCustomers); customer != heading {
			heading = customer
			fmt.Fprintln(w, heading)
		}
		fmt.Fprintf(w, "  %s\n", change)
	}
}
