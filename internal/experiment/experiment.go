// Package experiment names what an experiment is: a comparison that runs inside
// one process on virtual time, so that it gives the same figures on every
// machine and every run. The command tamarackload lists and runs them; each
// experiment is a package of its own below this one.
package experiment

import (
	"context"
	"io"
)

// Options are what an operator may choose about a run.
type Options struct {
	// Seed starts all random numbers of the run; equal seeds give equal
	// output.
	Seed uint64
	// Quick asks for a run of a few seconds with fewer or smaller cases.
	Quick bool
}

// Experiment is one comparison.
type Experiment interface {
	// Name is the word by which it is called: "admission".
	Name() string
	// Summary says in one line what is compared.
	Summary() string
	// Run writes the figures as text to w. It must be deterministic: no wall
	// time and no global random source may reach the output.
	Run(ctx context.Context, w io.Writer, options Options) error
}
