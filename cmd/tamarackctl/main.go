// Command tamarackctl is the command-line tool for operators.
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
