package cli

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/load"
	"tamarackquay/internal/report"
)

func newRun(dependencies Dependencies) *cobra.Command {
	var f flags
	c := &cobra.Command{
		Use:     "run ENTRY...",
		Short:   "Send a bounded load through entry nodes",
		Example: "  tamarackload run 127.0.0.1:8300 --token coop-token --rate 200 --duration 5s --svg waits.svg",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := f.finish(); err != nil {
				return err
			}
			f.config.Entries = args
			run, err := send(c.Context(), dependencies, f.config, "run")
			if err != nil {
				return err
			}
			return f.write(c, &report.Report{Command: commandLine(c, args), Time: time.Now().UTC(), Runs: []report.Run{run}})
		},
	}
	f.declare(c)
	return c
}

func send(ctx context.Context, dependencies Dependencies, config load.Config, name string) (report.Run, error) {
	caller := load.NewHTTPCaller(config, dependencies.Digest)
	defer caller.Close()
	run, err := load.Run(ctx, config, caller)
	run.Name = name
	return run, err
}

// pairFlags are the flags of pair.
type pairFlags struct {
	flags
	a, b   []string
	rounds int
}

// maxRounds bounds the rounds of a paired run.
const maxRounds = 50

func newPair(dependencies Dependencies) *cobra.Command {
	var f pairFlags
	c := &cobra.Command{
		Use:   "pair --a ENTRY --b ENTRY",
		Short: "Send the same load to two sides in turn and compare them",
		Long: "Send the same load, with the same seed, to side A and side B in turn. On a busy machine, the ratio of two " +
			"consecutive runs varies less than the results of either run.",
		Example: "  tamarackload pair --a 127.0.0.1:8300 --b 127.0.0.1:8310 --rounds 5 --duration 2s --token coop-token",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, args []string) error {
			if err := f.finish(); err != nil {
				return err
			}
			if f.rounds < 1 || f.rounds > maxRounds {
				return errors.Errorf("--rounds must be 1 to %d", maxRounds)
			}
			return f.run(c, dependencies)
		},
	}
	f.declare(c)
	c.Flags().StringSliceVar(&f.a, "a", nil, "entry addresses of side A")
	c.Flags().StringSliceVar(&f.b, "b", nil, "entry addresses of side B")
	c.Flags().IntVar(&f.rounds, "rounds", 5, "number of runs of each side")
	return c
}

func (f *pairFlags) run(c *cobra.Command, dependencies Dependencies) error {
	r := &report.Report{Command: commandLine(c, nil), Time: time.Now().UTC()}
	for range f.rounds {
		for _, side := range []struct {
			name    string
			entries []string
		}{{"A", f.a}, {"B", f.b}} {
			config := f.config
			config.Entries = side.entries
			run, err := send(c.Context(), dependencies, config, side.name)
			if err != nil {
				return err
			}
			r.Runs = append(r.Runs, run)
		}
	}
	r.Ratios = report.Ratios(r.Runs)
	return f.write(c, r)
}
