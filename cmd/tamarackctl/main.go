// Command tamarackctl is the operators' command line.
package main

import (
	"fmt"
	"os"

	"tamarackquay/internal/command"
	"tamarackquay/internal/command/root"
)

func main() {
	err := root.New().Execute()
	code := command.ExitCode(err)
	if code == command.ExitUsage {
		fmt.Fprintln(os.Stderr, "tamarackctl:", err)
	}
	os.Exit(code)
}
