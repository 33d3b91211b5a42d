// Package experiment defines the interface of experiments. An experiment is a
// comparison that runs inside one process in virtual time, so that it gives the same
// results on every machine and in every run. The command tamarackload lists and runs
// experiments. Each one is a package below this one.
package experiment

import (
	"context"
	"io"
)

// Options configures a run of an experiment.
type Options struct {
	// Seed is the seed of all random numbers of the run. Equal seeds give equal
	// output.
	Seed uint64
	// Quick limits the run to a few seconds, with fewer or smaller cases.
	Quick bool
}

// Experiment is one comparison.
type Experiment interface {
	// Name returns the name on the command line, such as "admission".
	Name() string
	// Summary describes the comparison in one line.
	Summary() string
	// Run writes the results as text to w. It must be deterministic: the output must
	// not depend on wall time or on a global random source.
	Run(ctx context.Context, w io.Writer, options Options) error
}
