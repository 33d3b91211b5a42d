// Command tamaracksoak runs real nodes under injected faults and checks the
// promises.
package main

import (
	"fmt"
	"os"

	"tamarackquay/internal/soak/cli"
)

func main() {
	if err := cli.NewCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
