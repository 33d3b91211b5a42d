package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
)

// Runs two short seeds of the soak: real nodes are killed, paused, restarted,
// disconnected and sent new versions in overlapping series, while callers keep using
// their connections. The reported outcomes must match the runs of the targets.
// Promises with a time bound are left to runs by hand, hence --untimed: a busy machine
// can break them without a fault in the system.
func TestSoakInShort(t *testing.T) {
	t.Parallel()
	// Concurrent test runs use other addresses.
	addresses := strconv.Itoa(150 + 3*(os.Getpid()%30))
	command := exec.Command(filepath.Join(binaries, "tamaracksoak"), "run", "--seed", "1", "--seeds", "2", "--parallel", "2",
		"--length", "14s", "--untimed", "--loopback", addresses)
	output, err := command.CombinedOutput()
	t.Logf("%s", output)
	if err != nil {
		t.Fatal(err)
	}
}
