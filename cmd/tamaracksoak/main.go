// Command tamaracksoak runs real nodes under injected faults and checks that the
// system's guarantees hold.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"tamarackquay/internal/soak/cli"
)

func main() {
	// An interrupted run ends the processes that it started.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := cli.New().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
