// Package process tests the complete system as separate processes that communicate
// over loopback: nodes, stand-in targets and the stand-in platform. The tests stop,
// kill and pause only processes that they started.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaries is the directory of the programs under test, which are built once.
var binaries string

func TestMain(m *testing.M) {
	if listen := os.Getenv(baselineListen); listen != "" {
		fmt.Fprintln(os.Stderr, serveBaseline(listen, os.Getenv(baselineNext)))
		os.Exit(1)
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "tamarackquay-process")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "tamarackquay/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
