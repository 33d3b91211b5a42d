package cli

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/experiment"
)

func newExperiment(experiments []experiment.Experiment) *cobra.Command {
	var options experiment.Options
	c := &cobra.Command{
		Use:   "experiment [NAME]",
		Short: "List experiments, or run one in virtual time",
		Long: "List experiments, or run one. An experiment runs inside this process in virtual time: " +
			"equal seeds give equal results on every machine.",
		Example:   "  tamarackload experiment",
		Args:      cobra.MaximumNArgs(1),
		ValidArgs: names(experiments),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				for _, e := range experiments {
					fmt.Fprintf(c.OutOrStdout(), "%-16s %s\n", e.Name(), e.Summary())
				}
				return nil
			}
			index := slices.Index(names(experiments), args[0])
			if index < 0 {
				return errors.Errorf("unknown experiment %q; run 'tamarackload experiment' for the list", args[0])
			}
			return experiments[index].Run(c.Context(), c.OutOrStdout(), options)
		},
	}
	c.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of all random numbers")
	c.Flags().BoolVar(&options.Quick, "quick", false, "run fewer or smaller cases, which takes a few seconds")
	return c
}

func names(experiments []experiment.Experiment) []string {
	list := make([]string, len(experiments))
	for i, e := range experiments {
		list[i] = e.Name()
	}
	return list
}
