// Package process tests the whole system as separate processes: nodes, stand-in
// targets and the stand-in platform, talking over loopback. The tests stop,
// kill and pause only processes that they started.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaries is the directory of the programs under test, built once.
var binaries string

func TestMain(m *testing.M) {
	if listen := os.Getenv(bareListen); listen != "" {
		fmt.Fprintln(os.Stderr, serveBare(listen, os.Getenv(bareNext)))
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
