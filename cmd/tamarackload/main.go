// Command tamarackload runs measurements: a bounded load on entry nodes of this
// machine, and experiments in virtual time.
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

// experiments are listed by 'tamarackload experiment'.
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
