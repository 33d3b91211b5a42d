// Command tamarackload measures: bounded load on entry nodes of this machine,
// and experiments on virtual time.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"tamarackquay/internal/experiment"
	"tamarackquay/internal/experiment/admission"
	"tamarackquay/internal/experiment/largeanswers"
	"tamarackquay/internal/load/cli"
	"tamarackquay/standin/target"
)

// experiments are those that 'tamarackload experiment' lists.
var experiments = []experiment.Experiment{admission.Experiment{}, largeanswers.Experiment{}}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := cli.New(cli.Dependencies{Digest: target.ArchiveDigest, Experiments: experiments}).ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tamarackload:", err)
	}
	os.Exit(cli.ExitCode(err))
}
